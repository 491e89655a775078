package committer

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/store"
)

// crashingStore is the store of a router that crashes at a given write: before
// the write takes effect, or after it but before the router gets the answer.
type crashingStore struct {
	store.Store
	writesLeft int // until the crash, including the write at which it happens
	before     bool
	crash      context.CancelFunc
}

func (s *crashingStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, l store.Lease) (store.Revision, error) {
	if s.writesLeft--; s.writesLeft > 0 {
		return s.Store.Put(ctx, key, value, cond, l)
	}
	if s.writesLeft < 0 || s.before {
		s.crash()
		return 0, store.ErrUnavailable
	}
	// Make the write durable first, as the crash cancels the context.
	_, err := s.Store.Put(ctx, key, value, cond, l)
	s.crash()
	if err != nil {
		return 0, err
	}
	return 0, store.ErrUnknown
}

// TestWriterKilledAtEachStep kills a router before and after each of its durable
// writes. Another router then serves the caller's retry and reclaims the share.
// The request must be billed exactly once, or, if it is not idempotent and may
// have run, at most once.
func TestWriterKilledAtEachStep(t *testing.T) {
	const cost = 7
	steps := []string{"none", "draw", "open", "settle"}
	for last := 1; last < len(steps); last++ {
		for _, before := range []bool{true, false} {
			for _, idempotent := range []bool{true, false} {
				name := fmt.Sprintf("%s before=%t idempotent=%t", steps[last], before, idempotent)
				t.Run(name, func(t *testing.T) {
					service := keyvalue.New(keyvalue.Settings{})
					serveUntilKilled(service, last, before, claim("r", "a", cost), idempotent)
					durable := last
					if before {
						durable--
					}
					ran := serveRetry(t, service, claim("r", "b", cost), idempotent)
					b := budget(t, service.Client())
					mayRun := idempotent && durable < 3 || durable < 2
					assert.Equal(t, mayRun, ran, "run by the second router")
					billed := ran || durable == 3
					assert.Equal(t, billed, b.Settled == cost, "billed")
					assert.Equal(t, !billed, b.Settled == 0, "not billed")
					assert.Nil(t, b.Shares["a"])
					assert.Equal(t, b.Prepaid()-b.Settled, b.Free()+b.Shared())
				})
			}
		}
	}
}

// serveUntilKilled draws, opens and settles until the router crashes at a write.
func serveUntilKilled(service *keyvalue.Service, last int, before bool, c ledger.Claim, idempotent bool) {
	ctx, crash := context.WithCancel(context.Background())
	a := newTestCommitter(&crashingStore{Store: service.Client(), writesLeft: last, before: before, crash: crash}, 1)
	c.Idempotent = idempotent
	for _, op := range []ledger.Op{drawOp("a", 1, 100), openOp(c), settleOp(c, false)} {
		if _, err := a.Apply(ctx, op); err != nil {
			break
		}
	}
	_ = a.Close(ctx) // ctx is canceled by the crash, so that Close may fail
}

// serveRetry serves the caller's retry on another router. It reports whether the
// request was run there.
func serveRetry(t *testing.T, service *keyvalue.Service, c ledger.Claim, idempotent bool) (ran bool) {
	b := newTestCommitter(service.Client(), 1)
	defer closeAll(t, b)
	ctx := context.Background()
	c.Idempotent = idempotent
	apply := func(op ledger.Op) ledger.Result {
		r, err := b.Apply(ctx, op)
		require.NoError(t, err)
		return r
	}
	apply(drawOp("b", 1, 100))
	r := apply(openOp(c))
	if r.Outcome == ledger.Existing && r.Claim.State == ledger.StateOpen {
		take := &ledger.TakeOver{Request: "r", From: r.Claim.Holder, To: "b", Attempt: c.Attempt}
		r = apply(ledger.Op{Budget: "b", TakeOver: take})
	}
	_, err := b.ApplyPage(ctx, 0, ledger.Op{Reclaim: &ledger.Reclaim{Holder: "a"}})
	require.NoError(t, err)
	if r.Outcome != ledger.Applied {
		return false
	}
	assert.Equal(t, ledger.Applied, apply(settleOp(c, false)).Outcome)
	return true
}
