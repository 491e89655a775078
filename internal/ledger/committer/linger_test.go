package committer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
)

// deferrableDraw returns a deferrable draw of a holder with sequence number n.
func deferrableDraw(holder string, n uint64) ledger.Op {
	op := drawOp(ident.Incarnation(holder), n, 1)
	op.Deferrable = true
	return op
}

// TestDeferrableOpsShareWrites applies deferrable ops of fifty holders at
// different times, and checks that each linger period has at most one write.
func TestDeferrableOpsShareWrites(t *testing.T) {
	c := New(Settings{
		Store: keyvalue.New(keyvalue.Settings{Seed: 1}).Client(), Pages: 1, Clock: time.Now, Linger: 200 * time.Millisecond,
	})
	began := time.Now()
	var wg sync.WaitGroup
	for h := range 50 {
		wg.Go(func() {
			for n := range uint64(5) {
				_, err := c.Apply(t.Context(), deferrableDraw(fmt.Sprint("holder-", h), n+1))
				assert.NoError(t, err)
				time.Sleep(time.Duration(h) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	periods := int64(time.Since(began)/(200*time.Millisecond)) + 2
	assert.LessOrEqual(t, c.Counters().Writes.Value(), periods, "at most one write per linger time")
	closeAll(t, c)
}

// TestCloseDoesNotLinger closes a committer with a pending deferrable op and a
// linger time of one hour.
func TestCloseDoesNotLinger(t *testing.T) {
	c := New(Settings{Store: keyvalue.New(keyvalue.Settings{Seed: 1}).Client(), Pages: 1, Clock: time.Now, Linger: time.Hour})
	_, err := c.Apply(t.Context(), deferrableDraw("first", 1))
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := c.Apply(t.Context(), deferrableDraw("second", 1))
		done <- err
	}()
	require.Eventually(t, func() bool { return c.pages[0].direct.awaitUrgent() != nil }, 10*time.Second, time.Millisecond)
	closeAll(t, c)
	require.NoError(t, <-done)
}

// TestUrgentOpDoesNotLinger tests that an op that is not deferrable is delayed by
// deferrable ones neither at the owner of a page, whose linger time is one hour,
// nor when it is forwarded.
func TestUrgentOpDoesNotLinger(t *testing.T) {
	c := New(Settings{Store: keyvalue.New(keyvalue.Settings{Seed: 1}).Client(), Pages: 1, Clock: time.Now, Linger: time.Hour})
	_, err := c.Apply(t.Context(), deferrableDraw("first", 1))
	require.NoError(t, err, "the first write does not linger")
	done := make(chan error, 1)
	go func() {
		_, err := c.Apply(t.Context(), deferrableDraw("second", 1))
		done <- err
	}()
	require.Eventually(t, func() bool { return c.pages[0].direct.awaitUrgent() != nil }, 10*time.Second, time.Millisecond)
	_, err = c.Apply(t.Context(), drawOp("third", 1, 1))
	require.NoError(t, err)
	require.NoError(t, <-done, "the deferrable op is written with the urgent one")
	closeAll(t, c)

	held := &blockingOwner{release: make(chan struct{})}
	through := New(Settings{Store: keyvalue.New(keyvalue.Settings{Seed: 1}).Client(), Pages: 1, Clock: time.Now, Forwarder: held})
	go func() {
		_, err := through.Apply(t.Context(), deferrableDraw("first", 1))
		done <- err
	}()
	require.Eventually(t, func() bool { return held.calls.Load() == 1 }, 10*time.Second, time.Millisecond)
	_, err = through.Apply(t.Context(), drawOp("second", 1, 1))
	require.NoError(t, err, "the op is not delayed by the call with the deferrable one")
	close(held.release)
	require.NoError(t, <-done)
	closeAll(t, through)
}

// TestRefusalsAreNotReadAgain counts the reads of a page for refused draws. The
// page must not be read while it is younger than MaxCacheAge.
func TestRefusalsAreNotReadAgain(t *testing.T) {
	for _, age := range []time.Duration{0, time.Hour} {
		c := New(Settings{Store: keyvalue.New(keyvalue.Settings{Seed: 1}).Client(), Pages: 1, Clock: time.Now, MaxCacheAge: age})
		_, err := c.Apply(t.Context(), drawOp("one", 1, 1))
		require.NoError(t, err)
		before := c.Counters().Reads.Value()
		for n := range uint64(10) {
			op := drawOp("two", n+1, 1<<40)
			op.Draw.Least = 1 << 40
			r, err := c.Apply(t.Context(), op)
			require.NoError(t, err)
			require.Equal(t, ledger.Exhausted, r.Outcome)
		}
		reads := c.Counters().Reads.Value() - before
		if age > 0 {
			assert.Zero(t, reads)
		} else {
			assert.EqualValues(t, 10, reads)
		}
		closeAll(t, c)
	}
}

// blockingOwner delays its answers to calls with deferrable ops until release is
// closed.
type blockingOwner struct {
	fakeOwner
	release chan struct{}
}

func (o *blockingOwner) Apply(ctx context.Context, page int, ops []ledger.Op) ([]ledger.Result, error) {
	results, err := o.fakeOwner.Apply(ctx, page, ops)
	if ops[0].Deferrable {
		<-o.release
	}
	return results, err
}
