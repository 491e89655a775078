package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/ident"
)

// BenchmarkFullGate measures the release of a request and the admission of the next
// one on a full gate, while each of the other customers has a waiting request.
func BenchmarkFullGate(b *testing.B) {
	for _, customers := range []int{7, 69, 690} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
			g := New(100)
			var tickets []*Ticket
			for i := range customers {
				r := Request{Customer: ident.Customer(fmt.Sprint(i)), Weight: 1, Tokens: 100}
				ticket, err := g.enqueue(now, r)
				require.NoError(b, err)
				tickets = append(tickets, ticket)
			}
			for b.Loop() {
				i := slices.IndexFunc(tickets, func(t *Ticket) bool { return t.inFlight })
				left := tickets[i]
				tickets = slices.Delete(tickets, i, i+1)
				g.Leave(now, left)
				next, err := g.enqueue(now, left.request)
				require.NoError(b, err)
				tickets = append(tickets, next)
			}
		})
	}
}
