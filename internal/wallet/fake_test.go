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

// fault is what happens to one op or its result.
type fault int

const (
	healthy fault = iota
	unavailable
	lostBefore // ErrUnknown, not applied
	lostAfter  // ErrUnknown, applied
)

// pageLedger applies ops to one page. If fault is set, it chooses the fault of each
// op. If gate is set, ops block until it is closed.
type pageLedger struct {
	mu       sync.Mutex
	page     ledger.Page
	ops      []ledger.Op
	fault    func(op ledger.Op) fault
	gate     chan struct{}
	delay    bool  // each op takes one millisecond
	checkErr error // first failure of Page.Check
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
	if l.checkErr == nil {
		l.checkErr = l.page.Check()
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

// fleet is a set of wallets that can recall tokens from each other.
type fleet map[ident.Incarnation]*Wallet

func (f fleet) Recall(ctx context.Context, h ident.Incarnation, b ident.Budget, want tokens.Count) (tokens.Count, error) {
	w := f[h]
	if w == nil {
		return 0, fmt.Errorf("no holder %s", h)
	}
	return w.ReturnTokens(ctx, b, want), nil
}

const budget ident.Budget = "parish"

func funding(n tokens.Count) ledger.Funding {
	return ledger.Funding{Customer: "office", Prepaid: n, Revision: 1}
}

// newFleet returns n wallets, named a, b, c and so on, that share one page.
func newFleet(t *testing.T, n int) (fleet, *pageLedger) {
	return newFleetWithLedger(t, n, new(pageLedger))
}

func newFleetWithLedger(t *testing.T, n int, l *pageLedger) (fleet, *pageLedger) {
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
		require.NoError(t, l.checkErr)
	})
	return f, l
}

func reserve(w *Wallet, prepaid, n tokens.Count) (*Reservation, error) {
	return w.Reserve(context.Background(), time.Now(), Request{Budget: budget, Funding: funding(prepaid), Tokens: n})
}

// drawShare makes w draw a share by reserving n tokens and releasing them.
func drawShare(t *testing.T, w *Wallet, prepaid, n tokens.Count) {
	r, err := reserve(w, prepaid, n)
	require.NoError(t, err)
	r.Release()
}
