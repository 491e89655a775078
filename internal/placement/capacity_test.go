package placement

import (
	"fmt"
	"testing"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// BenchmarkPlan plans the placement of 16 models on engines that have one model each.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{11, 110, 1_100} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var models []Model
			for i := range 16 {
				models = append(models, Model{LoadedModel: unversioned(fmt.Sprint("model-", i)), Demand: float64(i)})
			}
			upstreams := make([]Upstream, engines)
			p := New(Policy{})
			now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
			for b.Loop() {
				for i := range upstreams {
					upstreams[i] = Upstream{ID: ident.Upstream(fmt.Sprint(i)), Domain: ident.FailureDomain(fmt.Sprint(i % 14)),
						Assured: []engine.LoadedModel{models[i%16].LoadedModel}}
				}
				now = now.Add(time.Second)
				p.Plan(now, models, upstreams)
			}
		})
	}
}
