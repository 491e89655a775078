package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/tokens"
)

// choice is the search for the best candidate of one query.
type choice struct {
	table *Table
	now   time.Time
	query *Query
	// paused admits upstreams that are paused after a failure.
	paused bool

	member     *member
	wait       time.Duration
	cached     tokens.Count
	reason     Reason
	candidates int
}

func (c *choice) considerPrefixHolders() {
	if c.query.Prefix == "" {
		return
	}
	length := prefixLength(c.query.Prompt)
	for _, holder := range c.table.prefixes[c.query.Prefix] {
		if holder.epoch == holder.member.cacheEpoch {
			c.consider(holder.member, length, ReasonPrefix)
		}
	}
}

func (c *choice) considerSample(from []*member, n int, rng *rand.Rand) {
	if len(from) == 0 {
		return
	}
	for range n {
		c.considerOneOf(from, rng)
	}
}

func (c *choice) considerOneOf(from []*member, rng *rand.Rand) {
	for range samplingAttempts {
		m := from[rng.IntN(len(from))]
		if c.eligible(m) {
			c.consider(m, 0, ReasonLeastWait)
			return
		}
	}
}

func (c *choice) considerAll(reason Reason) {
	for _, m := range c.table.all {
		c.consider(m, 0, reason)
	}
}

// consider takes m if its expected wait is less than the best so far.
func (c *choice) consider(m *member, cached tokens.Count, reason Reason) {
	if m == c.member || !c.eligible(m) {
		return
	}
	wait := c.table.expectedWait(c.now, m, c.query, cached)
	c.candidates++
	if c.member != nil && wait >= c.wait {
		return
	}
	c.member, c.wait, c.cached, c.reason = m, wait, cached, reason
}

func (c *choice) eligible(m *member) bool {
	if m.leaving != 0 || !m.serves(c.query.Model) {
		return false
	}
	if !c.paused && c.now.Before(m.pausedTo) {
		return false
	}
	if c.query.Isolate && m.isolated > 0 {
		return false
	}
	return !slices.Contains(c.query.Exclude, m.upstream.ID)
}

func (c *choice) decision() Decision {
	reason := c.reason
	if c.query.Isolate {
		reason = ReasonIsolated
	}
	return Decision{
		Upstream:   c.member.upstream,
		Wait:       c.wait,
		Cached:     c.cached,
		Candidates: c.candidates,
		Reason:     reason,
	}
}

// expectedWait estimates how long the query would wait on m for its first
// token: the work ahead of it in the queue, its own uncached prompt, and the
// way there.
func (t *Table) expectedWait(now time.Time, m *member, q *Query, cached tokens.Count) time.Duration {
	ahead := t.backlog(now, m)
	slots := max(m.upstream.Slots, 1)
	wait := time.Duration(ahead) * m.pace / time.Duration(slots)
	wait += time.Duration(max(q.Prompt-cached, 0)) * m.prefill
	wait += m.distance
	if q.Isolate {
		wait += time.Duration(len(m.running)) * isolationPenalty
	}
	return wait
}

// backlog estimates the tokens that m has yet to generate. A report counts in
// full when it is new, and fades into the service's mean as it ages.
func (t *Table) backlog(now time.Time, m *member) tokens.Count {
	own := m.outstanding
	if m.reported.IsZero() {
		return max(own, t.mean())
	}
	weight := freshness(now.Sub(m.reported))
	blended := weight*float64(m.load) + (1-weight)*float64(t.mean())
	return max(own, tokens.Count(blended)+m.startedSince(m.reported))
}

// mean returns the mean of the reported backlogs.
func (t *Table) mean() tokens.Count {
	return t.backlogs / tokens.Count(max(t.reported, 1))
}

// freshness is 1 for a report of this moment, and one half at reportHalfLife.
func freshness(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(reportHalfLife) / float64(reportHalfLife+age)
}
