// Package queue holds requests before the upstreams of a service while those have all that they can
// run, so that the requests do not queue at the upstreams in order of arrival.
//
// A Queue has a gate of package admission for each service. The capacity of a gate follows the slots
// of the upstreams and the requests of the other routers; it is calculated at most every 100 ms,
// and at once before a request has to wait. Requests are counted, not their tokens. While nothing
// waits, a request costs a ticket and two short locks, none of which is held while an upstream is
// chosen. Maintain has to be called regularly; it refuses requests that can no longer start in time, and
// removes the state of services that are gone. To start in time means to start while there is time
// left to run.
//
// The load addressed is a burst of one customer, 7.5 times its usual rate with three times the
// retries, at 9 to 390 routers (docs/design/queue.md).
//
// # Usage
//
//	q := queue.New(queue.Settings{Occupancy: roster.Occupancy, RouterCount: routers, RecordWait: m.RecordWait, ...})
//	place, refused := q.Join(now, queue.Request{Service: id, Customer: customer, Deadline: deadline})
//	if refused == nil {
//		refused, err = place.Wait(ctx)
//	}
//	...
//	place.Leave(now)
package queue

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/admission"
	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// maxWaiting is the maximum number of waiting requests of one service.
	maxWaiting = 2048
	// maxAge is how long a capacity is used, and minAge how long also if a request would be the first
	// that has to wait.
	maxAge = 100 * time.Millisecond
	minAge = 25 * time.Millisecond

	// targetPart is the part of the time until its deadline that a request may be expected to wait when
	// it arrives, and waitPart the part that it may wait, both beyond minWait. The rest is for it to
	// run. A request that starts just before its deadline takes a slot and ends without a result, and
	// the upstream that has it counts as failed. The target also keeps the queue short that a customer
	// has after a burst of its own. The time between the two is for more urgent requests that overtake
	// it: without it, less urgent ones are refused while they wait for their turns in order of arrival.
	targetPart = 0.5
	waitPart   = 2.0 / 3
	// minWait is the wait that is allowed in any case. The gate refuses requests that have less time
	// than that left.
	minWait = 150 * time.Millisecond
)

// Settings configures a Queue. All fields but View and Configured are required.
type Settings struct {
	// Occupancy returns the occupancy of the upstreams of a service, given the load that the
	// other routers tell of, and how old reports of upstreams may be that are used without that.
	Occupancy func(now time.Time, service ident.Service, view *load.View, fresh time.Duration) load.Occupancy
	// View returns the load that the other routers tell of, or nil if it is not known.
	View func(now time.Time) *load.View
	// RouterCount returns the number of routers in the fleet, or 0 if it is unknown.
	RouterCount func() int
	// Configured reports whether a service is in the configuration. Without it, all are.
	Configured func(service ident.Service) bool
	// RecordWait is called with the time that a request waited before it was admitted.
	RecordWait func(service string, wait time.Duration)
	Clock      func() time.Time
	Log        hclog.Logger
}

// Queue holds requests to all services. Its methods are safe for concurrent use.
type Queue struct {
	settings Settings

	mu    sync.RWMutex
	lines map[ident.Service]*line
}

// New returns an empty Queue.
func New(s Settings) *Queue { return &Queue{settings: s, lines: make(map[ident.Service]*line)} }

// Request describes a request.
type Request struct {
	Service  ident.Service
	Customer ident.Customer
	Weight   int // relative share of the customer; values below 1 count as 1
	Priority int // 0 is the most urgent
	Deadline time.Time
}

// after returns the time when the given part of the time until the deadline, and minWait, will have
// passed, or zero if the request has no deadline.
func (r *Request) after(now time.Time, part float64) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	left := r.Deadline.Sub(now)
	return now.Add(min(left, time.Duration(part*float64(left))+minWait))
}

// Place is the place of a request that waits or is in progress.
type Place struct {
	line   *line
	ticket *admission.Ticket
	joined time.Time
}

// Join admits the request or adds it to the queue of its service. The caller of a place that is
// not admitted must call Wait.
func (q *Queue) Join(now time.Time, r Request) (Place, *Refusal) {
	l := q.lock(r.Service)
	defer q.mu.RUnlock()
	q.refresh(now, l)
	t, err := l.gate.Join(now, admission.Request{
		Customer: r.Customer, Weight: r.Weight, Priority: r.Priority, Tokens: 1,
		Deadline: r.after(now, waitPart), Target: r.after(now, targetPart),
	})
	if err != nil {
		return Place{}, l.refusal(now, err)
	}
	return Place{line: l, ticket: t, joined: now}, nil
}

// lock locks the map of lines for reading and returns the line of a service, which it creates if needed.
// The caller must release the lock once the request has joined, since a line without requests may be
// removed.
func (q *Queue) lock(service ident.Service) *line {
	for {
		q.mu.RLock()
		if l := q.lines[service]; l != nil {
			return l
		}
		q.mu.RUnlock()
		q.create(service)
	}
}

// create creates the line of a service if there is none.
func (q *Queue) create(service ident.Service) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lines[service] == nil {
		q.lines[service] = &line{queue: q, service: service, gate: admission.NewBounded(admission.Unlimited, maxWaiting)}
	}
}

// refresh calculates the capacity of a line anew if it is too old.
func (q *Queue) refresh(now time.Time, l *line) {
	age := l.age(now)
	if age >= maxAge || age >= minAge && l.gate.WouldWait(1) {
		l.resize(now, age)
	}
}

// Maintain calculates the capacities of the services with waiting requests, refuses those that can
// no longer start in time, and logs the state of the queues. It removes the state of services that are
// no longer in the configuration and have no requests.
func (q *Queue) Maintain(now time.Time) {
	q.mu.RLock()
	lines := slices.Collect(maps.Values(q.lines))
	q.mu.RUnlock()
	for _, l := range lines {
		if l.gate.State().Waiting > 0 {
			l.resize(now, l.age(now))
			l.gate.Review(now)
		}
	}
	for _, l := range lines { // after all reviews, since the log may be slow
		l.log(now)
		if q.settings.Configured != nil && !q.settings.Configured(l.service) && !l.isLogged() {
			q.remove(l)
		}
	}
}

// remove removes a line if it has no requests.
func (q *Queue) remove(l *line) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := l.gate.State(); q.lines[l.service] == l && s.Waiting == 0 && s.InFlight == 0 {
		delete(q.lines, l.service)
	}
}

// Admitted reports whether the request is in progress.
func (p Place) Admitted() bool { return p.ticket.Admitted() }

// Wait waits until the request is admitted. If it is refused or ctx is done, the place is given up.
func (p Place) Wait(ctx context.Context) (*Refusal, error) {
	l := p.line
	err := l.gate.Wait(ctx, p.ticket)
	now := l.queue.settings.Clock()
	var refused *admission.Refusal
	switch {
	case err == nil:
		l.waited.Add(1)
		l.queue.settings.RecordWait(string(l.service), now.Sub(p.joined))
	case errors.As(err, &refused):
		return l.refusal(now, err), nil
	default:
		l.left.Add(1)
	}
	return nil, err
}

// Leave gives up the place of a request that has ended. It has no effect on the zero Place and
// if the place is given up already.
func (p Place) Leave(now time.Time) {
	if p.line != nil {
		p.line.gate.Leave(now, p.ticket)
	}
}
