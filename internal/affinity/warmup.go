package affinity

import (
	"math"
	"slices"
	"time"

	"example.org/lagoonfork/internal/allowance"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// defaultColdFactor and defaultColdSlack are the values of a ColdBound that is not set.
	defaultColdFactor = 1.5
	defaultColdSlack  = 5
	// setsOfHolders is the number of sets of holders that may send to a cold upstream in the
	// same second: those of two turns, because a turn ends or because clocks differ by up to
	// 8 s, for each of two states of the fleet, because a part of the routers does not know
	// the present one.
	setsOfHolders = 4
	// holderPerSecond is the rate of one holder. Two of its requests are more than a second
	// apart, with 110 ms for differences in the time that they take to arrive.
	holderPerSecond = 0.9
	// After the warm-up, the rate is multiplied by rampFactor in each of rampSteps steps of
	// rampStep. After them the upstream has no limit.
	rampFactor = 2.0
	rampSteps  = 3
	rampStep   = time.Second
	// warmValidity is how long it is not checked again that an upstream is warm, unless it is
	// said to be cold.
	warmValidity = time.Hour
)

// WarmUp describes how the upstreams of a service warm up. The zero value is that of a service
// whose upstreams do not.
type WarmUp struct {
	// Duration is how long an upstream is cold after a start.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold upstream can handle.
	PerSecond float64
	Bound     ColdBound
}

// ColdBound gives the number of requests that a cold upstream may get in any one second from all
// routers together: Factor times what it can handle, and Slack more. The zero value stands for 1.5
// and 5.
type ColdBound struct {
	Factor, Slack float64
}

// maxPerSecond returns the number for an upstream that can handle perSecond.
func (b ColdBound) maxPerSecond(perSecond float64) float64 {
	if b == (ColdBound{}) {
		b = ColdBound{Factor: defaultColdFactor, Slack: defaultColdSlack}
	}
	return b.Factor*perSecond + b.Slack
}

// rate returns the requests per second that all routers of a fleet of the given size may send
// to a cold upstream. Each router decides alone whether it is a holder, and a holder sends one
// request per second at most. The number of holders is such that all sets of holders together
// send no more than the upstream may get.
func (w WarmUp) rate(routers int) float64 {
	holders := math.Floor(w.Bound.maxPerSecond(w.PerSecond) / setsOfHolders)
	holders = max(min(holders, float64(routers)), 1)
	return min(holderPerSecond*holders, w.PerSecond)
}

// warmUp is the state of the warm-up of one upstream.
type warmUp struct {
	policy *WarmUp
	// knownUntil is the end according to the record and the failure domain of the upstream,
	// lostUntil the end after the last loss of a connection to it.
	knownUntil, lostUntil time.Time
	allowance             allowance.Allowance

	// permitted is the result of permits for checkedFleet at checkedAt and before checkedUntil.
	// Most routers hold nothing of most cold upstreams for a whole turn. checkedFleet is nil if
	// the result is not known.
	permitted               bool
	checkedAt, checkedUntil time.Time
	checkedFleet            *allowance.Fleet
}

// permits reports whether this router may send a request to the upstream now.
func (w *warmUp) permits(now time.Time, id ident.Upstream, f *allowance.Fleet) bool {
	if f == w.checkedFleet && (now == w.checkedAt || now.Before(w.checkedUntil) && !now.Before(w.checkedAt)) {
		return w.permitted
	}
	limited := w.update(now, f)
	w.permitted = !limited || w.allowance.Permits(now, id, f)
	w.checkedAt, w.checkedUntil, w.checkedFleet = now, now, f
	switch {
	case !limited:
		w.checkedUntil = now.Add(warmValidity)
	case !w.permitted:
		w.checkedUntil = now.Add(min(w.allowance.HoldsNothingFor(now, id), w.rateStaysFor(now)))
	}
	return w.permitted
}

// rateStaysFor returns how long the rate stays the same during the warm-up and the steps after it.
func (w *warmUp) rateStaysFor(now time.Time) time.Duration {
	since := now.Sub(w.until())
	if since < 0 {
		return -since
	}
	return rampStep - since%rampStep
}

// spend consumes the permission for one request.
func (w *warmUp) spend(now time.Time) {
	w.allowance.Spend(now)
	w.checkedFleet = nil
}

// until returns the end of the warm-up.
func (w *warmUp) until() time.Time {
	if w.knownUntil.After(w.lostUntil) {
		return w.knownUntil
	}
	return w.lostUntil
}

// statement returns the limit that the routers keep for the upstream.
func (w *warmUp) statement(now time.Time, f *allowance.Fleet) (s allowance.Statement) {
	since := now.Sub(w.until())
	if w.policy.Duration <= 0 || since >= rampSteps*rampStep {
		return s
	}
	s = allowance.Statement{Named: true, PerSecond: w.policy.rate(len(f.Routers))}
	if since >= 0 {
		s.PerSecond *= math.Pow(rampFactor, float64(since/rampStep)+1)
	}
	return s
}

// update brings the allowance up to date. It is told the limit each time, so that routers that
// hold nothing do not inquire, however long the warm-up is.
func (w *warmUp) update(now time.Time, f *allowance.Fleet) (limited bool) {
	w.checkedFleet = nil
	s := w.statement(now, f)
	if s.Named || w.allowance.Statement().Named {
		w.allowance.Learn(now, s)
	}
	return s.Named
}

// wait returns about how long it takes until this router may send a request to the upstream.
func (w *warmUp) wait(now time.Time, id ident.Upstream, f *allowance.Fleet) time.Duration {
	if w == nil || !w.update(now, f) || w.allowance.Permits(now, id, f) {
		return 0
	}
	wait := w.allowance.Wait(now, id, f)
	if !w.allowance.Holds(now, id, f) {
		wait = max(wait, w.until().Sub(now))
	}
	return wait
}

// admits reports whether a request may be sent to the upstream as far as its failure domain,
// the limit that it names and its warm-up are concerned.
func (m *member) admits(now time.Time, f *allowance.Fleet) bool {
	return !m.Closed && (!m.allowance.Statement().Named || m.allowance.Permits(now, m.ID, f)) &&
		(m.warmUp == nil || m.warmUp.permits(now, m.ID, f))
}

// spend consumes the permission for one request.
func (m *member) spend(now time.Time) {
	m.allowance.Spend(now)
	if m.warmUp != nil {
		m.warmUp.spend(now)
	}
}

// SetWarmUp sets how the upstreams warm up.
func (t *Table) SetWarmUp(w WarmUp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmUp = w
	for _, state := range t.warming {
		state.checkedFleet = nil
	}
}

// SetWarming records until when an upstream is cold according to its record and its failure
// domain, or was until shortly before: the steps after a warm-up apply also if the router learns of
// it during them. It may be called before the upstream is known, so that no request is chosen for
// it in between.
func (t *Table) SetWarming(now time.Time, id ident.Upstream, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.warming[id]
	if w == nil && now.Sub(until) >= rampSteps*rampStep {
		return
	}
	t.warmUpOf(now, id).knownUntil = until
}

// MayHaveRestarted records that a connection to an upstream was refused or lost. The upstream
// counts as cold for the time of its warm-up, because its process may have restarted. It reports
// whether the upstream was warm.
func (t *Table) MayHaveRestarted(now time.Time, id ident.Upstream) (warm bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.warmUp.Duration <= 0 || t.byID[id] == nil {
		return false
	}
	w := t.warmUpOf(now, id)
	warm = !now.Before(w.until())
	w.lostUntil = now.Add(t.warmUp.Duration)
	return warm
}

// warmUpOf returns the state of the warm-up of an upstream, and creates it if needed. The caller
// holds mu.
func (t *Table) warmUpOf(now time.Time, id ident.Upstream) *warmUp {
	if w := t.warming[id]; w != nil {
		w.checkedFleet = nil // the caller changes the end of the warm-up
		return w
	}
	if len(t.warming) > len(t.byID) {
		t.dropWarm(now)
	}
	w := &warmUp{policy: &t.warmUp}
	// Tokens accumulate from the moment at which the warm-up becomes known.
	w.allowance.Learn(now, allowance.Statement{Named: true})
	t.warming[id] = w
	if m := t.byID[id]; m != nil {
		m.warmUp = w
	}
	return w
}

// dropWarm forgets the upstreams whose warm-up is over. The caller holds mu.
func (t *Table) dropWarm(now time.Time) {
	for id, w := range t.warming {
		if now.Sub(w.until()) < rampSteps*rampStep {
			continue
		}
		delete(t.warming, id)
		if m := t.byID[id]; m != nil {
			m.warmUp = nil
		}
		if m := t.absent[id]; m != nil {
			m.warmUp = nil
		}
	}
}

// AllClosed reports whether there are upstreams and nothing may be sent to any of them because
// they are closed.
func (t *Table) AllClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) > 0 && !slices.ContainsFunc(t.members, func(m *member) bool { return !m.Closed })
}

// AwaitsWarmUp reports whether an upstream that is not excluded gets no request only because it
// warms up.
func (t *Table) AwaitsWarmUp(now time.Time, q Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.members, func(m *member) bool {
		return !m.Closed && !slices.Contains(q.Exclude, m.ID) && m.allowance.Permits(now, m.ID, q.fleet()) && m.warmUp.wait(now, m.ID, q.fleet()) > 0
	})
}
