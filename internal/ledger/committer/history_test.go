package committer

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// scheduleCount returns the number of seeded fault schedules of each test.
func scheduleCount() uint64 {
	if testing.Short() {
		return 100
	}
	return 1000
}

func TestHistories(t *testing.T) {
	tests := []struct {
		name    string
		next    func(*schedule, *rand.Rand, int, *uint64) ledger.Op
		model   porcupine.Model
		forward bool
	}{
		{"budgets", budgetOp, budgetModel(), false},
		{"budgets through an owner", budgetOp, budgetModel(), true},
		{"claims", claimOp, claimModel(), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := *firstSeed
			if first == 0 {
				first = rand.Uint64() >> 1
			}
			t.Logf("seeds from %d", first)
			overspent, unknown, withdrawn, segments := 0, 0, 0, 0
			for seed := first; seed < first+scheduleCount(); seed++ {
				s := &schedule{seed: seed, next: tt.next, forward: tt.forward}
				p := s.run(t)
				if verdict := s.check(tt.model); verdict != porcupine.Ok {
					require.Equal(t, porcupine.Ok, verdict, "seed %d\n%s", seed, s.history.trace())
				}
				s.checkBills(t, p)
				segments += s.segments
				if b := p.Budgets["b"]; b.Settled > b.Prepaid() {
					overspent++
				}
				for _, o := range s.history.ops {
					if o.Output.(outcome).unknown {
						unknown++
					}
					if o.Output.(outcome).withdrawn {
						withdrawn++
					}
				}
			}
			assert.Zero(t, overspent)
			t.Logf("%d schedules, %d ops with an unknown outcome, %d withdrawn, %d segments", scheduleCount(), unknown, withdrawn, segments)
		})
	}
}

// checkBills compares the bills on the page with the results that the clients
// got.
func (s *schedule) checkBills(t testing.TB, p *ledger.Page) {
	b := p.Budgets["b"]
	var sum tokens.Count
	for _, c := range b.Claims {
		if c.State == ledger.StateSettled {
			sum += c.Cost
		}
	}
	assert.Equal(t, sum, b.Settled, "seed %d: settled tokens differ from the sum of the settled claims", s.seed)
	for _, o := range s.history.ops {
		op, out := o.Input.(ledger.Op), o.Output.(outcome)
		if op.Settle == nil || out.result.Outcome != ledger.Applied {
			continue
		}
		c, ok := p.Find("b", op.Settle.Claim.Request)
		require.True(t, ok, "seed %d: bill lost", s.seed)
		assert.Equal(t, op.Settle.Claim.Holder, c.Holder, "seed %d: billed twice", s.seed)
	}
}

// unconditionalStore is a broken store that ignores the condition of a write.
type unconditionalStore struct{ store.Store }

func (s unconditionalStore) Put(ctx context.Context, key string, value []byte, _ store.Condition, l store.Lease) (store.Revision, error) {
	return s.Store.Put(ctx, key, value, store.Always, l)
}

// sequenceDroppingStore is a broken store that loses the sequence numbers of
// draws and returns, so that an op takes effect again when it is applied again.
type sequenceDroppingStore struct{ store.Store }

func (s sequenceDroppingStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, l store.Lease) (store.Revision, error) {
	if key != ledger.PageKey(0) {
		return s.Store.Put(ctx, key, value, cond, l) // a segment
	}
	p, err := ledger.Decode(value)
	if err != nil {
		return 0, err
	}
	for _, b := range p.Budgets {
		for _, s := range b.Shares {
			s.Sequence = 0
		}
	}
	value, err = ledger.Encode(p)
	if err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, cond, l)
}

// optimisticStore is a broken store that reports success for a write whose
// outcome is unknown.
type optimisticStore struct{ store.Store }

func (s optimisticStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, l store.Lease) (store.Revision, error) {
	r, err := s.Store.Put(ctx, key, value, cond, l)
	if !errors.Is(err, store.ErrUnknown) {
		return r, err
	}
	entry, err := s.Get(ctx, key)
	return entry.Revision, err
}

func TestHistoryCheckCatchesBrokenStores(t *testing.T) {
	tests := []struct {
		name  string
		wrap  func(store.Store) store.Store
		next  func(*schedule, *rand.Rand, int, *uint64) ledger.Op
		model porcupine.Model
	}{
		{"budgets without compare-and-swap", func(s store.Store) store.Store { return unconditionalStore{s} }, budgetOp, budgetModel()},
		{"claims without compare-and-swap", func(s store.Store) store.Store { return unconditionalStore{s} }, claimOp, claimModel()},
		{"draws without sequence numbers", func(s store.Store) store.Store { return sequenceDroppingStore{s} }, budgetOp, budgetModel()},
		{"unknown outcomes reported as success", func(s store.Store) store.Store { return optimisticStore{s} }, claimOp, claimModel()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range scheduleCount() {
				s := &schedule{seed: seed, next: tt.next, wrap: tt.wrap}
				s.run(t)
				// A segment that is listed on the page but was never written
				// also shows that the store is broken.
				if s.segmentErr != nil || s.check(tt.model) == porcupine.Illegal {
					t.Logf("detected at seed %d", seed)
					return
				}
			}
			assert.Fail(t, "no schedule detected the broken store")
		})
	}
}
