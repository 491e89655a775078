package storetest

import (
	"context"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/store"
)

func (c *testCase) watch(prefix string, from store.Revision) store.Watch {
	c.Helper()
	w, err := c.store.Watch(c.ctx, prefix, from)
	require.NoError(c, err)
	c.Cleanup(func() { _ = w.Close() })
	return w
}

// collect returns the next n events of a watch and the revision of the last batch.
// It fails the test if the revisions of the events do not increase from batch to
// batch.
func (c *testCase) collect(w store.Watch, n int) (events []store.Event, reached store.Revision) {
	c.Helper()
	for len(events) < n {
		batch, err := w.Next(c.ctx)
		require.NoError(c, err)
		for _, e := range batch.Events {
			require.LessOrEqual(c, e.Entry.Revision, batch.Revision)
			require.Greater(c, e.Entry.Revision, reached)
		}
		events = append(events, batch.Events...)
		reached = batch.Revision
	}
	require.Len(c, events, n)
	return events, reached
}

func (c *testCase) watchOrder() {
	before := c.put("p/a", "1", store.Always, store.NoLease)
	w := c.watch("p/", before)
	second := c.put("p/a", "2", store.Always, store.NoLease)
	c.put("q", "", store.Always, store.NoLease)
	lease := c.grant()
	third := c.put("p/b", "3", store.Always, lease)
	require.NoError(c, c.store.Delete(c.ctx, "p/a", store.Always))

	events, _ := c.collect(w, 3)
	assert.Equal(c, store.Entry{Key: "p/a", Value: []byte("2"), Revision: second}, events[0].Entry)
	assert.Equal(c, store.Entry{Key: "p/b", Value: []byte("3"), Revision: third, Lease: lease}, events[1].Entry)
	assert.True(c, events[2].Deleted)
	assert.Equal(c, "p/a", events[2].Entry.Key)
	assert.Empty(c, events[2].Entry.Value)
}

func (c *testCase) watchResumes() {
	for range 3 {
		c.put("a", "", store.Always, store.NoLease)
	}
	_, listed, err := c.store.List(c.ctx, "")
	require.NoError(c, err)
	first := c.put("a", "first", store.Always, store.NoLease)
	events, reached := c.collect(c.watch("", listed), 1)
	assert.Equal(c, first, events[0].Entry.Revision)

	second := c.put("a", "second", store.Always, store.NoLease)
	events, _ = c.collect(c.watch("", reached), 1)
	assert.Equal(c, second, events[0].Entry.Revision, "no event is repeated or missed")
}

func (c *testCase) watchRevoke() {
	lease := c.grant()
	c.put("a", "", store.Always, lease)
	r := c.put("b", "", store.Always, lease)
	w := c.watch("", r)
	require.NoError(c, c.store.Revoke(c.ctx, lease))
	keys := make(map[string]bool)
	for len(keys) < 2 {
		batch, err := w.Next(c.ctx)
		require.NoError(c, err)
		for _, e := range batch.Events {
			assert.True(c, e.Deleted)
			keys[e.Entry.Key] = true
		}
	}
	assert.Equal(c, map[string]bool{"a": true, "b": true}, keys)
}

func (c *testCase) watchEnds() {
	w := c.watch("", 0)
	ctx, cancel := context.WithCancel(c.ctx)
	cancel()
	_, err := w.Next(ctx)
	require.ErrorIs(c, err, context.Canceled)
	_, err = w.Next(c.ctx)
	require.Error(c, err, "after an error the watch has ended")
	require.NoError(c, w.Close())
	require.NoError(c, w.Close())

	closed := c.watch("", 0)
	require.NoError(c, closed.Close())
	_, err = closed.Next(c.ctx)
	require.ErrorIs(c, err, store.ErrUnavailable)
}
