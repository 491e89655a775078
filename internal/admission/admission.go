// Package admission controls when requests are dispatched, so that the queues of
// the upstreams stay short and large customers cannot starve small ones.
//
// A Gate admits requests while the tokens in flight are within its capacity.
// Beyond that, requests wait in one queue per customer, and the queues are served
// by weighted fair queueing: the waiting request with the earliest virtual start
// time is admitted first, and each request advances its customer's virtual time by
// its tokens divided by the customer's weight. A request that is not expected to
// start before its deadline is refused at once with a Retry-After time.
//
// # Usage
//
//	ticket, err := gate.Enter(ctx, now, admission.Request{...})
//	if err != nil {
//		return err // a *Refusal, or the error of ctx
//	}
//	defer func() { gate.Leave(time.Now(), ticket) }()
package admission

import (
	"context"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxWaiting is the maximum number of waiting requests of one customer.
	maxWaiting = 512
	// defaultRate is the initial estimate of the drain rate in tokens per
	// second, used until requests have finished.
	defaultRate = 500.0
	// rateSmoothing is the weight of a new measurement in the exponential moving
	// average of the drain rate.
	rateSmoothing = 0.1
	// minRetryAfter is the least RetryAfter of a Refusal.
	minRetryAfter = time.Second
)

// Gate admits requests to one service. Its methods are safe for concurrent
// use.
type Gate struct {
	mu          sync.Mutex
	capacity    tokens.Count
	inFlight    tokens.Count
	waiting     tokens.Count // of the waiting requests
	virtualTime float64      // greatest virtual start time of an admitted request
	customers   map[ident.Customer]*queue
	drainRate   float64      // estimate, in tokens per second
	drainSince  time.Time    // start of the present measurement of drainRate
	drained     tokens.Count // since drainSince
}

// queue holds the waiting requests of one customer.
type queue struct {
	lastFinish float64 // virtual finish time of the customer's last request
	inFlight   tokens.Count
	waiters    []*Ticket
}

// Request describes a request for admission.
type Request struct {
	Customer ident.Customer
	Weight   int          // relative share of the customer; values below 1 count as 1
	Tokens   tokens.Count // that the request is expected to keep in flight
	Deadline time.Time    // zero for none
}

// Ticket is an admitted or waiting request.
type Ticket struct {
	request  Request
	start    float64       // virtual start time
	admitted chan struct{} // closed on admission
	inFlight bool
}

// Refusal reports that a request was not admitted.
type Refusal struct {
	// RetryAfter is the time after which the request is likely to be admitted.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is the reason for which a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonDeadline  Reason = "queueLongerThanDeadline"
	ReasonQueueFull Reason = "customerQueueFull"
)

// Error returns a description of the refusal.
func (r *Refusal) Error() string {
	return "not admitted: " + string(r.Reason)
}

// New returns a Gate that admits up to capacity tokens at a time.
func New(capacity tokens.Count) *Gate {
	return &Gate{capacity: capacity, customers: make(map[ident.Customer]*queue), drainRate: defaultRate}
}

// Enter waits until the request is admitted or ctx is done, in which case it returns the
// error of ctx. A request that cannot be queued is refused at once with a *Refusal. The
// caller must pass the ticket to Leave.
func (g *Gate) Enter(ctx context.Context, now time.Time, r Request) (*Ticket, error) {
	t, err := g.enqueue(now, r)
	if err != nil {
		return nil, err
	}
	select {
	case <-t.admitted:
		return t, nil
	case <-ctx.Done():
		g.cancel(t)
		return nil, ctx.Err()
	}
}

// enqueue adds a request to its customer's queue and admits what can be admitted. The
// error is a *Refusal.
func (g *Gate) enqueue(now time.Time, r Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(r.Customer)
	if refusal := g.checkLimits(now, q, r); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{request: r, start: max(g.virtualTime, q.lastFinish), admitted: make(chan struct{})}
	q.lastFinish = t.start + float64(r.Tokens)/float64(max(r.Weight, 1))
	q.waiters = append(q.waiters, t)
	g.waiting += r.Tokens
	g.admit()
	return t, nil
}

// queue returns the queue of a customer and creates it if needed.
func (g *Gate) queue(c ident.Customer) *queue {
	q := g.customers[c]
	if q == nil {
		q = new(queue)
		g.customers[c] = q
	}
	return q
}

// checkLimits returns a refusal if the request is expected to wait past its deadline
// or if its customer has too many waiting requests, and nil otherwise.
func (g *Gate) checkLimits(now time.Time, q *queue, r Request) *Refusal {
	wait := g.expectedWait(q, r)
	if len(q.waiters) >= maxWaiting {
		return &Refusal{RetryAfter: max(wait, minRetryAfter), Reason: ReasonQueueFull}
	}
	if wait > 0 && !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return &Refusal{RetryAfter: max(wait, minRetryAfter), Reason: ReasonDeadline}
	}
	return nil
}

// expectedWait estimates how long a request will wait. It assumes that the customer's
// queue drains at an equal share of the drain rate.
func (g *Gate) expectedWait(q *queue, r Request) time.Duration {
	if g.inFlight+r.Tokens <= g.capacity && g.waiting == 0 {
		return 0
	}
	ahead := r.Tokens
	for _, t := range q.waiters {
		ahead += t.request.Tokens
	}
	seconds := float64(ahead) / (g.drainRate / float64(g.competingCustomers(q)))
	return time.Duration(seconds * float64(time.Second))
}

// competingCustomers returns the number of customers with waiting requests, including
// the one of q.
func (g *Gate) competingCustomers(q *queue) (n int) {
	for _, other := range g.customers {
		if other == q || len(other.waiters) > 0 {
			n++
		}
	}
	return max(n, 1)
}

// admit admits waiting requests in order of their virtual start times while there is
// capacity. A request larger than the total capacity is admitted when nothing else is
// in flight.
func (g *Gate) admit() {
	for {
		q := g.nextQueue()
		if q == nil {
			return
		}
		t := q.waiters[0]
		if g.inFlight > 0 && g.inFlight+t.request.Tokens > g.capacity {
			return
		}
		g.admitOne(q, t)
	}
}

// admitOne admits t, the first request of q.
func (g *Gate) admitOne(q *queue, t *Ticket) {
	q.waiters = q.waiters[1:]
	q.inFlight += t.request.Tokens
	g.waiting -= t.request.Tokens
	g.inFlight += t.request.Tokens
	g.virtualTime = max(g.virtualTime, t.start)
	t.inFlight = true
	close(t.admitted)
}

// nextQueue returns the queue whose first request has the earliest virtual start time,
// or nil if no request is waiting.
func (g *Gate) nextQueue() (best *queue) {
	for _, q := range g.customers {
		if len(q.waiters) == 0 {
			continue
		}
		if best == nil || q.waiters[0].start < best.waiters[0].start {
			best = q
		}
	}
	return best
}

// Leave records that an admitted request has finished. Further calls with the same
// ticket have no effect.
func (g *Gate) Leave(now time.Time, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.inFlight {
		return
	}
	t.inFlight = false
	g.inFlight -= t.request.Tokens
	g.customers[t.request.Customer].inFlight -= t.request.Tokens
	g.updateDrainRate(now, t.request.Tokens)
	g.deleteIfIdle(t.request.Customer)
	g.admit()
}

// updateDrainRate records that n tokens have finished. It updates the estimate of the
// drain rate from measurements over at least one second each.
func (g *Gate) updateDrainRate(now time.Time, n tokens.Count) {
	if g.drainSince.IsZero() {
		g.drainSince = now
	}
	g.drained += n
	span := now.Sub(g.drainSince)
	if span < time.Second {
		return
	}
	g.drainRate += rateSmoothing * (float64(g.drained)/span.Seconds() - g.drainRate)
	g.drainRate = max(g.drainRate, 1)
	g.drainSince, g.drained = now, 0
}

// deleteIfIdle deletes the queue of a customer with nothing in flight or waiting, unless
// its virtual finish time is still in the future.
func (g *Gate) deleteIfIdle(c ident.Customer) {
	q := g.customers[c]
	if q.inFlight == 0 && len(q.waiters) == 0 && q.lastFinish <= g.virtualTime {
		delete(g.customers, c)
	}
}

// cancel removes a request whose context is done, whether it is waiting or was just
// admitted.
func (g *Gate) cancel(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.customers[t.request.Customer]
	if t.inFlight {
		t.inFlight = false
		q.inFlight -= t.request.Tokens
		g.inFlight -= t.request.Tokens
		g.admit()
		return
	}
	for i, w := range q.waiters {
		if w == t {
			q.waiters = append(q.waiters[:i:i], q.waiters[i+1:]...)
			g.waiting -= t.request.Tokens
			return
		}
	}
}

// Resize changes the capacity and admits what fits into it.
func (g *Gate) Resize(capacity tokens.Count) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = capacity
	g.admit()
}

// Load is the load of one customer on a Gate.
type Load struct {
	InFlight tokens.Count `json:"inFlightTokens"`
	Waiting  int          `json:"waitingRequests"`
}

// Loads returns the loads of the customers with requests in flight or waiting.
func (g *Gate) Loads() map[ident.Customer]Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := make(map[ident.Customer]Load, len(g.customers))
	for c, q := range g.customers {
		if q.inFlight > 0 || len(q.waiters) > 0 {
			loads[c] = Load{InFlight: q.inFlight, Waiting: len(q.waiters)}
		}
	}
	return loads
}
