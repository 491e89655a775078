// Package committer writes ledger pages to the key-value service with group
// commit.
//
// All pending ops for a page are batched into one compare-and-swap, and each
// page has at most one write in flight. The result of an op is returned only
// after its effect is durable. A write conflicts if the page has changed since
// it was read. The committer then rereads the page and applies the ops again.
//
// Each write records its identifier on the page. If the response to a write is
// lost, the committer rereads the page. If the page lists the identifier, the
// ops complete with the results of that write; otherwise they are applied
// again. Because ops are idempotent, this is safe even if more than 32 later
// writes have removed the identifier from the page.
//
// A write whose response was lost can still take effect later, while the page has
// the revision on which the write is conditional. Until the revision has
// changed, the committer completes no op from a page that it has only read: it
// writes the page again, even if unchanged, so that the earlier write can no
// longer take effect.
//
// The key-value service may be restored from an older copy, which begins a new era. A page
// that was written in an earlier era is recovered before any op is applied: the newest
// version that a router has read or written takes its place, with the shares as their
// holders restate them. Unless all routers and holders responded, tokens that may have
// been drawn are withheld.
//
// When a page exceeds a size limit, its oldest ended claims are sealed: they are
// moved to immutable segments stored under separate keys. Before an op on a claim
// that is not on the page is applied, the segments are searched for the claim.
//
// # Usage
//
//	c := committer.New(committer.Settings{Store: s, Pages: 64, Clock: time.Now})
//	result, err := c.Apply(ctx, op)
//	switch {
//	case errors.Is(err, store.ErrUnavailable): // the op was not and will not be applied
//	case errors.Is(err, store.ErrUnknown):     // the op may have been or may yet be applied
//	}
//	c.Push(op, func(r ledger.Result) { ... })
//	...
//	err = c.Close(ctx)
package committer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
)

// Committer applies ops to ledger pages in the key-value service. Its methods
// are safe for concurrent use.
type Committer struct {
	settings Settings
	counters Counters
	pages    []page
	tomb     tomb.Tomb
	jitter   jitter
	wakeups  broadcast

	mu            sync.RWMutex // guards closed; write-locked only to set it
	closed        bool
	closing       chan struct{}  // closed when closed is set
	pending       sync.WaitGroup // unfinished requests
	pendingPushes pushCounter
}

// New returns a Committer that runs until Close is called.
func New(s Settings) *Committer {
	s = s.withDefaults()
	c := &Committer{settings: s, pages: make([]page, s.Pages), closing: make(chan struct{})}
	c.jitter.seed(s.Seed)
	for n := range c.pages {
		c.pages[n].number = n
	}
	c.tomb.Go(c.keepAlive)
	return c
}

// keepAlive keeps the tomb running while no page has a goroutine.
func (c *Committer) keepAlive() error {
	<-c.tomb.Dying()
	return nil
}

// Apply applies op to the page of its budget and waits until the result is
// durable. When ctx is done or the committer has been closed, it returns an error
// that wraps store.ErrUnavailable if op was withdrawn before any write, or
// store.ErrUnknown if op may have taken effect or may still do so. The error wraps
// ledger.ErrPageFull or store.ErrTooLarge if op does not fit on the page.
func (c *Committer) Apply(ctx context.Context, op ledger.Op) (r ledger.Result, err error) {
	if op.Budget == "" {
		return ledger.Result{Outcome: ledger.Invalid}, nil
	}
	return c.ApplyPage(ctx, ledger.PageIndex(op.Budget, len(c.pages)), op)
}

// ApplyPage is like Apply for an op that applies to all budgets of page n.
func (c *Committer) ApplyPage(ctx context.Context, n int, op ledger.Op) (r ledger.Result, err error) {
	defer func() { err = merry.Prependf(err, "applying to ledger page %d", n) }()
	rq := newRequest(ctx, op)
	if !c.submit(n, c.settings.Forwarder != nil, rq) {
		return ledger.Result{}, store.ErrUnavailable
	}
	return rq.wait()
}

// ApplyLocal applies ops in order to page n without forwarding them. It is
// called for routers that forward their ops to this one. It returns an error,
// like that of Apply, unless all ops are durable. If the last call of the
// key-value service failed recently, it fails immediately, because the calling
// router may be able to write the page itself.
func (c *Committer) ApplyLocal(ctx context.Context, n int, ops []ledger.Op) (rs []ledger.Result, err error) {
	defer func() { err = merry.Prependf(err, "applying %d forwarded ops to ledger page %d", len(ops), n) }()
	if n < 0 || n >= len(c.pages) {
		return nil, merry.Prepend(store.ErrUnavailable, "no such page")
	}
	if c.failedRecently(&c.pages[n]) {
		return nil, merry.Prepend(store.ErrUnavailable, "the key-value service refused the last call")
	}
	c.pages[n].owned.Store(true)
	var rqs []*request
	for _, op := range ops {
		if op.Budget != "" && ledger.PageIndex(op.Budget, len(c.pages)) != n {
			return nil, merry.Prependf(store.ErrUnavailable, "budget %s is on another page", op.Budget)
		}
		rq := newRequest(ctx, op)
		rq.fromRouter = true
		rqs = append(rqs, rq)
	}
	if !c.submit(n, false, rqs...) {
		return nil, store.ErrUnavailable
	}
	return waitAll(rqs)
}

// Push applies op asynchronously, retries it until it is durable, and then
// calls done, which must not block. It does not call done if Close has been
// called before, or if the op is not durable when the committer stops.
func (c *Committer) Push(op ledger.Op, done func(ledger.Result)) {
	if op.Budget == "" {
		done(ledger.Result{Outcome: ledger.Invalid})
		return
	}
	n := ledger.PageIndex(op.Budget, len(c.pages))
	c.pendingPushes.add(1)
	if !c.submit(n, c.settings.Forwarder != nil, newPush(op, done)) {
		c.pendingPushes.add(-1)
		event.LedgerRecordsDropped.Error(c.settings.Log, "records", 1)
	}
}

// Close rejects new ops, waits until all pending ops are durable or ctx is
// done, and then waits until the committer has stopped. It returns an error if
// pushed ops were not written.
func (c *Committer) Close(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "closing ledger committer") }()
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.closing)
	}
	c.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		c.pending.Wait()
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	c.tomb.Kill(nil)
	err = c.tomb.Wait()
	<-idle
	if n := c.pendingPushes.count(); n > 0 {
		event.LedgerRecordsDropped.Error(c.settings.Log, "records", n)
		return merry.Prependf(store.ErrUnavailable, "%d records not written", n)
	}
	return err
}

// submit queues requests for page n and starts a goroutine for their queue if
// none is running. It returns false if the committer is closed.
func (c *Committer) submit(n int, forward bool, rqs ...*request) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.closed {
		return false
	}
	c.pending.Add(len(rqs))
	for _, rq := range rqs {
		rq.onFinish = c.pending.Done
	}
	c.enqueue(&c.pages[n], forward, rqs)
	return true
}

// enqueue adds requests to the queues of p. Forwarded ops that are deferrable
// have a queue of their own, so that they do not delay the others while the
// owner of the page lingers before it writes them.
func (c *Committer) enqueue(p *page, forward bool, rqs []*request) {
	if !forward {
		c.addAndServe(&p.direct, rqs, func() { c.writeQueue(p) })
		return
	}
	urgent, deferrable := splitByUrgency(rqs)
	c.addAndServe(&p.forward, urgent, func() { c.forwardQueue(p, &p.forward) })
	c.addAndServe(&p.deferred, deferrable, func() { c.forwardQueue(p, &p.deferred) })
}

// addAndServe adds requests to q and runs serve in a new goroutine unless one
// is already serving q.
func (c *Committer) addAndServe(q *queue, rqs []*request, serve func()) {
	if len(rqs) > 0 && q.add(rqs) {
		c.tomb.Go(func() error {
			serve()
			return nil
		})
	}
}

// Settings are the dependencies and limits of a Committer.
type Settings struct {
	Store store.Store
	// Pages is the number of ledger pages. It must be the same on all routers.
	Pages int
	// Retention is how long ended claims are kept. It must exceed the longest
	// time for which a record can be pending before it is written.
	Retention time.Duration
	Clock     func() time.Time
	Log       hclog.Logger
	// Forwarder, if set, receives ops first; ops that it cannot apply are written
	// directly.
	Forwarder Forwarder
	// Collector, if set, is asked for newer versions of a page that was restored from an
	// older copy.
	Collector Collector
	// Timeout limits each call of the key-value service and of Forwarder.
	Timeout time.Duration
	// HeldPart returns the fraction of the tokens left that all routers together may hold
	// unspent. That much is withheld after a recovery in which some did not respond. If it
	// is nil, the fraction is that of a small fleet.
	HeldPart func() float64
	// MaxCacheAge is the maximum age of a cached page from which ops are completed
	// that change nothing, such as draws for which too few tokens are free. An
	// older page is reread first, because another writer may have changed it.
	MaxCacheAge time.Duration
	// Linger is the minimum time between the starts of two batches of a page
	// while all its pending ops are deferrable.
	Linger time.Duration
	// Backoff is the initial delay after a failed call. The delay doubles with
	// each failure up to BackoffLimit, and jitter is applied to it.
	Backoff      time.Duration
	BackoffLimit time.Duration
	// SealSize is the encoded size in bytes above which ended claims are moved
	// from a page to segments.
	SealSize int
	// Seed is the seed of the jitter.
	Seed uint64
}

// Default values of the fields of Settings.
const (
	DefaultRetention    = 24 * time.Hour
	DefaultTimeout      = 2 * time.Second
	DefaultBackoff      = 5 * time.Millisecond
	DefaultBackoffLimit = time.Second
	DefaultSealSize     = 64 << 10
)

func (s Settings) withDefaults() Settings {
	s.Pages = max(s.Pages, 1)
	s.Retention = orDefault(s.Retention, DefaultRetention)
	s.Timeout = orDefault(s.Timeout, DefaultTimeout)
	s.Backoff = orDefault(s.Backoff, DefaultBackoff)
	s.BackoffLimit = orDefault(s.BackoffLimit, DefaultBackoffLimit)
	if s.SealSize <= 0 {
		s.SealSize = DefaultSealSize
	}
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	return s
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
