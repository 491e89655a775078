package wallet

import (
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// account is the router's share of one budget. All fields but budget are guarded
// by the lock of the budget's shard.
type account struct {
	budget      ident.Budget
	funding     ledger.Funding
	meter       share.Meter
	fleetMeter  share.FleetMeter // all holders
	standbyRate float64          // spending rate of other routers, as reported by the last notice

	// granted never exceeds what the ledger has granted. reserved and withheld are
	// parts of it: reserved for requests, and being returned to the budget.
	granted, reserved, withheld tokens.Count
	// borrowed counts unreserved tokens lent by other routers; they are not part of
	// the share. refusedLoan is the smallest loan that the holders refused, and
	// loanRefusal their error. Requests that lack as many tokens are refused until
	// loanRefusedUntil.
	borrowed             tokens.Count
	refusedLoan          tokens.Count
	loanRefusedUntil     time.Time
	loanRefusal          error
	refusedUrgency       share.Urgency // of the refused loan; more urgent requests ask again
	actingUntil          time.Time     // this router acts as holder of the budget until then
	pool, others         tokens.Count  // results of the last op
	lastUsed, lastNotice time.Time

	// recent records the urgencies of requests and loans. While the ledger is unreachable,
	// inOutage is set and outageSize is the unreserved part of the share, with borrowed
	// tokens, that was left when the router first noticed.
	recent     share.RecentUrgencies
	inOutage   bool
	outageSize tokens.Count

	// epoch counts invalidations of the share. mayUndercount is set if the ledger
	// may have granted more tokens than are counted in granted.
	epoch            uint32
	mayUndercount    bool
	openReservations int // reservations that have not ended

	// spent is the total charged without claims; reported is the part of it that the
	// ledger has settled.
	spent, reported tokens.Count

	// sequence and era are the number and the era of the last op whose result is known.
	sequence uint64
	era      store.Era
	// restatedFor is the latest era for which the share was restated; see Restatements.
	restatedFor store.Era

	// limit is the spend limit recorded in the ledger, pendingLimit that of the
	// pending op. Either may be nil.
	limit, pendingLimit *spendLimit

	queue         []*waiter // reservations waiting for tokens, oldest first
	workerRunning bool      // a goroutine runs serveQueue
	stalled       bool      // the last op failed or was refused, or a wait timed out
	// exhausted and holders are the result of the last draw, failure the error of
	// the last op or recall.
	exhausted bool
	holders   []ledger.Holding
	failure   error
	failedAt  time.Time // of failure
	// Until exhaustedUntil, requests that need more than the pool held when the last
	// draw found it exhausted are refused. heldByOthers is the number of unreserved
	// tokens in other holders' shares at that draw.
	exhaustedUntil time.Time
	heldByOthers   tokens.Count

	// pending is the draw or return that was sent and whose outcome is not known.
	// pendingEpoch is the epoch when it was prepared. uncertain is set if it may have
	// been applied.
	pending      *ledger.Op
	pendingEpoch uint32
	uncertain    bool
	// busy is set while a goroutine sends ops. idle is closed when busy is cleared.
	// dropped is set once the account has been removed from the map.
	busy    bool
	idle    chan struct{}
	dropped bool
}

// waiter is a reservation that waits for tokens. done receives exactly one value.
type waiter struct {
	tokens       tokens.Count
	urgency      share.Urgency
	split        reservationSplit // of the reserved tokens; set before done receives nil
	recallRounds int              // recalls made for this waiter
	outage       bool             // the ledger was unreachable when the wait began
	done         chan error
	epoch        uint32
}

// openAccount returns the account of a budget, creating it if needed, and updates
// its funding. The shard's lock must be held.
func openAccount(accounts map[ident.Budget]*account, budget ident.Budget, f ledger.Funding) *account {
	a := accounts[budget]
	if a == nil {
		a = &account{budget: budget, pool: f.Prepaid}
		accounts[budget] = a
	}
	a.updateFunding(f)
	return a
}

// wholeShare is the token count of a return that gives back everything the ledger
// has granted. It is the largest count that an op may carry.
const wholeShare tokens.Count = 1 << 52

// returnable returns how many of want tokens can be returned, none while
// reservations wait. If the account has no open reservation and the ledger may
// have granted more than granted, a request for all free tokens returns the whole
// share, counted or not.
func (a *account) returnable(want tokens.Count) tokens.Count {
	n := max(min(want, a.free()), 0)
	switch {
	case len(a.queue) > 0:
		return 0
	case a.mayUndercount && a.openReservations == 0 && want >= a.free():
		return wholeShare
	}
	return n
}

// free returns the unreserved tokens of the share.
func (a *account) free() tokens.Count {
	return a.granted - a.reserved - a.withheld
}

// reservationSplit divides a reservation between the share and borrowed tokens.
type reservationSplit struct{ own, borrowed tokens.Count }

// tryReserve reserves n tokens if they are available. Borrowed tokens are used first.
func (a *account) tryReserve(now time.Time, n tokens.Count) (p reservationSplit, ok bool) {
	p.borrowed = min(a.borrowed, n)
	p.own = n - p.borrowed
	if p.own > 0 && a.spendable(now) < p.own {
		return reservationSplit{}, false
	}
	a.borrowed -= p.borrowed
	a.reserved += p.own
	a.openReservations++
	return p, true
}

// endReservation ends a reservation that was made in epoch and billed cost. It
// returns the part of cost that is charged to the share.
func (a *account) endReservation(epoch uint32, p reservationSplit, cost tokens.Count) (own tokens.Count) {
	fromLoan := min(cost, p.borrowed)
	own = cost - fromLoan
	a.openReservations--
	a.borrowed += p.borrowed - fromLoan
	a.granted -= own
	if epoch == a.epoch {
		a.reserved -= p.own
	}
	return own
}

// invalidate drops the share and returns the number of free tokens dropped.
func (a *account) invalidate() (dropped tokens.Count) {
	dropped = a.free()
	a.granted, a.reserved, a.withheld = 0, 0, 0
	a.epoch++
	a.mayUndercount = true
	return dropped
}

// updateFunding keeps the funding with the highest revision.
func (a *account) updateFunding(f ledger.Funding) {
	if f.Revision >= a.funding.Revision {
		a.funding = f
	}
}

// serveWaiters serves waiting reservations in order. If the last draw granted
// nothing, it skips reservations that do not fit; otherwise it stops at the first.
func (a *account) serveWaiters(now time.Time) {
	waiting := a.queue[:0]
	for i, q := range a.queue {
		if p, ok := a.tryReserve(now, q.tokens); ok {
			q.split, q.epoch = p, a.epoch
			q.done <- nil
			continue
		}
		if !a.stalled {
			waiting = append(waiting, a.queue[i:]...)
			break
		}
		waiting = append(waiting, q)
	}
	clear(a.queue[len(waiting):])
	a.queue = waiting
}

// refuseFirst removes the first waiter and sends it err.
func (a *account) refuseFirst(err error) {
	a.queue[0].done <- err
	a.queue = append(a.queue[:0], a.queue[1:]...)
}

// removeWaiter removes q from the queue. It returns false if q has already been
// served or refused.
func (a *account) removeWaiter(q *waiter) bool {
	for i := range a.queue {
		if a.queue[i] == q {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

// knownShortage returns the error for a reservation of n tokens if a recent draw
// or loan refusal shows that it cannot be served, and nil otherwise.
func (a *account) knownShortage(now time.Time, n tokens.Count, u share.Urgency) error {
	if now.Before(a.loanRefusedUntil) && !u.MoreUrgentThan(a.refusedUrgency) && n-a.available(now) >= a.refusedLoan {
		return a.loanRefusal
	}
	switch left := a.free() + a.pool; {
	case !now.Before(a.exhaustedUntil) || n <= left:
		return nil
	case n > left+a.heldByOthers:
		return ErrExhausted
	}
	return ErrOutOfReach
}

// observeOutage records whether the ledger is unreachable, as the router knows from elsewhere
// or from the last op.
func (a *account) observeOutage(unreachable bool) {
	switch outage := unreachable || a.failure != nil; {
	case !outage:
		a.inOutage = false
	case !a.inOutage:
		a.inOutage, a.outageSize = true, a.free()+a.borrowed
	}
}

// aboveFloor returns how many tokens the share has beyond those that are kept for requests
// that are more urgent than u. It may be negative. Tokens are kept only in an outage of the
// ledger, and only if there have been more urgent requests recently.
func (a *account) aboveFloor(now time.Time, u share.Urgency) tokens.Count {
	left := a.free() + a.borrowed
	if !a.inOutage || !a.recent.MoreUrgentThan(now, u) {
		return left
	}
	return left - share.OutageFloor(u, a.outageSize)
}

// failureValidity is how long a failed op alone keeps tokens for more urgent requests. A request
// that is refused for them sends no op, so that the failure would last after the ledger is back.
const failureValidity = 500 * time.Millisecond

// keptForMoreUrgent reports whether a request of urgency u is refused because what is left is
// kept for more urgent ones. The ledger is unreachable as the router knows from elsewhere, or
// because an op failed lately.
func (a *account) keptForMoreUrgent(now time.Time, unreachable bool, u share.Urgency) bool {
	if !unreachable && now.Sub(a.failedAt) >= failureValidity {
		return false
	}
	return a.inOutage && a.recent.MoreUrgentThan(now, u) && a.aboveFloor(now, u) < 0 && a.free()+a.borrowed >= 0
}

// available returns the tokens that can be reserved now, borrowed ones included.
func (a *account) available(now time.Time) tokens.Count {
	return max(a.spendable(now), 0) + a.borrowed
}

// state returns the input of share.Plan.
func (a *account) state(now time.Time, live int) share.State {
	s := share.State{
		Free:        a.free(),
		Reserved:    a.reserved,
		FleetRate:   a.fleetMeter.Rate(),
		StandbyRate: a.standbyRate,
		RequestSize: a.meter.RequestSize(),
		LastUsed:    a.lastUsed,
		Pool:        a.pool,
		Others:      a.others,
		LiveRouters: live,
		Exhausted:   a.exhausted,
		Holders:     a.holders,
	}
	s.Rate, s.MeanRate = a.meter.Rates(now)
	for _, q := range a.queue {
		s.Needed += q.tokens
	}
	if len(a.queue) > 0 {
		s.Next, s.Rounds = a.queue[0].tokens, a.queue[0].recallRounds
	}
	return s
}

// noticesPerIdleLimit is the number of notices sent per idle limit while a budget
// is in use. A standby holder that receives none for an idle limit returns its
// reserve.
const noticesPerIdleLimit = 3

// dueNotice returns the notice to standby holders that the budget is in use, or
// nil if none is due.
func (a *account) dueNotice(now time.Time, p share.Policy) *Notice {
	due := now.Sub(a.lastNotice) >= p.IdleLimit/noticesPerIdleLimit
	if !p.StandbyPerDomain || !due || !a.meter.Busy(now) {
		return nil
	}
	a.lastNotice = now
	_, mean := a.meter.Rates(now)
	return &Notice{
		Budget:      a.budget,
		Funding:     a.funding,
		RequestSize: a.meter.RequestSize(),
		Rate:        max(mean, a.fleetMeter.Rate()),
	}
}

// prepare makes op the pending op. Tokens to be returned are withheld before op
// is sent.
func (a *account) prepare(op ledger.Op, p *spendLimit) {
	a.pending, a.pendingEpoch, a.uncertain = &op, a.epoch, false
	a.pendingLimit = p
	if op.Return != nil {
		a.withheld += op.Return.Tokens
	}
}

// clearPending clears the pending op and releases the tokens withheld for it.
func (a *account) clearPending() {
	if a.pending.Return != nil && a.pendingEpoch == a.epoch {
		a.withheld -= a.pending.Return.Tokens
	}
	a.pending, a.pendingLimit = nil, nil
}

// applyResult applies the result of the pending op. Tokens granted to a share that
// was invalidated after the op was prepared are not counted.
func (a *account) applyResult(now time.Time, result ledger.Result) {
	op, current := a.pending, a.pendingEpoch == a.epoch
	a.sequence, a.era = sequence(*op), result.Era
	if result.Outcome == ledger.Applied {
		a.limit = a.pendingLimit
	}
	a.clearPending()
	a.reported = max(a.reported, op.Spent())
	a.pool, a.others = result.Free, result.SharedByOthers
	a.fleetMeter.Observe(now, result.Settled)
	if op.Return != nil && result.Outcome == ledger.Applied {
		a.exhausted, a.holders = false, nil // the pool has grown since that draw
	}
	switch {
	case op.Draw != nil:
		if a.exhausted = result.Outcome == ledger.Exhausted; a.exhausted {
			a.exhaustedUntil = now.Add(exhaustedTTL)
			a.heldByOthers = 0
			for _, h := range result.Holders {
				a.heldByOthers += h.Granted - h.Reserved
			}
		}
		a.holders = result.Holders
		if result.Outcome == ledger.Applied && current {
			a.granted += result.Granted
		}
	case result.Outcome == ledger.Applied && op.Return.Tokens == wholeShare:
		a.granted, a.mayUndercount = 0, false
	case result.Outcome == ledger.Applied && current:
		a.granted -= result.Granted
	case result.Outcome == ledger.ShareGone && current:
		a.invalidate()
	}
}

// removable reports whether the account can be removed. An account that has spent
// without claims is kept, because the ledger records its running total of spending.
func (a *account) removable(now time.Time, p share.Policy) bool {
	inUse := a.spent > 0 || a.mayUndercount || a.busy || a.workerRunning || a.idle != nil || a.pending != nil || a.openReservations > 0 || len(a.queue) > 0
	return !inUse && a.granted == 0 && a.borrowed == 0 && now.Sub(a.lastUsed) >= p.IdleLimit
}
