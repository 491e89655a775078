package wallet

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// opTimeout bounds one attempt of an op. An op that times out is repeated.
const opTimeout = 5 * time.Second

// errEarlierEra reports a result from a page of an era before the one for which the share was
// restated. Whether the recovered page has the op shows once it is repeated.
var errEarlierEra = merry.Prepend(store.ErrUnknown, "the result is of an earlier era than the share was restated for")

// errDropped reports that the account has been removed.
var errDropped = errors.New("account dropped")

// withLock calls f with the lock of the account's shard held.
func (w *Wallet) withLock(a *account, f func()) {
	w.accounts.Do(a.budget, func(map[ident.Budget]*account) { f() })
}

func (w *Wallet) policy() share.Policy {
	if w.Shares != nil {
		return w.Shares()
	}
	return share.NewPolicy(w.Policy())
}

// acquire waits until no other goroutine sends ops of the account, and reserves
// that right for the caller, who must call release.
func (w *Wallet) acquire(ctx context.Context, a *account) (err error) {
	for {
		var idle chan struct{}
		w.withLock(a, func() { idle, err = a.acquire() })
		if idle == nil {
			return err
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// acquire marks the account busy. If it already is, acquire returns a channel that
// is closed when the caller should try again.
func (a *account) acquire() (idle chan struct{}, err error) {
	switch {
	case a.dropped:
		return nil, errDropped
	case !a.busy:
		a.busy = true
		return nil, nil
	case a.idle == nil:
		a.idle = make(chan struct{})
	}
	return a.idle, nil
}

func (w *Wallet) release(a *account) {
	w.withLock(a, func() {
		a.busy = false
		if a.idle != nil {
			close(a.idle)
			a.idle = nil
		}
	})
}

// resolve repeats the pending op, whose outcome is not known. It returns nil if no
// op is left pending.
func (w *Wallet) resolve(ctx context.Context, a *account) error {
	var op *ledger.Op
	w.withLock(a, func() { op = a.pending })
	if op == nil {
		return nil
	}
	_, err := w.send(ctx, a)
	return err
}

// draw requests tokens from the ledger.
func (w *Wallet) draw(ctx context.Context, a *account, d share.Decision) (result ledger.Result, err error) {
	w.withLock(a, func() {
		limit, p := w.declareLimit(a, d.Want)
		a.prepare(ledger.Op{Budget: a.budget, Draw: &ledger.Draw{
			Holder:   w.Holder,
			Sequence: w.sequence.Add(1),
			Want:     d.Want,
			Least:    d.Least,
			Needed:   d.Needed,
			Funding:  a.funding,
			Spent:    a.spent,
			Limit:    limit,
			Known:    a.known(),

			MaxHeldFraction: w.policy().MaxHeldFraction,
		}}, p)
	})
	result, err = w.send(ctx, a)
	if err == nil {
		event.ShareDrawn.Info(w.Log, "budget", a.budget, "granted", result.Granted,
			"want", d.Want, "pool", result.Free, "reason", d.Reason)
	}
	return result, err
}

// returnTokens returns up to want free tokens to the budget and reports how many
// the ledger accepted. It returns none while requests wait for tokens. A closing
// wallet also sends a return without tokens if it has spending to report.
func (w *Wallet) returnTokens(ctx context.Context, a *account, want tokens.Count) (n tokens.Count, err error) {
	closing, report := w.closed.Load(), false
	w.withLock(a, func() {
		n = a.returnable(want)
		if report = n > 0 || closing && a.spent > a.reported; !report {
			return
		}
		w.prepareReturn(a, n)
	})
	if !report {
		return 0, nil
	}
	result, err := w.send(ctx, a)
	if err != nil || result.Outcome != ledger.Applied {
		return 0, err
	}
	return result.Granted, nil
}

// prepareReturn makes the return of n tokens the pending op. The shard's lock must
// be held.
func (w *Wallet) prepareReturn(a *account, n tokens.Count) {
	limit, p := w.declareLimit(a, 0)
	a.prepare(ledger.Op{Budget: a.budget, Return: &ledger.Return{
		Holder:   w.Holder,
		Sequence: w.sequence.Add(1),
		Tokens:   n,
		Spent:    a.spent,
		Limit:    limit,
		Known:    a.known(),
	}}, p)
}

// report tells the ledger the tokens spent, and renews the spend limit.
func (w *Wallet) report(ctx context.Context, a *account) error {
	w.withLock(a, func() { w.prepareReturn(a, 0) })
	_, err := w.send(ctx, a)
	return err
}

// send applies the pending op. The op stays pending after an error that leaves its
// outcome unknown.
func (w *Wallet) send(ctx context.Context, a *account) (result ledger.Result, err error) {
	defer func() { err = merry.Prepend(err, "applying to the ledger") }()
	var op ledger.Op
	w.withLock(a, func() {
		op = *a.pending
		op.Deferrable = len(a.queue) == 0 && !w.closed.Load()
		if a.uncertain {
			op = op.AsRetry()
		}
	})
	ctx, cancel := context.WithTimeout(ctx, opTimeout)
	defer cancel()
	result, err = w.Ledger.Apply(ctx, op)
	result.Holders = w.running(result.Holders)
	w.withLock(a, func() {
		if err == nil && result.Era != 0 && result.Era < a.restatedFor {
			err = errEarlierEra
		}
		a.failure, a.failedAt = err, w.Clock()
		switch {
		case err == nil:
			a.applyResult(w.Clock(), result)
		case !a.uncertain && noEffect(err):
			a.clearPending()
		default:
			a.uncertain, a.mayUndercount = true, true
		}
		a.stalled = err != nil || result.Outcome != ledger.Applied
		a.serveWaiters(w.Clock())
	})
	if err != nil && !noEffect(err) {
		event.ShareOutcomeUnknown.Warn(w.Log, "budget", a.budget, "sequence", sequence(op), "error", err)
	}
	return result, err
}

func sequence(op ledger.Op) uint64 {
	if op.Draw != nil {
		return op.Draw.Sequence
	}
	return op.Return.Sequence
}

// noEffect reports whether err means that the op was not applied.
func noEffect(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrConflict)
}

// running returns the holders that are not known to have been replaced.
func (w *Wallet) running(holders []ledger.Holding) []ledger.Holding {
	if w.Replaced == nil {
		return holders
	}
	return slices.DeleteFunc(holders, func(h ledger.Holding) bool { return w.Replaced(h.Holder) })
}
