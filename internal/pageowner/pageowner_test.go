package pageowner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"goji.io"
	"goji.io/pat"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// stubLedger returns the same result for every op, after a delay and with an
// optional error.
type stubLedger struct {
	err   error
	delay time.Duration
}

func (l stubLedger) ApplyLocal(_ context.Context, page int, ops []ledger.Op) (results []ledger.Result, err error) {
	time.Sleep(l.delay)
	for range ops {
		results = append(results, ledger.Result{Outcome: ledger.Applied, Granted: 7})
	}
	return results, l.err
}

func newServer(t *testing.T, l Ledger) netip.AddrPort {
	mux := goji.NewMux()
	mux.Handle(pat.Post(Path+":page"), Handler(l))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func newOwner(t *testing.T, self ident.VM, members ...membership.Record) *Client {
	o := New(Settings{Self: self, Members: func() []membership.Record { return members }, Clock: time.Now})
	t.Cleanup(o.Close)
	return o
}

var ops = []ledger.Op{{Budget: "b", Return: &ledger.Return{Holder: "h", Sequence: 1, Tokens: 1}}}

func TestApply(t *testing.T) {
	address := newServer(t, nil)
	tests := []struct {
		name   string
		ledger stubLedger
		want   error
	}{
		{"applied", stubLedger{}, nil},
		{"certainly not applied", stubLedger{err: fmt.Errorf("away: %w", store.ErrUnavailable)}, store.ErrUnavailable},
		{"perhaps applied", stubLedger{err: store.ErrUnknown}, store.ErrUnknown},
		{"no answer in time", stubLedger{delay: 2 * callTimeout}, store.ErrUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := newOwner(t, "self", membership.Record{VM: "other", Address: newServer(t, tt.ledger)})
			results, err := o.Apply(t.Context(), 0, ops)
			require.ErrorIs(t, err, tt.want)
			if tt.want == nil {
				assert.Equal(t, []ledger.Result{{Outcome: ledger.Applied, Granted: 7}}, results)
				return
			}
			_, err = o.Apply(t.Context(), 0, ops)
			require.ErrorIs(t, err, store.ErrUnavailable, "the failed owner is not called again for a while")
		})
	}
	response, err := http.Post("http://"+address.String()+Path+"x", "application/json", nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
}

func TestOwnPage(t *testing.T) {
	_, err := newOwner(t, "self").Apply(t.Context(), 0, ops)
	require.ErrorIs(t, err, committer.ErrLocalOwner, "no records")
	_, err = newOwner(t, "self", membership.Record{VM: "self"}).Apply(t.Context(), 0, ops)
	require.ErrorIs(t, err, committer.ErrLocalOwner)
}

func TestUnreachableOwner(t *testing.T) {
	s := httptest.NewServer(nil)
	s.Close()
	o := newOwner(t, "self", membership.Record{VM: "other", Address: netip.MustParseAddrPort(s.Listener.Addr().String())})
	_, err := o.Apply(t.Context(), 0, ops)
	require.ErrorIs(t, err, store.ErrUnavailable)
}
