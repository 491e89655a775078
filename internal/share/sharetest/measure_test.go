package sharetest

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sync/errgroup"
)

const (
	seeds    = 5
	parallel = 4
)

// measure plays a scenario over several seeds.
func measure(s Scenario, strategy Strategy) (sum Result) {
	for seed := range uint64(seeds) {
		s.Seed = seed
		sum.Add(Run(s, strategy))
	}
	return sum
}

func falsePercent(r Result) float64 {
	return 100 * float64(r.FalseRefusals) / float64(r.Requests)
}

// cell shows false refusals, stranded tokens and calls per request.
func cell(r Result) string {
	calls := float64(r.ShareCalls) / float64(r.Requests)
	return fmt.Sprintf("%5.2f%% %4.1f%% %.2f", falsePercent(r), 100*r.Stranded/seeds, calls)
}

// row is a scenario with the results of the strategies.
type row struct {
	Scenario
	caution, availability, split, ask Result
}

func scenarios() (rows []*row) {
	for _, drawing := range []Drawing{Steady, Bursty, OneLarge} {
		for _, fault := range []Fault{Healthy, Partition, Outage, TopUp, Dead, Restarted, Paused} {
			for _, supply := range []float64{1.5, 0.7} {
				rows = append(rows, &row{Scenario: Scenario{Drawing: drawing, Fault: fault, Supply: supply}})
			}
		}
	}
	return rows
}

// TestMeasureFalseRefusals prints and bounds the false refusals of shares and
// of the baselines. Shares at caution are to refuse falsely no more than
// asking for each request; shares at availability no more than an equal split,
// and through faults of the network no more than asking for each request.
func TestMeasureFalseRefusals(t *testing.T) {
	rows := scenarios()
	var g errgroup.Group
	g.SetLimit(parallel)
	for _, r := range rows {
		g.Go(func() error {
			r.caution = measure(r.Scenario, Shares(0, ShortLifetime))
			r.availability = measure(r.Scenario, Shares(1, LongLifetime))
			r.split = measure(r.Scenario, StaticSplit(LongLifetime))
			r.ask = measure(r.Scenario, AskEach(LongLifetime))
			return nil
		})
	}
	assert.NoError(t, g.Wait())
	t.Logf("false refusals of all requests, prepaid tokens stranded, store calls per request; seeds 0 to %d", seeds-1)
	t.Logf("| drawing | fault | supply | caution | availability | equal split | ask for each |")
	for _, r := range rows {
		t.Logf("| %s | %s | %.1f | %s | %s | %s | %s |", r.Drawing, r.Fault, r.Supply,
			cell(r.caution), cell(r.availability), cell(r.split), cell(r.ask))
		r.check(t)
	}
}

// deadAllowance is how much worse shares may be than a baseline, in percent of
// all requests, where tokens of a holder that stopped are out of reach until
// its share's lifetime is over.
const deadAllowance = 1.0

func (r *row) check(t *testing.T) {
	name := fmt.Sprint(r.Scenario)
	for _, result := range []Result{r.caution, r.availability, r.split, r.ask} {
		assert.Zero(t, result.Overspend, name)
		assert.NoError(t, result.Err, name)
	}
	allowance := 0.0
	if r.Fault == Dead || r.Fault == Paused {
		allowance = deadAllowance
	}
	assert.LessOrEqual(t, falsePercent(r.caution), falsePercent(r.ask)+allowance, name)
	assert.LessOrEqual(t, falsePercent(r.availability), falsePercent(r.split)+allowance, name)
	switch r.Fault {
	case Healthy:
		assert.Zero(t, r.caution.FalseRefusals, name)
		assert.Zero(t, r.availability.FalseRefusals, name)
	case Partition, Outage, TopUp:
		assert.LessOrEqual(t, falsePercent(r.availability), falsePercent(r.ask), name)
	}
}

// TestMeasureLean prints what the lean towards availability and the lifetime
// of shares trade, over all patterns of drawing.
func TestMeasureLean(t *testing.T) {
	faults := []Fault{Healthy, Partition, Outage, Dead, Restarted}
	type point struct {
		lean     float64
		lifetime time.Duration
		cells    [2][]Result // for ample and short supply
	}
	var points []*point
	for _, lifetime := range []time.Duration{ShortLifetime, 5 * time.Minute, LongLifetime} {
		for _, lean := range []float64{0, 0.25, 0.5, 0.75, 1} {
			points = append(points, &point{lean: lean, lifetime: lifetime})
		}
	}
	var g errgroup.Group
	g.SetLimit(parallel)
	for _, p := range points {
		g.Go(func() error {
			for i, supply := range []float64{1.5, 0.7} {
				for _, fault := range faults {
					var sum Result
					for _, drawing := range []Drawing{Steady, Bursty, OneLarge} {
						sum.Add(Run(Scenario{Drawing: drawing, Fault: fault, Supply: supply, Seed: 1}, Shares(p.lean, p.lifetime)))
					}
					p.cells[i] = append(p.cells[i], sum)
				}
			}
			return nil
		})
	}
	assert.NoError(t, g.Wait())
	t.Logf("false refusals in percent at supply 1.5 / 0.7, calls per request when healthy; seed 1, sum of three drawings")
	t.Logf("| lifetime | lean | %v | calls |", faults)
	for _, p := range points {
		line := fmt.Sprintf("| %v | %.2f |", p.lifetime, p.lean)
		for i := range faults {
			ample, short := p.cells[0][i], p.cells[1][i]
			line += fmt.Sprintf(" %.2f / %.2f |", falsePercent(ample), falsePercent(short))
			assert.Zero(t, ample.Overspend+short.Overspend)
			assert.NoError(t, ample.Err)
			assert.NoError(t, short.Err)
		}
		healthy := p.cells[0][0]
		t.Logf("%s %.2f |", line, float64(healthy.ShareCalls)/float64(healthy.Requests))
	}
}

// TestMeasureReserveAhead prints how a budget fares that is served in one
// failure domain only, when its callers change to another domain while the
// store is out of reach.
func TestMeasureReserveAhead(t *testing.T) {
	s := Scenario{Drawing: OneDomain, Fault: Failover, Supply: 1.5}
	caution, availability := measure(s, Shares(0, ShortLifetime)), measure(s, Shares(1, LongLifetime))
	without := Shares(1, LongLifetime)
	without.policy.SpreadDomains = false
	none := measure(s, without)
	t.Logf("false refusals, stranded, calls per request: caution %s, availability %s, availability without reserves in other domains %s",
		cell(caution), cell(availability), cell(none))
	assert.Less(t, availability.FalseRefusals, none.FalseRefusals)
	assert.Zero(t, caution.Overspend+availability.Overspend)
}

// TestFaultSchedules plays schedules of several faults and lost answers, with
// short share lifetimes, so that shares are reclaimed from holders that still
// spend them.
func TestFaultSchedules(t *testing.T) {
	const schedules, lifetime = 1000, 15 * time.Second
	results := make([]Result, schedules)
	drawings := []Drawing{Steady, Bursty, OneLarge}
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range results {
		g.Go(func() error {
			s := Scenario{Drawing: drawings[i%3], Fault: Mixed, Supply: 0.6, Seed: uint64(i), Length: 2 * time.Minute}
			results[i] = Run(s, Shares(float64(i%5)/4, lifetime))
			return nil
		})
	}
	assert.NoError(t, g.Wait())
	var sum Result
	for seed, r := range results {
		assert.Zero(t, r.Overspend, "seed %d", seed)
		assert.NoError(t, r.Err, "seed %d", seed)
		sum.Add(r)
	}
	t.Logf("%d schedules: %+v", schedules, sum)
	assert.Positive(t, sum.Wasted, "no holder spent a reclaimed share")
}
