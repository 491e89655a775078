package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// BenchmarkReading decodes the book of a service of n engines, as each router
// does in each round, and reports its bytes, without an order outstanding and
// with one for each engine.
func BenchmarkReading(b *testing.B) {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	for _, outstanding := range []bool{false, true} {
		for _, engines := range []int{11, 110, 1_100} {
			b.Run(fmt.Sprintf("outstanding=%t/engines=%d", outstanding, engines), func(b *testing.B) {
				book := new(Book)
				number := book.TakeOver("entry-0123456789")
				for i := range engines {
					up := ident.Upstream(fmt.Sprintf("llm-%04d", i))
					o := engine.Order{Kind: engine.OrderLoadModel, Model: "test-model", Version: "1"}
					_, err := book.Intend(number, up, o, Basis{Load: engine.Load{AsOf: now}, ChecksFencing: true, Now: now})
					require.NoError(b, err)
					if !outstanding {
						shown := engine.Load{AsOf: now.Add(time.Second), LoadedModels: []engine.LoadedModel{{Model: "test-model", Version: "1"}}}
						book.Resolve(up, shown)
					}
				}
				data, err := book.Encode()
				require.NoError(b, err)
				for b.Loop() {
					_, err := Decode(data)
					require.NoError(b, err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			})
		}
	}
}
