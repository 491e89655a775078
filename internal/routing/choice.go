package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	length := tokens.Count(c.table.cachedPart * float64(c.query.Prompt))
	for _, holder := range c.table.prefixes[c.query.Prefix] {
		if holder.epoch == holder.member.cacheEpoch {
			c.consider(holder.member, length, ReasonPrefix)
		}
	}
	for i := range uint64(homes) {
		c.consider(c.table.home(c.query.Prefix, i), length/2, ReasonHome)
	}
}

// home returns an upstream that all routers agree on for a prefix, so that its
// prompts meet there without an exchange between the routers.
func (t *Table) home(p Prefix, i uint64) *member {
	if len(t.all) == 0 {
		return nil
	}
	h := xxhash.Sum64String(string(p)) + i*homeStride
	return t.all[h%uint64(len(t.all))]
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
	if m == nil || m == c.member || !c.eligible(m) {
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
// token: for a slot, for its own uncached prompt, and on the way there.
func (t *Table) expectedWait(now time.Time, m *member, q *Query, cached tokens.Count) time.Duration {
	wait := t.slotWait(now, m)
	wait += time.Duration(max(q.Prompt-cached, 0)) * m.prefill
	wait += m.distance
	if q.Isolate {
		wait += time.Duration(len(m.running)) * isolationPenalty
	}
	return wait
}

// slotWait estimates the wait for a slot. While the work on m fits its slots
// there is next to none; it grows with what exceeds them.
func (t *Table) slotWait(now time.Time, m *member) time.Duration {
	ahead := float64(t.backlog(now, m))
	slots := float64(max(m.upstream.Slots, 1))
	fits := slots * t.typical * slotFill
	excess := max(ahead-fits, 0)
	perToken := float64(m.pace) / slots
	return time.Duration(perToken * (excess + sharing*min(ahead, fits)))
}

// backlog estimates the tokens that m has yet to generate. A report counts in
// full when it is new, with the own work started since that is still in flight.
// As the report ages, an estimate from the own work alone takes its place: the
// other routers are taken to send as much as this one.
func (t *Table) backlog(now time.Time, m *member) tokens.Count {
	own := float64(m.outstanding)
	alone := own * float64(max(t.routers, 1))
	if m.reported.IsZero() {
		return tokens.Count(alone)
	}
	weight := freshness(now.Sub(m.reported))
	since := min(float64(m.startedSince(m.reported)), own)
	estimate := weight*(float64(m.load)+since) + (1-weight)*alone
	return tokens.Count(max(own, estimate))
}

// freshness is 1 for a report of this moment, and one half at reportHalfLife.
func freshness(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(reportHalfLife) / float64(reportHalfLife+age)
}
