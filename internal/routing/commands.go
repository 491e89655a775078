package routing

import (
	"slices"
	"time"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// InFlight is a request in flight on an upstream.
type InFlight struct {
	Upstream ident.Upstream
	Tokens   tokens.Count
	Isolated bool
}

// Observation holds what a finished request measured of its upstream. Durations
// of zero are ignored.
type Observation struct {
	// TimeToFirstToken is the time from dispatch to the first token.
	TimeToFirstToken time.Duration
	// TimePerToken is the mean time between two tokens.
	TimePerToken time.Duration
	// PromptTokens is the length of the prompt, CachedTokens the part of it
	// that the upstream found in its cache.
	PromptTokens, CachedTokens tokens.Count
	// PrefixExpected reports that the upstream was chosen because it was
	// expected to have the prefix cached.
	PrefixExpected bool
	// UpstreamFailed reports a failure caused by the upstream rather than by
	// the request.
	UpstreamFailed bool
}

// LoadReport is a load report of an upstream.
type LoadReport struct {
	Backlog tokens.Count // tokens yet to generate, of queued and running requests
	AsOf    time.Time
	Models  []ident.Model
	Leaving bool
}

// Configure replaces the set of upstreams. An upstream that keeps its ID and
// address keeps its state.
func (t *Table) Configure(service configuration.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make(map[ident.Upstream]*member, len(service.Upstreams))
	t.all, t.local = nil, nil
	for _, u := range service.Upstreams {
		m := t.updateOrAdd(u)
		members[u.ID] = m
		t.all = append(t.all, m)
		if u.FailureDomain == t.location.FailureDomain {
			t.local = append(t.local, m)
		}
	}
	t.members = members
}

// SetRouterCount sets the number of routers that send to the upstreams, including this
// one.
func (t *Table) SetRouterCount(routers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routers = routers
}

// updateOrAdd returns the member of an upstream with its configuration updated.
// It returns a new member if the upstream is new or its address has changed.
func (t *Table) updateOrAdd(u configuration.Upstream) *member {
	m := t.members[u.ID]
	if m == nil || m.upstream.Address != u.Address {
		return newMember(u, t.location)
	}
	m.upstream = u
	m.networkDelay = networkDelay(u, t.location)
	return m
}

// Start records the dispatch of a request to an upstream. The caller passes the
// result to Finish.
func (t *Table) Start(now time.Time, id ident.Upstream, size tokens.Count, isolated bool) *InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &InFlight{Upstream: id, Tokens: size, Isolated: isolated}
	m := t.members[id]
	if m == nil {
		return w
	}
	t.meanRequestTokens += averageWeight * (float64(size) - t.meanRequestTokens)
	m.outstandingTokens += size
	m.running[w] = struct{}{}
	m.recordStart(startedRequest{at: now, tokens: size})
	if isolated {
		m.isolated++
	}
	return w
}

// Finish records the end of a request. A second call for the same request has
// no effect.
func (t *Table) Finish(now time.Time, w *InFlight, o Observation) {
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
	m.outstandingTokens -= w.Tokens
	if w.Isolated {
		m.isolated--
	}
	m.observe(now, o)
	if o.PrefixExpected && o.PromptTokens > 0 {
		fraction := float64(o.CachedTokens) / float64(o.PromptTokens)
		t.cachedFraction += averageWeight * (fraction - t.cachedFraction)
	}
}

// observe updates the failure count and the moving averages of m.
func (m *member) observe(now time.Time, o Observation) {
	if o.UpstreamFailed {
		m.pause(now)
		return
	}
	m.failures = 0
	if o.TimePerToken > 0 {
		m.timePerToken = movingAverage(m.timePerToken, o.TimePerToken)
	}
	if uncached := o.PromptTokens - o.CachedTokens; o.TimeToFirstToken > 0 && uncached > 0 {
		m.observePromptTime(o.TimeToFirstToken / time.Duration(uncached))
	}
}

// observePromptTime updates the time per prompt token. It tracks the lower end
// of the observations, because the time to the first token includes the wait
// for a slot: shorter observations enter the moving average, longer ones only
// raise the estimate by promptTimeIncrease.
func (m *member) observePromptTime(perToken time.Duration) {
	if perToken < m.timePerPromptToken {
		m.timePerPromptToken = movingAverage(m.timePerPromptToken, perToken)
		return
	}
	m.timePerPromptToken += time.Duration(promptTimeIncrease * float64(m.timePerPromptToken))
}

// pause records a failure of the upstream and pauses it. The pause doubles with
// each consecutive failure, up to maxPause.
func (m *member) pause(now time.Time) {
	pause := maxPause
	if m.failures < 5 {
		pause = min(minPause<<m.failures, maxPause)
	}
	m.failures++
	m.pausedUntil = now.Add(pause)
}

// RecordFailure records a failure of an upstream that was detected outside of a request,
// such as an unreadable load report. It also invalidates what is known of the
// upstream's cache.
func (t *Table) RecordFailure(now time.Time, id ident.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.pause(now)
		m.invalidateCache()
	}
}

// ApplyReport applies a load report of an upstream. It ignores a report that is not
// newer than the last one.
func (t *Table) ApplyReport(id ident.Upstream, r LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || !r.AsOf.After(m.reportedAt) {
		return
	}
	m.reportedBacklog = r.Backlog
	m.reportedAt = r.AsOf
	m.models = r.Models
	m.setLeaving(SourceReport, r.Leaving)
}

// LeavingSource is a source of information about leaving upstreams. An upstream gets
// no new requests while at least one source reports it as leaving. Sources are
// bits, so that a LeavingSource value can hold a set of them.
type LeavingSource uint8

// Sources of information about leaving upstreams.
const (
	SourceReport LeavingSource = 1 << iota
	SourceList
	SourcePeer
	SourceOperator
)

// String returns the name of a single source.
func (s LeavingSource) String() string {
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

// SetLeaving records whether a source reports an upstream as leaving. The result
// reports whether the upstream has started or stopped leaving by this.
func (t *Table) SetLeaving(id ident.Upstream, source LeavingSource, leaving bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	return m != nil && m.setLeaving(source, leaving)
}

// setLeaving adds or removes a source that reports m as leaving. The result
// reports whether m has started or stopped leaving by this.
func (m *member) setLeaving(source LeavingSource, leaving bool) (changed bool) {
	before := m.leavingSources
	if leaving {
		m.leavingSources |= source
	} else {
		m.leavingSources &^= source
	}
	return (before == 0) != (m.leavingSources == 0)
}

// CacheEvent is a notification by an upstream that it has cached or evicted a
// prefix.
type CacheEvent struct {
	Sequence uint64
	Prefix   Prefix
	Evicted  bool
}

// ApplyCacheEvent applies a cache event of an upstream. A gap in the sequence numbers
// invalidates all that is known of the upstream's cache, as the lost event may
// have been an eviction.
func (t *Table) ApplyCacheEvent(id ident.Upstream, e CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil {
		return
	}
	if e.Sequence != m.cacheSequence+1 {
		m.invalidateCache()
	}
	m.cacheSequence = e.Sequence
	t.removeHolder(e.Prefix, m)
	if !e.Evicted {
		t.addHolder(e.Prefix, m)
	}
}

// ExpectCached records that this router sent a prompt with the prefix to an
// upstream, which therefore probably has it cached.
func (t *Table) ExpectCached(id ident.Upstream, p Prefix) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || p == "" {
		return
	}
	t.removeHolder(p, m)
	t.addHolder(p, m)
}

// InvalidateCache invalidates what is known of an upstream's cache.
func (t *Table) InvalidateCache(id ident.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.invalidateCache()
	}
}

// invalidateCache starts a new cache epoch. Prefix holders of earlier epochs
// are ignored and removed later by removeHolder.
func (m *member) invalidateCache() {
	m.cacheEpoch++
}

// removeHolder removes m from the holders of p, and with it the holders whose
// cache was invalidated.
func (t *Table) removeHolder(p Prefix, m *member) {
	holders := slices.DeleteFunc(t.prefixes[p], func(h prefixHolder) bool {
		return h.member == m || h.epoch != h.member.cacheEpoch
	})
	if len(holders) == 0 {
		delete(t.prefixes, p)
		return
	}
	t.prefixes[p] = holders
}

// addHolder adds m to the holders of p. The oldest holder is dropped if there
// are maxPrefixHolders already; if the table has maxPrefixes prefixes, all of
// them are dropped first.
func (t *Table) addHolder(p Prefix, m *member) {
	if len(t.prefixes) >= maxPrefixes {
		clear(t.prefixes)
	}
	holders := t.prefixes[p]
	if len(holders) == maxPrefixHolders {
		holders = holders[1:]
	}
	t.prefixes[p] = append(holders, prefixHolder{member: m, epoch: m.cacheEpoch})
}
