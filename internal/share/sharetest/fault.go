package sharetest

import (
	"math/rand/v2"
	"time"
)

// interval is a half-open interval of time since the start of a run.
type interval struct {
	from, to time.Duration
}

func (s interval) contains(t time.Duration) bool {
	return s.from <= t && t < s.to
}

// partition disconnects the holders of one failure domain, or all holders, from
// the store.
type partition struct {
	interval
	domain int // index of the failure domain, or allDomains for an outage of the store
}

const allDomains = -1

// stop is an interval in which a holder does not run: it is paused or, if the
// interval extends beyond the run, dead.
type stop struct {
	interval
	holder int
}

// faultSchedule contains the faults of one run.
type faultSchedule struct {
	partitions   []partition
	stops        []stop
	hasSuccessor bool // a stopped holder is known to be dead once its successor has started
	topUps       []time.Duration
	responseLoss float64 // probability that a request to or a response of the store is lost
}

// newFaultSchedule returns the fault schedule of a scenario.
func (s Scenario) newFaultSchedule(rng *rand.Rand) (f faultSchedule) {
	at := func(fraction float64) time.Duration { return time.Duration(fraction * float64(s.Length)) }
	intervalOf := func(from, d time.Duration) interval { return interval{from, from + d} }
	switch s.Fault {
	case Partition:
		f.partitions = []partition{{intervalOf(at(0.6), time.Minute), 0}}
	case Outage:
		f.partitions = []partition{{intervalOf(at(0.4), 10*time.Minute), allDomains}}
	case TopUp:
		f.partitions = []partition{{intervalOf(at(0.6), 4*time.Minute), 0}}
		f.topUps = []time.Duration{at(0.7)}
	case Dead:
		f.stops = []stop{{interval{at(0.6), 2 * s.Length}, 0}}
	case Restarted:
		f.stops = []stop{{intervalOf(at(0.6), restartTime), 0}}
		f.hasSuccessor = true
	case Failover:
		f.partitions = []partition{{intervalOf(at(0.6), time.Minute), allDomains}}
		for i := range holderCount / domainCount {
			f.stops = append(f.stops, stop{intervalOf(at(0.6), time.Minute), i * domainCount})
		}
	case Paused:
		f.stops = []stop{{intervalOf(at(0.6), 2*time.Minute), 0}}
	case Mixed:
		f.addRandomFaults(rng, s.Length)
	}
	return f
}

func (f *faultSchedule) addRandomFaults(rng *rand.Rand, length time.Duration) {
	randomInterval := func() interval {
		from := time.Duration(rng.Float64() * float64(length))
		return interval{from, from + time.Duration(rng.ExpFloat64()*float64(length)/4)}
	}
	for range 1 + rng.IntN(3) {
		f.partitions = append(f.partitions, partition{randomInterval(), rng.IntN(domainCount+1) - 1})
		f.stops = append(f.stops, stop{randomInterval(), rng.IntN(holderCount)})
		f.topUps = append(f.topUps, randomInterval().from)
	}
	f.responseLoss = 0.2 * rng.Float64()
}

// reaches reports whether a holder can reach the store at t.
func (f faultSchedule) reaches(holder int, t time.Duration) bool {
	for _, p := range f.partitions {
		if p.contains(t) && (p.domain == allDomains || p.domain == holder%domainCount) {
			return false
		}
	}
	return true
}

// stopped reports whether a holder is dead or paused at t.
func (f faultSchedule) stopped(holder int, t time.Duration) bool {
	for _, s := range f.stops {
		if s.holder == holder && s.contains(t) {
			return true
		}
	}
	return false
}
