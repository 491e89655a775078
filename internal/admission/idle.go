package admission

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
)

// idleRetention is how long a customer that has had more than its share is remembered while it has no
// requests and others wait, so that it does not get more by sending its requests one after the other.
const idleRetention = time.Second

// deleteIfIdle deletes the queue of a customer with nothing in flight or waiting. While requests
// of others wait and the customer's virtual finish time is still in the future, it is kept for a while.
func (g *Gate) deleteIfIdle(c ident.Customer) {
	q := g.customers[c]
	switch {
	case q.running > 0 || q.waiting > 0:
	case g.waiting == 0 || q.lastFinish <= g.virtualTime:
		g.drop(c, q)
	case !q.idle:
		q.idle, q.idleSince = true, g.now
		g.idle++
	}
}

// deleteIdle deletes the queues that deleteIfIdle has kept: all once nothing waits, and those that were
// kept long enough otherwise. The latter are looked for once in idleRetention.
func (g *Gate) deleteIdle(now time.Time) {
	if g.idle == 0 || g.waiting > 0 && now.Sub(g.deletedAt).Abs() < idleRetention {
		return
	}
	g.deletedAt = now
	for c, q := range g.customers {
		if q.idle && (g.waiting == 0 || now.Sub(q.idleSince).Abs() >= idleRetention) {
			g.drop(c, q)
		}
	}
}

// drop deletes the queue of a customer.
func (g *Gate) drop(c ident.Customer, q *queue) {
	delete(g.customers, c)
	if q.idle {
		g.idle--
	}
	if len(g.spare) < maxSpare {
		*q = queue{}
		g.spare = append(g.spare, q)
	}
}
