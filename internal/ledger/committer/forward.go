package committer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
)

// Forwarder forwards ops to the router that owns a page, which applies them with
// ApplyLocal. It is safe for two routers to both consider themselves the owner,
// because their writes are conditional on the revision of the page.
type Forwarder interface {
	// Apply returns one result for each op. If its error wraps ErrLocalOwner or
	// store.ErrUnavailable, no op was or will be applied.
	Apply(ctx context.Context, page int, ops []ledger.Op) ([]ledger.Result, error)
}

// ErrLocalOwner is returned by Forwarder.Apply if this router owns the page.
var ErrLocalOwner = errors.New("the page is owned by this router")

// forwardRetryDelay is how long ops are written directly after a failed
// forward, before forwarding is tried again.
const forwardRetryDelay = time.Second

// forwardQueue forwards the requests of q, a queue of p, in batches to the
// owner of the page until q is empty.
func (c *Committer) forwardQueue(p *page, q *queue) {
	for {
		batch := q.takeOrStop()
		if len(batch) == 0 {
			return
		}
		c.forwardBatch(p, batch)
	}
}

// forwardBatch forwards batch to the owner of the page. It adds the requests to
// the direct queue if that fails or if forwarding is paused.
func (c *Committer) forwardBatch(p *page, batch []*request) {
	now, wakeCount := c.settings.Clock(), c.wakeups.wakes()
	if p.forwardPaused(now, wakeCount) {
		c.enqueue(p, false, batch)
		return
	}
	batch = beginAll(batch)
	if len(batch) == 0 {
		return
	}
	results, err := c.callForward(p, batch)
	p.owned.Store(errors.Is(err, ErrLocalOwner))
	if err == nil {
		c.counters.Forwarded.Add(int64(len(batch)))
		c.complete(batch, results)
		return
	}
	if !errors.Is(err, ErrLocalOwner) {
		p.pauseForward(now.Add(forwardRetryDelay), wakeCount)
		event.LedgerForwardFailed.Info(c.settings.Log, "page", p.number, "error", err)
	}
	notApplied := errors.Is(err, ErrLocalOwner) || errors.Is(err, store.ErrUnavailable)
	for _, rq := range batch {
		if !notApplied {
			rq.markUnknown()
		}
		rq.reset()
	}
	c.enqueue(p, false, batch)
}

// canForward reports whether a batch whose write conflicted can be forwarded. Routers that write
// a page directly keep its owner from writing it, so that more and more forwards fail: of 108
// that retried in one process, one write in 80 was successful, and none of the owner in 50 s.
// Ops of other routers are not forwarded again, and none while an earlier write may take effect.
func (c *Committer) canForward(p *page, batch []*request) bool {
	return c.settings.Forwarder != nil && !p.owned.Load() && len(p.unconfirmed) == 0 &&
		!p.forwardPaused(c.settings.Clock(), c.wakeups.wakes()) &&
		!slices.ContainsFunc(batch, func(rq *request) bool { return rq.fromRouter })
}

// forwardPaused reports whether ops are written directly because a forward has
// failed. A pause ends early when wakeCount changes.
func (p *page) forwardPaused(now time.Time, wakeCount int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.forwardPausedUntil) && p.forwardPausedAtWake == wakeCount
}

// pauseForward pauses forwarding until the given time, or until wakeCount
// changes.
func (p *page) pauseForward(until time.Time, wakeCount int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwardPausedUntil, p.forwardPausedAtWake = until, wakeCount
}

// callForward calls the forwarder with the ops of batch. A wrong number of
// results is reported as store.ErrUnknown.
func (c *Committer) callForward(p *page, batch []*request) (rs []ledger.Result, err error) {
	var ops []ledger.Op
	for _, rq := range batch {
		ops = append(ops, rq.op)
	}
	ctx, cancel := context.WithTimeout(c.context(), c.settings.Timeout)
	defer cancel()
	rs, err = c.settings.Forwarder.Apply(ctx, p.number, ops)
	if err == nil && len(rs) != len(ops) {
		return nil, merry.Prependf(store.ErrUnknown, "%d results for %d ops", len(rs), len(ops))
	}
	return rs, err
}
