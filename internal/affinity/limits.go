package affinity

import (
	"slices"
	"time"

	"example.org/lagoonfork/internal/allowance"
)

// HearLimit records what an upstream said about its limit in the response to a request that
// was sent at the given time. It returns what is known of the limit now, and whether the other
// routers should be told at once.
func (t *Table) HearLimit(now, sent time.Time, n allowance.News) (s allowance.Statement, tell bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byID[n.Upstream]
	if m == nil || m.Incarnation != n.Incarnation {
		return s, false
	}
	m.allowance.Hear(now, sent, n.Statement)
	s = m.allowance.Statement()
	if !s.Differs(m.published) {
		return s, false
	}
	m.published = s
	return s, true
}

// LearnLimit records what another router has heard about the limit of an upstream.
func (t *Table) LearnLimit(now time.Time, n allowance.News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.byID[n.Upstream]; m != nil && m.Incarnation == n.Incarnation {
		m.allowance.Learn(now, n.Statement)
		m.published = n.Statement
	}
}

// Reminders returns the limits of which this router reminds the others.
func (t *Table) Reminders(now time.Time, f *allowance.Fleet) (all []allowance.News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.allowance.First(now, m.ID, f) {
			all = append(all, allowance.News{Upstream: m.ID, Incarnation: m.Incarnation, Statement: m.allowance.Statement()})
		}
	}
	return all
}

// Wait returns about how long it takes until a request may be sent to an upstream that is not
// excluded, and false if no upstream is out of reach because of its limit or its warm-up.
func (t *Table) Wait(now time.Time, q Query) (wait time.Duration, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.Closed || slices.Contains(q.Exclude, m.ID) {
			continue
		}
		w := max(m.allowance.Wait(now, m.ID, q.fleet()), m.warmUp.wait(now, m.ID, q.fleet()))
		if w > 0 && (!limited || w < wait) {
			wait, limited = w, true
		}
	}
	return wait, limited
}
