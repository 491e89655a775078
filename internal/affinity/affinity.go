// Package affinity chooses upstreams for requests by rendezvous hashing with
// bounded loads, so that requests that share a prefix of their prompts go to an
// upstream that has the prefix cached.
//
// Upstreams are ranked by a hash of the shared prefix and their identifier, which
// is the same on all routers. The highest-ranked upstream whose load does not
// exceed a multiple of the mean is chosen, so that a popular prefix spreads over
// several upstreams. Requests without a shared prefix go to the least loaded
// upstream. An upstream that failed is not chosen for a short time, and one that names a
// limit only when this router may send it a request; then it is also chosen for a request
// with another prefix, if none with its own has come for some time. See package allowance.
// An upstream that warms up gets few requests in the same way: no router sends it more because
// its prefixes are popular or because all others are busy. Nothing is sent to a closed one.
//
// In a fleet of more than 16 routers that tell each other their load, the time to the first event
// of a prompt is predicted instead, from the tokens that an upstream has yet to prefill, for a few
// upstreams in rank order (docs/design/placement.md). The load addressed is that of 60 to 140
// engines behind 58 to 86 routers, with prompts of 200 to 93,000 tokens.
//
// The package does no I/O and does not read the clock.
//
// # Usage
//
//	t := affinity.New(domain)
//	t.Configure(upstreams)
//	q := affinity.Query{Key: hash, Exclude: tried, Tokens: 17020, Shared: 13300, View: view}
//	u, ok := t.Choose(now, q)
//	t.Begin(u.ID)
//	p := t.BeginPrompt(now, u.ID, u.Incarnation, q)
//	p.Event(now) // for each event of the response
//	p.End(now)
//	t.End(now, u.ID, outcome)
package affinity

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/internal/allowance"
	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// loadBound is the maximum load, as a multiple of the mean, with which an
	// upstream is chosen for the prefix that it has cached.
	loadBound = 4.0
	// minLoadBound is the least value of the load bound in requests. An upstream with
	// a lower load is chosen for its cached prefix regardless of the mean.
	minLoadBound = 12.0
	// domainPenalty is added to the load per slot of upstreams outside the
	// router's failure domain. An upstream inside it is preferred although up to
	// this fraction more of its slots is in use.
	domainPenalty = 0.01
	// reportValidity is how long the load that an upstream reported is used.
	reportValidity = time.Second
	// minPause and maxPause bound the time for which an upstream is not chosen
	// after failures. The time doubles with each consecutive failure.
	minPause = 300 * time.Millisecond
	maxPause = 3 * time.Second
	// maxAbsent limits the upstreams whose limits are kept while they are absent.
	maxAbsent = 2000
)

// Upstream is an upstream that requests can be sent to.
type Upstream struct {
	ID            ident.Upstream
	FailureDomain ident.FailureDomain
	Slots         int // number of requests that it runs concurrently
	// Incarnation distinguishes successive processes with the same ID. A new
	// process has an empty cache.
	Incarnation string
	// Closed reports that nothing may be sent to the upstream for now.
	Closed bool
}

// Query describes a request.
type Query struct {
	// Key is the hash of the shared prefix of the prompt, or 0 if there is none.
	Key uint64
	// Exclude lists the upstreams that must not be chosen, such as those that
	// have already been tried.
	Exclude []ident.Upstream
	// RouterCount is the number of routers that send to the upstreams.
	RouterCount int
	// Fleet holds the routers that share the limits of upstreams. If it is nil, this router
	// is the only one.
	Fleet *allowance.Fleet
	// Tokens is the length of the prompt, and Shared that of the prefix of which Key is the
	// hash. Target is the time to the first event that callers expect, or 0.
	Tokens, Shared tokens.Count
	Target         time.Duration
	// Plain reports that the upstreams have no prompts, so that only requests count.
	Plain bool
	// View is what the other routers say about their requests, or nil if that is not known.
	View *load.View
}

// alone is the fleet of a router that is the only one.
var alone = &allowance.Fleet{Routers: []ident.VM{""}}

// fleet returns Fleet or alone.
func (q *Query) fleet() *allowance.Fleet {
	if q.Fleet == nil {
		return alone
	}
	return q.Fleet
}

// Outcome is the result of a request with respect to its upstream.
type Outcome int

// Outcomes of requests.
const (
	// Inconclusive means that the request gives no information about the
	// upstream.
	Inconclusive Outcome = iota
	// Succeeded means that the upstream delivered a response.
	Succeeded
	// Failed means that the upstream, rather than the request, failed.
	Failed
	// Rejected means that the upstream rejected the request without running it.
	Rejected
)

// Table holds the upstreams of one service and their loads. Its methods are safe
// for concurrent use.
type Table struct {
	domain ident.FailureDomain

	mu      sync.Mutex
	members []*member
	byID    map[ident.Upstream]*member
	// absent holds the limited upstreams that were removed last. Their records may have
	// expired during an outage, and come back.
	absent map[ident.Upstream]*member

	rule  rule
	usual usual
	sent  sentPrefixes
	// reportsSlowdown is the result of ReportsSlowdown.
	reportsSlowdown bool

	// warmUp describes the warm-up of all upstreams. warming holds the state of those that
	// warm up or have done so. It outlives their records and incarnations.
	warmUp  WarmUp
	warming map[ident.Upstream]*warmUp
}

// member is an upstream and what is known about it.
type member struct {
	// Each choice reads the fields up to the allowance, of all upstreams.
	Upstream
	penalty     float64   // domainPenalty, or 0 in the router's failure domain
	hash        uint64    // of the ID
	inFlight    int       // requests of this router
	reported    float64   // load at reportedAt
	reportedAt  time.Time // zero before the first report
	pausedUntil time.Time // end of the pause after a failure, zero before the first
	warmUp      *warmUp   // nil if the upstream has not warmed up lately
	allowance   allowance.Allowance

	ownAtReport         int // inFlight at reportedAt
	consecutiveFailures int
	published           allowance.Statement // that the other routers have been told or have told
	known               known               // for predictions
}

// New returns an empty Table for a router in the given failure domain.
func New(domain ident.FailureDomain) *Table {
	return &Table{
		domain: domain, byID: make(map[ident.Upstream]*member), absent: make(map[ident.Upstream]*member),
		rule: defaultRule, usual: usual{rate: defaultRate},
		warming: make(map[ident.Upstream]*warmUp),
	}
}

// Configure replaces the set of upstreams. The loads and pauses of upstreams whose ID
// and incarnation stay the same are kept, and their limits also if they were absent.
func (t *Table) Configure(upstreams []Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := make(map[ident.Upstream]*member, len(upstreams))
	t.members = t.members[:0]
	for _, u := range upstreams {
		m := t.byID[u.ID]
		if m == nil {
			m = t.absent[u.ID]
		}
		delete(t.absent, u.ID)
		if m == nil || m.Incarnation != u.Incarnation {
			m = &member{hash: xxhash.Sum64String(string(u.ID))}
		}
		m.Upstream, m.warmUp, m.penalty = u, t.warming[u.ID], domainPenalty
		if u.FailureDomain == t.domain {
			m.penalty = 0
		}
		byID[u.ID] = m
		t.members = append(t.members, m)
	}
	t.keepAbsent(byID)
	t.byID = byID
}

// keepAbsent keeps the limited upstreams that are not in next. The caller holds mu.
func (t *Table) keepAbsent(next map[ident.Upstream]*member) {
	if len(t.absent) > maxAbsent {
		clear(t.absent)
	}
	for id, m := range t.byID {
		if next[id] == nil && m.allowance.Statement().Named {
			m.inFlight, m.consecutiveFailures, m.pausedUntil = 0, 0, time.Time{}
			t.absent[id] = m
		}
	}
}

// Choose returns the upstream for a request, and false if there is none. Upstreams
// that are paused after a failure are chosen only if there is no other candidate.
func (t *Table) Choose(now time.Time, q Query) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, includePaused := range []bool{false, true} {
		s := selection{now: now, reportedAfter: now.Add(-reportValidity), query: &q, includePaused: includePaused, fleet: q.fleet()}
		m := s.leastLoaded(t.members)
		switch {
		case s.overdue != nil:
			m = s.overdue
		case m != nil && q.predicts():
			m = t.place(&s, m)
		case m != nil && q.Key != 0:
			m = s.highestScored(t.members, m)
		}
		if m != nil {
			m.spend(now)
			return m.Upstream, true
		}
	}
	return Upstream{}, false
}

// selection holds the state of one call of Choose.
type selection struct {
	now           time.Time
	reportedAfter time.Time // reports from before are too old
	query         *Query
	fleet         *allowance.Fleet
	includePaused bool // whether upstreams that are paused after a failure are candidates

	totalLoad  float64 // of all candidates
	candidates int
	overdue    *member // candidate that should get the next request, or nil
}

func (s *selection) isCandidate(m *member) bool {
	return (s.includePaused || !s.now.Before(m.pausedUntil)) && !slices.Contains(s.query.Exclude, m.ID) &&
		m.admits(s.now, s.fleet)
}

// leastLoaded returns the candidate with the least load per slot, with a slight
// preference for the router's failure domain. It also adds up the loads of the
// candidates, counts them and finds an overdue one.
func (s *selection) leastLoaded(members []*member) (best *member) {
	var least float64
	for _, m := range members {
		if !s.isCandidate(m) {
			continue
		}
		load := s.load(m)
		s.totalLoad += load
		s.candidates++
		if m.allowance.Statement().Named && m.allowance.Overdue(s.now) {
			s.overdue = m
		}
		load = load/float64(max(m.Slots, 1)) + m.penalty
		if best == nil || load < least {
			best, least = m, load
		}
	}
	return best
}

// highestScored returns the candidate with the highest score for the query's key
// among those whose load is within the bound, or fallback if there is none.
func (s *selection) highestScored(members []*member, fallback *member) (best *member) {
	bound := max(loadBound*s.totalLoad/float64(s.candidates), minLoadBound)
	var bestScore uint64
	for _, m := range members {
		sc := score(s.query.Key, m.hash)
		if best != nil && sc <= bestScore || s.load(m) > bound || !s.isCandidate(m) {
			continue
		}
		best, bestScore = m, sc
	}
	if best == nil {
		return fallback
	}
	return best
}

// load estimates the number of requests on the upstream. With a recent report, that
// is the reported number, or the number of requests of this router if that is
// greater. Without one, it is the latter multiplied by the number of routers.
func (s *selection) load(m *member) float64 {
	own := float64(m.inFlight)
	if m.reportedAt.After(s.reportedAfter) {
		return max(own, m.reported)
	}
	return own * float64(max(s.query.RouterCount, 1))
}

// score returns the score for a key of an upstream with the given hash of its ID. It
// applies the finalizer of MurmurHash3 to their exclusive or.
func score(key, hash uint64) uint64 {
	x := key ^ hash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Begin records that a request is being sent to an upstream.
func (t *Table) Begin(id ident.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.byID[id]; m != nil {
		m.inFlight++
	}
}

// End records the end and the outcome of a request. After Failed, the upstream is paused
// for a time that doubles with each consecutive failure; after Rejected, for half of
// minPause.
func (t *Table) End(now time.Time, id ident.Upstream, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byID[id]
	if m == nil {
		return
	}
	m.inFlight = max(m.inFlight-1, 0)
	switch o {
	case Succeeded:
		m.consecutiveFailures = 0
	case Failed:
		m.pausedUntil = now.Add(min(minPause<<min(m.consecutiveFailures, 5), maxPause))
		m.consecutiveFailures++
	case Rejected:
		m.pausedUntil = now.Add(minPause / 2)
	}
}
