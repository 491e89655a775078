package collector

import (
	"time"

	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/ident"
)

// process identifies a process of an upstream.
type process struct {
	upstream    ident.Upstream
	incarnation string
}

func processOf(s load.Sample) process { return process{s.Upstream, s.Incarnation} }

// sum joins samples of several routers, to one for each process of an upstream.
type sum struct {
	samples []load.Sample
	index   map[process]int // in samples
}

// newSum returns an empty sum with room for the given number of processes.
func newSum(rows int) *sum {
	return &sum{samples: make([]load.Sample, 0, rows), index: make(map[process]int, rows)}
}

func (t *sum) add(samples []load.Sample) {
	for _, s := range samples {
		if i, ok := t.index[processOf(s)]; ok {
			t.samples[i] = t.samples[i].Join(s)
			continue
		}
		t.index[processOf(s)] = len(t.samples)
		t.samples = append(t.samples, s)
	}
}

// without returns total without the requests, tokens and events of own, which are included in it.
// Samples of own that total lacks were dropped as one of little load.
func without(total, own []load.Sample) (rest []load.Sample) {
	byProcess := make(map[process]load.Sample, len(own))
	for _, s := range own {
		byProcess[processOf(s)] = s
	}
	for _, s := range total {
		if o, ok := byProcess[processOf(s)]; ok {
			s = subtract(s, o)
		}
		if s.InFlight != 0 || s.UnreadTokens != 0 || s.Events != 0 || !s.Report.At.IsZero() {
			rest = append(rest, s)
		}
	}
	return rest
}

// subtract is the reverse of load.Sample.Join, but for the report.
func subtract(s, o load.Sample) load.Sample {
	s.InFlight = max(s.InFlight-o.InFlight, 0)
	s.UnreadTokens = max(s.UnreadTokens-o.UnreadTokens, 0)
	events := max(s.Events-o.Events, 0)
	if events == 0 {
		s.Pace, s.Events = 0, 0
		return s
	}
	s.Pace = max(time.Duration((float64(s.Pace)*float64(s.Events)-float64(o.Pace)*float64(o.Events))/float64(events)), 0)
	s.Events = events
	return s
}
