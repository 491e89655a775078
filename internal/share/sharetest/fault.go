package sharetest

import (
	"math/rand/v2"
	"time"
)

// span is a part of a run.
type span struct {
	from, to time.Duration
}

func (s span) contains(t time.Duration) bool {
	return s.from <= t && t < s.to
}

// cut keeps the holders of a failure domain, or all of them, from the store.
type cut struct {
	span
	domain int // everyone for an outage
}

const everyone = -1

// halt stops a holder. A dead one does not come back.
type halt struct {
	span
	holder int
}

// schedule is the faults of one run.
type schedule struct {
	cuts    []cut
	halts   []halt
	restart bool // a halted holder's successor proves it dead
	topUps  []time.Duration
	lost    float64 // probability that an answer of the store is lost
}

// faults returns the schedule of a scenario.
func (s Scenario) faults(rng *rand.Rand) (f schedule) {
	at := func(part float64) time.Duration { return time.Duration(part * float64(s.Length)) }
	lasting := func(from, d time.Duration) span { return span{from, from + d} }
	switch s.Fault {
	case Partition:
		f.cuts = []cut{{lasting(at(0.6), time.Minute), 0}}
	case Outage:
		f.cuts = []cut{{lasting(at(0.4), 10*time.Minute), everyone}}
	case TopUp:
		f.cuts = []cut{{lasting(at(0.6), 4*time.Minute), 0}}
		f.topUps = []time.Duration{at(0.7)}
	case Dead:
		f.halts = []halt{{span{at(0.6), 2 * s.Length}, 0}}
	case Restarted:
		f.halts = []halt{{lasting(at(0.6), restartTime), 0}}
		f.restart = true
	case Failover:
		f.cuts = []cut{{lasting(at(0.6), time.Minute), everyone}}
		for i := range holderCount / domainCount {
			f.halts = append(f.halts, halt{lasting(at(0.6), time.Minute), i * domainCount})
		}
	case Paused:
		f.halts = []halt{{lasting(at(0.6), 2*time.Minute), 0}}
	case Mixed:
		f.mix(rng, s.Length)
	}
	return f
}

func (f *schedule) mix(rng *rand.Rand, length time.Duration) {
	random := func() span {
		from := time.Duration(rng.Float64() * float64(length))
		return span{from, from + time.Duration(rng.ExpFloat64()*float64(length)/4)}
	}
	for range 1 + rng.IntN(3) {
		f.cuts = append(f.cuts, cut{random(), rng.IntN(domainCount+1) - 1})
		f.halts = append(f.halts, halt{random(), rng.IntN(holderCount)})
		f.topUps = append(f.topUps, random().from)
	}
	f.lost = 0.2 * rng.Float64()
}

// reaches reports whether a holder reaches the store.
func (f schedule) reaches(holder int, t time.Duration) bool {
	for _, c := range f.cuts {
		if c.contains(t) && (c.domain == everyone || c.domain == holder%domainCount) {
			return false
		}
	}
	return true
}

// halted reports whether a holder is dead or paused.
func (f schedule) halted(holder int, t time.Duration) bool {
	for _, h := range f.halts {
		if h.holder == holder && h.contains(t) {
			return true
		}
	}
	return false
}
