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

// newRouter returns the record of a router that responds to calls with its name or err.
func newRouter(t *testing.T, vm ident.VM, capacity int, err error) membership.Record {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { WriteResult(w, vm, err) }))
	t.Cleanup(s.Close)
	return membership.Record{VM: vm, Capacity: capacity, Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

func newCaller(t *testing.T, self ident.VM, members ...membership.Record) *Caller {
	c := New(Settings{Self: self, Members: func() []membership.Record { return members }, Timeout: 5 * time.Second, Clock: time.Now})
	t.Cleanup(c.Close)
	return c
}

// TestNextIsCalledOnceTheFirstRefuses checks that a call goes to the second router if
// the first has no access to the key-value service, and that the first one is skipped
// after a call with unknown outcome until its backoff is reset.
func TestNextIsCalledOnceTheFirstRefuses(t *testing.T) {
	unavailable := newRouter(t, "first", 3, store.ErrUnavailable)
	unknown := newRouter(t, "first", 3, store.ErrUnknown)
	working := newRouter(t, "second", 2, nil)
	last := membership.Record{VM: "last", Capacity: 1}
	var handledBy ident.VM

	require.NoError(t, newCaller(t, "last", unavailable, working, last).Call(t.Context(), "work", "/", nil, &handledBy))
	assert.EqualValues(t, "second", handledBy)
	require.ErrorIs(t, newCaller(t, "second", unavailable, working, last).Call(t.Context(), "work", "/", nil, &handledBy), ErrSelf, "the caller is the second router")
	require.ErrorIs(t, newCaller(t, "alone").Call(t.Context(), "work", "/", nil, &handledBy), ErrSelf, "no records")
	require.ErrorIs(t, newCaller(t, "far", unavailable).Call(t.Context(), "work", "/", nil, &handledBy), store.ErrUnavailable)

	c := newCaller(t, "last", unknown, working, last)
	require.ErrorIs(t, c.Call(t.Context(), "work", "/", nil, &handledBy), store.ErrUnknown, "the first router may have executed the call")
	require.NoError(t, c.Call(t.Context(), "work", "/", nil, &handledBy), "the first router is in backoff")
	c.ResetBackoff()
	require.ErrorIs(t, c.Call(t.Context(), "work", "/", nil, &handledBy), store.ErrUnknown, "the backoff of the first router was reset")
}
