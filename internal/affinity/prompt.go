package affinity

import (
	"time"

	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/ident"
)

// Prompt is a prompt that was sent to an upstream. Its tokens are unread until the first event
// arrives or the attempt ends. Its methods may be called from one goroutine at a time. A nil
// Prompt is one of which nothing is known.
type Prompt struct {
	Prediction
	table  *Table
	member *member
	sent   time.Time
	last   time.Time // arrival of the last event, zero before the first
	unread bool
}

// BeginPrompt records that a prompt is being sent to the given incarnation of an upstream. It
// returns nil if the query has no tokens or the upstream is not known.
func (t *Table) BeginPrompt(now time.Time, id ident.Upstream, incarnation string, q Query) *Prompt {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byID[id]
	if m == nil || m.Incarnation != incarnation || q.Tokens <= 0 {
		return nil
	}
	cached := q.Key != 0 && (t.sent.has(now, q.Key, m) || t.isFirst(q.Key, m))
	p := &Prompt{table: t, member: m, sent: now, unread: true, Prediction: t.predict(now, m, &q, cached)}
	if !q.predicts() {
		p.FirstEvent = 0
	}
	t.sent.add(now, q.Key, m)
	m.known.unread += p.Work
	return p
}

// Expected returns the prediction for the prompt.
func (p *Prompt) Expected() Prediction {
	if p == nil {
		return Prediction{}
	}
	return p.Prediction
}

// isFirst reports whether m is the first of all upstreams in the rank order of a key.
func (t *Table) isFirst(key uint64, m *member) bool {
	own := score(key, m.hash)
	for _, other := range t.members {
		if score(key, other.hash) > own {
			return false
		}
	}
	return true
}

// Event records an event of the response. For the first one it returns the time since the
// prompt was sent, and else 0.
func (p *Prompt) Event(now time.Time) (firstEvent time.Duration) {
	if p == nil {
		return 0
	}
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	if p.last.IsZero() {
		p.read()
		p.last = now
		firstEvent = max(now.Sub(p.sent), 1)
		if p.FirstEvent > 0 {
			p.table.usual.learnRate(p.Prediction, firstEvent)
		}
		return firstEvent
	}
	k := &p.member.known
	gap := max(now.Sub(p.last), 0)
	p.last, k.pacedAt = now, now
	k.events = min(k.events+1, paceEvents)
	k.pace += (gap - k.pace) / time.Duration(k.events)
	return 0
}

// End records the end of the attempt. It may be called more than once.
func (p *Prompt) End(now time.Time) {
	if p == nil {
		return
	}
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.read()
	if p.last.IsZero() {
		return
	}
	u := &p.table.usual
	duration := float64(max(now.Sub(p.sent), 0))
	if u.hold == 0 {
		u.hold = duration
	}
	u.hold += (duration - u.hold) * holdWeight
}

// read gives the unread tokens back. The caller holds mu.
func (p *Prompt) read() {
	if p.unread {
		p.unread = false
		p.member.known.unread = max(p.member.known.unread-p.Work, 0)
	}
}

// SetReport records the load that an incarnation of an upstream reported.
func (t *Table) SetReport(id ident.Upstream, incarnation string, r load.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byID[id]
	if m == nil || m.Incarnation != incarnation {
		return
	}
	t.reportsSlowdown = t.reportsSlowdown || r.Slowdown > 0
	m.reported, m.reportedAt, m.ownAtReport = float64(r.Running+r.Waiting), r.At, m.inFlight
	if !r.At.Before(m.known.report.At) {
		m.known.report = r
	}
}

// ReportsSlowdown reports whether an upstream has said how long work takes at the moment. Upstreams
// that do share their machines with others, so that their speeds differ.
func (t *Table) ReportsSlowdown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportsSlowdown
}

// Samples returns the load of the upstreams as this router sees it. Upstreams of which it has
// nothing to say are left out.
func (t *Table) Samples(now time.Time) (all []load.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		s := load.Sample{Upstream: m.ID, Incarnation: m.Incarnation, InFlight: m.inFlight, UnreadTokens: m.known.unread}
		if now.Sub(m.known.report.At) < sampleValidity {
			s.Report = m.known.report
		}
		if now.Sub(m.known.pacedAt) < sampleValidity {
			s.Pace, s.Events = m.known.pace, m.known.events
		}
		if s.InFlight > 0 || s.UnreadTokens > 0 || s.Events > 0 || !s.Report.At.IsZero() {
			all = append(all, s)
		}
	}
	return all
}

// sampleValidity is how long reports and paces are passed on to other routers. A bound keeps
// the samples of a router with few requests small.
const sampleValidity = 3 * time.Second
