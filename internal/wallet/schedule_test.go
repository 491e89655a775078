package wallet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// schedule runs a fleet over one page with random faults.
type schedule struct {
	t            *testing.T
	fleet        fleet
	ledger       *pageLedger
	mu           sync.Mutex
	rng          *rand.Rand
	refusedBills int // number of bills refused
}

const schedulePrepaid tokens.Count = 20_000

func (s *schedule) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// fault returns a function that chooses a random fault for rate percent of the
// draws and returns.
func (s *schedule) fault(rate int) func(ledger.Op) fault {
	return func(op ledger.Op) fault {
		if op.Draw == nil && op.Return == nil || s.intN(100) >= rate {
			return healthy
		}
		return fault(s.intN(int(lostAfter) + 1))
	}
}

// request makes one reservation and, after a delay, bills or releases it.
func (s *schedule) request(h ident.Incarnation, id int) {
	n := tokens.Count(1 + s.intN(600))
	r, err := reserve(s.fleet[h], schedulePrepaid, n)
	if err != nil {
		return
	}
	time.Sleep(time.Duration(s.intN(3000)) * time.Millisecond)
	cost := tokens.Count(s.intN(int(n) + 1))
	switch s.intN(4) {
	case 0:
		r.Release()
		return
	case 1:
		r.Reduce(cost)
		time.Sleep(time.Second)
	}
	if bill(s.ledger, h, fmt.Sprint(h, id), n, cost) == ledger.Applied {
		r.Settle(cost)
		return
	}
	s.mu.Lock()
	s.refusedBills++
	s.mu.Unlock()
	r.Forfeit()
}

// run sends requests for 20 seconds. If reclaim is set, shares are reclaimed during
// that time without notice to their holders.
func (s *schedule) run(reclaim bool) {
	const requests = 40
	var wg sync.WaitGroup
	for h, w := range s.fleet {
		for i := range requests {
			wg.Go(func() {
				time.Sleep(time.Duration(s.intN(20_000)) * time.Millisecond)
				s.request(h, i)
			})
		}
		wg.Go(func() {
			for range 20 {
				time.Sleep(time.Second)
				w.Maintain(context.Background(), time.Now())
				if reclaim && s.intN(20) == 0 {
					_, _ = s.ledger.Apply(context.Background(), ledger.Op{Reclaim: &ledger.Reclaim{Holder: h}})
				}
			}
		})
	}
	wg.Wait()
}

// finish closes the wallets and checks that the page accounts for all tokens.
func (s *schedule) finish() {
	s.ledger.setFault(nil)
	for h, w := range s.fleet {
		require.NoError(s.t, w.Close(context.Background()))
		assert.Zero(s.t, s.ledger.share(h).Granted, "all tokens have been returned")
	}
	require.NoError(s.t, s.ledger.checkErr)
	b := s.ledger.page.Budgets[budget]
	assert.Equal(s.t, schedulePrepaid, b.Settled+b.Free())
}

// TestFaultSchedules runs random fault schedules. The wallets must never count more
// than the ledger has granted: without reclaims, no bill may be refused.
func TestFaultSchedules(t *testing.T) {
	const schedules = 500
	refused := 0
	for seed := range uint64(schedules) {
		reclaim := seed%2 == 1
		inBubble(t, func(t *testing.T) {
			l := &pageLedger{delay: true}
			f, _ := newFleetWithLedger(t, 3, l)
			s := &schedule{t: t, fleet: f, ledger: l, rng: rand.New(rand.NewPCG(seed, 0))}
			l.setFault(s.fault(30))
			s.run(reclaim)
			s.finish()
			if !reclaim {
				assert.Zero(t, s.refusedBills, "bills refused")
			}
			refused += s.refusedBills
		})
		require.False(t, t.Failed(), "seed %d", seed)
	}
	t.Logf("%d schedules, %d bills refused", schedules, refused)
	assert.Positive(t, refused, "no schedule spent a reclaimed share")
}
