package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	floodRequests = 400
	smallRequests = 20
	requestTokens = tokens.Count(500)
	serviceTime   = 2 * time.Second // of each request
	slots         = 10
)

// smallCustomerWaits simulates a gate on a simulated clock: one large customer sends
// all its requests at the start, and two small ones send a request every ten seconds
// each. It returns the waiting times of the small customers' requests in ascending
// order. If fifo is set, all requests belong to one customer, so that the gate admits
// them in order of arrival.
func smallCustomerWaits(t *testing.T, fifo bool) []time.Duration {
	g := New(slots * requestTokens)
	type entry struct {
		ticket  *Ticket
		arrived time.Time
		small   bool
		ends    time.Time
	}
	var entries []*entry
	send := func(at time.Time, customer ident.Customer, small bool) {
		if fifo {
			customer = "all"
		}
		ticket, err := g.enqueue(at, Request{Customer: customer, Weight: 1, Tokens: requestTokens})
		require.NoError(t, err)
		entries = append(entries, &entry{ticket: ticket, arrived: at, small: small})
	}
	for range floodRequests {
		send(now, "large", false)
	}
	var small []time.Duration
	for step := range 2000 {
		at := now.Add(time.Duration(step) * 100 * time.Millisecond)
		if step%50 == 0 && step/50 < smallRequests {
			send(at, ident.Customer(fmt.Sprint("small", step/50%2)), true)
		}
		for _, e := range entries {
			switch {
			case e.ends.IsZero() && admitted(e.ticket):
				e.ends = at.Add(serviceTime)
				if e.small {
					small = append(small, at.Sub(e.arrived))
				}
			case !e.ends.IsZero() && !at.Before(e.ends):
				g.Leave(at, e.ticket)
			}
		}
	}
	require.Len(t, small, smallRequests)
	slices.Sort(small)
	return small
}

// TestMeasureFlood compares the waiting times of small customers during a flood from
// a large one with those that admission in order of arrival would cause.
func TestMeasureFlood(t *testing.T) {
	fair, fifo := smallCustomerWaits(t, false), smallCustomerWaits(t, true)
	t.Logf("small customers behind a flood of %d requests: fair p50 %v, longest %v; in order p50 %v, longest %v",
		floodRequests, fair[smallRequests/2], fair[smallRequests-1], fifo[smallRequests/2], fifo[smallRequests-1])
	assert.LessOrEqual(t, fair[smallRequests-1], serviceTime, "at most one request's time")
	assert.Greater(t, fifo[smallRequests-1], 10*serviceTime, "without fair queueing, small customers wait for the flood")
}
