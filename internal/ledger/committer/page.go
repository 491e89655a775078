package committer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
)

// page is the committer's state for one ledger page.
type page struct {
	number int
	direct queue // requests to be written by this router
	// forward and deferred hold requests to be forwarded to the owner of the
	// page; those in deferred are deferrable.
	forward, deferred queue

	// The following fields are owned by the goroutine that serves direct, except
	// for lastFailure, which any goroutine may use, and the fields below mu.
	current     *ledger.Page // the page as stored at revision, or nil if not known
	revision    store.Revision
	fence       store.Revision // of the fence of the current era, or 0; see condition
	lastPrune   time.Time
	unavailable bool // unavailability was logged since the last success
	// recovered is set if current was recovered after a restoration of the key-value
	// service and has not been written. restoredAt is when the restored page of era
	// restoredEra was first read.
	recovered   bool
	restoredAt  time.Time
	restoredEra store.Era

	// owned is set while this router is the owner of the page, as far as is known.
	owned atomic.Bool

	// lastFailure is the last failed attempt, or nil after a successful one.
	lastFailure atomic.Pointer[failure]

	// unconfirmed holds the writes conditional on revision unconfirmedBase whose
	// responses were lost. They may still take effect while the page has that
	// revision.
	unconfirmed     []unconfirmedWrite
	unconfirmedBase store.Revision

	segments map[ledger.SegmentID]*ledger.Segment // cache

	// lastWriteStart is when the last batch was started. currentAsOf is the last
	// time at which current was known to match the key-value service.
	lastWriteStart, currentAsOf time.Time

	mu sync.Mutex // guards the following fields
	// forwardPausedUntil is when forwarding is tried again. It is tried earlier
	// if the number of wakes is no longer forwardPausedAtWake.
	forwardPausedUntil  time.Time
	forwardPausedAtWake int
	encoded             []byte // last known encoding
	encodedRevision     store.Revision
	hasEncoded          bool
	lastVersion         Version // the newest one
}

// unconfirmedWrite is a write whose response was lost.
type unconfirmedWrite struct {
	id      ledger.WriteID
	batch   []*request
	results []ledger.Result
}

// writeQueue commits the requests of p.direct in batches until it is empty.
func (c *Committer) writeQueue(p *page) {
	for {
		c.linger(p)
		batch := p.direct.takeOrStop()
		if len(batch) == 0 {
			return
		}
		p.lastWriteStart = c.settings.Clock()
		c.commit(p, batch)
	}
}

// commit retries until the ops of batch are durable. Ops that are queued in the
// meantime are added to the batch at each retry.
func (c *Committer) commit(p *page, batch []*request) {
	wakeCount := c.wakeups.wakes()
	for attempt := 0; len(batch) > 0; attempt++ {
		if n := c.wakeups.wakes(); n != wakeCount {
			attempt, wakeCount = 0, n // earlier failures do not predict the next call
		}
		var err error
		batch, err = c.tryCommit(p, batch)
		switch {
		case err == nil:
			c.recordSuccess(p)
			return
		case errors.Is(err, ledger.ErrPageFull), errors.Is(err, store.ErrTooLarge):
			c.commitHalves(p, batch, err)
			return
		case errors.Is(err, store.ErrConflict):
			c.counters.Conflicts.Add(1)
			if c.canForward(p, batch) {
				c.recordSuccess(p) // the key-value service has responded
				c.enqueue(p, true, batch)
				return
			}
		default:
			c.recordFailure(p, err, wakeCount)
		}
		if !c.backOff(attempt, wakeCount, err) {
			failAll(batch)
			failAll(p.direct.drain())
			return
		}
		batch = append(batch, p.direct.drain()...)
	}
}

// tryCommit makes one attempt to apply batch to the page and to write it. If it
// fails, it returns the requests that are still to be committed.
func (c *Committer) tryCommit(p *page, batch []*request) (remaining []*request, err error) {
	fresh, err := c.load(p)
	if err != nil {
		return finishWithdrawn(batch), err
	}
	batch = beginAll(unfinished(batch))
	if len(batch) == 0 {
		return nil, nil
	}
	now := c.settings.Clock()
	results, changed, err := c.apply(p, batch, now)
	if err != nil {
		return batch, err
	}
	if !changed && !fresh && !p.mustWrite() && now.Sub(p.currentAsOf) >= c.settings.MaxCacheAge {
		// The cached page is older than MaxCacheAge and may have changed since.
		p.invalidate()
		if _, err = c.load(p); err != nil {
			resetAll(batch)
			return batch, err
		}
		if results, changed, err = c.apply(p, batch, now); err != nil {
			return batch, err
		}
	}
	if changed || p.mustWrite() {
		if err = c.put(p, batch, results, now); err != nil {
			return batch, err
		}
	}
	c.complete(batch, results)
	return nil, nil
}

// load reads the page unless current is set. It reports whether it has read the
// page.
func (c *Committer) load(p *page) (fresh bool, err error) {
	if p.current != nil {
		return false, nil
	}
	p.currentAsOf = c.settings.Clock()
	entry, err := c.get(c.context(), ledger.PageKey(p.number))
	if err != nil {
		return false, err
	}
	if created, err := c.setFence(p, entry.Revision.Era()); err != nil {
		return false, err
	} else if created {
		return c.load(p)
	}
	decoded, err := ledger.Decode(entry.Value)
	if err != nil {
		event.LedgerPageInvalid.Error(c.settings.Log, "page", p.number, "error", err)
		return false, err
	}
	p.revision = entry.Revision
	if p.wasRestored(decoded, entry) {
		if err := c.recoverPage(p, decoded, entry); err != nil {
			return false, err
		}
		c.recover(p)
		return true, nil
	}
	p.current = decoded
	p.storeEncoding(entry.Value, entry.Revision)
	if entry.Exists() {
		p.recordVersion(Version{Data: entry.Value, Revision: versionRevision(decoded, entry.Revision)})
	}
	c.recover(p)
	return true, nil
}

// recover completes the requests of an unconfirmed write that has taken effect.
// It does nothing until the revision of the page has changed; after that, none of
// the other unconfirmed writes can take effect.
func (c *Committer) recover(p *page) {
	if len(p.unconfirmed) == 0 || p.revision == p.unconfirmedBase {
		return
	}
	for _, w := range p.unconfirmed {
		if slices.Contains(p.current.Writes, w.id) {
			c.counters.addBatch(len(w.batch))
			c.complete(w.batch, w.results)
		}
	}
	p.unconfirmed = nil
}

// apply applies the ops of batch in order to the cached page, and reports
// whether they changed it.
func (c *Committer) apply(p *page, batch []*request, now time.Time) (rs []ledger.Result, changed bool, err error) {
	if err := c.restoreSealed(p, batch); err != nil {
		p.invalidate()
		resetAll(batch)
		return nil, false, err
	}
	before := p.current.Changes()
	for _, rq := range batch {
		rs = append(rs, p.current.Apply(rq.op, now))
	}
	return rs, p.current.Changes() != before, nil
}

// mustWrite reports whether the page has to be written even if it is unchanged,
// because an unconfirmed write may still take effect, or because it was recovered.
func (p *page) mustWrite() bool {
	return len(p.unconfirmed) > 0 || p.recovered
}

// put writes the page on condition that its stored revision is the one that was
// read.
func (c *Committer) put(p *page, batch []*request, results []ledger.Result, now time.Time) error {
	id := ledger.NewWriteID(p.revision.Era(), rand.Uint64())
	data, err := c.encode(p, now, id)
	if err != nil {
		p.invalidate()
		resetAll(batch)
		return err
	}
	ctx, cancel := context.WithTimeout(c.context(), c.settings.Timeout)
	defer cancel()
	c.counters.Writes.Add(1)
	revision, err := c.settings.Store.Put(ctx, ledger.PageKey(p.number), data, p.condition(), store.NoLease)
	if err == nil {
		c.counters.addBatch(len(batch))
		p.currentAsOf = now
		p.revision = revision
		p.unconfirmed = nil
		p.recovered = false
		p.storeEncoding(data, revision)
		p.recordVersion(Version{Data: data, Revision: revision})
		return nil
	}
	base := p.revision
	p.invalidate()
	if errors.Is(err, store.ErrConflict) {
		p.fence = 0 // it is read again
	}
	if notApplied(err) {
		resetAll(batch)
		return err
	}
	p.unconfirmed = append(p.unconfirmed, unconfirmedWrite{id: id, batch: batch, results: results})
	p.unconfirmedBase = base
	for _, rq := range batch {
		rq.markUnknown()
	}
	return err
}

// notApplied reports whether a write that failed with err is known not to have
// taken effect and never to do so.
func notApplied(err error) bool {
	if errors.Is(err, store.ErrUnknown) {
		return false
	}
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrTooLarge)
}

// invalidate drops the cached page, because it may differ from the stored one.
func (p *page) invalidate() {
	p.current, p.recovered = nil, false
}

// storeEncoding stores the compressed encoding of the page for CachedPage.
func (p *page) storeEncoding(data []byte, r store.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.encoded = data
	p.encodedRevision = r
	p.hasEncoded = true
}

// complete completes the unfinished requests of batch with their results.
func (c *Committer) complete(batch []*request, rs []ledger.Result) {
	for i, rq := range batch {
		if rq.finished {
			continue
		}
		c.counters.Ops.Add(1)
		c.logResult(rq.op, rs[i])
		if rq.onDurable != nil {
			c.pendingPushes.add(-1)
		}
		rq.complete(rs[i], nil)
	}
}

// commitHalves splits a batch that does not fit on the page and commits the
// halves. A single op that does not fit fails with cause, or is retried after
// BackoffLimit if it was pushed.
func (c *Committer) commitHalves(p *page, batch []*request, cause error) {
	if n := len(batch); n > 1 {
		c.commit(p, batch[:n/2])
		c.commit(p, batch[n/2:])
		return
	}
	rq := batch[0]
	event.LedgerPageTooLarge.Error(c.settings.Log, "page", p.number, "budget", rq.op.Budget, "error", cause)
	if rq.onDurable == nil {
		rq.complete(ledger.Result{}, cause)
		return
	}
	c.tomb.Go(func() error {
		if !c.sleep(c.settings.BackoffLimit) {
			rq.fail()
			return nil
		}
		c.enqueue(p, false, batch)
		return nil
	})
}

// finishWithdrawn finishes the requests whose context is done, and returns the
// others. Requests in phaseWaiting are among the others, because their callers
// have yet to withdraw them.
func finishWithdrawn(batch []*request) []*request {
	var left []*request
	for _, rq := range batch {
		if rq.ctx.Err() != nil && rq.phase.Load() != phaseWaiting {
			rq.finish()
			continue
		}
		left = append(left, rq)
	}
	return left
}

func resetAll(batch []*request) {
	for _, rq := range batch {
		rq.reset()
	}
}

func failAll(batch []*request) {
	for _, rq := range batch {
		rq.fail()
	}
}
