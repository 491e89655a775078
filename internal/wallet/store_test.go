package wallet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// TestOverCommitters has three routers spend a budget through the key-value service,
// which loses answers and writes and has an outage.
func TestOverCommitters(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const prepaid, requests tokens.Count = 10_000, 40
		service := keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now})
		service.SetFaults(keyvalue.Faults{Delay: 2 * time.Millisecond, ResponseLossProbability: 0.1, WriteLossProbability: 0.1})
		f, _ := newFleet(t, 3)
		var billed atomic.Int64
		var wg sync.WaitGroup
		for h, w := range f {
			c := committer.New(committer.Settings{Store: service.Client(), Clock: time.Now})
			w.Ledger = c
			defer func() { assert.NoError(t, c.Close(context.Background())) }()
			for i := range requests {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 200 * time.Millisecond)
					billed.Add(int64(spend(t, w, prepaid, ident.Request(fmt.Sprint(h, i)))))
				})
			}
		}
		wg.Go(func() {
			time.Sleep(3 * time.Second)
			service.SetFaults(keyvalue.Faults{Outage: true})
			time.Sleep(2 * time.Second)
			service.SetFaults(keyvalue.Faults{ResponseLossProbability: 0.1})
		})
		wg.Wait()
		for _, w := range f {
			require.NoError(t, w.Close(context.Background()))
		}
		page, err := f["a"].Ledger.(*committer.Committer).Page(context.Background(), 0)
		require.NoError(t, err)
		b := page.Budgets[budget]
		assert.EqualValues(t, billed.Load(), b.Settled)
		assert.Greater(t, b.Settled, prepaid*9/10)
		assert.Equal(t, prepaid, b.Settled+b.Free())
	})
}

// spend reserves, bills and settles one request, and returns its cost.
func spend(t *testing.T, w *Wallet, prepaid tokens.Count, id ident.Request) tokens.Count {
	const bound, cost tokens.Count = 300, 200
	r, err := reserve(w, prepaid, bound)
	if err != nil {
		return 0
	}
	claim := ledger.Claim{Request: id, Holder: w.Holder, Attempt: "1", Idempotent: true, Reserved: bound, Cost: cost}
	result, err := w.Ledger.Apply(context.Background(), ledger.Op{Budget: budget, Settle: &ledger.Settle{Claim: claim}})
	assert.NoError(t, err)
	assert.Equal(t, ledger.Applied, result.Outcome)
	r.Settle(cost)
	return cost
}
