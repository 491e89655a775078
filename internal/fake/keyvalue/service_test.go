package keyvalue

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/store"
)

func TestCountsByKind(t *testing.T) {
	ctx := context.Background()
	service := New(Settings{})
	c := service.Client()
	_, _, err := c.List(ctx, "")
	require.NoError(t, err)
	_, err = c.Put(ctx, "a", nil, store.Always, store.NoLease)
	require.NoError(t, err)
	_, err = c.Grant(ctx, time.Second)
	require.NoError(t, err)
	w, err := c.Watch(ctx, "", 0)
	require.NoError(t, err)
	assert.Equal(t, Counts{Reads: 1, Writes: 1, Leases: 1, Watches: 1, OpenWatches: 1}, service.Counts())

	require.NoError(t, w.Close())
	require.NoError(t, w.Close())
	service.SetFaults(Faults{Outage: true})
	_, err = c.Get(ctx, "a")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, Counts{Reads: 2, Writes: 1, Leases: 1, Watches: 1, Rejected: 1}, service.Counts())
}

func TestHistoryIsBounded(t *testing.T) {
	ctx := context.Background()
	service := New(Settings{History: 2})
	c := service.Client()
	for range 9 {
		_, err := c.Put(ctx, "a", nil, store.Always, store.NoLease)
		require.NoError(t, err)
	}
	for _, tt := range []struct {
		from store.Revision
		err  error
	}{{2, store.ErrCompacted}, {7, nil}} {
		w, err := c.Watch(ctx, "", tt.from)
		require.NoError(t, err)
		batch, err := w.Next(ctx)
		require.ErrorIs(t, err, tt.err)
		if tt.err == nil {
			assert.Len(t, batch.Events, 2)
		}
		require.NoError(t, w.Close())
	}
}
