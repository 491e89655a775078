// Package storetest provides a conformance test suite for implementations of
// store.Store.
//
// # Usage
//
// The test of an implementation runs the suite with an empty store for each case:
//
//	func TestContract(t *testing.T) {
//		storetest.Run(t, func(t *testing.T) store.Store { return open(t) })
//	}
//
// If the test can inject failures of the service, it also runs the fault cases and
// the check of concurrent histories:
//
//	storetest.RunFaults(t, func(t *testing.T) storetest.Harness { ... })
//	storetest.RunHistories(t, seed, func(t *testing.T) storetest.Harness { ... })
package storetest

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/store"
)

// caseTimeout limits the duration of each case, so that a call that hangs fails it.
const caseTimeout = 20 * time.Second

// leaseTTL is the time to live of the leases granted in the cases.
const leaseTTL = 60 * time.Second

// Run runs the suite. The function open returns an empty store and uses t.Cleanup
// to close it.
func Run(t *testing.T, open func(t *testing.T) store.Store) {
	cases := []struct {
		name string
		run  func(c *testCase)
	}{
		{"absent key", (*testCase).absentKey},
		{"conditions of put", (*testCase).putConditions},
		{"conditions of delete", (*testCase).deleteConditions},
		{"conditions on another key", (*testCase).otherConditions},
		{"value size", (*testCase).valueSize},
		{"list", (*testCase).list},
		{"lease binds keys", (*testCase).leaseBinds},
		{"lease not found", (*testCase).leaseNotFound},
		{"key changes its lease", (*testCase).leaseChanges},
		{"watch in order", (*testCase).watchOrder},
		{"watch resumes", (*testCase).watchResumes},
		{"watch of revoked keys", (*testCase).watchRevoke},
		{"watch ends", (*testCase).watchEnds},
		{"ended context", (*testCase).endedContext},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			tt.run(&testCase{T: t, ctx: ctx, store: open(t)})
		})
	}
}

// testCase is the context of one case, which has its own store.
type testCase struct {
	*testing.T
	ctx   context.Context
	store store.Store
}

func (c *testCase) put(key, value string, cond store.Condition, lease store.Lease) store.Revision {
	c.Helper()
	r, err := c.store.Put(c.ctx, key, []byte(value), cond, lease)
	require.NoError(c, err)
	return r
}

func (c *testCase) putFails(key string, cond store.Condition, lease store.Lease, want error) {
	c.Helper()
	_, err := c.store.Put(c.ctx, key, []byte("refused"), cond, lease)
	require.ErrorIs(c, err, want)
}

func (c *testCase) get(key string) store.Entry {
	c.Helper()
	entry, err := c.store.Get(c.ctx, key)
	require.NoError(c, err)
	return entry
}

func (c *testCase) grant() store.Lease {
	c.Helper()
	lease, err := c.store.Grant(c.ctx, leaseTTL)
	require.NoError(c, err)
	require.NotEqual(c, store.NoLease, lease)
	return lease
}

func (c *testCase) absentKey() {
	assert.Equal(c, store.Entry{Key: "a"}, c.get("a"))
	require.NoError(c, c.store.Delete(c.ctx, "a", store.Always))
	require.NoError(c, c.store.Delete(c.ctx, "a", store.If(0)))
	require.ErrorIs(c, c.store.Delete(c.ctx, "a", store.If(1)), store.ErrConflict)
	c.putFails("a", store.If(1), store.NoLease, store.ErrConflict)
}

func (c *testCase) putConditions() {
	first := c.put("a", "1", store.If(0), store.NoLease)
	require.Positive(c, first)
	c.putFails("a", store.If(0), store.NoLease, store.ErrConflict)
	second := c.put("a", "2", store.If(first), store.NoLease)
	require.Greater(c, second, first)
	c.putFails("a", store.If(first), store.NoLease, store.ErrConflict)
	third := c.put("a", "3", store.Always, store.NoLease)
	assert.Equal(c, store.Entry{Key: "a", Value: []byte("3"), Revision: third}, c.get("a"))

	c.put("b", "", store.Always, store.NoLease)
	assert.Equal(c, third, c.get("a").Revision, "a write of another key")
}

func (c *testCase) deleteConditions() {
	r := c.put("a", "1", store.Always, store.NoLease)
	require.ErrorIs(c, c.store.Delete(c.ctx, "a", store.If(0)), store.ErrConflict)
	require.NoError(c, c.store.Delete(c.ctx, "a", store.If(r)))
	assert.Zero(c, c.get("a").Revision)
	c.putFails("a", store.If(r), store.NoLease, store.ErrConflict)
	assert.Greater(c, c.put("a", "2", store.If(0), store.NoLease), r)
}

func (c *testCase) otherConditions() {
	other := c.put("o", "1", store.Always, store.NoLease)
	first := c.put("a", "1", store.If(0).And("o", other), store.NoLease)
	c.putFails("a", store.If(first).And("o", other+1), store.NoLease, store.ErrConflict)
	c.putFails("a", store.If(other).And("o", other), store.NoLease, store.ErrConflict)
	second := c.put("a", "2", store.Always.And("o", other), store.NoLease)
	require.NoError(c, c.store.Delete(c.ctx, "o", store.Always))
	c.putFails("a", store.If(second).And("o", other), store.NoLease, store.ErrConflict)
	require.ErrorIs(c, c.store.Delete(c.ctx, "a", store.Always.And("o", other)), store.ErrConflict)
	again := c.put("o", "1", store.Always, store.NoLease)
	require.NoError(c, c.store.Delete(c.ctx, "a", store.If(second).And("o", again)))
	assert.False(c, c.get("a").Exists())
}

func (c *testCase) valueSize() {
	largest := bytes.Repeat([]byte{0xfe}, store.MaxValueSize)
	_, err := c.store.Put(c.ctx, "a", largest, store.Always, store.NoLease)
	require.NoError(c, err)
	assert.True(c, bytes.Equal(largest, c.get("a").Value))
	_, err = c.store.Put(c.ctx, "a", append(largest, 0), store.Always, store.NoLease)
	require.ErrorIs(c, err, store.ErrTooLarge)
	assert.Len(c, c.get("a").Value, store.MaxValueSize)
}

func (c *testCase) list() {
	for _, key := range []string{"p/b", "p/a", "p0", "p", "o/z", "p/\xff"} {
		c.put(key, key, store.Always, store.NoLease)
	}
	for _, tt := range []struct {
		prefix string
		keys   []string
	}{
		{"p/", []string{"p/a", "p/b", "p/\xff"}},
		{"q", nil},
		{"", []string{"o/z", "p", "p/a", "p/b", "p/\xff", "p0"}},
	} {
		entries, r, err := c.store.List(c.ctx, tt.prefix)
		require.NoError(c, err)
		var keys []string
		for _, e := range entries {
			keys = append(keys, e.Key)
			assert.Equal(c, e.Key, string(e.Value))
			assert.LessOrEqual(c, e.Revision, r)
		}
		assert.Equal(c, tt.keys, keys, "prefix %q", tt.prefix)
	}
}

func (c *testCase) leaseBinds() {
	lease, other := c.grant(), c.grant()
	require.NotEqual(c, lease, other)
	c.put("a", "", store.Always, lease)
	c.put("b", "", store.Always, other)
	assert.Equal(c, lease, c.get("a").Lease)
	require.NoError(c, c.store.KeepAlive(c.ctx, lease))
	require.NoError(c, c.store.Revoke(c.ctx, lease))
	assert.Zero(c, c.get("a").Revision)
	assert.NotZero(c, c.get("b").Revision)
}

func (c *testCase) leaseNotFound() {
	lease := c.grant()
	require.NoError(c, c.store.Revoke(c.ctx, lease))
	require.ErrorIs(c, c.store.KeepAlive(c.ctx, lease), store.ErrLeaseNotFound)
	require.ErrorIs(c, c.store.Revoke(c.ctx, lease), store.ErrLeaseNotFound)
	c.putFails("a", store.Always, lease, store.ErrLeaseNotFound)
	assert.Zero(c, c.get("a").Revision)
}

func (c *testCase) leaseChanges() {
	first, second := c.grant(), c.grant()
	c.put("a", "", store.Always, first)
	c.put("b", "", store.Always, first)
	c.put("a", "", store.Always, second)
	c.put("b", "", store.Always, store.NoLease)
	require.NoError(c, c.store.Revoke(c.ctx, first))
	assert.Equal(c, second, c.get("a").Lease)
	assert.NotZero(c, c.get("b").Revision)
}

func (c *testCase) endedContext() {
	ended, cancel := context.WithCancel(c.ctx)
	cancel()
	_, err := c.store.Put(ended, "a", nil, store.Always, store.NoLease)
	require.ErrorIs(c, err, context.Canceled)
	require.NotErrorIs(c, err, store.ErrUnknown)
	_, err = c.store.Get(ended, "a")
	require.ErrorIs(c, err, context.Canceled)
	_, err = c.store.Watch(ended, "", 0)
	require.ErrorIs(c, err, context.Canceled)
	assert.Zero(c, c.get("a").Revision)
}
