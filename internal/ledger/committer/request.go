package committer

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
)

// request is a pending op.
type request struct {
	op        ledger.Op
	ctx       context.Context     // never ends for a pushed op
	onDurable func(ledger.Result) // called once a pushed op is durable, nil for other ops
	response  chan response
	onFinish  func() // called by finish
	phase     atomic.Int32
	// fromRouter is set if another router has forwarded the op.
	fromRouter bool
	// unknown records that the outcome of an earlier attempt to apply the op is
	// unknown. It is owned by the goroutine that handles the request.
	unknown bool
	// finished records that finish was called. It is owned by the same goroutine.
	finished bool
}

// response is the outcome of a request.
type response struct {
	result ledger.Result
	err    error
}

// Phases of a request. A request in phaseWaiting is either withdrawn by its
// caller or becomes part of a write or forward.
const (
	phaseWaiting int32 = iota
	phaseBegun
	phaseWithdrawn
)

func newRequest(ctx context.Context, op ledger.Op) *request {
	return &request{op: op, ctx: ctx, response: make(chan response, 1)}
}

func newPush(op ledger.Op, done func(ledger.Result)) *request {
	rq := newRequest(context.Background(), op)
	rq.onDurable = done
	return rq
}

// wait waits for the response or until the context is done.
func (rq *request) wait() (ledger.Result, error) {
	select {
	case resp := <-rq.response:
		return resp.result, resp.err
	case <-rq.ctx.Done():
	}
	if rq.phase.CompareAndSwap(phaseWaiting, phaseWithdrawn) {
		return ledger.Result{}, merry.Prepend(store.ErrUnavailable, rq.ctx.Err().Error())
	}
	select {
	case resp := <-rq.response:
		return resp.result, resp.err
	default:
		return ledger.Result{}, merry.Prepend(store.ErrUnknown, rq.ctx.Err().Error())
	}
}

// waitAll waits for all requests. Its error wraps store.ErrUnavailable only if
// no op was or will be applied.
func waitAll(rqs []*request) (rs []ledger.Result, err error) {
	noneApplied := true // no op was or will be applied
	for _, rq := range rqs {
		r, failure := rq.wait()
		rs = append(rs, r)
		noneApplied = noneApplied && errors.Is(failure, store.ErrUnavailable)
		err = cmp.Or(err, failure)
	}
	if err == nil {
		return rs, nil
	}
	if !noneApplied && len(rqs) > 1 {
		return nil, merry.Prepend(store.ErrUnknown, err.Error())
	}
	return nil, err
}

// begin marks rq as part of a write or forward. It returns false if rq was
// withdrawn, or if it was begun before and its context is done.
func (rq *request) begin() bool {
	if rq.phase.CompareAndSwap(phaseWaiting, phaseBegun) {
		return true
	}
	return rq.phase.Load() == phaseBegun && rq.ctx.Err() == nil
}

// reset returns rq to phaseWaiting, so that its caller can withdraw it, unless
// an earlier attempt may have taken effect.
func (rq *request) reset() {
	if !rq.unknown {
		rq.phase.CompareAndSwap(phaseBegun, phaseWaiting)
	}
}

// markUnknown records that the outcome of an attempt to apply the op is unknown,
// so that the op may still take effect.
func (rq *request) markUnknown() {
	rq.unknown = true
	rq.op = rq.op.AsRetry()
}

// complete sends the response of rq and finishes it.
func (rq *request) complete(r ledger.Result, err error) {
	rq.response <- response{result: r, err: err}
	if rq.onDurable != nil && err == nil {
		rq.onDurable(r)
	}
	rq.finish()
}

// finish marks rq as finished without sending a response.
func (rq *request) finish() {
	rq.finished = true
	rq.onFinish()
}

// fail completes rq with an error because the committer has stopped.
func (rq *request) fail() {
	if rq.unknown {
		rq.complete(ledger.Result{}, merry.Prepend(store.ErrUnknown, "committer closed"))
		return
	}
	rq.complete(ledger.Result{}, merry.Prepend(store.ErrUnavailable, "committer closed"))
}

// beginAll calls begin for each request. It returns the requests that were
// begun, and finishes the others.
func beginAll(batch []*request) []*request {
	var started []*request
	for _, rq := range batch {
		if rq.begin() {
			started = append(started, rq)
			continue
		}
		rq.finish()
	}
	return started
}

// unfinished returns the requests that are not finished.
func unfinished(batch []*request) []*request {
	var left []*request
	for _, rq := range batch {
		if !rq.finished {
			left = append(left, rq)
		}
	}
	return left
}

// splitByUrgency splits requests into those whose ops are not deferrable and
// those whose ops are.
func splitByUrgency(rqs []*request) (urgent, deferrable []*request) {
	for _, rq := range rqs {
		if rq.op.Deferrable {
			deferrable = append(deferrable, rq)
		} else {
			urgent = append(urgent, rq)
		}
	}
	return urgent, deferrable
}

// queue holds pending requests for one page.
type queue struct {
	mu          sync.Mutex
	waiting     []*request
	running     bool          // a goroutine serves the queue
	urgentAdded chan struct{} // see awaitUrgent
}

// add appends requests, and reports whether the caller has to start a goroutine
// that serves the queue.
func (q *queue) add(rqs []*request) (start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, rqs...)
	if urgent, _ := splitByUrgency(rqs); len(urgent) > 0 && q.urgentAdded != nil {
		close(q.urgentAdded)
		q.urgentAdded = nil
	}
	start = !q.running
	q.running = true
	return start
}

// awaitUrgent returns a channel that is closed when a request that is not
// deferrable is added. It returns nil if the queue already has one or is empty.
func (q *queue) awaitUrgent() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if urgent, _ := splitByUrgency(q.waiting); len(urgent) > 0 || len(q.waiting) == 0 {
		return nil
	}
	if q.urgentAdded == nil {
		q.urgentAdded = make(chan struct{})
	}
	return q.urgentAdded
}

// takeOrStop removes and returns all requests. If there are none, it records
// that the goroutine that serves the queue is exiting.
func (q *queue) takeOrStop() []*request {
	q.mu.Lock()
	defer q.mu.Unlock()
	rqs := q.waiting
	q.waiting = nil
	q.running = len(rqs) > 0
	return rqs
}

// drain removes and returns all requests. It is called by the goroutine that
// serves the queue, which continues to do so.
func (q *queue) drain() []*request {
	q.mu.Lock()
	defer q.mu.Unlock()
	rqs := q.waiting
	q.waiting = nil
	return rqs
}

// pushCounter counts the pushed ops that are not yet durable.
type pushCounter struct{ n atomic.Int64 }

func (p *pushCounter) add(n int64)  { p.n.Add(n) }
func (p *pushCounter) count() int64 { return p.n.Load() }
