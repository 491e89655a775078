package affinity

import (
	"math"
	"time"

	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// minPredictingRouters is the size of a fleet from which on starts are predicted. A router
	// of a smaller fleet sees enough by its own requests.
	minPredictingRouters = 17
	// defaultRate is the prefill rate in tokens per millisecond until one is learned; minRate
	// and maxRate bound what is learned.
	defaultRate      = 50.0
	minRate, maxRate = 2.0, 1000.0
	// rateStep is the relative change of the learned rate for each response.
	rateStep = 0.03
	// minRateWork is the least number of tokens to prefill from which the rate is learned. With
	// fewer, the time to the first event is mostly that of the network and of one step.
	minRateWork = 1500
	// paceEvents is the number of events that the mean pace of an upstream covers.
	paceEvents = 256
	// usualPaceEvents is the weight, in events, of the pace of all upstreams in that of one of
	// which few events are known.
	usualPaceEvents = 16
	// minFactor and maxFactor bound the slowdown and the relative pace of an upstream.
	minFactor, maxFactor = 0.3, 5.0
	// usualPaceWeight and holdWeight are the weights of the newest value in the moving averages
	// of the pace and of the duration of requests of all upstreams.
	usualPaceWeight, holdWeight = 1.0 / 128, 1.0 / 32
)

// rule says which upstreams are considered for a prompt, and what decides between them. The
// tests compare several.
type rule struct {
	// ranked is the number of candidates in the rank order of the shared prefix. If the best of
	// them is expected to need more than the fraction deepAbove of the latency target, further
	// ones follow in the same order, up to deep, until one needs less. All routers agree on the
	// order, so that also the prefix of a popular prompt is in few caches.
	ranked, deep int
	deepAbove    float64
	// sampled is the number of candidates beside the ranked ones for prompts without a shared
	// prefix or with a small one, or if the ranked ones are full. They are drawn anew for each
	// request: routers that decide at the same moment with the same view then consider
	// different ones. A shared prefix is small if it is prefilled within the fraction
	// smallShared of the latency target.
	sampled     int
	smallShared float64
	// all makes all upstreams candidates.
	all bool
	// sharedCost is the weight of the time that an upstream spends on prefilling a shared prefix
	// again, beyond its part in the prediction. That time delays other requests too.
	sharedCost float64
	// margin is the fraction of the latency target by which a later candidate has to be better.
	margin float64
	// plainView makes the requests of the view count on upstreams of plain services, in place
	// of the present estimate.
	plainView bool
}

// defaultRule is compared with others in docs/design/placement.md.
var defaultRule = rule{ranked: 4, deep: 16, deepAbove: 0.3, sampled: 2, smallShared: 0.05, sharedCost: 2}

// maxRanked bounds the numbers of candidates.
const maxRanked = 16

// predicts reports whether starts are predicted for the query. They are not without a view of
// the other routers' requests.
func (q *Query) predicts() bool {
	return q.View != nil && q.RouterCount >= minPredictingRouters && (q.Tokens > 0 || q.Plain && q.Key == 0)
}

// known is what is known of an upstream for predictions. It is that of one incarnation.
type known struct {
	unread tokens.Count // of this router's prompts whose first event has not arrived
	report load.Report  // the newest that this router received
	// pace is the mean time between events over the given number of events that this router
	// received, and pacedAt the time of the last one.
	pace    time.Duration
	events  int
	pacedAt time.Time
	// others is the newest sample of the other routers with a pace.
	others load.Sample
}

// usual is what is known of all upstreams of a service together.
type usual struct {
	rate float64 // prefilled tokens per millisecond
	pace float64 // mean time between events in ns, or 0 if unknown
	hold float64 // mean duration of prompts in ns, or 0 if unknown
}

// Prediction is what is expected of a prompt on an upstream.
type Prediction struct {
	// FirstEvent is the expected time to the first event, or 0 if it is not predicted.
	FirstEvent time.Duration
	// Unread is the number of tokens to be prefilled before those of the prompt, and Work that
	// of the prompt itself.
	Unread, Work tokens.Count
	// Factor is how long work takes on the upstream as a multiple of the usual time.
	Factor float64
}

// predict returns the prediction for the query on m. The caller holds mu.
func (t *Table) predict(now time.Time, m *member, q *Query, cached bool) (p Prediction) {
	s, _ := q.View.Of(m.ID, m.Incarnation)
	if s.Events > 0 {
		m.known.others = s
	}
	p.Unread = m.known.unread + s.UnreadTokens
	p.Work = q.Tokens
	if cached {
		p.Work = max(q.Tokens-q.Shared, 1)
	}
	p.Factor = m.slowdown(now, s.Report) * t.relativePace(m)
	wait := float64(t.prefillTime(p.Unread+p.Work)) * p.Factor
	if excess := m.inFlight + s.InFlight + 1 - m.Slots; m.Slots > 0 && excess > 0 {
		wait += float64(excess) / float64(m.Slots) * t.usual.hold * p.Factor
	}
	p.FirstEvent = time.Duration(min(wait, float64(time.Hour)))
	return p
}

// prefillTime returns the usual time that it takes to prefill n tokens.
func (t *Table) prefillTime(n tokens.Count) time.Duration {
	return time.Duration(float64(n) / t.usual.rate * float64(time.Millisecond))
}

// slowdown returns the newest slowdown that m reported to this router or, as others, to another
// one, or 1 if there is no recent one.
func (m *member) slowdown(now time.Time, others load.Report) float64 {
	newest := m.known.report
	if others.At.After(newest.At) {
		newest = others
	}
	if newest.Slowdown <= 0 || now.Sub(newest.At) >= reportValidity {
		return 1
	}
	return clamp(newest.Slowdown)
}

// relativePace returns the time between events of m as a multiple of that of all upstreams.
func (t *Table) relativePace(m *member) float64 {
	own := load.Sample{Pace: m.known.pace, Events: m.known.events}
	s := own.Join(load.Sample{Pace: m.known.others.Pace, Events: m.known.others.Events})
	if s.Events == 0 {
		return 1
	}
	if t.usual.pace == 0 {
		t.usual.pace = float64(s.Pace)
	}
	t.usual.pace += (float64(s.Pace) - t.usual.pace) * usualPaceWeight
	events := float64(s.Events)
	pace := (float64(s.Pace)*events + t.usual.pace*usualPaceEvents) / (events + usualPaceEvents)
	if t.usual.pace <= 0 {
		return 1
	}
	return clamp(pace / t.usual.pace)
}

func clamp(factor float64) float64 { return min(max(factor, minFactor), maxFactor) }

// ranking holds the members with the highest scores, in descending order.
type ranking struct {
	members [maxRanked]*member
	scores  [maxRanked]uint64
	n       int
}

// add adds m if its score is among the limit highest and s accepts it.
func (r *ranking) add(s *selection, m *member, score uint64, limit int) {
	if limit == 0 || r.n == limit && score <= r.scores[r.n-1] || !s.isCandidate(m) {
		return
	}
	r.n = min(r.n+1, limit)
	i := r.n - 1
	for ; i > 0 && score > r.scores[i-1]; i-- {
		r.members[i], r.scores[i] = r.members[i-1], r.scores[i-1]
	}
	r.members[i], r.scores[i] = m, score
}

// rank returns the candidates with the highest scores for a key.
func (s *selection) rank(members []*member, key uint64, limit int) (r ranking) {
	for _, m := range members {
		r.add(s, m, score(key, m.hash), limit)
	}
	return r
}

// draw returns candidates that differ from one request to the next.
func (s *selection) draw(members []*member, n int) ranking {
	return s.rank(members, s.query.Key^uint64(s.now.UnixNano()), n)
}

// place returns the candidate for which the rule and the predictions speak, or fallback if there
// is none. The caller holds mu.
func (t *Table) place(s *selection, fallback *member) *member {
	if s.query.Plain {
		return t.leastOccupied(s, fallback)
	}
	c := contest{table: t, selection: s}
	c.considerRanked()
	if t.rule.all {
		c.considerAll()
	}
	small := float64(t.prefillTime(s.query.Shared)) < t.rule.smallShared*float64(s.query.Target)
	if c.best == nil || c.full || small {
		drawn := s.draw(t.members, t.rule.sampled)
		for _, m := range drawn.members[:drawn.n] {
			c.consider(m, t.sent.has(s.now, s.query.Key, m))
		}
	}
	if c.best == nil {
		return fallback
	}
	return c.best
}

// contest finds the best of the candidates that are considered in order.
type contest struct {
	table     *Table
	selection *selection

	best  *member
	cost  float64
	start time.Duration // predicted for the best candidate
	full  bool          // whether the best candidate is full
	first *member       // in rank order
}

// considerRanked considers the first candidates in the rank order of the shared prefix.
func (c *contest) considerRanked() {
	s, t := c.selection, c.table
	if s.query.Key == 0 {
		return
	}
	ranked := s.rank(t.members, s.query.Key, max(t.rule.ranked, t.rule.deep))
	c.first = ranked.members[0]
	enough := time.Duration(t.rule.deepAbove * float64(s.query.Target))
	for i, m := range ranked.members[:ranked.n] {
		if i >= t.rule.ranked && c.start <= enough {
			return
		}
		c.consider(m, i == 0 || t.sent.has(s.now, s.query.Key, m))
	}
}

// considerAll considers all upstreams.
func (c *contest) considerAll() {
	for _, m := range c.table.members {
		if c.selection.isCandidate(m) && m != c.best {
			c.consider(m, m == c.first || c.table.sent.has(c.selection.now, c.selection.query.Key, m))
		}
	}
}

// consider makes m the best candidate if it is better than the best one so far.
func (c *contest) consider(m *member, cached bool) {
	q := c.selection.query
	p := c.table.predict(c.selection.now, m, q, cached)
	cost := float64(p.FirstEvent)
	if !cached && q.Key != 0 {
		cost += c.table.rule.sharedCost * float64(c.table.prefillTime(q.Shared)) * p.Factor
	}
	waiting := float64(c.table.prefillTime(p.Unread)) * p.Factor
	full := q.Target > 0 && waiting > float64(q.Target)
	switch {
	case c.best == nil, c.full && !full:
	case full && !c.full, cost+c.table.rule.margin*float64(q.Target) >= c.cost:
		return
	}
	c.best, c.cost, c.start, c.full = m, cost, p.FirstEvent, full
}

// leastOccupied returns the candidate of a plain service with the least load per slot, weighted by
// its slowdown. The requests in the view do not count: they last for less time than the view is
// old, so that all routers would choose the same upstream until the next view.
func (t *Table) leastOccupied(s *selection, fallback *member) *member {
	best, least := fallback, math.Inf(1)
	for _, m := range t.members {
		if !s.isCandidate(m) {
			continue
		}
		others, _ := s.query.View.Of(m.ID, m.Incarnation)
		requests := s.load(m)
		if t.rule.plainView {
			requests = float64(m.inFlight + others.InFlight)
		}
		cost := (requests + 1) / float64(max(m.Slots, 1)) * m.slowdown(s.now, others.Report)
		cost += m.penalty
		if cost < least {
			best, least = m, cost
		}
	}
	return best
}

// learnRate updates the prefill rate by the time to the first event on an upstream that had no
// other unread tokens. It approaches the median, since the cache and the requests of
// other routers are known only roughly, so that some of the times are far off.
func (u *usual) learnRate(p Prediction, seen time.Duration) {
	if p.Unread > 0 || p.Work < minRateWork || p.Factor <= 0 || seen <= 0 {
		return
	}
	rate := float64(p.Work) * p.Factor / (float64(seen) / float64(time.Millisecond))
	if rate > u.rate {
		u.rate = min(u.rate*(1+rateStep), maxRate)
	} else {
		u.rate = max(u.rate/(1+rateStep), minRate)
	}
}
