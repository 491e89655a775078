package answermemory

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	limit = 1 << 20
	large = limit / 2 // that large answers may use
)

// over is a context that has ended, so that nothing waits.
func over() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestKeptAnswersMakeRoom guards against answers that are kept for repetitions while others have no
// memory, against the wrong order, and against dropping one that is in use.
func TestKeptAnswersMakeRoom(t *testing.T) {
	p := New(limit, time.Now)
	var dropped []int
	var shares []*Share
	for n := range 5 {
		s := p.Open()
		require.NoError(t, s.Acquire(over(), limit/10))
		s.Keep(func() { dropped = append(dropped, n) })
		shares = append(shares, s)
	}
	for _, s := range shares {
		s.Done()
	}
	shares[1].Use()
	next := p.Open()
	require.NoError(t, next.Acquire(over(), limit*3/10))
	assert.Equal(t, []int{0, 2, 3}, dropped)
	shares[1].Done()
	require.NoError(t, next.Acquire(over(), limit/5))
	assert.Equal(t, []int{0, 2, 3, 4, 1}, dropped)
	next.Done()
	assert.Equal(t, State{Counts: Counts{Dropped: 5}, Limit: limit}, p.State())
}

// TestOneAnswerIsHeldBesideTheLimit guards against answers that all wait for each other, against more
// than one beside the limit, and against an answer that is counted so for good.
func TestOneAnswerIsHeldBesideTheLimit(t *testing.T) {
	p := New(limit, time.Now)
	var shares []*Share
	for range 3 {
		s := p.Open()
		require.NoError(t, s.Acquire(over(), large/4))
		shares = append(shares, s)
	}
	require.NoError(t, shares[0].Acquire(over(), 2*limit))
	assert.EqualValues(t, 2*limit+large*3/4, p.State().Memory)
	require.NoError(t, shares[1].Acquire(over(), large/2))
	require.Error(t, shares[1].Acquire(over(), large/4))
	require.Error(t, shares[2].Acquire(over(), large/2))
	shares[0].Release(2*limit - large/4)
	require.Error(t, shares[2].Acquire(over(), large/4), "the first is still beside the limit")
	shares[1].Done()
	assert.EqualValues(t, large*3/4, p.State().Memory)
	require.NoError(t, shares[2].Acquire(over(), large/4))
	require.NoError(t, shares[2].Acquire(over(), limit), "the first is counted as the others")
	shares[0].Done()
	shares[2].Done()
	assert.Equal(t, State{Counts: Counts{Waited: 3, Refused: 3}, Limit: limit}, p.State())
}

// TestLargeAnswersLeaveRoomForSmallOnes guards against large answers that keep ordinary ones out.
func TestLargeAnswersLeaveRoomForSmallOnes(t *testing.T) {
	p := New(limit, time.Now)
	var shares []*Share
	for range 2 {
		s := p.Open()
		require.NoError(t, s.Acquire(over(), large))
		shares = append(shares, s)
	}
	require.Error(t, p.Open().Acquire(over(), smallAnswer+1))
	require.NoError(t, p.Open().Acquire(over(), smallAnswer))
	for _, s := range shares {
		s.Done()
	}
	require.NoError(t, p.Open().Acquire(over(), large-smallAnswer))
}

// TestWaitingAnswersGetFreedMemory guards against an answer that waits for good.
func TestWaitingAnswersGetFreedMemory(t *testing.T) {
	for _, free := range []func(s *Share){
		(*Share).Done,
		func(s *Share) { s.Release(limit) },
		func(s *Share) { s.Keep(func() {}); s.Done() },
		func(s *Share) { s.Keep(func() {}); s.Close(); s.Done() },
	} {
		p := New(limit, time.Now)
		first, beside, second := p.Open(), p.Open(), p.Open()
		require.NoError(t, first.Acquire(over(), large))
		require.NoError(t, beside.Acquire(over(), limit))
		got := make(chan error)
		go func() { got <- second.Acquire(context.Background(), large) }()
		free(first)
		require.NoError(t, <-got)
	}
}

// TestAnswersThatGrow guards against tokens that are not counted, and memory that is not given back.
func TestAnswersThatGrow(t *testing.T) {
	p := New(limit, time.Now)
	dropped := false
	kept, s := p.Open(), p.Open()
	kept.Add(limit / 2)
	kept.Keep(func() { dropped = true })
	kept.Done()
	s.Add(limit)
	assert.True(t, dropped)
	assert.EqualValues(t, limit, p.State().Memory)
	s.Keep(func() {})
	s.Done()
	s.Close()
	s.Close()
	assert.Zero(t, p.State().Memory)
	var none *Share
	none.Add(1)
	none.Done()
	require.NoError(t, none.Acquire(over(), 1))
}

// caller has read nothing.
type caller struct{ givenUp func() }

func (caller) BytesRead() int64 { return 0 }
func (c caller) GiveUp()        { c.givenUp() }

// TestCallersThatDoNotReadAreGivenUp guards against callers that take the memory of others by not
// reading.
func TestCallersThatDoNotReadAreGivenUp(t *testing.T) {
	p := New(limit, time.Now)
	for _, n := range []int64{large, limit} {
		s := p.Open()
		require.NoError(t, s.Acquire(over(), n))
		end := s.Deliver(time.Now(), caller{givenUp: s.Done})
		defer end()
	}
	require.NoError(t, p.Open().Acquire(context.Background(), large))
	assert.Positive(t, p.State().CallersSlow)
}
