package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// BenchmarkReading measures decoding the state of a service with n engines, which
// each router does in each round, and reports the size of the state. It covers no
// outstanding orders and one outstanding order for each engine.
func BenchmarkReading(b *testing.B) {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	for _, outstanding := range []bool{false, true} {
		for _, engines := range []int{11, 110, 1_100} {
			b.Run(fmt.Sprintf("outstanding=%t/engines=%d", outstanding, engines), func(b *testing.B) {
				state := new(State)
				number := state.TakeOver("entry-0123456789")
				for i := range engines {
					up := ident.Upstream(fmt.Sprintf("llm-%04d", i))
					o := engine.Order{Kind: engine.OrderLoadModel, Model: "test-model", Version: "1"}
					_, err := state.RecordOrder(number, up, o, Basis{Load: engine.Load{AsOf: now}, ChecksFencing: true, Now: now})
					require.NoError(b, err)
					if !outstanding {
						shown := engine.Load{AsOf: now.Add(time.Second), LoadedModels: []engine.LoadedModel{{Model: "test-model", Version: "1"}}}
						state.Resolve(up, shown)
					}
				}
				data, err := state.Encode()
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
