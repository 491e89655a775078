package committer

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
)

// benchmarkPages is the number of pages, and of budgets, of BenchmarkBacklog.
const benchmarkPages = 16

// BenchmarkBacklog reports what bills that wait for the end of an outage hold
// of memory, and the writes that they take afterwards. The service answers in
// two milliseconds.
func BenchmarkBacklog(b *testing.B) {
	for _, bills := range []int{1_000, 4_000, 16_000} {
		b.Run(fmt.Sprintf("bills=%d", bills), func(b *testing.B) {
			for b.Loop() {
				service := keyvalue.New(keyvalue.Settings{})
				c := New(Settings{Store: service.Client(), Pages: benchmarkPages, Clock: clock, Seed: 1})
				budgets := drawn(b, c)
				service.SetFaults(keyvalue.Faults{Outage: true})
				before := heap()
				var written sync.WaitGroup
				written.Add(bills)
				for i := range bills {
					id := ident.Request(fmt.Sprintf("request-%016x", i))
					op := settling(claim(id, "h", 1), false)
					op.Budget = budgets[i%len(budgets)]
					c.Push(op, func(ledger.Result) { written.Done() })
				}
				b.ReportMetric(float64(heap()-before)/float64(bills), "B/bill")
				writes := service.Counts().Writes
				service.SetFaults(keyvalue.Faults{Delay: 2 * time.Millisecond})
				written.Wait()
				b.ReportMetric(float64(service.Counts().Writes-writes), "writes")
				closeAll(b, c)
			}
		})
	}
}

// drawn draws on one budget of each page and returns the budgets.
func drawn(b *testing.B, c *Committer) (budgets []ident.Budget) {
	for i := 0; len(budgets) < benchmarkPages; i++ {
		id := ident.Budget(fmt.Sprint("budget-", i))
		if ledger.Index(id, benchmarkPages) != len(budgets) {
			continue
		}
		op := draw("h", 1, 1<<30)
		op.Budget, op.Draw.Funding.Prepaid = id, 1<<40
		_, err := c.Apply(context.Background(), op)
		require.NoError(b, err)
		budgets = append(budgets, id)
	}
	return budgets
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
