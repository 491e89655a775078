package sharetest

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// Row is a scenario with the sums of its runs under each strategy.
type Row struct {
	Scenario
	Caution, Availability, Split, Ask Result
}

// Point is what a lean and a share lifetime lead to, for each fault and with
// ample and short supply, summed over the patterns of drawing.
type Point struct {
	Lean     float64
	Lifetime time.Duration
	Ample    []Result
	Short    []Result
}

const (
	ampleSupply = 1.5
	shortSupply = 0.7
	parallel    = 4 // runs at once
)

func drawings() []Drawing {
	return []Drawing{Steady, Bursty, OneLarge}
}

// Measure plays a scenario with the seeds below n.
func Measure(s Scenario, strategy Strategy, n uint64) (sum Result) {
	for s.Seed = range n {
		sum.Add(Run(s, strategy))
	}
	return sum
}

// Rows compares shares with the baselines, with the seeds below n.
func Rows(n uint64) []Row {
	var rows []Row
	for _, drawing := range drawings() {
		for _, fault := range []Fault{Healthy, Partition, Outage, TopUp, Dead, Restarted, Paused} {
			for _, supply := range []float64{ampleSupply, shortSupply} {
				rows = append(rows, Row{Scenario: Scenario{Drawing: drawing, Fault: fault, Supply: supply}})
			}
		}
	}
	each(rows, func(r *Row) {
		r.Caution = Measure(r.Scenario, Shares(0, ShortLifetime), n)
		r.Availability = Measure(r.Scenario, Shares(1, LongLifetime), n)
		r.Split = Measure(r.Scenario, StaticSplit(LongLifetime), n)
		r.Ask = Measure(r.Scenario, AskEach(LongLifetime), n)
	})
	return rows
}

// Curve measures what leans and lifetimes trade under the given faults.
func Curve(faults []Fault, seed uint64) []Point {
	var points []Point
	for _, lifetime := range []time.Duration{ShortLifetime, LongLifetime} {
		for _, lean := range []float64{0, 0.25, 0.5, 0.75, 1} {
			points = append(points, Point{Lean: lean, Lifetime: lifetime})
		}
	}
	each(points, func(p *Point) {
		for _, fault := range faults {
			p.Ample = append(p.Ample, p.sum(fault, ampleSupply, seed))
			p.Short = append(p.Short, p.sum(fault, shortSupply, seed))
		}
	})
	return points
}

func (p *Point) sum(fault Fault, supply float64, seed uint64) (sum Result) {
	for _, drawing := range drawings() {
		s := Scenario{Drawing: drawing, Fault: fault, Supply: supply, Seed: seed}
		sum.Add(Run(s, Shares(p.Lean, p.Lifetime)))
	}
	return sum
}

// Schedules plays n schedules of several faults and lost answers, with share
// lifetimes so short that shares are reclaimed from holders that still spend
// them. The index of a result is its seed.
func Schedules(n int) []Result {
	const lifetime, length, leans = 15 * time.Second, 2 * time.Minute, 5
	results := make([]Result, n)
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	each(seeds, func(seed *uint64) {
		drawing := drawings()[*seed%3]
		s := Scenario{Drawing: drawing, Fault: Mixed, Supply: shortSupply, Seed: *seed, Length: length}
		results[*seed] = Run(s, Shares(float64(*seed%leans)/(leans-1), lifetime))
	})
	return results
}

// each calls f with each element, a few at once.
func each[T any](all []T, f func(*T)) {
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range all {
		g.Go(func() error {
			f(&all[i])
			return nil
		})
	}
	_ = g.Wait()
}

// FalsePercent returns the false refusals in percent of all requests.
func (r Result) FalsePercent() float64 {
	return 100 * float64(r.FalseRefusals) / float64(r.Requests)
}

// CallsPerRequest returns the calls to the store for shares by request.
func (r Result) CallsPerRequest() float64 {
	return float64(r.ShareCalls) / float64(r.Requests)
}

// String shows the false refusals in percent, the prepaid tokens stranded in
// percent, and the calls by request.
func (r Result) String() string {
	stranded := 100 * r.Stranded / float64(r.Runs)
	return fmt.Sprintf("%.2f %.1f %.2f", r.FalsePercent(), stranded, r.CallsPerRequest())
}
