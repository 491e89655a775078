// Package admission decides when a request may be dispatched, so that the
// upstreams' queues stay short and the largest customers cannot starve the
// small.
//
// A Gate admits requests while the tokens in flight are within its capacity.
// Beyond that, requests wait in a queue for each customer, and the queues are
// served in order of virtual finish time: a customer's tokens count for less
// the greater its weight. A request that could not start before its deadline is
// refused at once, with a time after which to come back.
//
// # Usage
//
//	ticket, err := gate.Enter(ctx, now, admission.Request{...})
//	if err != nil {
//		return err // a *Refusal, or the error of ctx
//	}
//	defer gate.Leave(ticket)
package admission

import (
	"context"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxWaiting bounds the requests of one customer that wait.
	maxWaiting = 512
	// defaultRate is the assumed drain rate in tokens a second before any
	// request has finished.
	defaultRate = 500.0
	// rateWeight is the weight of a new observation of the drain rate.
	rateWeight = 0.1
	// minRetryAfter is the least time that a refusal names.
	minRetryAfter = time.Second
)

// Gate admits requests to one service. Its methods are safe for concurrent
// use.
type Gate struct {
	mu        sync.Mutex
	capacity  tokens.Count
	inFlight  tokens.Count
	waiting   tokens.Count
	virtual   float64
	customers map[ident.Customer]*queue
	rate      float64 // tokens a second that leave the gate
	left      time.Time
	leftSum   tokens.Count
}

// queue holds the waiting requests of one customer.
type queue struct {
	finish   float64 // virtual finish time of the last request
	inFlight tokens.Count
	waiters  []*Ticket
}

// Request is a request for admission.
type Request struct {
	Customer ident.Customer
	Weight   int
	Tokens   tokens.Count
	Deadline time.Time // zero for none
}

// Ticket is an admitted or waiting request.
type Ticket struct {
	request  Request
	start    float64 // virtual start time
	admitted chan struct{}
	in       bool
}

// Refusal reports that a request was not admitted.
type Refusal struct {
	// RetryAfter is when the request is likely to be admitted.
	RetryAfter time.Duration
	Reason     Reason
}

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonDeadline  Reason = "queueLongerThanDeadline"
	ReasonQueueFull Reason = "customerQueueFull"
)

// Error describes the refusal.
func (r *Refusal) Error() string {
	return "not admitted: " + string(r.Reason)
}

// New returns a gate that admits up to capacity tokens at once.
func New(capacity tokens.Count) *Gate {
	return &Gate{capacity: capacity, customers: make(map[ident.Customer]*queue), rate: defaultRate}
}

// Enter waits until the request is admitted, ctx ends, or it is refused with a
// *Refusal.
func (g *Gate) Enter(ctx context.Context, now time.Time, r Request) (*Ticket, error) {
	t, err := g.enqueue(now, r)
	if err != nil {
		return nil, err
	}
	select {
	case <-t.admitted:
		return t, nil
	case <-ctx.Done():
		g.withdraw(t)
		return nil, ctx.Err()
	}
}

func (g *Gate) enqueue(now time.Time, r Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queue(r.Customer)
	if refusal := g.refuse(now, q, r); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{request: r, start: max(g.virtual, q.finish), admitted: make(chan struct{})}
	q.finish = t.start + float64(r.Tokens)/float64(max(r.Weight, 1))
	q.waiters = append(q.waiters, t)
	g.waiting += r.Tokens
	g.admit()
	return t, nil
}

func (g *Gate) queue(c ident.Customer) *queue {
	q := g.customers[c]
	if q == nil {
		q = new(queue)
		g.customers[c] = q
	}
	return q
}

// refuse returns a refusal if the request would wait past its deadline or its
// customer has too many waiting.
func (g *Gate) refuse(now time.Time, q *queue, r Request) *Refusal {
	wait := g.expectedWait(q, r)
	if len(q.waiters) >= maxWaiting {
		return &Refusal{RetryAfter: max(wait, minRetryAfter), Reason: ReasonQueueFull}
	}
	if wait > 0 && !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return &Refusal{RetryAfter: max(wait, minRetryAfter), Reason: ReasonDeadline}
	}
	return nil
}

// expectedWait estimates how long a request waits: the customer's own queue at
// its part of the drain rate.
func (g *Gate) expectedWait(q *queue, r Request) time.Duration {
	if g.inFlight+r.Tokens <= g.capacity && g.waiting == 0 {
		return 0
	}
	ahead := r.Tokens
	for _, t := range q.waiters {
		ahead += t.request.Tokens
	}
	seconds := float64(ahead) / (g.rate / float64(g.contenders(q)))
	return time.Duration(seconds * float64(time.Second))
}

// contenders counts the customers with waiting requests, q among them.
func (g *Gate) contenders(q *queue) (n int) {
	for _, other := range g.customers {
		if other == q || len(other.waiters) > 0 {
			n++
		}
	}
	return max(n, 1)
}

// admit admits waiting requests, least virtual start first, while there is
// capacity. A request larger than the whole capacity runs alone.
func (g *Gate) admit() {
	for {
		q := g.next()
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

func (g *Gate) admitOne(q *queue, t *Ticket) {
	q.waiters = q.waiters[1:]
	q.inFlight += t.request.Tokens
	g.waiting -= t.request.Tokens
	g.inFlight += t.request.Tokens
	g.virtual = max(g.virtual, t.start)
	t.in = true
	close(t.admitted)
}

// next returns the queue whose first request has the least virtual start.
func (g *Gate) next() (best *queue) {
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

// Leave ends an admitted request's time in flight. A second call has no
// effect.
func (g *Gate) Leave(now time.Time, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.in {
		return
	}
	t.in = false
	g.inFlight -= t.request.Tokens
	g.customers[t.request.Customer].inFlight -= t.request.Tokens
	g.observe(now, t.request.Tokens)
	g.forgetIdle(t.request.Customer)
	g.admit()
}

// observe measures the drain rate over spans of a second or more.
func (g *Gate) observe(now time.Time, n tokens.Count) {
	if g.left.IsZero() {
		g.left = now
	}
	g.leftSum += n
	span := now.Sub(g.left)
	if span < time.Second {
		return
	}
	g.rate += rateWeight * (float64(g.leftSum)/span.Seconds() - g.rate)
	g.rate = max(g.rate, 1)
	g.left, g.leftSum = now, 0
}

// forgetIdle drops a customer with nothing in flight or waiting once its
// virtual time has passed.
func (g *Gate) forgetIdle(c ident.Customer) {
	q := g.customers[c]
	if q.inFlight == 0 && len(q.waiters) == 0 && q.finish <= g.virtual {
		delete(g.customers, c)
	}
}

// withdraw takes back a request whose caller has gone.
func (g *Gate) withdraw(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.customers[t.request.Customer]
	if t.in {
		t.in = false
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

// Resize changes the capacity.
func (g *Gate) Resize(capacity tokens.Count) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = capacity
	g.admit()
}

// Load is what a gate has in flight and waiting for one customer.
type Load struct {
	InFlight tokens.Count `json:"inFlightTokens"`
	Waiting  int          `json:"waitingRequests"`
}

// Loads returns the load of each customer that has any.
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
