// Package plan decides to which routers a router sends what it knows of the load of upstreams, and
// how often.
//
// It addresses fleets of more than MinRouters routers. The first router of each failure domain is
// the relay of the others. One that fails is passed over for a while; a router whose predecessors
// are all passed over acts as relay itself. Routers send only to such that rank before them, so
// that nothing is passed on in a circle.
//
// The package does no I/O and does not read the clock.
//
// # Usage
//
//	p := plan.New(self)
//	route := p.Route(now, ranked, false)
//	for _, vm := range route.Relays { // until one responds
//		...
//		p.Fail(now, vm)
//	}
package plan

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
)

const (
	// MinRouters is the number of routers up to which there is no exchange. In a fleet of that
	// size each router sees enough of the load itself.
	MinRouters = 16
	// MinInterval is the shortest interval between two exchanges.
	MinInterval = 250 * time.Millisecond
	// IdleInterval is the interval of a router that has no requests in progress.
	IdleInterval = time.Second
	// intervalStep is the unit of intervals.
	intervalStep = 50 * time.Millisecond

	// failurePause is how long a router that failed is passed over.
	failurePause = 2 * time.Second
	// maxAttempts limits the routers that are called in turn.
	maxAttempts = 3
	// noticeInterval is the least time between two notices.
	noticeInterval = 10 * time.Second

	// memberBytesPerSecond bounds what a router that is no relay sends and receives, with a
	// reserve below the 20 KB/s that the exchange may use.
	memberBytesPerSecond = 17e3
	// relayLinkFraction is the part of its link, in one direction, that a relay uses for both
	// directions together. It is 150 KB/s on a small VM with 10 Mbit/s.
	relayLinkFraction = 0.12
	// defaultLinkBytes is the link of a small VM.
	defaultLinkBytes = 1.25e6
	// callBytes is the size of the headers of a call and its response.
	callBytes = 400
)

// Runs reports whether a fleet of the given size exchanges its load.
func Runs(routers int) bool { return routers > MinRouters }

// Router is a router that has a record.
type Router struct {
	VM     ident.VM
	Domain ident.FailureDomain
}

// Route says whom a router calls in one exchange.
type Route struct {
	// Relay reports that the router acts as relay of its domain.
	Relay bool
	// Relays lists the routers that the router sends its samples to: the first that responds
	// gets them.
	Relays []ident.VM
	// Domains lists, for each other domain, the routers of which the first that responds gets
	// the samples of this domain. It is empty unless Relay is set.
	Domains [][]ident.VM
	// Preferred is the router that is the relay if none fails.
	Preferred ident.VM
}

// Plan holds which routers have failed. It is not safe for concurrent use.
type Plan struct {
	self    Router
	paused  map[ident.VM]time.Time // until when a router is passed over
	lost    bool                   // as the last notice said
	noticed time.Time
}

// New returns a Plan that passes over no router.
func New(self Router) *Plan {
	return &Plan{self: self, paused: make(map[ident.VM]time.Time)}
}

// Fail records that a router did not respond.
func (p *Plan) Fail(now time.Time, vm ident.VM) {
	p.paused[vm] = now.Add(failurePause)
}

// Route returns whom to call, given all routers in the order of their rank. A router that is
// retired, because it is about to stop, or that is not among them does not act as relay.
func (p *Plan) Route(now time.Time, ranked []Router, retired bool) (r Route) {
	for vm, until := range p.paused {
		if !now.Before(until) {
			delete(p.paused, vm)
		}
	}
	var domains []ident.FailureDomain
	candidates := make(map[ident.FailureDomain][]ident.VM)
	listed := false
	for _, router := range ranked {
		switch {
		case router.VM == p.self.VM:
			listed = true
			continue
		case router.Domain == p.self.Domain && listed && !retired:
			continue
		}
		if router.Domain == p.self.Domain && r.Preferred == "" {
			r.Preferred = router.VM
		}
		known, ok := candidates[router.Domain]
		if !ok {
			domains = append(domains, router.Domain)
			candidates[router.Domain] = nil
		}
		if _, paused := p.paused[router.VM]; !paused && len(known) < maxAttempts {
			candidates[router.Domain] = append(known, router.VM)
		}
	}
	r.Relays = candidates[p.self.Domain]
	if r.Preferred == "" && listed {
		r.Preferred = p.self.VM
	}
	r.Relay = len(r.Relays) == 0 && listed && !retired
	if !r.Relay {
		return r
	}
	for _, d := range domains {
		if d != p.self.Domain && len(candidates[d]) > 0 {
			r.Domains = append(r.Domains, candidates[d])
		}
	}
	return r
}

// Notice is a change that operators are told of.
type Notice int

// Notices.
const (
	None Notice = iota
	Lost
	Regained
)

// Notice returns what to tell operators after an exchange that has reached the preferred relay or
// not. There is at most one notice in noticeInterval.
func (p *Plan) Notice(now time.Time, reached bool) Notice {
	if reached != p.lost || !p.noticed.IsZero() && now.Sub(p.noticed) < noticeInterval {
		return None
	}
	p.lost, p.noticed = !reached, now
	if reached {
		return Regained
	}
	return Lost
}

// Sizes are those of the messages of a relay, in bytes, and the number of its calls.
type Sizes struct {
	// Post is the mean size of what a router of the domain sends, View that of the response.
	Post, View int
	// Joined is the size of what the relay sends to that of another domain, and gets from it.
	Joined int
	// Members is the number of routers that send to the relay, Domains that of other domains.
	Members, Domains int
}

// MemberBytes returns what a router that is no relay sends and receives in one exchange.
func (s Sizes) MemberBytes() int { return s.Post + s.View + callBytes }

// RelayBytes returns what a relay sends and receives in one exchange.
func (s Sizes) RelayBytes() int {
	return s.Members*s.MemberBytes() + 2*s.Domains*(s.Joined+callBytes)
}

// Interval returns the interval at which the routers of a domain exchange their load, given the
// capacity of the relay's link in bytes per second, or 0 if it is not known.
func Interval(s Sizes, linkBytes float64) time.Duration {
	if linkBytes <= 0 {
		linkBytes = defaultLinkBytes
	}
	seconds := max(float64(s.MemberBytes())/memberBytesPerSecond, float64(s.RelayBytes())/(relayLinkFraction*linkBytes))
	interval := time.Duration(seconds * float64(time.Second))
	interval = (interval + intervalStep - 1) / intervalStep * intervalStep
	return max(interval, MinInterval)
}

// Pause returns the time between two exchanges of a router, given that of its relay and whether
// there is anything to tell.
func Pause(interval time.Duration, idle bool) time.Duration {
	if idle {
		return max(interval, IdleInterval)
	}
	return interval
}
