package routing

import (
	"slices"
	"time"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Work is a request in flight on an upstream.
type Work struct {
	Upstream ident.Upstream
	Tokens   tokens.Count
	Isolated bool
}

// Observation is what a finished request showed of its upstream. Durations of
// zero are not taken into account.
type Observation struct {
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// PerToken is the mean time between two tokens.
	PerToken time.Duration
	// Prompt is the length of the prompt, Cached the part of it that the
	// upstream found in its cache.
	Prompt, Cached tokens.Count
	// Expected reports that the prefix was expected in the cache.
	Expected bool
	// Failed reports that the upstream, rather than the request, failed.
	Failed bool
}

// Report is an upstream's own account of its load.
type Report struct {
	Backlog tokens.Count // tokens yet to generate, queued and running
	AsOf    time.Time
	Models  []ident.Model
	Leaving bool
}

// Configure replaces the set of upstreams. What is known of those that stay is
// kept.
func (t *Table) Configure(service configuration.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make(map[ident.Upstream]*member, len(service.Upstreams))
	t.all, t.near = nil, nil
	for _, u := range service.Upstreams {
		m := t.keepOrAdd(u)
		members[u.ID] = m
		t.all = append(t.all, m)
		if u.FailureDomain == t.place.FailureDomain {
			t.near = append(t.near, m)
		}
	}
	t.members = members
}

// Share tells how many routers send to the upstreams, this one included.
func (t *Table) Share(routers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routers = routers
}

func (t *Table) keepOrAdd(u configuration.Upstream) *member {
	m := t.members[u.ID]
	if m == nil || m.upstream.Address != u.Address {
		return newMember(u, t.place)
	}
	m.upstream = u
	m.distance = distance(u, t.place)
	return m
}

// Start records that a request was dispatched to an upstream.
func (t *Table) Start(now time.Time, id ident.Upstream, size tokens.Count, isolated bool) *Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &Work{Upstream: id, Tokens: size, Isolated: isolated}
	m := t.members[id]
	if m == nil {
		return w
	}
	t.typical += paceWeight * (float64(size) - t.typical)
	m.outstanding += size
	m.running[w] = struct{}{}
	m.remember(start{at: now, work: size})
	if isolated {
		m.isolated++
	}
	return w
}

// Finish records the end of a request's work. Finishing it again has no effect.
func (t *Table) Finish(now time.Time, w *Work, o Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[w.Upstream]
	if m == nil {
		return
	}
	if _, running := m.running[w]; !running {
		return
	}
	delete(m.running, w)
	m.outstanding -= w.Tokens
	if w.Isolated {
		m.isolated--
	}
	m.observe(now, o)
	if o.Expected && o.Prompt > 0 {
		part := float64(o.Cached) / float64(o.Prompt)
		t.cachedPart += paceWeight * (part - t.cachedPart)
	}
}

func (m *member) observe(now time.Time, o Observation) {
	if o.Failed {
		m.fail(now)
		return
	}
	m.failures = 0
	if o.PerToken > 0 {
		m.pace = average(m.pace, o.PerToken)
	}
	if uncached := o.Prompt - o.Cached; o.FirstToken > 0 && uncached > 0 {
		m.observePrefill(o.FirstToken / time.Duration(uncached))
	}
}

// observePrefill follows the least times per prompt token, since the time to
// the first token includes the wait for a slot.
func (m *member) observePrefill(perToken time.Duration) {
	if perToken < m.prefill {
		m.prefill = average(m.prefill, perToken)
		return
	}
	m.prefill += time.Duration(prefillRise * float64(m.prefill))
}

// fail pauses the upstream, twice as long for each failure in a row.
func (m *member) fail(now time.Time) {
	pause := lastPause
	if m.failures < 5 {
		pause = min(firstPause<<m.failures, lastPause)
	}
	m.failures++
	m.pausedTo = now.Add(pause)
}

// Fail records a failure of an upstream that no request in flight showed, such
// as a load report that could not be read.
func (t *Table) Fail(now time.Time, id ident.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.fail(now)
		m.forgetCache()
	}
}

// Report takes in an upstream's load report. A report older than the one held
// is ignored.
func (t *Table) Report(id ident.Upstream, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || !r.AsOf.After(m.reported) {
		return
	}
	m.load = r.Backlog
	m.reported = r.AsOf
	m.models = r.Models
	m.leave(SourceReport, r.Leaving)
}

// Source is where the fleet learns that an upstream is leaving. An upstream
// takes no new work while any source says that it leaves.
type Source uint8

// Sources.
const (
	SourceReport Source = 1 << iota
	SourceList
	SourcePeer
	SourceOperator
)

// String returns the name of a single source.
func (s Source) String() string {
	switch s {
	case SourceReport:
		return "report"
	case SourceList:
		return "list"
	case SourcePeer:
		return "peer"
	case SourceOperator:
		return "operator"
	}
	return "unknown"
}

// Leave records whether a source says that an upstream is leaving. It reports
// whether the upstream's availability changed.
func (t *Table) Leave(id ident.Upstream, source Source, leaving bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	return m != nil && m.leave(source, leaving)
}

func (m *member) leave(source Source, leaving bool) (changed bool) {
	before := m.leaving
	if leaving {
		m.leaving |= source
	} else {
		m.leaving &^= source
	}
	return (before == 0) != (m.leaving == 0)
}

// CacheEvent is an upstream's word that it holds a prefix, or no longer does.
type CacheEvent struct {
	Sequence uint64
	Prefix   Prefix
	Evicted  bool
}

// Cached takes in a cache event. An event that does not follow the last one
// forgets all that was known of the upstream's cache.
func (t *Table) Cached(id ident.Upstream, e CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil {
		return
	}
	if e.Sequence != m.cacheSeq+1 {
		m.forgetCache()
	}
	m.cacheSeq = e.Sequence
	t.drop(e.Prefix, m)
	if !e.Evicted {
		t.hold(e.Prefix, m)
	}
}

// Expect records that the router itself sent a prompt with the prefix to an
// upstream, which will therefore have it cached.
func (t *Table) Expect(id ident.Upstream, p Prefix) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || p == "" {
		return
	}
	t.drop(p, m)
	t.hold(p, m)
}

// Forget drops what was known of an upstream's cache.
func (t *Table) Forget(id ident.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.forgetCache()
	}
}

func (m *member) forgetCache() {
	m.cacheEpoch++
}

// drop removes m, and holders that have forgotten their cache, from the
// holders of p.
func (t *Table) drop(p Prefix, m *member) {
	holders := slices.DeleteFunc(t.prefixes[p], func(h cached) bool {
		return h.member == m || h.epoch != h.member.cacheEpoch
	})
	if len(holders) == 0 {
		delete(t.prefixes, p)
		return
	}
	t.prefixes[p] = holders
}

func (t *Table) hold(p Prefix, m *member) {
	if len(t.prefixes) >= maxPrefixes {
		clear(t.prefixes)
	}
	holders := t.prefixes[p]
	if len(holders) == maxPrefixHolders {
		holders = holders[1:]
	}
	t.prefixes[p] = append(holders, cached{member: m, epoch: m.cacheEpoch})
}
