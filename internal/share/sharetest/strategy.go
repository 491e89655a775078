package sharetest

import (
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/tokens"
)

// Strategy decides how many tokens of the budget a holder keeps in its share.
type Strategy struct {
	Name string
	// lifetime is how long a holder may use its share after the last confirmation
	// of its lease. The share is reclaimed after that.
	lifetime time.Duration
	policy   share.Policy // set by Shares
	// reserve reserves tokens for a request, maintain is called once per second,
	// and settled is called after each settled bill.
	reserve  func(h *holder, n tokens.Count) bool
	maintain func(h *holder)
	settled  func(h *holder, j *job)
}

// Share lifetimes that outlast a short partition and a long outage, respectively.
const (
	ShortLifetime = 90 * time.Second
	LongLifetime  = 15 * time.Minute
)

// Shares returns the strategy that follows the decisions of package share. The
// availability ranges from 0 for caution to 1 for availability.
func Shares(availability float64, lifetime time.Duration) Strategy {
	return Strategy{
		Name:     "shares",
		lifetime: lifetime,
		policy:   share.PolicyAt(availability, 0, lifetime, 0),
		reserve:  (*holder).reservePlanned,
		maintain: (*holder).maintainPlanned,
		settled:  func(*holder, *job) {},
	}
}

// StaticSplit returns the strategy that draws an equal part of the prepaid tokens
// and of each top-up for each holder, and moves no tokens after that.
func StaticSplit(lifetime time.Duration) Strategy {
	return Strategy{
		Name:     "equal split",
		lifetime: lifetime,
		reserve: func(h *holder, n tokens.Count) bool {
			h.drawSplit()
			return h.reserveFromShare(n)
		},
		maintain: (*holder).drawSplit,
		settled:  func(*holder, *job) {},
	}
}

// AskEach returns the strategy that draws the cost bound of each request from the
// store and returns the unused tokens together with the bill.
func AskEach(lifetime time.Duration) Strategy {
	return Strategy{
		Name:     "ask for each",
		lifetime: lifetime,
		reserve: func(h *holder, n tokens.Count) bool {
			for range 3 { // responses may be lost
				if h.reserveFromShare(n) {
					return true
				}
				if _, ok := h.draw(n, n); ok && !h.exhausted {
					continue
				}
			}
			return h.reserveFromShare(n)
		},
		maintain: func(h *holder) { h.returnWithoutCounting(h.free()) },
		settled:  func(h *holder, _ *job) { h.returnWithoutCounting(h.free()) },
	}
}

// returnWithoutCounting returns up to n free tokens without adding to ShareCalls,
// because AskEach returns tokens together with the bill.
func (h *holder) returnWithoutCounting(n tokens.Count) {
	calls := h.run.result.ShareCalls
	h.returnTokens(n)
	h.run.result.ShareCalls = calls
}

// drawSplit draws the holder's equal part of the tokens prepaid so far, less what
// it has already drawn.
func (h *holder) drawSplit() {
	tokensDue := h.run.prepaid/holderCount - h.splitTokens
	if tokensDue <= 0 || !h.reaches() {
		return
	}
	if result, ok := h.draw(tokensDue, 1); ok {
		h.splitTokens += max(result.Granted, 1)
	}
}

func (h *holder) state(needed tokens.Count) share.State {
	s := share.State{
		Free: h.free(), Reserved: h.reserved, Needed: needed, Next: needed,
		RequestSize: h.meter.RequestSize(), LastUsed: h.lastUsed, Pool: h.poolFree, LiveRouters: holderCount,
		Exhausted: h.exhausted, Holders: h.holders, Rounds: h.recallRounds, FleetRate: h.fleetMeter.Rate(), StandbyRate: h.standbyRate,
	}
	s.Rate, s.MeanRate = h.meter.Rates(h.run.now())
	return s
}

const maxPlanSteps = 20 // draws and recalls for one request

func (h *holder) reservePlanned(n tokens.Count) bool {
	p := h.run.strategy.policy
	h.notifyStandbyHolders(p)
	h.exhausted, h.recallRounds = false, 0
	for range maxPlanSteps {
		if h.reserveFromShare(n) {
			return true
		}
		if !h.reaches() {
			return false
		}
		d := share.Plan(h.run.now(), h.state(n), p)
		switch d.Action {
		case share.ActionDraw:
			h.draw(d.Want, d.Least)
		case share.ActionRecall:
			h.recall(d)
		default:
			return false
		}
	}
	return false
}

func (h *holder) recall(d share.Decision) {
	h.recallRounds++
	for _, r := range d.Recalls {
		n := h.run.holderOf(r.Holding).returnTokens(r.Want)
		h.poolFree += n
		r.RecordReturn(h.holders, n)
	}
}

func (r *run) holderOf(holding ledger.Holding) *holder {
	for _, h := range r.holders {
		if h.id == holding.Holder {
			return h
		}
	}
	return nil
}

// notifyStandbyHolders notifies the standby holders of the budget in the other
// failure domains that the budget is in use. It does so at most three times per
// IdleLimit.
func (h *holder) notifyStandbyHolders(p share.Policy) {
	isDue := !h.notified || h.run.elapsed-h.lastNotified >= p.IdleLimit/3
	if !p.StandbyPerDomain || !isDue || !h.meter.Busy(h.run.now()) {
		return
	}
	h.notified, h.lastNotified = true, h.run.elapsed
	for domain, standbyHolder := range share.StandbyHolders(budget, h.run.members) {
		k := h.run.holderOf(ledger.Holding{Holder: standbyHolder})
		if domain != h.run.members[h.index].Domain && !k.stopped {
			k.lastUsed = h.run.now()
			_, mean := h.meter.Rates(h.run.now())
			k.standbyRate = max(mean, h.fleetMeter.Rate())
			k.meter.SetDefaultRequestSize(h.meter.RequestSize())
		}
	}
}

func (h *holder) maintainPlanned() {
	if h.pendingOp != nil {
		if _, ok := h.sendPending(); !ok {
			return
		}
	}
	switch d := share.Plan(h.run.now(), h.state(0), h.run.strategy.policy); d.Action {
	case share.ActionDraw:
		h.draw(d.Want, d.Least)
	case share.ActionReturn:
		h.returnTokens(d.Want)
	}
}
