// Package roster holds the current set of upstreams and selects among those that
// accept new work.
//
// Nothing is sent to the upstreams of a failure domain that the operator has closed. Once it is
// reopened, they count as cold for the time of their service's warm-up, as do upstreams whose
// records say so.
//
// # Usage
//
//	r := roster.New(domain, log)
//	r.SetServices(now, table.Services)     // on each configuration
//	r.SetClosed(now, closed, reopened)     // on each change of the closed domains
//	r.Replace(now, upstreams)              // on each change of the records
//	u, ok := r.Choose(now, service, query)
package roster

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/affinity"
	"example.org/lagoonfork/internal/allowance"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/internal/route"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Upstream describes an upstream as given by its record.
type Upstream struct {
	ID            ident.Upstream
	Service       ident.Service
	Address       netip.AddrPort
	FailureDomain ident.FailureDomain
	Slots         int // number of requests that it runs concurrently
	// Leaving reports that the upstream accepts no new work.
	Leaving bool
	// Incarnation distinguishes successive processes with the same identifier. Started is when
	// the process started, by the clock of the upstream.
	Incarnation string
	Started     time.Time
	// Warming is how much longer the upstream was cold when the record was written, or 0 if
	// it was warm. Revision is that of the record.
	Warming  time.Duration
	Revision store.Revision
	// ChangedAt is when the record of the known upstream last changed, if that was shortly before
	// now. It is zero otherwise.
	ChangedAt time.Time
}

// same reports whether two records describe the same upstream in the same state, except for its
// warm-up.
func (u Upstream) same(other Upstream) bool {
	other.Warming, other.Revision, other.ChangedAt = u.Warming, u.Revision, u.ChangedAt
	return u == other
}

// Roster holds the upstreams of all services. Its methods are safe for concurrent
// use.
type Roster struct {
	domain ident.FailureDomain
	log    hclog.Logger

	mu        sync.RWMutex
	upstreams map[ident.Upstream]Upstream
	services  map[ident.Service]*affinity.Table
	// configured holds the services of the configuration; nil before the first one.
	configured map[ident.Service]bool
	warmUps    map[ident.Service]affinity.WarmUp
	coldBound  affinity.ColdBound
	// warmingUntil holds the ends of the warm-ups that records tell of, and seenAt when the
	// present incarnation of each upstream was first seen.
	warmingUntil map[ident.Upstream]time.Time
	seenAt       map[ident.Upstream]time.Time
	closed       map[ident.FailureDomain]bool
	reopenedAt   map[ident.FailureDomain]time.Time
}

// New returns an empty roster for a router in the given failure domain.
func New(domain ident.FailureDomain, log hclog.Logger) *Roster {
	return &Roster{
		domain:    domain,
		log:       log,
		upstreams: make(map[ident.Upstream]Upstream),
		services:  make(map[ident.Service]*affinity.Table),

		warmUps:      make(map[ident.Service]affinity.WarmUp),
		warmingUntil: make(map[ident.Upstream]time.Time),
		closed:       make(map[ident.FailureDomain]bool),
		reopenedAt:   make(map[ident.FailureDomain]time.Time),
	}
}

// Replace replaces the set of upstreams and updates the table of each service.
func (r *Roster) Replace(now time.Time, all []Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[ident.Upstream]Upstream, len(all))
	warmingUntil, seenAt := make(map[ident.Upstream]time.Time), make(map[ident.Upstream]time.Time, len(all))
	for _, u := range all {
		next[u.ID] = u
		previous, ok := r.upstreams[u.ID]
		if !ok || !previous.same(u) || (previous.Warming > 0) != (u.Warming > 0) {
			event.UpstreamListed.Info(r.log, "upstream", u.ID, "service", u.Service, "address", u.Address, "leaving", u.Leaving, "warming", u.Warming)
		}
		seenAt[u.ID] = now
		if ok && previous.Incarnation == u.Incarnation {
			seenAt[u.ID] = r.seenAt[u.ID]
		}
		// A record that was not written again says nothing new, however often it is read.
		written := !ok || previous.Revision != u.Revision || previous.Incarnation != u.Incarnation
		until, known := r.warmingUntil[u.ID]
		switch {
		case written && u.Warming > 0:
			warmingUntil[u.ID] = later(until, now.Add(u.Warming))
		case known && written && until.After(now):
			warmingUntil[u.ID] = now
		case known:
			warmingUntil[u.ID] = until
		case !ok && !u.ChangedAt.IsZero():
			warmingUntil[u.ID] = u.ChangedAt // its warm-up may have ended then
		}
	}
	for id := range r.upstreams {
		if _, ok := next[id]; !ok {
			event.UpstreamUnlisted.Info(r.log, "upstream", id)
		}
	}
	r.upstreams, r.warmingUntil, r.seenAt = next, warmingUntil, seenAt
	r.configure(now)
}

// SetColdBound sets the bound of requests to cold upstreams for the services that are set
// afterwards.
func (r *Roster) SetColdBound(b affinity.ColdBound) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldBound = b
}

// SetServices sets the services, of which the warm-up of their upstreams is used. What is known
// about the upstreams of other services is dropped once none of them is listed.
func (r *Roster) SetServices(now time.Time, services map[ident.Service]route.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.warmUps)
	r.configured = make(map[ident.Service]bool, len(services))
	for id, s := range services {
		r.configured[id] = true
		if s.WarmUp > 0 {
			r.warmUps[id] = affinity.WarmUp{Duration: s.WarmUp, PerSecond: s.WarmUpPerSecond, Bound: r.coldBound}
		}
	}
	r.configure(now)
}

// SetClosed sets the failure domains that are closed. Those that were closed before and no
// longer are have been reopened now. Others may have been reopened without this router having
// seen it, because it was not running or read both changes at once; reopened has the times that
// it has learned of.
func (r *Roster) SetClosed(now time.Time, closed []ident.FailureDomain, reopened map[ident.FailureDomain]time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[ident.FailureDomain]bool, len(closed))
	for _, domain := range closed {
		next[domain] = true
		if !r.closed[domain] {
			event.DomainClosed.Info(r.log, "failureDomain", domain, "upstreams", r.countIn(domain))
		}
	}
	for domain := range r.closed {
		if !next[domain] {
			r.reopenedAt[domain] = now
			event.DomainReopened.Info(r.log, "failureDomain", domain, "upstreams", r.countIn(domain))
		}
	}
	for domain, at := range reopened {
		if !next[domain] {
			r.reopenedAt[domain] = later(r.reopenedAt[domain], at)
		}
	}
	r.closed = next
	r.configure(now)
}

// countIn returns the number of upstreams in a failure domain. The caller holds mu.
func (r *Roster) countIn(domain ident.FailureDomain) (n int) {
	for _, u := range r.upstreams {
		if u.FailureDomain == domain {
			n++
		}
	}
	return n
}

// configure updates the table of each service. The caller holds mu.
func (r *Roster) configure(now time.Time) {
	active := make(map[ident.Service][]affinity.Upstream)
	listed := make(map[ident.Service]bool)
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		u := r.upstreams[id]
		listed[u.Service] = true
		if r.services[u.Service] == nil && !u.Leaving {
			r.services[u.Service] = affinity.New(r.domain)
		}
		if u.Leaving {
			continue
		}
		active[u.Service] = append(active[u.Service], affinity.Upstream{
			ID: u.ID, FailureDomain: u.FailureDomain, Slots: u.Slots, Incarnation: u.Incarnation, Closed: r.closed[u.FailureDomain],
		})
		if w, ok := r.warmUps[u.Service]; ok {
			until := later(r.warmingUntil[id], r.startedWarm(u, w.Duration))
			if at, ok := r.reopenedAt[u.FailureDomain]; ok {
				until = later(until, at.Add(w.Duration))
			}
			// Before Configure, so that no request is sent to a new upstream in between.
			r.services[u.Service].SetWarming(now, id, until)
		}
	}
	for service, table := range r.services {
		if r.configured != nil && !r.configured[service] && !listed[service] {
			delete(r.services, service) // requests that are in progress keep the table
			continue
		}
		table.SetWarmUp(r.warmUps[service])
		table.Configure(active[service])
	}
}

// startedWarm returns the end of the warm-up of an upstream that was warm when it was first seen,
// as far as the start of its process tells: routers that have just started did not see the
// warm-up. The clock of the upstream may be ahead, but the warm-up was over by then. The caller
// holds mu.
func (r *Roster) startedWarm(u Upstream, duration time.Duration) time.Time {
	until, seen := u.Started.Add(duration), r.seenAt[u.ID]
	if until.After(seen) {
		return seen
	}
	return until
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// AllClosed reports whether the service has upstreams that accept work and all of them are in
// closed failure domains.
func (r *Roster) AllClosed(service ident.Service) bool {
	table := r.Service(service)
	return table != nil && table.AllClosed()
}

// Service returns the table of a service's upstreams, or nil if the service never had
// an upstream that accepts work, or is no longer in the configuration and has no upstreams.
func (r *Roster) Service(id ident.Service) *affinity.Table {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[id]
}

// Choose selects the upstream of the service to which to send a request. It returns false
// if there is none.
func (r *Roster) Choose(now time.Time, service ident.Service, q affinity.Query) (u Upstream, ok bool) {
	r.mu.RLock() // also for the choice, so that the record is the one that was chosen
	defer r.mu.RUnlock()
	table := r.services[service]
	if table == nil {
		return Upstream{}, false
	}
	chosen, ok := table.Choose(now, q)
	if !ok {
		return Upstream{}, false
	}
	return r.upstreams[chosen.ID], true
}

// Occupancy returns the occupancy of a service's upstreams, given what the other routers say about
// their requests, and how old reports of upstreams may be that are used without that.
func (r *Roster) Occupancy(now time.Time, service ident.Service, view *load.View, fresh time.Duration) load.Occupancy {
	table := r.Service(service)
	if table == nil {
		return load.Occupancy{}
	}
	return table.Occupancy(now, view, fresh)
}

// LearnLimit records what another router has heard about the limit of an upstream.
func (r *Roster) LearnLimit(now time.Time, n allowance.News) {
	r.mu.RLock()
	u, ok := r.upstreams[n.Upstream]
	r.mu.RUnlock()
	if !ok {
		return
	}
	if table := r.Service(u.Service); table != nil {
		table.LearnLimit(now, n)
	}
}

// Reminders returns the limits of which this router reminds the others.
func (r *Roster) Reminders(now time.Time, f *allowance.Fleet) (all []allowance.News) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, table := range r.services {
		all = append(all, table.Reminders(now, f)...)
	}
	return all
}

// ReportsSlowdown reports whether upstreams of a service have said how long work takes at the
// moment.
func (r *Roster) ReportsSlowdown() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, table := range r.services {
		if table.ReportsSlowdown() {
			return true
		}
	}
	return false
}

// Samples returns the load of the upstreams of all services as this router sees it.
func (r *Roster) Samples(now time.Time) (all []load.Sample) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, table := range r.services {
		all = append(all, table.Samples(now)...)
	}
	return all
}

// Len returns the number of upstreams.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.upstreams)
}
