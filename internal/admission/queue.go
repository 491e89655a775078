package admission

import (
	"slices"
	"time"

	"example.org/lagoonfork/pkg/tokens"
)

const (
	// priorities is the number of priorities that are told apart.
	priorities = 10
	// inOrder is the part of the admissions of a customer that go to the request that has waited
	// longest. Each priority then gets at least that part of what it would get without priorities.
	inOrder = 4
	// keptPlaces is the number of waiting requests of each priority of a customer that do not give
	// way to those of other priorities.
	keptPlaces = maxWaiting / 16
)

// queue holds the waiting requests of one customer.
type queue struct {
	lastFinish float64 // virtual finish time of the customer's last admitted request
	weight     float64 // of the customer's last request
	inFlight   tokens.Count
	running    int // requests in flight, also those of no tokens
	waiting    int
	idle       bool // whether the queue is kept although the customer has no requests
	idleSince  time.Time
	total      tokens.Count             // of the waiting requests
	tokens     [priorities]tokens.Count // of the waiting requests, by priority
	byPriority [priorities][]*Ticket    // in order of arrival
	admissions int                      // of requests that have waited
}

// priority returns the index of the request's priority.
func (r *Request) priority() int { return min(max(r.Priority, 0), priorities-1) }

// push adds a request. A queue that was empty starts at the given virtual time.
func (q *queue) push(t *Ticket, virtualTime float64) {
	if q.waiting == 0 {
		q.lastFinish = max(q.lastFinish, virtualTime)
	}
	p := t.request.priority()
	q.byPriority[p] = append(q.byPriority[p], t)
	q.tokens[p] += t.request.Tokens
	q.total += t.request.Tokens
	q.waiting++
}

// remove removes a request. It returns false if the request does not wait.
func (q *queue) remove(t *Ticket) bool {
	p := t.request.priority()
	i := slices.Index(q.byPriority[p], t)
	switch {
	case i < 0:
		return false
	case i == 0:
		q.byPriority[p][0] = nil
		q.byPriority[p] = q.byPriority[p][1:]
	default:
		q.byPriority[p] = slices.Delete(q.byPriority[p], i, i+1)
	}
	q.tokens[p] -= t.request.Tokens
	q.total -= t.request.Tokens
	q.waiting--
	return true
}

// next returns the request to be admitted next, or nil if none waits.
func (q *queue) next() *Ticket {
	if q.admissions%inOrder == inOrder-1 {
		return q.oldest()
	}
	for _, all := range q.byPriority {
		if len(all) > 0 {
			return all[0]
		}
	}
	return nil
}

// oldest returns the request that has waited longest, or nil if none waits.
func (q *queue) oldest() (first *Ticket) {
	for _, all := range q.byPriority {
		if len(all) > 0 && (first == nil || all[0].arrival < first.arrival) {
			first = all[0]
		}
	}
	return first
}

// last returns the newest request of the least urgent priority.
func (q *queue) last() *Ticket {
	for p := priorities - 1; p >= 0; p-- {
		if all := q.byPriority[p]; len(all) > 0 {
			return all[len(all)-1]
		}
	}
	return nil
}

// displaceable returns the waiting request that gives way to a new one with the given priority
// when the customer has too many, or nil. A less urgent one gives way first. Each priority keeps
// some places, so that it does not starve.
func (q *queue) displaceable(priority int) *Ticket {
	victim, most := -1, keptPlaces
	for p := range priorities {
		n := len(q.byPriority[p])
		switch {
		case p > priority && n > keptPlaces:
			victim, most = p, maxWaiting // the least urgent one
		case p < priority && n > most && len(q.byPriority[priority]) < keptPlaces:
			victim, most = p, n
		}
	}
	if victim < 0 {
		return nil
	}
	all := q.byPriority[victim]
	return all[len(all)-1]
}

// share returns the number of waiting requests in proportion to the weight.
func (q *queue) share() float64 { return float64(q.waiting) / q.weight }

// ahead returns the tokens of the waiting requests that are admitted before a new one with the
// given priority.
func (q *queue) ahead(priority int) tokens.Count {
	var before tokens.Count
	for _, n := range q.tokens[:priority+1] {
		before += n
	}
	return before + min(q.total-before, before/(inOrder-1))
}
