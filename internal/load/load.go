// Package load describes the load of upstreams as one router sees it, and as a router knows it
// from all others. Fleets of many routers need it: each of them has few requests of its own on
// an upstream, and sees few of its responses.
//
// # Usage
//
//	view := load.NewView(samples of the other routers)
//	l, ok := view.Of(id, incarnation)
package load

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Report is what an upstream says about its load in a response. The zero value is no report.
type Report struct {
	At time.Time // when the response arrived
	// Running and Waiting are the numbers of requests on the upstream.
	Running, Waiting int
	// Slowdown is how long work takes at the moment as a multiple of the usual time, or 0 if
	// the upstream does not say.
	Slowdown float64
}

// Sample is the load of one upstream as one router sees it.
type Sample struct {
	Upstream ident.Upstream
	// Incarnation is that of the upstream. What is known of an earlier one says nothing.
	Incarnation string
	// InFlight is the number of the router's requests that have not ended, UnreadTokens the
	// number of their prompt tokens that are still to be prefilled.
	InFlight     int
	UnreadTokens tokens.Count
	// Report is the newest report that the router has received.
	Report Report
	// Pace is the mean time between events of streams, over Events events.
	Pace   time.Duration
	Events int
}

// key identifies a process of an upstream.
type key struct {
	upstream    ident.Upstream
	incarnation string
}

// View is the load of all upstreams as other routers see it. It does not change, and its methods
// are safe for concurrent use. A nil View is empty.
type View struct {
	samples map[key]Sample
}

// NewView returns the view that joins samples of several routers: sums of requests and tokens,
// the newest report, and the pace weighted by events.
func NewView(samples []Sample) *View {
	v := &View{samples: make(map[key]Sample, len(samples))}
	for _, s := range samples {
		k := key{upstream: s.Upstream, incarnation: s.Incarnation}
		if known, ok := v.samples[k]; ok {
			s = known.Join(s)
		}
		v.samples[k] = s
	}
	return v
}

// Join returns the sample of several routers that is made of s and another one of the same
// process.
func (s Sample) Join(other Sample) Sample {
	if events := s.Events + other.Events; events > 0 {
		s.Pace = time.Duration((float64(s.Pace)*float64(s.Events) + float64(other.Pace)*float64(other.Events)) / float64(events))
		s.Events = events
	}
	s.InFlight += other.InFlight
	s.UnreadTokens += other.UnreadTokens
	if other.Report.At.After(s.Report.At) {
		s.Report = other.Report
	}
	return s
}

// Of returns what is known of a process of an upstream, and whether anything is.
func (v *View) Of(id ident.Upstream, incarnation string) (s Sample, ok bool) {
	if v == nil {
		return s, false
	}
	s, ok = v.samples[key{upstream: id, incarnation: incarnation}]
	return s, ok
}

// Samples returns all samples of the view, in no particular order.
func (v *View) Samples() (all []Sample) {
	if v == nil {
		return nil
	}
	for _, s := range v.samples {
		all = append(all, s)
	}
	return all
}
