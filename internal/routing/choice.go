package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/tokens"
)

// search finds the best candidate for one query. The fields after allowPaused
// describe the best candidate so far.
type search struct {
	table *Table
	now   time.Time
	query *Query
	// allowPaused makes upstreams eligible that are paused after a failure.
	allowPaused bool

	member     *member
	wait       time.Duration
	cached     tokens.Count
	reason     Reason
	candidates int
}

// considerPrefixHolders considers the upstreams that probably have the query's
// prefix cached: those known to hold it, and the prefix's home upstreams, which
// are assumed to have cached half as much.
func (s *search) considerPrefixHolders() {
	if s.query.Prefix == "" {
		return
	}
	length := tokens.Count(s.table.cachedFraction * float64(s.query.PromptTokens))
	for _, holder := range s.table.prefixes[s.query.Prefix] {
		if holder.epoch == holder.member.cacheEpoch {
			s.consider(holder.member, length, ReasonPrefixCached)
		}
	}
	for i := range uint64(homesPerPrefix) {
		s.consider(s.table.prefixHome(s.query.Prefix, i), length/2, ReasonPrefixHome)
	}
}

// prefixHome returns the i-th home upstream of a prefix. Routers with the same
// list of upstreams compute the same one, so prompts that share a prefix reach
// the same upstreams without communication between routers.
func (t *Table) prefixHome(p Prefix, i uint64) *member {
	if len(t.all) == 0 {
		return nil
	}
	h := xxhash.Sum64String(string(p)) + i*homeHashStep
	return t.all[h%uint64(len(t.all))]
}

// considerSample considers n members of from, drawn at random with replacement.
func (s *search) considerSample(from []*member, n int, rng *rand.Rand) {
	if len(from) == 0 {
		return
	}
	for range n {
		s.considerRandom(from, rng)
	}
}

// considerRandom considers one random eligible member of from. It gives up
// after samplingAttempts draws of ineligible members.
func (s *search) considerRandom(from []*member, rng *rand.Rand) {
	for range samplingAttempts {
		m := from[rng.IntN(len(from))]
		if s.eligible(m) {
			s.consider(m, 0, ReasonLeastWait)
			return
		}
	}
}

// considerAll considers every upstream of the table.
func (s *search) considerAll(reason Reason) {
	for _, m := range s.table.all {
		s.consider(m, 0, reason)
	}
}

// consider makes m the best candidate if m is eligible and its expected wait is
// shorter than that of the best candidate so far.
func (s *search) consider(m *member, cached tokens.Count, reason Reason) {
	if m == nil || m == s.member || !s.eligible(m) {
		return
	}
	wait := s.table.expectedWait(s.now, m, s.query, cached)
	s.candidates++
	if s.member != nil && wait >= s.wait {
		return
	}
	s.member, s.wait, s.cached, s.reason = m, wait, cached, reason
}

// eligible reports whether m may run the query.
func (s *search) eligible(m *member) bool {
	if m.leavingSources != 0 || !m.serves(s.query.Model) {
		return false
	}
	if !s.allowPaused && s.now.Before(m.pausedUntil) {
		return false
	}
	if s.query.Isolate && m.isolated > 0 {
		return false
	}
	return !slices.Contains(s.query.Exclude, m.upstream.ID)
}

// decision returns the best candidate as a Decision.
func (s *search) decision() Decision {
	reason := s.reason
	if s.query.Isolate {
		reason = ReasonIsolated
	}
	return Decision{
		Upstream:     s.member.upstream,
		ExpectedWait: s.wait,
		CachedTokens: s.cached,
		Candidates:   s.candidates,
		Reason:       reason,
	}
}

// expectedWait estimates the time until m would produce the first token of its
// answer to the query: the wait for a slot, the processing of the uncached part
// of the prompt, the network delay and, for isolated queries, a penalty for
// each request that m is running.
func (t *Table) expectedWait(now time.Time, m *member, q *Query, cached tokens.Count) time.Duration {
	wait := t.slotWait(now, m)
	wait += time.Duration(max(q.PromptTokens-cached, 0)) * m.timePerPromptToken
	wait += m.networkDelay
	if q.Isolate {
		wait += time.Duration(len(m.running)) * isolationPenalty
	}
	return wait
}

// slotWait estimates the wait for a slot on m. While the backlog of m fits its
// slots, the wait is close to zero; beyond that it grows with the excess.
func (t *Table) slotWait(now time.Time, m *member) time.Duration {
	backlog := float64(t.backlog(now, m))
	slots := float64(max(m.upstream.Slots, 1))
	threshold := slots * t.meanRequestTokens * queueThreshold
	excess := max(backlog-threshold, 0)
	perToken := float64(m.timePerToken) / slots
	return time.Duration(perToken * (excess + batchingCost*min(backlog, threshold)))
}

// backlog estimates how many tokens m has yet to generate. A new load report
// counts in full, together with the work that this router has started since the
// report and that is still in flight. As the report ages, its weight shifts to
// an extrapolation of the router's own outstanding work, which assumes that
// every other router sends as much as this one.
func (t *Table) backlog(now time.Time, m *member) tokens.Count {
	outstanding := float64(m.outstandingTokens)
	extrapolated := outstanding * float64(max(t.routers, 1))
	if m.reportedAt.IsZero() {
		return tokens.Count(extrapolated)
	}
	weight := reportWeight(now.Sub(m.reportedAt))
	since := min(float64(m.startedSince(m.reportedAt)), outstanding)
	estimate := weight*(float64(m.reportedBacklog)+since) + (1-weight)*extrapolated
	return tokens.Count(max(outstanding, estimate))
}

// reportWeight returns the weight of a load report of the given age: 1 for a
// new report, one half at reportHalfLife.
func reportWeight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(reportHalfLife) / float64(reportHalfLife+age)
}
