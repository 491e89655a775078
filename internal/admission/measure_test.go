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
	service       = 2 * time.Second // of one request
	slots         = 10
)

// waits drives a gate on given time: one customer floods it at the start, and
// small ones send a request every ten seconds each. In order of arrival tells
// that all requests count as one customer's. It returns the waits of the small
// customers, sorted.
func waits(t *testing.T, inOrder bool) []time.Duration {
	g := New(slots * requestTokens)
	type entry struct {
		ticket  *Ticket
		arrived time.Time
		small   bool
		ends    time.Time
	}
	var entries []*entry
	send := func(at time.Time, customer ident.Customer, small bool) {
		if inOrder {
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
				e.ends = at.Add(service)
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

// TestMeasureFlood compares the small customers' waits behind a flood of the
// largest with those in order of arrival.
func TestMeasureFlood(t *testing.T) {
	fair, inOrder := waits(t, false), waits(t, true)
	t.Logf("small customers behind a flood of %d requests: fair p50 %v, longest %v; in order p50 %v, longest %v",
		floodRequests, fair[smallRequests/2], fair[smallRequests-1], inOrder[smallRequests/2], inOrder[smallRequests-1])
	assert.LessOrEqual(t, fair[smallRequests-1], service, "at most one request's time")
	assert.Greater(t, inOrder[smallRequests-1], 10*service, "the flood is one")
}
