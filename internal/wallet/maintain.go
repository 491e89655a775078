package wallet

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// maxOps bounds the ops that Maintain and Close each have in flight.
const maxOps = 64

// Maintain repeats ops whose outcome is unknown, refills shares before they run
// out, and returns idle ones. It returns when all of its ops have been answered
// or ctx has ended. Failed ops are retried by the next call.
func (w *Wallet) Maintain(ctx context.Context, now time.Time) {
	var g errgroup.Group
	g.SetLimit(maxOps)
	for _, a := range w.due(now) {
		g.Go(func() error {
			w.maintain(ctx, now, a)
			return nil
		})
	}
	_ = g.Wait()
}

// due returns the accounts that need an op, and removes unused accounts.
func (w *Wallet) due(now time.Time) (accounts []*account) {
	policy, live := w.policy(), w.Live()
	var unused []*account
	w.accounts.Each(func(_ ident.Budget, a *account) {
		switch {
		case a.removable(now, policy):
			unused = append(unused, a)
		case a.workerRunning:
		case a.pending != nil, w.excessLoans(a, now) > 0, a.plan(now, live, w.policyFor(a, now)).Action != share.ActionHold:
			accounts = append(accounts, a)
		}
	})
	for _, a := range unused {
		w.removeAccount(now, a, policy)
	}
	return accounts
}

func (w *Wallet) removeAccount(now time.Time, a *account, policy share.Policy) {
	w.accounts.Do(a.budget, func(accounts map[ident.Budget]*account) {
		if accounts[a.budget] == a && a.removable(now, policy) {
			a.dropped = true
			delete(accounts, a.budget)
		}
	})
}

// maintain repays excess loans of one account, resolves its pending op, then
// draws, reports or returns according to plan.
func (w *Wallet) maintain(ctx context.Context, now time.Time, a *account) {
	w.repay(ctx, now, a)
	w.transferToHolder(ctx, now, a)
	if w.acquire(ctx, a) != nil {
		return
	}
	defer w.release(a)
	if w.resolve(ctx, a) != nil {
		return
	}
	var d share.Decision
	w.withLock(a, func() { d = a.plan(now, w.Live(), w.policyFor(a, now)) })
	switch d.Action {
	case share.ActionDraw:
		_, _ = w.draw(ctx, a, d) // retried by the next call
	case actionReport:
		_ = w.report(ctx, a) // retried by the next call
	case share.ActionReturn:
		if n, err := w.returnTokens(ctx, a, d.Want); err == nil {
			event.ShareReturned.Info(w.Log, "budget", a.budget, "returned", n, "reason", d.Reason)
		}
	}
}

// plan decides what to do with the share. It ignores the queue, which serveQueue
// handles. An idle account that may undercount its grants returns its whole share.
func (a *account) plan(now time.Time, live int, p share.Policy) share.Decision {
	if a.mayUndercount && a.openReservations == 0 && now.Sub(a.lastUsed) >= p.IdleLimit {
		return share.Decision{Action: share.ActionReturn, Reason: share.ReasonIdle, Want: wholeShare}
	}
	d := share.Plan(now, a.state(now, live), p)
	if d.Action == share.ActionHold && a.unreported(now) {
		return planReport()
	}
	return d
}

// ReturnTokens returns up to want unreserved tokens to the budget, so that another
// router can draw them, and reports how many were returned. It returns none while
// requests wait for tokens here.
func (w *Wallet) ReturnTokens(ctx context.Context, budget ident.Budget, want tokens.Count) (n tokens.Count) {
	a, ok := w.accounts.Get(budget)
	if !ok || w.acquire(ctx, a) != nil {
		return 0
	}
	defer w.release(a)
	if w.resolve(ctx, a) != nil {
		return 0
	}
	n, _ = w.returnTokens(ctx, a, want) // tokens with an unknown outcome are not counted
	event.RecalledShareReturned.Info(w.Log, "budget", budget, "want", want, "returned", n)
	return n
}

// HoldStandby makes the wallet hold a standby reserve of a budget that is served in
// another failure domain. The next call of Maintain draws it. It is returned when
// no notice has arrived for the policy's idle limit.
func (w *Wallet) HoldStandby(now time.Time, n Notice) {
	var created bool
	w.accounts.Do(n.Budget, func(accounts map[ident.Budget]*account) {
		if w.closed.Load() {
			return
		}
		created = accounts[n.Budget] == nil
		a := openAccount(accounts, n.Budget, n.Funding)
		a.lastUsed = now
		a.standbyRate = n.Rate
		a.meter.SetDefaultRequestSize(n.RequestSize)
	})
	if created {
		event.ReserveHeld.Info(w.Log, "budget", n.Budget)
	}
}

// Invalidate drops the share of a budget that was reclaimed. Its reservations
// remain open; the ledger accepts or refuses their bills.
func (w *Wallet) Invalidate(budget ident.Budget) {
	if a, ok := w.accounts.Get(budget); ok {
		w.invalidate(a)
	}
}

// InvalidateAll drops all shares. It is called when the holder's lease has lapsed.
func (w *Wallet) InvalidateAll() {
	for _, a := range w.allAccounts() {
		w.invalidate(a)
	}
}

func (w *Wallet) invalidate(a *account) {
	var dropped tokens.Count
	w.withLock(a, func() { dropped = a.invalidate() })
	event.ShareInvalidated.Warn(w.Log, "budget", a.budget, "dropped", dropped)
}

func (w *Wallet) allAccounts() (accounts []*account) {
	w.accounts.Each(func(_ ident.Budget, a *account) { accounts = append(accounts, a) })
	return accounts
}

// returnAll returns all free tokens.
func (w *Wallet) returnAll(ctx context.Context) error {
	accounts := w.allAccounts()
	failures := make([]error, len(accounts))
	var g errgroup.Group
	g.SetLimit(maxOps)
	for i, a := range accounts {
		g.Go(func() error {
			failures[i] = w.closeAccount(ctx, a)
			return nil
		})
	}
	_ = g.Wait()
	err := errors.Join(failures...)
	event.SharesClosed.Info(w.Log, "budgets", len(accounts), "left", w.remaining(accounts))
	return err
}

func (w *Wallet) closeAccount(ctx context.Context, a *account) error {
	w.repay(ctx, w.Clock(), a)
	w.transferToHolder(ctx, w.Clock(), a)
	if err := w.acquire(ctx, a); err != nil {
		return err
	}
	defer w.release(a)
	if err := w.resolve(ctx, a); err != nil {
		return err
	}
	_, err := w.returnTokens(ctx, a, wholeShare)
	return err
}

func (w *Wallet) remaining(accounts []*account) (n tokens.Count) {
	for _, a := range accounts {
		w.withLock(a, func() { n += a.granted })
	}
	return n
}
