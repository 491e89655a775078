package wallet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// fault is what befalls one op on its way to the page and back.
type fault int

const (
	healthy fault = iota
	unavailable
	lostBefore // ErrUnknown, not applied
	lostAfter  // ErrUnknown, applied
)

// pageLedger applies ops to one page. fault, if set, decides on each op; gate,
// if set, holds ops back until it is closed.
type pageLedger struct {
	mu    sync.Mutex
	page  ledger.Page
	ops   []ledger.Op
	fault func(op ledger.Op) fault
	gate  chan struct{}
	delay bool  // ops take a millisecond
	done  error // of the last check of the page
}

func (l *pageLedger) Apply(_ context.Context, op ledger.Op) (result ledger.Result, err error) {
	if l.gate != nil {
		<-l.gate
	}
	if l.delay {
		time.Sleep(time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
	f := healthy
	if l.fault != nil {
		f = l.fault(op)
	}
	switch f {
	case unavailable:
		return result, fmt.Errorf("test: %w", store.ErrUnavailable)
	case lostBefore:
		return result, fmt.Errorf("test: %w", store.ErrUnknown)
	}
	result = l.page.Apply(op, time.Unix(0, 0))
	if l.done == nil {
		l.done = l.page.Check()
	}
	if f == lostAfter {
		return ledger.Result{}, fmt.Errorf("test: %w", store.ErrUnknown)
	}
	return result, nil
}

func (l *pageLedger) share(h ident.Incarnation) (s ledger.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.page.Budgets[budget]; b != nil && b.Shares[h] != nil {
		s = *b.Shares[h]
	}
	return s
}

func (l *pageLedger) setFault(f func(ledger.Op) fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// fleet is some wallets that reach each other.
type fleet map[ident.Incarnation]*Wallet

func (f fleet) Recall(ctx context.Context, h ident.Incarnation, b ident.Budget, want tokens.Count) (tokens.Count, error) {
	w := f[h]
	if w == nil {
		return 0, fmt.Errorf("no holder %s", h)
	}
	return w.GiveBack(ctx, b, want), nil
}

const budget ident.Budget = "parish"

func funding(n tokens.Count) ledger.Funding {
	return ledger.Funding{Customer: "office", Prepaid: n, Revision: 1}
}

// newFleet returns wallets a, b, c ... over one page.
func newFleet(t *testing.T, n int) (fleet, *pageLedger) {
	return fleetOver(t, n, new(pageLedger))
}

func fleetOver(t *testing.T, n int, l *pageLedger) (fleet, *pageLedger) {
	f := make(fleet)
	for i := range n {
		id := ident.Incarnation(rune('a' + i))
		f[id] = New(Settings{
			Holder: id, Ledger: l, Peers: f, Live: func() int { return n }, Clock: time.Now,
			Policy: func() configuration.Policy { return configuration.Policy{RefusalAllowanceMillis: 500} },
		})
	}
	t.Cleanup(func() {
		for _, w := range f {
			_ = w.Close(context.Background())
		}
		require.NoError(t, l.done)
	})
	return f, l
}

func reserve(w *Wallet, prepaid, n tokens.Count) (*Reservation, error) {
	return w.Reserve(context.Background(), time.Now(), Request{Budget: budget, Funding: funding(prepaid), Tokens: n})
}

// warm lets w draw a share for a request that is not billed.
func warm(t *testing.T, w *Wallet, prepaid, n tokens.Count) {
	r, err := reserve(w, prepaid, n)
	require.NoError(t, err)
	r.Release()
}
