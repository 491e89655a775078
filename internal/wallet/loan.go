package wallet

import (
	"context"
	"errors"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// spareTimeout bounds how long a request that would be refused waits for other
	// holders to lend their available tokens.
	spareTimeout = 100 * time.Millisecond
	// lendTimeout bounds how long a loan waits for a draw. It ensures that the
	// borrower gets a response before it considers the holder unreachable.
	lendTimeout = 100 * time.Millisecond
	// actingDuration is how long a router acts as holder of a budget after it was
	// asked for a loan or could reach no holder.
	actingDuration = 5 * time.Second
	// loanRetention determines how many borrowed tokens a router keeps: those it
	// would spend in this time at the present rate.
	loanRetention = 2 * time.Second

	actionBorrow share.Action = "borrow"
	reasonHeld   share.Reason = "others hold the budget"
)

// isHolder reports whether this router draws the budget, for itself and for
// others. The shard's lock must be held.
func (w *Wallet) isHolder(a *account, now time.Time) bool {
	return w.Lenders == nil || now.Before(a.actingUntil) || !w.retired.Load() && w.Lenders.IsFirstHolder(a.budget)
}

// policyFor returns the share policy of an account. The shard's lock must be held.
func (w *Wallet) policyFor(a *account, now time.Time) share.Policy {
	if w.isHolder(a, now) {
		return w.policy()
	}
	return w.policy().OnDemand()
}

// tryReserve reserves the tokens from the account. It returns false if too few are
// available. The shard's lock must be held.
func (r *Reservation) tryReserve(now time.Time) (ok bool) {
	r.split, ok = r.account.tryReserve(now, r.tokens)
	r.epoch = r.account.epoch
	return ok
}

// planBorrow returns the decision to borrow the tokens that waiting requests lack.
// The shard's lock must be held.
func (a *account) planBorrow(now time.Time) share.Decision {
	d := share.Decision{Action: actionBorrow, Reason: reasonHeld, Want: -a.available(now), Least: a.queue[0].tokens - a.available(now)}
	for _, q := range a.queue {
		d.Want += q.tokens
	}
	return d
}

// borrow asks the holders of the budget for the tokens its queue lacks. If none
// can be reached, the router acts as holder for actingDuration.
func (w *Wallet) borrow(a *account, d share.Decision) {
	loan := Loan{Budget: a.budget, Want: d.Want, Least: d.Least}
	w.withLock(a, func() { loan.Funding, loan.Urgency = a.funding, a.mostUrgentWaiter() })
	lent, err := w.Lenders.Borrow(w.ctx, loan)
	w.withLock(a, func() {
		now := w.Clock()
		a.borrowed += lent
		a.serveWaiters(now)
		switch {
		case errors.Is(err, store.ErrUnavailable):
			a.actingUntil = now.Add(actingDuration)
		case err != nil:
			a.recordLoanRefusal(now, d.Least, loan.Urgency, err)
		}
	})
	if err != nil {
		event.TokensBorrowed.Info(w.Log, "budget", a.budget, "want", d.Want, "least", d.Least, "lent", lent, "error", err)
	}
}

// mostUrgentWaiter returns the urgency of the most urgent waiter. The shard's lock must be
// held.
func (a *account) mostUrgentWaiter() (u share.Urgency) {
	for i, q := range a.queue {
		if i == 0 || q.urgency.MoreUrgentThan(u) {
			u = q.urgency
		}
	}
	return u
}

// recordLoanRefusal records that holders refused a loan of least tokens for requests of
// urgency u, and refuses the waiters that lack at least as many and are not more urgent.
// The shard's lock must be held.
func (a *account) recordLoanRefusal(now time.Time, least tokens.Count, u share.Urgency, refusal error) {
	a.refusedLoan, a.loanRefusedUntil, a.loanRefusal, a.refusedUrgency = least, now.Add(exhaustedTTL), refusal, u
	waiting := a.queue[:0]
	for _, q := range a.queue {
		if q.tokens-a.available(now) >= least && !q.urgency.MoreUrgentThan(u) {
			q.done <- refusal
			continue
		}
		waiting = append(waiting, q)
	}
	clear(a.queue[len(waiting):])
	a.queue = waiting
}

// borrowSpare tries to serve a reservation that failed with cause by borrowing the
// available tokens of other holders. It applies only if this router is a holder. A request
// for which the share is not used, because the rest is kept for more urgent ones, is served
// only if others lend all of its tokens.
func (w *Wallet) borrowSpare(ctx context.Context, r Request, res *Reservation, cause error) (served bool) {
	if w.Lenders == nil || res.account == nil || !errors.Is(cause, ErrOutOfReach) && !errors.Is(cause, ErrExhausted) {
		return false
	}
	a, kept := res.account, errors.Is(cause, errKept)
	var want tokens.Count
	w.withLock(a, func() {
		if now := w.Clock(); w.isHolder(a, now) {
			want = res.tokens
			if !kept {
				want -= a.available(now)
			}
		}
	})
	if want <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, spareTimeout)
	defer cancel()
	lent := w.Lenders.BorrowSpare(ctx, a.budget, want, r.Urgency)
	w.withLock(a, func() {
		a.borrowed += lent
		served = (!kept || lent >= want) && !w.closed.Load() && res.tryReserve(w.Clock())
	})
	if lent > 0 {
		event.TokensBorrowed.Info(w.Log, "budget", a.budget, "want", want, "lent", lent, "served", served)
	}
	return served
}

// Lend lends tokens to another router, drawing them as for a request of its own.
// The router acts as holder of the budget for a while afterwards. The ledger
// counts the tokens as spent by this router, so they can be lost but not spent
// twice. Errors are those of Reserve.
func (w *Wallet) Lend(ctx context.Context, now time.Time, loan Loan) (lent tokens.Count, err error) {
	if w.retired.Load() {
		return 0, ErrClosed
	}
	w.startActing(now, loan)
	r, err := w.Reserve(ctx, now, Request{Budget: loan.Budget, Funding: loan.Funding, Tokens: loan.Least, Urgency: loan.Urgency, Deadline: now.Add(lendTimeout)})
	if err != nil {
		return 0, err
	}
	r.Spend(loan.Least)
	more, _ := w.lendAvailable(now, loan.Budget, loan.Want-loan.Least, loan.Urgency)
	w.withLock(r.account, func() { r.account.meter.Add(now, more) })
	return loan.Least + more, nil
}

// startActing makes the router act as holder of a budget for actingDuration if
// another router is its holder.
func (w *Wallet) startActing(now time.Time, loan Loan) {
	if w.Lenders == nil || w.Lenders.IsFirstHolder(loan.Budget) {
		return
	}
	w.accounts.Do(loan.Budget, func(accounts map[ident.Budget]*account) {
		if !w.closed.Load() {
			openAccount(accounts, loan.Budget, loan.Funding).actingUntil = now.Add(actingDuration)
		}
	})
}

// LendSpare lends up to want available tokens to another holder, without drawing.
// It returns the number lent and the number that is still available. want must be
// positive. Nothing is lent while requests wait for tokens here. The tokens are for a request
// of urgency u; those kept for more urgent ones are not lent, but count as available.
func (w *Wallet) LendSpare(now time.Time, budget ident.Budget, want tokens.Count, u share.Urgency) (lent, left tokens.Count) {
	lent, left = w.lendAvailable(now, budget, want, u)
	if lent > 0 {
		event.TokensLent.Info(w.Log, "budget", budget, "want", want, "lent", lent, "left", left)
	}
	return lent, left
}

// lendAvailable takes up to want available tokens out of the account, counts those
// of the share as spent, and returns how many are left. It takes none that are kept for
// requests that are more urgent than u.
func (w *Wallet) lendAvailable(now time.Time, budget ident.Budget, want tokens.Count, u share.Urgency) (lent, left tokens.Count) {
	a, ok := w.accounts.Get(budget)
	if !ok || want <= 0 {
		return 0, 0
	}
	unreachable := w.ledgerUnreachable()
	w.withLock(a, func() {
		if w.closed.Load() || len(a.queue) > 0 {
			return
		}
		a.observeOutage(unreachable)
		n := min(want, a.available(now), max(a.aboveFloor(now, u), 0))
		if p, ok := a.tryReserve(now, n); ok {
			lent = n
			a.spent += a.endReservation(a.epoch, p, n)
		}
		left = a.available(now)
	})
	return lent, left
}

// AcceptRepayment adds repaid tokens of a loan by this router or another holder. It
// adds none and returns false if the wallet is retired or closed.
func (w *Wallet) AcceptRepayment(now time.Time, loan Loan) (ok bool) {
	w.accounts.Do(loan.Budget, func(accounts map[ident.Budget]*account) {
		if ok = !w.closed.Load() && !w.retired.Load(); !ok {
			return
		}
		a := openAccount(accounts, loan.Budget, loan.Funding)
		a.borrowed += loan.Want
		a.meter.Add(now, -loan.Want)
		a.serveWaiters(now)
	})
	return ok
}

// AcceptLateLoan adds tokens of a loan whose response arrived after the request for it
// had been abandoned.
func (w *Wallet) AcceptLateLoan(now time.Time, budget ident.Budget, n tokens.Count) {
	w.accounts.Do(budget, func(accounts map[ident.Budget]*account) {
		a := openAccount(accounts, budget, ledger.Funding{})
		a.borrowed += n
		a.serveWaiters(now)
	})
}

// transferToHolder gives the available tokens of a retired wallet to another
// holder while the ledger is unreachable. The account's spend limit applies.
func (w *Wallet) transferToHolder(ctx context.Context, now time.Time, a *account) {
	if w.Lenders == nil || !w.retired.Load() {
		return
	}
	unreachable := w.ledgerUnreachable()
	loan := Loan{Budget: a.budget}
	w.withLock(a, func() {
		if len(a.queue) > 0 || !unreachable && a.failure == nil {
			return
		}
		loan.Funding = a.funding
		n := a.available(now)
		if p, ok := a.tryReserve(now, n); ok {
			a.spent += a.endReservation(a.epoch, p, n)
			loan.Want = n
		}
	})
	if loan.Want > 0 {
		w.repayOrRestore(ctx, a, loan)
	}
}

// excessLoans returns the number of borrowed tokens that are not needed soon. It
// may be negative. The shard's lock must be held.
func (w *Wallet) excessLoans(a *account, now time.Time) tokens.Count {
	switch {
	case w.Lenders == nil, a.borrowed == 0:
		return 0
	case w.closed.Load():
		return a.borrowed
	case len(a.queue) > 0, w.isHolder(a, now):
		return 0
	}
	rate, _ := a.meter.Rates(now)
	return a.borrowed - tokens.Count(rate*loanRetention.Seconds())
}

// repay returns excess borrowed tokens to a holder.
func (w *Wallet) repay(ctx context.Context, now time.Time, a *account) {
	loan := Loan{Budget: a.budget}
	w.withLock(a, func() {
		loan.Funding = a.funding
		loan.Want = max(w.excessLoans(a, now), 0)
		a.borrowed -= loan.Want
	})
	if loan.Want == 0 {
		return
	}
	w.repayOrRestore(ctx, a, loan)
}

// repayOrRestore sends tokens that were taken out of the account to a holder. If
// none can be reached, it adds them back to the account as borrowed.
func (w *Wallet) repayOrRestore(ctx context.Context, a *account, loan Loan) {
	err := w.Lenders.Repay(ctx, loan)
	if errors.Is(err, store.ErrUnavailable) {
		w.withLock(a, func() { a.borrowed += loan.Want })
	}
	event.TokensRepaid.Info(w.Log, "budget", a.budget, "tokens", loan.Want, "error", err)
}
