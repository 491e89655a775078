// Package collector merges what routers tell each other of the load of upstreams.
//
// It addresses fleets of many routers, of which each has few requests of its own on an upstream
// and therefore sees little of its load. A router states its samples in a Batch. The relay of a
// failure domain joins the batches of its domain in another Batch, which lists the routers that
// it covers, and exchanges it with the relays of the other domains. A batch replaces the earlier
// ones of its router, so that lost, repeated and reordered messages do no harm.
//
// Times of a batch are those of the receiving router's clock: messages carry ages.
//
// The package does no I/O and does not read the clock.
//
// # Usage
//
//	c := collector.New(collector.Settings{VM: vm, Incarnation: incarnation, Domain: domain})
//	own := c.State(now, every, samples)  // sent to the relay
//	c.Receive(now, batch)                // of another router
//	totals := c.Totals(now)              // at a relay, the response to the batches of its domain
//	c.Accept(now, totals, every)         // at the other routers
//	view := c.View(now)
package collector

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// Validity is the number of its sender's intervals for which a batch is in force.
	Validity = 3
	// MaxEvery is the longest interval. It bounds what another router may claim.
	MaxEvery = 10 * time.Second
	// MaxRows limits the samples of a message, so that its size does not grow with the number
	// of upstreams. The upstreams with the most load are kept. See docs/design/load-exchange.md.
	MaxRows = 300
	// ReportValidity is how long the report of an upstream is passed on. In the largest fleet it
	// takes up to three intervals to the routers of another domain.
	ReportValidity = 3 * time.Second
	// tokensPerRequest is the weight of a request in unread tokens when samples are dropped.
	tokensPerRequest = 100
	// memory is how long the number of the last batch of a router is kept, so that a late or
	// repeated message is recognized. It is a multiple of the time that a call may take.
	memory = 30 * time.Second
	// maxStated is the number of own batches that are kept until a relay has included them.
	maxStated = 16
)

// Sequence numbers the batches of an incarnation of a router, from 1.
type Sequence uint64

// Batch is what a router states at one time.
type Batch struct {
	VM          ident.VM
	Incarnation ident.Incarnation
	Domain      ident.FailureDomain
	Sequence    Sequence
	// At is when the batch was made. It is in force for Validity times Every.
	At    time.Time
	Every time.Duration
	// Members lists the routers whose samples are joined in the batch of a relay. It is empty
	// in a router's own batch.
	Members []ident.VM
	Samples []load.Sample
}

// inForce reports whether the batch still counts.
func (b *Batch) inForce(now time.Time) bool {
	return now.Sub(b.At) <= Validity*min(b.Every, MaxEvery)
}

// Totals is the load that the batches known to a router add up to, including its own.
type Totals struct {
	At      time.Time
	Samples []load.Sample
	// Included holds the number of the batch of each router of the domain that is included, or 0
	// if none is. Incarnations are unique in the fleet.
	Included map[ident.Incarnation]Sequence
}

// Settings configures a Collector. All fields are required.
type Settings struct {
	VM          ident.VM
	Incarnation ident.Incarnation
	Domain      ident.FailureDomain
}

// Collector holds what a router knows of the samples of others. View is safe for concurrent use
// with all methods. The other methods must not be called concurrently.
type Collector struct {
	settings Settings
	sequence Sequence // of the last own batch
	joined   Sequence // of the last batch as a relay
	stated   []Batch  // own batches that a response may include
	sources  map[source]*entry
	rows     int // of the last sum
	view     atomic.Pointer[timedView]
}

// source distinguishes a router's own batches from those that it states as a relay.
type source struct {
	vm    ident.VM
	relay bool
}

// entry is the last batch of a source.
type entry struct {
	Batch
	ended  ident.Incarnation // the previous one, of which late batches may arrive
	unsent bool              // whether Forward has yet to return it
}

// timedView is a view with the time until which it is used.
type timedView struct {
	*load.View
	until time.Time
}

// New returns a Collector without samples.
func New(s Settings) *Collector {
	return &Collector{settings: s, sources: make(map[source]*entry)}
}

// State returns the router's own batch. The relay must get it, or a later one.
func (c *Collector) State(now time.Time, every time.Duration, samples []load.Sample) Batch {
	c.sequence++
	b := Batch{
		VM: c.settings.VM, Incarnation: c.settings.Incarnation, Domain: c.settings.Domain,
		Sequence: c.sequence, At: now, Every: every, Samples: heaviest(relevant(now, samples)),
	}
	c.stated = append(c.stated, b)
	c.stated = c.stated[max(len(c.stated)-maxStated, 0):]
	return b
}

// relevant returns the samples that have something to say. Reports that are too old are removed
// from them.
func relevant(now time.Time, samples []load.Sample) (all []load.Sample) {
	all = make([]load.Sample, 0, len(samples))
	for _, s := range samples {
		if now.Sub(s.Report.At) > ReportValidity {
			s.Report = load.Report{}
		}
		if s.InFlight != 0 || s.UnreadTokens != 0 || !s.Report.At.IsZero() {
			all = append(all, s)
		}
	}
	return all
}

// heaviest returns the samples that are kept in a message: at most MaxRows, those with the most
// load first.
func heaviest(samples []load.Sample) []load.Sample {
	if len(samples) <= MaxRows {
		return samples
	}
	slices.SortFunc(samples, func(a, b load.Sample) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return slices.Clip(samples[:MaxRows])
}

func weight(s load.Sample) int64 {
	return int64(s.UnreadTokens) + tokensPerRequest*int64(s.InFlight)
}

// Receive records the batch of another router of the domain, or of the relay of another domain. It
// ignores a batch that is not newer than the last one of its source, and those of earlier processes
// on a VM.
func (c *Collector) Receive(now time.Time, b Batch) {
	k := source{vm: b.VM, relay: len(b.Members) > 0}
	if b.VM == c.settings.VM || k.relay == (b.Domain == c.settings.Domain) {
		return
	}
	known := c.sources[k]
	e := &entry{Batch: b, unsent: true}
	switch {
	case known == nil:
	case known.Incarnation != b.Incarnation:
		if known.ended == b.Incarnation {
			return
		}
		e.ended = known.Incarnation
	case known.Sequence >= b.Sequence:
		return
	default:
		e.ended = known.ended
	}
	c.sources[k] = e
	if !b.inForce(now) {
		e.Samples = nil
	}
}

// Forward returns the batches of other routers that have been received since the last call, for a
// relay that ranks before this router. Its response then includes them.
func (c *Collector) Forward(now time.Time) (batches []Batch) {
	for _, e := range c.inForce(now) {
		if e.unsent {
			batches = append(batches, e.Batch)
			e.unsent = false
		}
	}
	return batches
}

// Senders returns the incarnations of the routers whose own batches are in force, without this
// router.
func (c *Collector) Senders(now time.Time) (all []ident.Incarnation) {
	for _, e := range c.inForce(now) {
		if len(e.Members) == 0 {
			all = append(all, e.Incarnation)
		}
	}
	return all
}

// inForce returns the entries that are in force, ordered by VM, and forgets those that are too old
// to be repeated.
func (c *Collector) inForce(now time.Time) (all []*entry) {
	for k, e := range c.sources {
		switch age := now.Sub(e.At); {
		case e.inForce(now):
			all = append(all, e)
		case age > memory+Validity*MaxEvery:
			delete(c.sources, k)
		default:
			e.Samples, e.Members = nil, nil
		}
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(len(a.Members), len(b.Members)))
	})
	return all
}

// last returns the last own batch if it is in force.
func (c *Collector) last(now time.Time) (b Batch, ok bool) {
	if len(c.stated) == 0 {
		return b, false
	}
	b = c.stated[len(c.stated)-1]
	return b, b.inForce(now)
}

// Join returns the batch that a relay sends to the other domains: the samples of its domain.
func (c *Collector) Join(now time.Time, every time.Duration) Batch {
	c.joined++
	b := Batch{
		VM: c.settings.VM, Incarnation: c.settings.Incarnation, Domain: c.settings.Domain,
		Sequence: c.joined, At: now, Every: every, Members: []ident.VM{c.settings.VM},
	}
	joined := newSum(c.rows)
	if own, ok := c.last(now); ok {
		joined.add(own.Samples)
	}
	for _, e := range c.inForce(now) {
		if len(e.Members) == 0 {
			b.Members = append(b.Members, e.VM)
			joined.add(e.Samples)
		}
	}
	b.Samples = heaviest(relevant(now, joined.samples))
	return b
}

// Totals returns the load of the fleet as the received batches and the own one add up to it.
func (c *Collector) Totals(now time.Time) Totals {
	t := Totals{At: now, Included: make(map[ident.Incarnation]Sequence)}
	total := c.others(now, t.Included)
	if own, ok := c.last(now); ok {
		total.add(own.Samples)
		t.Included[own.Incarnation] = own.Sequence
	}
	t.Samples = heaviest(relevant(now, total.samples))
	return t
}

// others returns the sum of the batches of other routers, and records their numbers in
// included. Of the batches of relays that cover the same router, only that of the relay with the
// most routers counts, so that no router counts twice.
func (c *Collector) others(now time.Time, included map[ident.Incarnation]Sequence) *sum {
	total := newSum(c.rows)
	covered := map[ident.VM]bool{c.settings.VM: true}
	var relays []*entry
	for _, e := range c.inForce(now) {
		if len(e.Members) > 0 {
			relays = append(relays, e)
			continue
		}
		covered[e.VM] = true
		total.add(e.Samples)
		included[e.Incarnation] = e.Sequence
	}
	slices.SortStableFunc(relays, func(a, b *entry) int { return cmp.Compare(len(b.Members), len(a.Members)) })
	for _, e := range relays {
		if slices.ContainsFunc(e.Members, func(vm ident.VM) bool { return covered[vm] }) {
			continue
		}
		for _, vm := range e.Members {
			covered[vm] = true
		}
		total.add(e.Samples)
	}
	c.rows = len(total.samples)
	return total
}

// Merge makes the view of a relay from the batches that it has received.
func (c *Collector) Merge(now time.Time, every time.Duration) {
	c.setView(c.others(now, make(map[ident.Incarnation]Sequence)).samples, now.Add(Validity*every))
}

// Accept makes the view from the response of a relay. It reports whether the response can be
// used: it must be known which of the own samples it includes, because they are subtracted.
func (c *Collector) Accept(t Totals, every time.Duration) bool {
	samples := t.Samples
	n, known := t.Included[c.settings.Incarnation]
	if !known {
		return false
	}
	if n > 0 {
		i := slices.IndexFunc(c.stated, func(b Batch) bool { return b.Sequence == n })
		if i < 0 {
			return false
		}
		samples = without(samples, c.stated[i].Samples)
	}
	c.setView(samples, t.At.Add(Validity*min(every, MaxEvery)))
	return true
}

func (c *Collector) setView(samples []load.Sample, until time.Time) {
	c.view.Store(&timedView{View: load.NewView(samples), until: until})
}

// View returns the load of the other routers, or nil if nothing is known of it. The newest report
// of an upstream may be one that this router received.
func (c *Collector) View(now time.Time) *load.View {
	v := c.view.Load()
	if v == nil || now.After(v.until) {
		return nil
	}
	return v.View
}

// Reset drops the view.
func (c *Collector) Reset() { c.view.Store(nil) }
