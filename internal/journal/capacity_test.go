package journal

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"example.org/lagoonfork/pkg/ident"
)

// BenchmarkMemory reports the heap bytes per request of a journal with eight
// decisions on each request.
func BenchmarkMemory(b *testing.B) {
	for _, requests := range []int{1_000, 3_000, 10_000} {
		b.Run(fmt.Sprint(requests), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				j := New(requests)
				for i := range requests {
					id := ident.Request(fmt.Sprintf("r.%024x", i))
					for n := range 8 {
						j.Record(time.Time{}, id, "route", fmt.Sprintf("upstream llm-%04d: shortest queue %d", i, n))
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(requests), "B/request")
				runtime.KeepAlive(j)
			}
		})
	}
}
