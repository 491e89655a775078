package sharetest

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// Row is a scenario with the summed results of each strategy.
type Row struct {
	Scenario
	Caution, Availability, Split, Ask Result
}

// Point contains the results of an availability and a share lifetime for each fault, with
// ample and with short supply, summed over the patterns of request arrivals.
type Point struct {
	Availability float64
	Lifetime     time.Duration
	Ample        []Result
	Short        []Result
}

const (
	ampleSupply     = 1.5
	shortSupply     = 0.7
	maxParallelRuns = 4
)

func drawings() []Drawing {
	return []Drawing{Steady, Bursty, OneLarge}
}

// Measure simulates a scenario with the seeds from 0 to n-1 and returns the sum
// of the results.
func Measure(s Scenario, strategy Strategy, n uint64) (sum Result) {
	for s.Seed = range n {
		sum.Add(Run(s, strategy))
	}
	return sum
}

// CompareStrategies measures shares and the baseline strategies in all scenarios,
// each with the seeds from 0 to n-1.
func CompareStrategies(n uint64) []Row {
	var rows []Row
	for _, drawing := range drawings() {
		for _, fault := range []Fault{Healthy, Partition, Outage, TopUp, Dead, Restarted, Paused} {
			for _, supply := range []float64{ampleSupply, shortSupply} {
				rows = append(rows, Row{Scenario: Scenario{Drawing: drawing, Fault: fault, Supply: supply}})
			}
		}
	}
	forEachParallel(rows, func(r *Row) {
		r.Caution = Measure(r.Scenario, Shares(0, ShortLifetime), n)
		r.Availability = Measure(r.Scenario, Shares(1, LongLifetime), n)
		r.Split = Measure(r.Scenario, StaticSplit(LongLifetime), n)
		r.Ask = Measure(r.Scenario, AskEach(LongLifetime), n)
	})
	return rows
}

// MeasureTradeoff measures shares with different availabilities and lifetimes under the
// given faults.
func MeasureTradeoff(faults []Fault, seed uint64) []Point {
	var points []Point
	for _, lifetime := range []time.Duration{ShortLifetime, LongLifetime} {
		for _, availability := range []float64{0, 0.25, 0.5, 0.75, 1} {
			points = append(points, Point{Availability: availability, Lifetime: lifetime})
		}
	}
	forEachParallel(points, func(p *Point) {
		for _, fault := range faults {
			p.Ample = append(p.Ample, p.measureDrawings(fault, ampleSupply, seed))
			p.Short = append(p.Short, p.measureDrawings(fault, shortSupply, seed))
		}
	})
	return points
}

func (p *Point) measureDrawings(fault Fault, supply float64, seed uint64) (sum Result) {
	for _, drawing := range drawings() {
		s := Scenario{Drawing: drawing, Fault: fault, Supply: supply, Seed: seed}
		sum.Add(Run(s, Shares(p.Availability, p.Lifetime)))
	}
	return sum
}

// RunMixedFaults simulates n schedules of several faults with lost requests and
// responses. The share lifetime is so short that shares are reclaimed from
// holders that still spend them. The index of a result is its seed.
func RunMixedFaults(n int) []Result {
	const lifetime, length, levels = 15 * time.Second, 2 * time.Minute, 5
	results := make([]Result, n)
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	forEachParallel(seeds, func(seed *uint64) {
		drawing := drawings()[*seed%3]
		s := Scenario{Drawing: drawing, Fault: Mixed, Supply: shortSupply, Seed: *seed, Length: length}
		results[*seed] = Run(s, Shares(float64(*seed%levels)/(levels-1), lifetime))
	})
	return results
}

// forEachParallel calls f for each element, with at most maxParallelRuns calls
// at the same time.
func forEachParallel[T any](items []T, f func(*T)) {
	var g errgroup.Group
	g.SetLimit(maxParallelRuns)
	for i := range items {
		g.Go(func() error {
			f(&items[i])
			return nil
		})
	}
	_ = g.Wait()
}

// FalsePercent returns the percentage of requests that were falsely refused.
func (r Result) FalsePercent() float64 {
	return 100 * float64(r.FalseRefusals) / float64(r.Requests)
}

// CallsPerRequest returns the number of ShareCalls per request.
func (r Result) CallsPerRequest() float64 {
	return float64(r.ShareCalls) / float64(r.Requests)
}

// String returns the percentage of falsely refused requests, the mean percentage
// of stranded prepaid tokens, and the number of ShareCalls per request.
func (r Result) String() string {
	stranded := 100 * r.Stranded / float64(r.Runs)
	return fmt.Sprintf("%.2f %.1f %.2f", r.FalsePercent(), stranded, r.CallsPerRequest())
}
