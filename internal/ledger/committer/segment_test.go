package committer

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// settleMany settles n requests of holder a. The ops are pushed during an outage,
// so that they are committed together after it.
func settleMany(t *testing.T, service *keyvalue.Service, c *Committer, n int) {
	_, err := c.Apply(context.Background(), drawOp("a", 1, 900))
	require.NoError(t, err)
	service.SetFaults(keyvalue.Faults{Outage: true})
	var wg sync.WaitGroup
	for m := range n {
		wg.Add(1)
		c.Push(settleOp(claim(numberedRequest(m), "a", 0), false), func(r ledger.Result) {
			assert.Equal(t, ledger.Applied, r.Outcome)
			wg.Done()
		})
	}
	service.SetFaults(keyvalue.Faults{})
	wg.Wait()
}

// numberedRequest returns the identifier of request n.
func numberedRequest(n int) ident.Request { return ident.Request(fmt.Sprintf("request-%06d", n)) }

func TestSealedClaimsAreFoundAndNotBilledAgain(t *testing.T) {
	const n = 8000 // more than fit on a page or in one segment
	service := keyvalue.New(keyvalue.Settings{})
	a := newTestCommitter(service.Client(), 1)
	settleMany(t, service, a, n)
	entry, err := service.Client().Get(context.Background(), ledger.PageKey(0))
	require.NoError(t, err)
	assert.Less(t, len(entry.Value), store.MaxValueSize/4)
	assert.Positive(t, a.Counters().Sealed.Value())

	b := newTestCommitter(service.Client(), 1) // has no segment cached
	ctx := context.Background()
	_, err = b.Apply(ctx, drawOp("b", 1, 50))
	require.NoError(t, err)
	for _, m := range []int{0, n / 2, n - 1} {
		found, ok, err := b.FindClaim(ctx, "b", numberedRequest(m))
		require.NoError(t, err)
		require.True(t, ok)
		assert.Equal(t, ledger.StateSettled, found.State)
		for _, op := range []ledger.Op{openOp(claim(numberedRequest(m), "b", 0)), settleOp(claim(numberedRequest(m), "b", 9), true)} {
			r, err := b.Apply(ctx, op)
			require.NoError(t, err)
			assert.Equal(t, ledger.Existing, r.Outcome)
		}
	}
	assert.Zero(t, budget(t, service.Client()).Settled)
	closeAll(t, a, b)
}

func TestLostSegmentRefusesRatherThanBillsAgain(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	a := newTestCommitter(service.Client(), 1)
	settleMany(t, service, a, 1000)
	p, err := a.Page(context.Background(), 0)
	require.NoError(t, err)
	require.NotEmpty(t, p.Segments)
	for _, ref := range p.Segments {
		require.NoError(t, service.Client().Delete(context.Background(), ledger.SegmentKey(0, ref.ID), store.Always))
	}
	b := newTestCommitter(service.Client(), 1)
	lost := 0
	for m := 0; m < 1000 && lost < 10; m++ {
		if _, onPage := p.Find("b", numberedRequest(m)); onPage {
			continue
		}
		r, err := b.Apply(context.Background(), settleOp(claim(numberedRequest(m), "a", 5), true))
		require.NoError(t, err)
		assert.Equal(t, ledger.Expired, r.Outcome)
		lost++
	}
	assert.Positive(t, lost)
	assert.Zero(t, budget(t, service.Client()).Settled)
	closeAll(t, a, b)
}

// TestSealingSurvivesLostWrites tests that no claim is lost if a write of a
// segment, or of the page that lists it, fails or its response is lost.
func TestSealingSurvivesLostWrites(t *testing.T) {
	for _, faults := range []keyvalue.Faults{{LoseResponses: 5}, {LoseWrites: 5}, {HoldWrites: 5}, {ResponseLossProbability: 0.3, WriteLossProbability: 0.3}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			service := keyvalue.New(keyvalue.Settings{})
			client := service.Client()
			a := newTestCommitter(client, 1)
			a.settings.SealSize = 4 << 10
			_, err := a.Apply(context.Background(), drawOp("a", 1, 900))
			require.NoError(t, err)
			for m := range 60 {
				if m == 10 {
					client.SetFaults(faults)
				}
				r, err := a.Apply(context.Background(), settleOp(claim(numberedRequest(m), "a", 1), false))
				require.NoError(t, err)
				require.Equal(t, ledger.Applied, r.Outcome)
			}
			client.SetFaults(keyvalue.Faults{})
			service.ReleaseHeld()
			for m := range 60 {
				_, ok, err := a.FindClaim(context.Background(), "b", numberedRequest(m))
				require.NoError(t, err)
				require.True(t, ok, "claim %d is lost", m)
			}
			assert.EqualValues(t, 60, budget(t, client).Settled)
			closeAll(t, a)
		})
	}
}
