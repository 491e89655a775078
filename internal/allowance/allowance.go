// Package allowance decides when a router may send a request to an upstream that names a
// limit: the number of requests per second that it accepts from all routers together.
//
// The routers do not ask each other before a request. In each turn of some seconds, a few
// of them hold the limit, each an equal part of it; the others send nothing. All routers
// compute the same holders from the records of the fleet. The number of holders grows with
// the limit, so that a holder has about one request per second or more: the requests that
// each may send at once then add up to no more than the limit. Because the holders change
// from turn to turn, each router finds out by itself when the upstream names another limit
// or none, and an upstream is not left without requests because its holders have none. A
// router that has no news for long sends a single request to find out.
//
// The package does no I/O and does not read the clock.
//
// # Usage
//
//	var a allowance.Allowance
//	a.Hear(now, sent, statement) // for each response
//	if a.Permits(now, upstream, fleet) {
//		a.Spend(now)
//		// send the request
//	}
package allowance

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

const (
	// turn is how long the same routers hold a limit.
	turn = 10 * time.Second
	// minPerSecond is the rate at which requests are sent to an upstream with a lower
	// limit, so that it can name another one.
	minPerSecond = 0.2
	// burstPeriod bounds the requests that a holder may send at once, beyond the first
	// one, to those of this period.
	burstPeriod = 250 * time.Millisecond
	// validity is how long a router that does not hold a limit believes it without news.
	// Then it sends one request to find out.
	validity = time.Minute
	// inquiryFraction bounds the requests that all routers send to find out, as a fraction
	// of the limit.
	inquiryFraction = 0.25
	// maxIdle is how long a holder leaves a permission to the requests for which the upstream
	// is the one of the affinity.
	maxIdle = time.Second
	// minDifference is the relative difference of two limits from which on a router tells
	// the others at once.
	minDifference = 0.1
)

// Statement is what an upstream says about its limit.
type Statement struct {
	// Named reports that the upstream names a limit.
	Named bool `json:"named,omitempty"`
	// PerSecond is the limit. It is not negative, and finite.
	PerSecond float64 `json:"perSecond,omitempty"`
}

// News is what a router tells the others about the limit of an upstream.
type News struct {
	Upstream ident.Upstream `json:"upstream"`
	// Incarnation is that of the upstream. A new one has named no limit yet.
	Incarnation string    `json:"incarnation,omitempty"`
	Statement   Statement `json:"statement"`
}

// Fleet holds the routers that share a limit. It must not be modified.
type Fleet struct {
	Self ident.VM
	// Routers are the routers that have a record. One that is not among them holds no limit,
	// since the others do not know of it.
	Routers []ident.VM
}

// Allowance holds the limit of an upstream and this router's part of it. The zero value
// is that of an upstream that has named no limit. It is not safe for concurrent use.
type Allowance struct {
	statement Statement
	newsAt    time.Time // when the statement was last heard or learned

	tokens     float64 // requests that may be sent now
	refilledAt time.Time
	readySince time.Time // when tokens reached 1, or zero

	// The following fields hold this router's rank in a turn, for a fleet and a limit.
	turn       int64
	fleet      *Fleet
	rankLimit  float64
	rank       int // among all routers, or holders if it is not less
	holders    int
	wasHolding bool  // in the last evaluation
	grantTurn  int64 // last turn for which this router got a first token
	fresh      bool  // the limit has not been evaluated since it was named
}

// Hear applies what a response says to a request that was sent at the given time. A
// response to a request that was sent before the last news may be older than these; it can
// lower the limit, but neither raise nor lift it. Hear reports whether the limit changed.
func (a *Allowance) Hear(now, sent time.Time, s Statement) (changed bool) {
	lowers := s.Named && (!a.statement.Named || s.PerSecond <= a.statement.PerSecond)
	if a.statement.Named && !lowers && sent.Before(a.newsAt) {
		return false
	}
	return a.Learn(now, s)
}

// Learn applies what another router has heard. It reports whether the limit changed.
func (a *Allowance) Learn(now time.Time, s Statement) (changed bool) {
	changed = s != a.statement
	if s.Named && !a.statement.Named {
		// The requests that were sent without a limit have used what there was.
		*a = Allowance{refilledAt: now, fresh: true}
	}
	a.statement, a.newsAt = s, now
	return changed
}

// Differs reports whether the limits of two statements differ so much that other routers
// should know at once.
func (s Statement) Differs(other Statement) bool {
	if s.Named != other.Named {
		return true
	}
	return math.Abs(s.PerSecond-other.PerSecond) > minDifference*max(s.PerSecond, other.PerSecond)
}

// Statement returns what the upstream says about its limit.
func (a *Allowance) Statement() Statement { return a.statement }

// Permits reports whether this router may send a request to the upstream now.
func (a *Allowance) Permits(now time.Time, upstream ident.Upstream, f *Fleet) bool {
	if !a.statement.Named {
		return true
	}
	a.update(now, upstream, f)
	return a.tokens >= 1 || !a.wasHolding && a.mayInquire(now, upstream, f)
}

// Overdue reports whether this router holds a permission that no request has used for some
// time, so that the upstream should get the next request whatever else speaks for another
// one: it can serve more, and nobody knows whether it still names its limit. It is valid after
// a call of Permits for the same time.
func (a *Allowance) Overdue(now time.Time) bool {
	return a.statement.Named && !a.readySince.IsZero() && now.Sub(a.readySince) >= maxIdle
}

// mayInquire reports whether it is time for a router that does not hold the limit to find
// out whether it is still named.
func (a *Allowance) mayInquire(now time.Time, upstream ident.Upstream, f *Fleet) bool {
	if now.Sub(a.newsAt) < validity {
		return false // without the hash, which is asked for with each choice
	}
	interval := time.Duration(2 * float64(len(f.Routers)) / (inquiryFraction * a.rate()) * float64(time.Second))
	u := float64(score(upstream, 0, f.Self)) / math.MaxUint64
	return now.Sub(a.newsAt) >= validity+time.Duration(u*float64(interval))
}

// Spend consumes the permission for one request.
func (a *Allowance) Spend(now time.Time) {
	switch {
	case !a.statement.Named:
	case a.wasHolding:
		a.tokens = max(a.tokens-1, 0)
		a.readySince = time.Time{}
	default:
		a.newsAt = now // do not inquire again before there could be news
	}
}

// Wait returns about how long it takes until a request may be sent to the upstream, by this
// router if it holds the limit, or else by any.
func (a *Allowance) Wait(now time.Time, upstream ident.Upstream, f *Fleet) time.Duration {
	if a.Permits(now, upstream, f) {
		return 0
	}
	seconds := 1 / a.rate()
	if a.wasHolding {
		seconds = (1 - a.tokens) / a.part()
	}
	return time.Duration(seconds * float64(time.Second))
}

// HoldsNothingFor returns how long this router will hold no part of the limit while the limit and
// the fleet stay the same: until the end of the turn, or 0 if it holds a part now. It is valid
// after a call of Permits for the same time.
func (a *Allowance) HoldsNothingFor(now time.Time, upstream ident.Upstream) time.Duration {
	if a.wasHolding {
		return 0
	}
	return turn - time.Duration((now.UnixNano()+turnOffset(upstream))%int64(turn))
}

// First reports whether this router is the first holder, which reminds the others of the
// limit.
func (a *Allowance) First(now time.Time, upstream ident.Upstream, f *Fleet) bool {
	if !a.statement.Named {
		return false
	}
	a.update(now, upstream, f)
	return a.rank == 0
}

// Holds reports whether this router holds a part of the limit.
func (a *Allowance) Holds(now time.Time, upstream ident.Upstream, f *Fleet) bool {
	if !a.statement.Named {
		return false
	}
	a.update(now, upstream, f)
	return a.wasHolding
}

// rate returns the requests per second that all routers together may send.
func (a *Allowance) rate() float64 { return max(a.statement.PerSecond, minPerSecond) }

// part returns the requests per second that each holder may send.
func (a *Allowance) part() float64 { return a.rate() / float64(max(a.holders, 1)) }

// update brings the rank and the tokens up to date.
func (a *Allowance) update(now time.Time, upstream ident.Upstream, f *Fleet) {
	t := turnAt(now, upstream)
	if t != a.turn || f != a.fleet || a.statement.PerSecond != a.rankLimit || a.holders == 0 {
		a.turn, a.fleet, a.rankLimit = t, f, a.statement.PerSecond
		a.holders = holderCount(a.rate(), len(f.Routers))
		a.rank = rankOf(upstream, t, f, a.holders)
	}
	if a.fresh {
		a.wasHolding, a.grantTurn, a.fresh = true, t, false
	}
	holding := a.rank < a.holders
	switch {
	case !holding:
		a.tokens = 0
	case !a.wasHolding && a.grantTurn < t:
		a.tokens, a.grantTurn = 1, t
	case a.wasHolding:
		elapsed := max(now.Sub(a.refilledAt), 0).Seconds()
		a.tokens = min(a.tokens+elapsed*a.part(), max(1, a.part()*burstPeriod.Seconds()))
		a.grantTurn = t // no first token again if the fleet takes the limit away and gives it back
	}
	a.wasHolding, a.refilledAt = holding, now
	switch {
	case a.tokens < 1:
		a.readySince = time.Time{}
	case a.readySince.IsZero():
		a.readySince = now
	}
}

// holderCount returns the number of routers that share a limit at a time.
func holderCount(perSecond float64, routers int) int {
	return int(max(min(math.Ceil(perSecond), float64(routers)), 1))
}

// turnAt returns the number of the turn at a time. Turns of different upstreams begin at
// different times.
func turnAt(now time.Time, upstream ident.Upstream) int64 {
	return (now.UnixNano() + turnOffset(upstream)) / int64(turn)
}

// turnOffset returns how much earlier the turns of an upstream begin than full turns of the clock.
func turnOffset(upstream ident.Upstream) int64 {
	return int64(xxhash.Sum64String(string(upstream)) % uint64(turn))
}

// rankOf returns the rank of this router for the limit of an upstream in a turn, from 0. It
// is that after the last router if this one has no record. Ranks from bound on are not told
// apart: in a large fleet most routers find after a few of the others that they hold nothing.
func rankOf(upstream ident.Upstream, turn int64, f *Fleet, bound int) (rank int) {
	if !slices.Contains(f.Routers, f.Self) {
		return max(len(f.Routers), 1)
	}
	own := score(upstream, turn, f.Self)
	for _, vm := range f.Routers {
		if s := score(upstream, turn, vm); vm != f.Self && (s < own || s == own && vm < f.Self) {
			if rank++; rank >= bound {
				break
			}
		}
	}
	return rank
}

// score returns the hash by which the routers are ordered for the limit of an upstream in
// a turn.
func score(upstream ident.Upstream, turn int64, vm ident.VM) uint64 {
	var buffer [128]byte // on the stack, unless the identifiers are longer
	data := append(append(buffer[:0], upstream...), 0)
	data = append(append(data, vm...), 0)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(data, uint64(turn)))
}
