package replay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

func TestReadersSeeTheWholeAnswer(t *testing.T) {
	const readers, pieces = 5, 200
	var a Answer[int, string]
	var g errgroup.Group
	for range readers {
		g.Go(func() error {
			var got []int
			for {
				more, end, err := a.Read(context.Background(), len(got))
				if err != nil {
					return err
				}
				got = append(got, more...)
				if end != nil {
					break
				}
			}
			assert.Len(t, got, pieces)
			return nil
		})
	}
	for i := range pieces {
		a.Append(i)
	}
	a.End("first")
	a.End("second")
	require.NoError(t, g.Wait())
	_, end, err := a.Read(context.Background(), pieces)
	require.NoError(t, err)
	assert.Equal(t, "first", *end)
}

func TestReadEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var a Answer[int, string]
	_, _, err := a.Read(ctx, 0)
	assert.ErrorIs(t, err, context.Canceled)
}

func TestBook(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := NewRegistry[int, string]()
	first, began, err := b.Begin(now, "k", "digest")
	require.NoError(t, err)
	assert.True(t, began)
	second, began, err := b.Begin(now, "k", "digest")
	require.NoError(t, err)
	assert.False(t, began)
	assert.Same(t, first, second)
	_, _, err = b.Begin(now, "k", "other")
	assert.ErrorIs(t, err, ErrKeyReused)

	b.Expire(now.Add(time.Hour))
	assert.Equal(t, 1, b.Len(), "a running answer is kept")
	first.End("")
	b.Expire(now.Add(time.Hour))
	assert.Zero(t, b.Len())
}
