// Package admission controls when requests are dispatched, so that the queues of
// the upstreams stay short and large customers cannot starve small ones.
//
// A Gate admits requests while the tokens in flight are within its capacity.
// Beyond that, requests wait in one queue per customer, and the queues are served
// by weighted fair queueing: the queue with the earliest virtual start time is
// served first, and each admission advances its customer's virtual time by the
// request's tokens divided by the customer's weight. Within a queue, the more urgent
// priority comes first, except that every fourth admission goes to the request that has
// waited longest, so that no priority starves. A request that is not expected to
// start before its target or its deadline is refused at once with a Retry-After time. While it
// waits, it is refused if it is no longer expected to start before its deadline.
//
// The load addressed is a burst: one customer sends 7.5 times its usual rate with three times
// the retries, through one router or through all of them (docs/design/queue.md).
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
	"math"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxWaiting is the maximum number of waiting requests of one customer.
	maxWaiting = 512
	// maxSpare is the number of queues that are kept for reuse, so that a request that does not wait
	// allocates nothing but its ticket.
	maxSpare = 16
	// minRetryAfter is the least RetryAfter of a Refusal.
	minRetryAfter = time.Second
	// Unlimited is the capacity of a gate that admits every request.
	Unlimited = tokens.Count(math.MaxInt64 / 4)
)

// Gate admits requests to one service. Its methods are safe for concurrent
// use.
type Gate struct {
	mu          sync.Mutex
	bound       int // of all waiting requests, or 0 if there is none
	capacity    tokens.Count
	inFlight    tokens.Count
	running     int     // requests in flight
	waiting     int     // requests
	arrivals    uint64  // requests that have waited
	virtualTime float64 // greatest virtual start time of an admitted request
	customers   map[ident.Customer]*queue
	idle        int       // customers that are kept although they have no requests
	deletedAt   time.Time // when those that were kept long enough were last deleted
	spare       []*queue  // for reuse
	pace        pace
	now         time.Time // of the latest call
	turns       turns     // buffer of Review
}

// Request describes a request for admission.
type Request struct {
	Customer ident.Customer
	Weight   int          // relative share of the customer; values below 1 count as 1
	Priority int          // 0 is the most urgent; the least urgent that is told apart is 9
	Tokens   tokens.Count // that the request is expected to keep in flight
	Deadline time.Time    // by which the request has to be admitted, zero for none
	// Target is the time by which the request has to be expected to be admitted when it arrives, if
	// that is before Deadline, or zero. The time between the two is for requests that overtake it.
	Target time.Time
}

// Ticket is an admitted or waiting request.
type Ticket struct {
	request  Request
	arrival  uint64        // place in the order of arrival
	admitted chan struct{} // closed on admission, or when the request is refused
	inFlight bool
	since    time.Time // of the admission
	refusal  *Refusal
}

// open is the channel of requests that are admitted at once.
var open = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Refusal reports that a request was not admitted.
type Refusal struct {
	// RetryAfter is the time after which the request is likely to be admitted.
	RetryAfter time.Duration
	// Wait is the expected time until the request would have been admitted.
	Wait   time.Duration
	Reason Reason
}

// Reason is the reason for which a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonDeadline    Reason = "queueLongerThanDeadline"
	ReasonQueueFull   Reason = "customerQueueFull"
	ReasonServiceFull Reason = "serviceQueueFull"
)

// Error returns a description of the refusal.
func (r *Refusal) Error() string {
	return "not admitted: " + string(r.Reason)
}

// New returns a Gate that admits up to capacity tokens at a time.
func New(capacity tokens.Count) *Gate { return NewBounded(capacity, 0) }

// NewBounded returns a Gate like New, at which at most bound requests of all customers wait.
func NewBounded(capacity tokens.Count, bound int) *Gate {
	return &Gate{capacity: capacity, bound: bound, customers: make(map[ident.Customer]*queue), pace: newPace()}
}

// Enter waits until the request is admitted or ctx is done, in which case it returns the
// error of ctx. A request that cannot be queued is refused at once with a *Refusal. The
// caller must pass the ticket to Leave.
func (g *Gate) Enter(ctx context.Context, now time.Time, r Request) (*Ticket, error) {
	t, err := g.Join(now, r)
	if err != nil {
		return nil, err
	}
	if err := g.Wait(ctx, t); err != nil {
		return nil, err
	}
	return t, nil
}

// Join admits the request or adds it to its customer's queue. The caller of a ticket that is not
// admitted must call Wait. The error is a *Refusal.
func (g *Gate) Join(now time.Time, r Request) (*Ticket, error) {
	t, err := g.enqueue(now, r)
	if err != nil {
		return nil, err
	}
	return t, nil
}

// Wait waits until the request of a ticket is admitted. If it is refused meanwhile or ctx is done,
// Wait returns a *Refusal or the error of ctx, and the ticket is void.
func (g *Gate) Wait(ctx context.Context, t *Ticket) error {
	select {
	case <-t.admitted:
		if t.refusal != nil {
			return t.refusal
		}
		return nil
	case <-ctx.Done():
		g.cancel(t)
		return ctx.Err()
	}
}

// enqueue adds a request to its customer's queue and admits what can be admitted. The
// error is a *Refusal.
func (g *Gate) enqueue(now time.Time, r Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	q := g.queue(r.Customer)
	q.weight = float64(max(r.Weight, 1))
	if g.hasRoom(r.Tokens) {
		t := &Ticket{request: r, admitted: open}
		g.start(now, q, t)
		return t, nil
	}
	if refusal := g.checkLimits(now, q, r); refusal != nil {
		g.deleteIfIdle(r.Customer)
		return nil, refusal
	}
	g.arrivals++
	t := &Ticket{request: r, arrival: g.arrivals, admitted: make(chan struct{})}
	q.push(t, g.virtualTime)
	g.waiting++
	g.admit(now)
	return t, nil
}

// queue returns the queue of a customer and creates it if needed.
func (g *Gate) queue(c ident.Customer) *queue {
	q := g.customers[c]
	if q != nil {
		if q.idle {
			q.idle = false
			g.idle--
		}
		return q
	}
	if last := len(g.spare) - 1; last >= 0 {
		q, g.spare = g.spare[last], g.spare[:last]
	} else {
		q = new(queue)
	}
	g.customers[c] = q
	return q
}

// hasRoom reports whether a request with the given tokens is admitted at once.
func (g *Gate) hasRoom(n tokens.Count) bool {
	return g.waiting == 0 && (g.inFlight == 0 || g.inFlight+n <= g.capacity)
}

// checkLimits returns a refusal if the request is expected to wait past its deadline
// or if too many requests wait, and nil otherwise. If too many of its customer wait, it takes the
// place of a less urgent one; if too many wait in all, that of one of the customer that has the most in
// proportion to its weight.
func (g *Gate) checkLimits(now time.Time, q *queue, r Request) *Refusal {
	wait := g.expectedWait(now, q, r)
	if tooLate(now, wait, r.Deadline) || !r.Target.IsZero() && now.Add(wait).After(r.Target) {
		return refuse(ReasonDeadline, wait)
	}
	switch {
	case q.waiting >= maxWaiting:
		t := q.displaceable(r.priority())
		if t == nil {
			return refuse(ReasonQueueFull, wait)
		}
		g.withdraw(q, t, refuse(ReasonQueueFull, g.expectedWait(now, q, t.request)))
	case g.bound > 0 && g.waiting >= g.bound && !g.displace(now, q):
		return refuse(ReasonServiceFull, wait)
	}
	return nil
}

func refuse(reason Reason, wait time.Duration) *Refusal {
	return &Refusal{RetryAfter: max(wait, minRetryAfter), Wait: wait, Reason: reason}
}

// displace refuses the last request of the longest queue in favour of one more of q. It returns
// false if no queue would stay longer than q by that.
func (g *Gate) displace(now time.Time, q *queue) bool {
	longest := q
	for _, other := range g.customers {
		if other.share() > longest.share() {
			longest = other
		}
	}
	if float64(longest.waiting-1)/longest.weight < float64(q.waiting+1)/q.weight {
		return false
	}
	t := longest.last()
	g.withdraw(longest, t, refuse(ReasonServiceFull, g.expectedWait(now, longest, t.request)))
	g.deleteIfIdle(t.request.Customer)
	return true
}

// withdraw removes a waiting request, which is refused if there is a refusal.
func (g *Gate) withdraw(q *queue, t *Ticket, refusal *Refusal) {
	if !q.remove(t) {
		return
	}
	g.waiting--
	if refusal != nil {
		t.refusal = refusal
		close(t.admitted)
	}
}

// admit admits waiting requests in order of the virtual start times of their queues while there is
// capacity. A request larger than the total capacity is admitted when nothing else is
// in flight.
func (g *Gate) admit(now time.Time) {
	for g.waiting > 0 && (g.inFlight == 0 || g.inFlight < g.capacity) {
		q := g.nextQueue()
		t := q.next()
		if g.inFlight > 0 && g.inFlight+t.request.Tokens > g.capacity {
			break
		}
		q.admissions++
		g.withdraw(q, t, nil)
		g.start(now, q, t)
		close(t.admitted)
	}
	g.deleteIdle(now)
}

// start records that the request of a ticket is in flight.
func (g *Gate) start(now time.Time, q *queue, t *Ticket) {
	if g.running == 0 {
		g.pace.begin(now)
	}
	q.lastFinish = max(q.lastFinish, g.virtualTime)
	g.virtualTime = q.lastFinish
	q.lastFinish += float64(t.request.Tokens) / q.weight
	q.inFlight += t.request.Tokens
	q.running++
	g.inFlight += t.request.Tokens
	g.running++
	t.inFlight, t.since = true, now
}

// nextQueue returns the queue with the earliest virtual start time. Among equal ones, it is that
// of the request that has waited longest.
func (g *Gate) nextQueue() (best *queue) {
	for _, q := range g.customers {
		switch {
		case q.waiting == 0:
		case best == nil, q.lastFinish < best.lastFinish,
			q.lastFinish == best.lastFinish && q.oldest().arrival < best.oldest().arrival:
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
	g.now = now
	g.pace.end(now, now.Sub(t.since))
	g.finish(t)
	g.admit(now)
}

// finish removes a request in flight.
func (g *Gate) finish(t *Ticket) {
	q := g.customers[t.request.Customer]
	t.inFlight = false
	q.inFlight -= t.request.Tokens
	q.running--
	g.inFlight -= t.request.Tokens
	g.running--
	g.deleteIfIdle(t.request.Customer)
}

// cancel removes a request whose context is done, whether it is waiting or was just
// admitted.
func (g *Gate) cancel(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.inFlight {
		g.finish(t)
	} else if q := g.customers[t.request.Customer]; q != nil {
		g.withdraw(q, t, nil)
		g.deleteIfIdle(t.request.Customer)
	}
	// The request may have been the next one, and too large for the capacity.
	g.admit(g.now)
}
