package sharetest

import (
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/tokens"
)

// Strategy decides what a holder keeps of the budget.
type Strategy struct {
	Name string
	// lifetime is how long a holder may go on after its lease was last
	// confirmed. Its share is reclaimed after that.
	lifetime time.Duration
	policy   share.Policy // of Shares
	// reserve takes tokens for a request, maintain runs each second, settled
	// after a bill.
	reserve  func(h *holder, n tokens.Count) bool
	maintain func(h *holder)
	settled  func(h *holder, j *job)
}

// Share lifetimes: through a short partition, and through a long outage.
const (
	ShortLifetime = 90 * time.Second
	LongLifetime  = 15 * time.Minute
)

// Shares is the strategy of package share, with lean 0 for caution and 1 for
// availability, and the given share lifetime.
func Shares(lean float64, lifetime time.Duration) Strategy {
	return Strategy{
		Name:     "shares",
		lifetime: lifetime,
		policy:   share.Lean(lean, 0, lifetime, 0),
		reserve:  (*holder).reservePlanned,
		maintain: (*holder).maintainPlanned,
		settled:  func(*holder, *job) {},
	}
}

// StaticSplit gives each holder an equal part of the prepaid tokens, once, and
// of each top-up.
func StaticSplit(lifetime time.Duration) Strategy {
	return Strategy{
		Name:     "equal split",
		lifetime: lifetime,
		reserve: func(h *holder, n tokens.Count) bool {
			h.drawSplit()
			return h.take(n)
		},
		maintain: (*holder).drawSplit,
		settled:  func(*holder, *job) {},
	}
}

// AskEach draws the bound of each request from the store and returns what it
// did not cost together with its bill.
func AskEach(lifetime time.Duration) Strategy {
	return Strategy{
		Name:     "ask for each",
		lifetime: lifetime,
		reserve: func(h *holder, n tokens.Count) bool {
			for range 3 { // answers may be lost
				if h.take(n) {
					return true
				}
				if _, ok := h.draw(n, n); ok && !h.exhausted {
					continue
				}
			}
			return h.take(n)
		},
		maintain: func(h *holder) { h.returnUncounted(h.free()) },
		settled:  func(h *holder, _ *job) { h.returnUncounted(h.free()) },
	}
}

func (h *holder) returnUncounted(n tokens.Count) {
	calls := h.run.result.ShareCalls
	h.handBack(n)
	h.run.result.ShareCalls = calls
}

// drawSplit draws the holder's part of the tokens prepaid so far.
func (h *holder) drawSplit() {
	part := h.run.prepaid/holderCount - h.split
	if part <= 0 || !h.reaches() {
		return
	}
	if result, ok := h.draw(part, 1); ok {
		h.split += max(result.Granted, 1)
	}
}

func (h *holder) state(needed tokens.Count) share.State {
	s := share.State{
		Free: h.free(), Reserved: h.reserved, Needed: needed, Least: needed,
		Request: h.meter.Request(), Used: h.used, Pool: h.pool, Live: holderCount,
		Exhausted: h.exhausted, Holders: h.holders, Round: h.round, FleetRate: h.gauge.Rate(), Kept: h.kept,
	}
	s.Rate, s.Mean = h.meter.Rates(h.run.now())
	return s
}

const maxSteps = 20 // of draws and recalls for one request

func (h *holder) reservePlanned(n tokens.Count) bool {
	p := h.run.strategy.policy
	h.announce(p)
	h.exhausted, h.round = false, 0
	for range maxSteps {
		if h.take(n) {
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
	h.round++
	for _, r := range d.Recalls {
		n := h.run.find(r.Holding).handBack(r.Want)
		h.pool += n
		r.Returned(h.holders, n)
	}
}

func (r *run) find(holding ledger.Holding) *holder {
	for _, h := range r.holders {
		if h.id == holding.Holder {
			return h
		}
	}
	return nil
}

// announce tells the keepers of the other domains that the budget is in use.
func (h *holder) announce(p share.Policy) {
	due := !h.told || h.run.elapsed-h.notified >= p.IdleLimit/3
	if !p.SpreadDomains || !due || !h.meter.Busy(h.run.now()) {
		return
	}
	h.told, h.notified = true, h.run.elapsed
	for domain, keeper := range share.Keepers(budget, h.run.members) {
		k := h.run.find(ledger.Holding{Holder: keeper})
		if domain != h.run.members[h.index].Domain && !k.halted {
			k.used = h.run.now()
			_, mean := h.meter.Rates(h.run.now())
			k.kept = max(mean, h.gauge.Rate())
			k.meter.Expect(h.meter.Request())
		}
	}
}

func (h *holder) maintainPlanned() {
	if h.pending != nil {
		if _, ok := h.send(); !ok {
			return
		}
	}
	switch d := share.Plan(h.run.now(), h.state(0), h.run.strategy.policy); d.Action {
	case share.ActionDraw:
		h.draw(d.Want, d.Least)
	case share.ActionReturn:
		h.handBack(d.Want)
	}
}
