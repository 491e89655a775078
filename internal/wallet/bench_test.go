package wallet

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// unlimitedLedger grants every draw in full.
type unlimitedLedger struct{}

func (unlimitedLedger) Apply(_ context.Context, op ledger.Op) (ledger.Result, error) {
	if op.Draw != nil {
		return ledger.Result{Outcome: ledger.Applied, Granted: op.Draw.Want, Free: 1 << 40}, nil
	}
	return ledger.Result{Outcome: ledger.Applied, Granted: op.Return.Tokens, Free: 1 << 40}, nil
}

// benchmarkWallet returns a wallet with shares of n budgets, and the number of heap
// bytes per budget.
func benchmarkWallet(b *testing.B, n int) (w *Wallet, requests []Request, now time.Time, size float64) {
	now = time.Now()
	w = New(Settings{
		Holder: "a", Ledger: unlimitedLedger{}, Peers: fleet{}, Live: func() int { return 9 },
		Clock:  func() time.Time { return now },
		Policy: func() configuration.Policy { return configuration.Policy{} },
	})
	b.Cleanup(func() { _ = w.Close(context.Background()) })
	requests = make([]Request, n)
	for i := range requests {
		requests[i] = Request{Budget: ident.Budget(fmt.Sprint("budget", i)), Funding: funding(1 << 40), Tokens: 100}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 2 {
		for _, request := range requests {
			r, err := w.Reserve(context.Background(), now, request)
			if err != nil {
				b.Fatal(err)
			}
			r.Release()
		}
	}
	w.Maintain(context.Background(), now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return w, requests, now, float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

func runForBudgetCounts(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range []int{1_600, 16_000, 160_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, n) })
	}
}

func BenchmarkReserveSettle(b *testing.B) {
	runForBudgetCounts(b, func(b *testing.B, n int) {
		w, requests, now, size := benchmarkWallet(b, n)
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			r, err := w.Reserve(context.Background(), now, requests[i%n])
			if err != nil {
				b.Fatal(err)
			}
			r.Release() // does the work of Settle without using up the share
			i += 7919
		}
		b.ReportMetric(size, "B/budget")
	})
}

// BenchmarkMaintain measures a call of Maintain that has nothing to do.
func BenchmarkMaintain(b *testing.B) {
	runForBudgetCounts(b, func(b *testing.B, n int) {
		w, _, now, _ := benchmarkWallet(b, n)
		b.ReportAllocs()
		for b.Loop() {
			w.Maintain(context.Background(), now)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/budget")
	})
}
