package wallet

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Reservation is a number of tokens reserved for one request. It ends with the
// first call of Settle, Spend, Release or Forfeit; later calls do nothing.
type Reservation struct {
	wallet  *Wallet
	account *account
	tokens  tokens.Count
	split   reservationSplit // of tokens
	epoch   uint32
	ended   atomic.Bool
}

const (
	// minDrawWait is the time a request may wait for a draw if the policy's
	// refusal allowance is shorter.
	minDrawWait = 250 * time.Millisecond
	// outageWait is the time a request may wait while the ledger is unreachable.
	outageWait = 40 * time.Millisecond
	// exhaustedTTL is how long a budget is considered exhausted after an exhausted
	// draw or a refused loan, if other holders are not asked to return tokens.
	exhaustedTTL = 300 * time.Millisecond
)

// Reserve reserves r.Tokens. If the share has too few, Reserve waits until tokens
// have been drawn, or returned or lent by other holders. The wait is bounded by
// r.Deadline and by the policy's refusal allowance, or 250 ms if the allowance is
// shorter; it is 40 ms while the ledger is unreachable. A holder with Lenders asks
// them for spare tokens before it refuses. The error wraps that of ctx,
// ErrExhausted, ErrOutOfReach, ErrLedgerUnreachable or ErrClosed, and nothing is reserved.
func (w *Wallet) Reserve(ctx context.Context, now time.Time, r Request) (_ *Reservation, err error) {
	res := &Reservation{wallet: w, tokens: max(r.Tokens, 0)}
	q, notice, err := w.admit(now, r, res)
	if notice != nil {
		w.Announce(*notice)
	}
	if q == nil && err == nil {
		return res, nil
	}
	defer func() { err = merry.Prependf(err, "reserving %d tokens of budget %s", r.Tokens, r.Budget) }()
	if err == nil {
		err = w.await(ctx, now, r, res, q)
	}
	if err != nil && w.borrowSpare(ctx, r, res, err) {
		return res, nil
	}
	if err != nil {
		err = w.markOutage(res, err)
		w.logRefusal(r, res, err)
		return nil, err
	}
	return res, nil
}

// markOutage returns an error that wraps ErrLedgerUnreachable in place of one that wraps
// ErrOutOfReach if the ledger is unreachable and no other holder is known to have the tokens.
func (w *Wallet) markOutage(res *Reservation, err error) error {
	if res.account == nil || !errors.Is(err, ErrOutOfReach) || errors.Is(err, ErrLedgerUnreachable) {
		return err
	}
	if w.Lenders != nil && w.Lenders.KnownSpare(res.account.budget) >= res.tokens {
		return err
	}
	outage := w.ledgerUnreachable()
	w.withLock(res.account, func() { outage = outage || res.account.failure != nil })
	if !outage {
		return err
	}
	return merry.Prepend(ErrLedgerUnreachable, err.Error())
}

// ledgerUnreachable reports whether the router knows that the ledger is unreachable.
func (w *Wallet) ledgerUnreachable() bool { return w.LedgerUnreachable != nil && w.LedgerUnreachable() }

// admit reserves the tokens at once if it can, and otherwise returns the waiter
// that it added to the queue.
func (w *Wallet) admit(now time.Time, r Request, res *Reservation) (q *waiter, notice *Notice, err error) {
	policy := w.policy()
	unreachable := w.ledgerUnreachable()
	w.accounts.Do(r.Budget, func(accounts map[ident.Budget]*account) {
		if w.closed.Load() {
			err = ErrClosed
			return
		}
		a := openAccount(accounts, r.Budget, r.Funding)
		a.lastUsed = now
		res.account = a
		a.meter.Reserve(now, res.tokens)
		a.recent.Record(now, r.Urgency)
		a.observeOutage(unreachable)
		if a.keptForMoreUrgent(now, unreachable, r.Urgency) && w.isHolder(a, now) {
			err = errKept
			return
		}
		if w.Announce != nil {
			notice = a.dueNotice(now, policy)
		}
		if (len(a.queue) == 0 || a.stalled) && res.tryReserve(now) {
			return
		}
		if policy.RefusalAllowance <= 0 {
			if err = a.knownShortage(now, res.tokens, r.Urgency); err != nil {
				return
			}
		}
		outage := (unreachable || a.failure != nil) && w.isHolder(a, now)
		q = &waiter{tokens: res.tokens, urgency: r.Urgency, outage: outage, done: make(chan error, 1)}
		a.queue = append(a.queue, q)
		w.startWorker(a)
	})
	return q, notice, err
}

// await waits until q is served or refused, its time limit passes, ctx ends or the
// wallet closes.
func (w *Wallet) await(ctx context.Context, now time.Time, r Request, res *Reservation, q *waiter) error {
	limit := max(w.policy().RefusalAllowance, minDrawWait)
	if q.outage {
		limit = outageWait
	}
	if !r.Deadline.IsZero() {
		limit = min(limit, r.Deadline.Sub(now))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var cause error
	select {
	case err := <-q.done:
		res.split, res.epoch = q.split, q.epoch
		return err
	case <-timer.C:
	case <-ctx.Done():
		cause = ctx.Err()
	case <-w.tomb.Dying():
		cause = ErrClosed
	}
	return w.abandonWait(res, q, cause)
}

// abandonWait removes q from the queue, unless it has just been served or refused. If
// q timed out, waiters behind it that fit no longer wait for the slow draw. A grant
// that arrives together with cause is released.
func (w *Wallet) abandonWait(res *Reservation, q *waiter, cause error) (err error) {
	a := res.account
	w.withLock(a, func() {
		switch {
		case !a.removeWaiter(q):
			err = <-q.done
			res.split, res.epoch = q.split, q.epoch
		case cause != nil:
			err = cause
			a.serveWaiters(w.Clock())
		default:
			err = a.refusal(w.Clock(), w.Live(), q.tokens)
			a.stalled = true
			a.serveWaiters(w.Clock())
		}
	})
	if err == nil && cause != nil {
		res.Release()
		return cause
	}
	return err
}

// refusal returns the reason that a reservation of n tokens was not served in time.
func (a *account) refusal(now time.Time, live int, n tokens.Count) error {
	s := a.state(now, live)
	s.Next = n
	if a.failure == nil && s.Unservable() {
		return ErrExhausted
	}
	return outOfReach(a.failure)
}

// outOfReach returns ErrOutOfReach with the message of cause prepended.
func outOfReach(cause error) error {
	if cause == nil {
		return ErrOutOfReach
	}
	return merry.Prepend(ErrOutOfReach, cause.Error())
}

func (w *Wallet) logRefusal(r Request, res *Reservation, err error) {
	if res.account == nil {
		return
	}
	var pool, free, spendable tokens.Count
	w.withLock(res.account, func() {
		now := w.Clock()
		res.account.meter.Add(now, -res.tokens)
		pool, free, spendable = res.account.pool, res.account.free(), res.account.spendable(now)
	})
	switch {
	case errors.Is(err, ErrExhausted):
		event.BudgetExhausted.Warn(w.Log, "budget", r.Budget, "tokens", r.Tokens, "pool", pool)
	case errors.Is(err, ErrOutOfReach):
		event.BudgetOutOfReach.Warn(w.Log, "budget", r.Budget, "tokens", r.Tokens, "pool", pool, "free", free, "spendable", spendable, "error", err)
	}
}

// Adopt returns a reservation for an open claim whose tokens the ledger has moved
// from another holder's share to this one (ledger.TakeOver).
func (w *Wallet) Adopt(now time.Time, budget ident.Budget, funding ledger.Funding, n tokens.Count) *Reservation {
	r := &Reservation{wallet: w, tokens: n}
	w.accounts.Do(budget, func(accounts map[ident.Budget]*account) {
		a := openAccount(accounts, budget, funding)
		a.lastUsed = now
		a.granted += n
		a.reserved += n
		a.openReservations++
		r.account, r.split, r.epoch = a, reservationSplit{own: n}, a.epoch
	})
	return r
}

// Settle ends the reservation after the ledger has billed cost to the share, and
// frees the other tokens. If another holder has taken over the claim together with
// its tokens, cost must be the whole reservation.
func (r *Reservation) Settle(cost tokens.Count) {
	r.end(cost)
}

// Spend ends the reservation of a request that is charged to the share without a
// claim. The next draw or return reports the cost to the ledger.
func (r *Reservation) Spend(cost tokens.Count) {
	if r.ended.Swap(true) {
		return
	}
	now := r.wallet.Clock()
	r.wallet.withLock(r.account, func() {
		r.account.spent += r.account.endReservation(r.epoch, r.split, cost)
		r.account.meter.Add(now, cost-r.tokens)
		r.account.serveWaiters(now)
	})
}

// Reduce frees all tokens but cost once the final cost is known but not yet billed.
// Settle must follow. Reduce must not be used for claims that are open in the
// ledger: the page keeps their whole bound reserved, so the ledger could refuse
// the bills of requests that use the freed tokens.
func (r *Reservation) Reduce(cost tokens.Count) {
	now := r.wallet.Clock()
	r.wallet.withLock(r.account, func() {
		freed := min(r.tokens-cost, r.split.own)
		if r.ended.Load() || freed <= 0 {
			return
		}
		r.tokens -= freed
		r.split.own -= freed
		if r.epoch == r.account.epoch {
			r.account.reserved -= freed
		}
		r.account.meter.Add(now, -freed)
		r.account.serveWaiters(now)
	})
}

// Release ends the reservation without a bill and frees its tokens.
func (r *Reservation) Release() {
	r.end(0)
}

// Forfeit ends the reservation after the ledger returned ShareGone. It also drops
// the rest of the share, unless the share has been invalidated since the
// reservation was made.
func (r *Reservation) Forfeit() {
	if r.ended.Swap(true) {
		return
	}
	var dropped tokens.Count
	var gone bool
	r.wallet.withLock(r.account, func() {
		r.account.endReservation(r.epoch, r.split, 0)
		if gone = r.epoch == r.account.epoch; gone {
			dropped = r.account.invalidate()
		}
	})
	if gone {
		event.ShareInvalidated.Warn(r.wallet.Log, "budget", r.account.budget, "dropped", dropped)
	}
}

func (r *Reservation) end(cost tokens.Count) {
	if r.ended.Swap(true) {
		return
	}
	now := r.wallet.Clock()
	r.wallet.withLock(r.account, func() {
		r.account.endReservation(r.epoch, r.split, cost)
		r.account.meter.Add(now, cost-r.tokens)
		r.account.serveWaiters(now)
	})
}
