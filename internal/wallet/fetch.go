package wallet

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff after a failed draw.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// maxRecallRounds bounds the recall rounds made for one reservation.
	maxRecallRounds = 10
)

// startWorker starts the goroutine that serves the queue, unless one is running.
// The shard's lock must be held.
func (w *Wallet) startWorker(a *account) {
	if a.workerRunning {
		return
	}
	a.workerRunning = true
	w.tomb.Go(func() error {
		w.serveQueue(a)
		return nil
	})
}

// serveQueue draws, recalls and borrows until the queue is empty.
func (w *Wallet) serveQueue(a *account) {
	delay := minRetryDelay
	for {
		d, err := w.serveQueueStep(a)
		switch {
		case err != nil:
			if !w.sleep(delay) {
				return
			}
			delay = min(2*delay, maxRetryDelay)
		case d.Action == share.ActionHold:
			return
		case d.Action == share.ActionRecall:
			w.recall(a, d)
			delay = minRetryDelay
		case d.Action == actionBorrow:
			w.borrow(a, d)
			delay = minRetryDelay
		default:
			delay = minRetryDelay
		}
	}
}

// serveQueueStep makes one step for the queue: it resolves the pending op, then
// draws, reports or refuses. The caller carries out recalls and loans after the
// account is released, so that no op of the budget waits for another router.
func (w *Wallet) serveQueueStep(a *account) (d share.Decision, err error) {
	if err := w.acquire(w.ctx, a); err != nil {
		return d, err
	}
	defer w.release(a)
	if err := w.resolve(w.ctx, a); err != nil {
		return d, err
	}
	w.withLock(a, func() { d = w.planQueue(a) })
	switch d.Action {
	case actionReport:
		return d, w.report(w.ctx, a)
	case share.ActionDraw:
	default:
		return d, nil
	}
	result, err := w.draw(w.ctx, a, d)
	if err != nil {
		return d, err
	}
	w.withLock(a, func() {
		if result.Outcome != ledger.Applied && result.Outcome != ledger.Exhausted && len(a.queue) > 0 {
			a.refuseFirst(merry.Errorf("draw refused: %s", result.Outcome))
		}
	})
	return d, nil
}

// planQueue serves the waiters that fit and decides what to do for the rest. It
// clears workerRunning if the queue is empty. The shard's lock must be held.
func (w *Wallet) planQueue(a *account) share.Decision {
	now := w.Clock()
	a.serveWaiters(now)
	if len(a.queue) == 0 {
		a.workerRunning, a.stalled, a.exhausted, a.holders = false, false, false, nil
		return share.Decision{Action: share.ActionHold}
	}
	if !w.isHolder(a, now) {
		return a.planBorrow(now)
	}
	if a.limitedByRate(now) {
		return planReport()
	}
	d := share.Plan(now, a.state(now, w.Live()), w.policy())
	head := a.queue[0]
	if d.Action == share.ActionRecall && (head.recallRounds >= maxRecallRounds || w.policy().RefusalAllowance <= 0) {
		d.Action = share.ActionRefuse
	}
	switch d.Action {
	case share.ActionRefuse:
		a.refuseFirst(a.refusal(w.Clock(), w.Live(), head.tokens))
	case share.ActionRecall:
		head.recallRounds++
	}
	return d
}

// recall asks other holders to return tokens and records what they returned.
func (w *Wallet) recall(a *account, d share.Decision) {
	ctx, cancel := context.WithTimeout(w.ctx, w.policy().RefusalAllowance)
	defer cancel()
	var g errgroup.Group
	returned := make([]tokens.Count, len(d.Recalls))
	for i, r := range d.Recalls {
		g.Go(func() (err error) {
			returned[i], err = w.Peers.Recall(ctx, r.Holding.Holder, a.budget, r.Want)
			event.ShareRecalled.Info(w.Log, "budget", a.budget, "holder", r.Holding.Holder,
				"want", r.Want, "returned", returned[i], "error", err)
			return err
		})
	}
	failure := g.Wait()
	var sum tokens.Count
	w.withLock(a, func() {
		a.failure, a.failedAt = failure, w.Clock()
		for i, r := range d.Recalls {
			sum += returned[i]
			r.RecordReturn(a.holders, returned[i])
		}
		a.pool += sum
	})
	if sum == 0 {
		w.sleep(w.recallBackoff())
	}
}

// recallBackoff returns the delay after a recall that returned nothing. It differs
// between routers, so that two that recall from each other do not stay in step.
func (w *Wallet) recallBackoff() time.Duration {
	const slots = 8
	slot := 1 + xxhash.Sum64String(string(w.Holder))%slots
	return time.Duration(slot) * w.policy().RefusalAllowance / (slots * maxRecallRounds * 2)
}

// sleep waits for d. It returns false if the wallet is closing.
func (w *Wallet) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.tomb.Dying():
		return false
	}
}
