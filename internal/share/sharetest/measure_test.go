package sharetest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

const seeds = 5

// measure plays a scenario over several seeds.
func measure(s Scenario, strategy Strategy) (sum Result) {
	for seed := range uint64(seeds) {
		s.Seed = seed
		sum.Add(Run(s, strategy))
	}
	return sum
}

func cell(r Result) string {
	part := 100 * float64(r.FalseRefusals) / float64(r.Requests)
	return fmt.Sprintf("%.2f%% %.1f%% %.2f", part, 100*r.Stranded/seeds, float64(r.ShareCalls)/float64(r.Requests))
}

func TestMeasureFalseRefusals(t *testing.T) {
	t.Logf("false refusals as part of all requests, store calls per request beside; seeds 0 to %d", seeds-1)
	t.Logf("| drawing | fault | supply | caution | availability | equal split | ask for each |")
	for _, drawing := range []Drawing{Steady, Bursty, OneLarge} {
		for _, fault := range []Fault{Healthy, Partition, Outage, TopUp, Dead, Restarted, Paused} {
			for _, supply := range []float64{1.5, 0.7} {
				s := Scenario{Drawing: drawing, Fault: fault, Supply: supply}
				caution, availability := measure(s, Shares(0, ShortLifetime)), measure(s, Shares(1, LongLifetime))
				split, ask := measure(s, StaticSplit(LongLifetime)), measure(s, AskEach(LongLifetime))
				t.Logf("| %s | %s | %.1f | %s | %s | %s | %s | wasted %d %d %d %d", drawing, fault, supply,
					cell(caution), cell(availability), cell(split), cell(ask), caution.Wasted, availability.Wasted, split.Wasted, ask.Wasted)
				for _, r := range []Result{caution, availability, split, ask} {
					assert.Zero(t, r.Overspend)
					assert.NoError(t, r.Err)
				}
			}
		}
	}
}
