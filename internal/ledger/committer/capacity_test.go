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

// BenchmarkBacklog measures the memory per bill that is pending during an
// outage, and the number of writes after it. The key-value service has a delay
// of two milliseconds.
func BenchmarkBacklog(b *testing.B) {
	for _, bills := range []int{1_000, 4_000, 16_000} {
		b.Run(fmt.Sprintf("bills=%d", bills), func(b *testing.B) {
			for b.Loop() {
				service := keyvalue.New(keyvalue.Settings{})
				c := New(Settings{Store: service.Client(), Pages: benchmarkPages, Clock: clock, Seed: 1})
				budgets := drawOnEachPage(b, c)
				service.SetFaults(keyvalue.Faults{Outage: true})
				before := heapInUse()
				var written sync.WaitGroup
				written.Add(bills)
				for i := range bills {
					id := ident.Request(fmt.Sprintf("request-%016x", i))
					op := settleOp(claim(id, "h", 1), false)
					op.Budget = budgets[i%len(budgets)]
					c.Push(op, func(ledger.Result) { written.Done() })
				}
				b.ReportMetric(float64(heapInUse()-before)/float64(bills), "B/bill")
				writes := service.Counts().Writes
				service.SetFaults(keyvalue.Faults{Delay: 2 * time.Millisecond})
				written.Wait()
				b.ReportMetric(float64(service.Counts().Writes-writes), "writes")
				closeAll(b, c)
			}
		})
	}
}

// drawOnEachPage draws from one budget on each page and returns the budgets.
func drawOnEachPage(b *testing.B, c *Committer) (budgets []ident.Budget) {
	for i := 0; len(budgets) < benchmarkPages; i++ {
		id := ident.Budget(fmt.Sprint("budget-", i))
		if ledger.PageIndex(id, benchmarkPages) != len(budgets) {
			continue
		}
		op := drawOp("h", 1, 1<<30)
		op.Budget, op.Draw.Funding.Prepaid = id, 1<<40
		_, err := c.Apply(context.Background(), op)
		require.NoError(b, err)
		budgets = append(budgets, id)
	}
	return budgets
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
