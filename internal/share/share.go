// Package share decides how many tokens of a prepaid budget one router holds.
//
// A router spends only from its share, so shares determine which router can serve
// which request when routers cannot reach each other or the key-value service. A
// large share lasts longer during a partition, but withholds tokens from other
// routers when the budget runs low. The package makes this trade-off with pure
// functions of a State, a Policy and the present time. The ledger page grants the
// tokens; no decision of this package can overspend a budget.
//
// # Usage
//
//	policy := share.NewPolicy(configuration.Current().Policy)
//	switch d := share.Plan(now, state, policy); d.Action {
//	case share.ActionDraw:   // draw d.Want, at least d.Least
//	case share.ActionReturn: // return d.Want
//	case share.ActionRecall: // ask the holders in d.Recalls
//	}
package share

import (
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/tokens"
)

// State describes a router's share of one budget, as far as the router knows.
type State struct {
	// Free is the unreserved part of the share, Reserved the rest.
	Free, Reserved tokens.Count
	// Needed is the sum of the waiting reservations, Next the size of the next one to
	// be served.
	Needed, Next tokens.Count
	// Rate and MeanRate are the present and the mean drawing rate in tokens per
	// second.
	Rate, MeanRate float64
	// FleetRate is the rate at which all holders together spend the budget, or 0 if it
	// is not known.
	FleetRate float64
	// StandbyRate is the rate at which other routers spend the budget if this router is
	// its standby holder in its failure domain, and 0 otherwise.
	StandbyRate float64
	// RequestSize is the typical size of a reservation.
	RequestSize tokens.Count
	// LastUsed is the time of the last reservation, or of the last notice that the budget
	// is served in another failure domain.
	LastUsed time.Time
	// Pool is the undistributed part of the budget as of the last ledger result.
	Pool tokens.Count
	// Others is the sum of the other holders' shares as of the last ledger result.
	Others tokens.Count
	// LiveRouters is the number of routers that may hold a share. Values below 1
	// count as 1.
	LiveRouters int
	// Rounds is the number of rounds of recalls already made for the next
	// reservation.
	Rounds int
	// Exhausted reports that the last draw was refused for lack of tokens. Holders are
	// the other shares that the ledger listed then.
	Exhausted bool
	Holders   []ledger.Holding
}

// Action is what Plan decides to do with a share.
type Action string

// Actions.
const (
	ActionHold   Action = "hold"
	ActionDraw   Action = "draw"
	ActionReturn Action = "return"
	ActionRecall Action = "recall"
	// ActionRefuse means that the next reservation is refused, because the holders
	// together have too few tokens for it.
	ActionRefuse Action = "refuse"
)

// Reason is why Plan chose an action. It is logged.
type Reason string

// Reasons.
const (
	ReasonEnough    Reason = "share suffices"
	ReasonNeeded    Reason = "requests wait for tokens"
	ReasonExactDraw Reason = "budget runs down, exact draw"
	ReasonRefill    Reason = "refill ahead of need"
	ReasonReserve   Reason = "reserve ahead of partitions"
	ReasonIdle      Reason = "share is idle"
	ReasonExcess    Reason = "share exceeds its target"
	ReasonExhausted Reason = "budget exhausted, others hold tokens"
	ReasonNoTokens  Reason = "budget exhausted, no other share has free tokens"
)

// Decision is the result of Plan.
type Decision struct {
	Action Action
	Reason Reason
	// Want is the number of tokens to draw, return or recall. Least is the smallest
	// useful grant, Needed the part of Want that requests wait for.
	Want, Least, Needed tokens.Count
	// Target is the number of unreserved tokens that the share should hold.
	Target tokens.Count
	// Recalls lists the holders to ask for tokens, largest free share first.
	Recalls []Recall
}

// Recall is a request to one holder to return tokens.
type Recall struct {
	Holding ledger.Holding
	Want    tokens.Count
}

// Plan decides what to do with a share at now. Waiting reservations take precedence
// over returns of idle or excess tokens, and those over refills.
func Plan(now time.Time, s State, p Policy) Decision {
	after := s
	after.Pool -= max(s.Needed-s.Free, 0)
	d := Decision{Action: ActionHold, Reason: ReasonEnough, Target: target(now, after, p)}
	switch {
	case s.Needed > s.Free:
		return planNeeded(s, d)
	case s.Needed > 0:
		return d
	case s.idle(now, p):
		return planIdle(s, d)
	case s.Free > excessFactor*d.Target, s.Free > d.Target && s.overheld(p):
		return planExcess(s, d)
	case s.Free < tokens.Count(float64(d.Target)*p.RefillLevel), s.Free < min(d.Target, s.floor(p)):
		return planRefill(s, p, d)
	}
	return d
}

// planNeeded returns the decision when the free part of the share does not cover
// the waiting reservations. It draws for them, and also up to the target if the
// pool has enough for both. After a refused draw, it holds if the share covers the
// next reservation, and otherwise returns the decision of planRecall.
func planNeeded(s State, d Decision) Decision {
	shortfall := s.Needed - s.Free
	least := max(s.Next-s.Free, 1)
	switch {
	case s.Exhausted && s.Next <= s.Free:
		return d // the next reservation is served from the share
	case s.Exhausted:
		return planRecall(s, d, shortfall, least)
	}
	d.Action, d.Reason = ActionDraw, ReasonNeeded
	d.Want, d.Least, d.Needed = shortfall+d.Target, least, shortfall
	if s.Pool > 0 && s.Pool < shortfall+d.Target {
		d.Reason, d.Want = ReasonExactDraw, shortfall
	}
	return d
}

func planIdle(s State, d Decision) Decision {
	d.Target = 0
	if s.Free <= 0 {
		return d
	}
	d.Action, d.Reason, d.Want = ActionReturn, ReasonIdle, s.Free
	return d
}

func planExcess(s State, d Decision) Decision {
	d.Action, d.Reason = ActionReturn, ReasonExcess
	d.Want = s.Free - d.Target
	return d
}

// minSharePart is the part of the pool, as a divisor, that a share may hold even if all shares
// together hold more than MaxHeldFraction, as the ledger grants it.
const minSharePart = 16

func planRefill(s State, p Policy, d Decision) Decision {
	want := d.Target - s.Free
	if p.MaxHeldFraction > 0 {
		want = min(want, max(s.room(p), max(s.Pool, 0)/minSharePart-s.Free-s.Reserved))
		if float64(want) < (1-p.RefillLevel)*float64(d.Target) {
			return d // the ledger would grant too little to be worth a draw
		}
	}
	d.Action, d.Reason = ActionDraw, ReasonRefill
	if d.Target <= s.floor(p) {
		d.Reason = ReasonReserve
	}
	d.Want, d.Least = want, 1
	return d
}

// excessFactor is the multiple of its target above which a share is reduced. The
// distance to the refill level keeps tokens from being returned and drawn by turns.
const excessFactor = 2

// maxShare bounds the size of a share, so that sums of sizes do not overflow.
const maxShare = 1 << 50

// target returns the number of unreserved tokens that the share should hold.
func target(now time.Time, s State, p Policy) tokens.Count {
	if s.idle(now, p) {
		return 0
	}
	byRate := max(s.Rate*p.Horizon.Seconds(), s.MeanRate*p.MeanHorizon.Seconds(), s.StandbyRate*p.StandbyHorizon.Seconds())
	fairLimit := s.fairLimit(p)
	return min(max(tokens.Count(min(byRate, maxShare)), s.floor(p), s.activeMinimum(p, fairLimit)), max(fairLimit, s.sharedLimit(p)))
}

// activeMinimum returns the tokens that a share holds regardless of its rate while
// its own router spends from it.
func (s State) activeMinimum(p Policy, fairLimit tokens.Count) tokens.Count {
	if s.Rate == 0 && s.MeanRate == 0 {
		return 0
	}
	return tokens.Count(p.ActiveFraction * float64(fairLimit))
}

// floor returns the minimum reserve of a budget in use.
func (s State) floor(p Policy) tokens.Count {
	return tokens.Count(p.ReserveRequests) * s.RequestSize
}

// fairLimit bounds the share to a fraction of the remaining budget, so that shares
// shrink as the budget runs down. All shares together may hold FreeFraction of the
// remaining budget. The holder's fraction of that is its fraction of the fleet's
// rate, but at least an even split.
//
// The holder knows the pool and its own share, but not the other shares. If all
// shares together are the fraction f of the total T, and the holder's is the
// fraction p of them, then its share is f*p*T, and the pool and its share together
// are (1-f+f*p)*T.
func (s State) fairLimit(p Policy) tokens.Count {
	remaining := max(s.Pool, 0) + max(s.Free, 0)
	fraction := 1 / float64(max(s.LiveRouters, 1))
	if s.FleetRate > 0 {
		evenFraction := fraction
		fraction = min(max(fraction, s.MeanRate/s.FleetRate), 1)
		if p.MaxSplitRatio > 0 {
			fraction = min(fraction, p.MaxSplitRatio*evenFraction)
		}
	}
	ownFraction := p.FreeFraction * fraction
	return tokens.Count(float64(remaining) * ownFraction / (1 - p.FreeFraction + ownFraction))
}

// sharedLimit returns the size that the share may reach without all shares together
// exceeding SharedFraction of the budget. It may be negative.
func (s State) sharedLimit(p Policy) tokens.Count {
	total := max(s.Pool, 0) + max(s.Free, 0) + s.Others
	return tokens.Count(p.SharedFraction*float64(total)) - s.Others
}

// overheld reports whether all shares together hold MaxHeldFraction of the budget, so that
// none that exceeds its target can stay as it is.
func (s State) overheld(p Policy) bool {
	return p.MaxHeldFraction > 0 && s.room(p) <= 0
}

// room returns how many tokens shares can draw until all together hold MaxHeldFraction of the
// budget, as of the last ledger result. It may be negative.
func (s State) room(p Policy) tokens.Count {
	held := max(s.Free, 0) + s.Others
	return tokens.Count(p.MaxHeldFraction*float64(held+max(s.Pool, 0))) - held
}

func (s State) idle(now time.Time, p Policy) bool {
	return now.Sub(s.LastUsed) >= p.IdleLimit
}
