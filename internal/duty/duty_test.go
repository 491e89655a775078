package duty

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// router returns the record of a router that answers calls with its name or err.
func router(t *testing.T, vm ident.VM, capacity int, err error) membership.Record {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { Answer(w, vm, err) }))
	t.Cleanup(s.Close)
	return membership.Record{VM: vm, Capacity: capacity, Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

func caller(t *testing.T, self ident.VM, members ...membership.Record) *Caller {
	c := New(Settings{Self: self, Members: func() []membership.Record { return members }, Timeout: 5 * time.Second, Clock: time.Now})
	t.Cleanup(c.Close)
	return c
}

// TestNextIsCalledOnceTheFirstRefuses has a first router that the key-value
// service refuses, or that does not tell what it did, and a second one that works.
func TestNextIsCalledOnceTheFirstRefuses(t *testing.T) {
	refusing := router(t, "first", 3, store.ErrUnavailable)
	unsure := router(t, "first", 3, store.ErrUnknown)
	working := router(t, "second", 2, nil)
	last := membership.Record{VM: "last", Capacity: 1}
	var by ident.VM

	require.NoError(t, caller(t, "last", refusing, working, last).Call(t.Context(), "work", "/", nil, &by))
	assert.EqualValues(t, "second", by)
	require.ErrorIs(t, caller(t, "second", refusing, working, last).Call(t.Context(), "work", "/", nil, &by), ErrOwn, "it is the next itself")
	require.ErrorIs(t, caller(t, "alone").Call(t.Context(), "work", "/", nil, &by), ErrOwn, "no records")
	require.ErrorIs(t, caller(t, "far", refusing).Call(t.Context(), "work", "/", nil, &by), store.ErrUnavailable)

	c := caller(t, "last", unsure, working, last)
	require.ErrorIs(t, c.Call(t.Context(), "work", "/", nil, &by), store.ErrUnknown, "it may have acted")
	require.NoError(t, c.Call(t.Context(), "work", "/", nil, &by), "the first is passed over for a while")
	c.Forgive()
	require.ErrorIs(t, c.Call(t.Context(), "work", "/", nil, &by), store.ErrUnknown, "the first is called again")
}
