package keeper

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/pkg/store"
)

const (
	waitFor = 5 * time.Second
	tick    = 5 * time.Millisecond
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newKeeper(t *testing.T, s store.Store) *Keeper {
	k := New(Settings{
		Store:    s,
		Clock:    func() time.Time { return now },
		Log:      hclog.NewNullLogger(),
		Interval: tick,
	})
	t.Cleanup(func() { assert.NoError(t, k.Close()) })
	return k
}

func TestAccusationsAddUpOverRouters(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	a := newKeeper(t, service.Client())
	b := newKeeper(t, service.Client())
	c := newKeeper(t, service.Client())
	a.Accuse(now, "d", "u1")
	b.Accuse(now, "d", "u2")
	assert.Eventually(t, func() bool { return c.Refused(now, "d", 2) }, waitFor, tick)
	c.Clear("d")
	assert.Eventually(t, func() bool { return !a.Suspect(now, "d") && !b.Suspect(now, "d") }, waitFor, tick)
}

func TestOwnAccusationsStandDuringAnOutage(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	client := service.Client()
	client.SetFaults(keyvalue.Faults{Outage: true})
	a := newKeeper(t, client)
	other := newKeeper(t, service.Client())
	a.Accuse(now, "d", "u1")
	assert.True(t, a.Suspect(now, "d"))
	assert.False(t, other.Suspect(now, "d"))
	client.SetFaults(keyvalue.Faults{})
	assert.Eventually(t, func() bool { return other.Suspect(now, "d") }, waitFor, tick)
}

// counted counts the readings of a store.
type counted struct {
	store.Store
	readings atomic.Int64
}

func (c *counted) Get(ctx context.Context, key string) (store.Entry, error) {
	c.readings.Add(1)
	return c.Store.Get(ctx, key)
}

func (c *counted) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	c.readings.Add(1)
	return c.Store.List(ctx, prefix)
}

// TestFollowedListIsNotRead changes the list while a watch tells of it.
func TestFollowedListIsNotRead(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	c := &counted{Store: service.Client()}
	checkFollows(t, c, newKeeper(t, c), newKeeper(t, service.Client()))
}

// copied is a mirror's copy of the list.
type copied struct {
	mu      sync.Mutex
	entry   store.Entry
	changed chan struct{}
}

func (c *copied) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *copied) Get(string) (store.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entry, c.entry.Revision > 0
}

func (c *copied) Away() bool { return false }

// copying is a store whose writes a mirror sees.
type copying struct {
	store.Store
	copy *copied
}

func (c copying) Put(ctx context.Context, key string, value []byte, cond store.Condition, lease store.Lease) (store.Revision, error) {
	r, err := c.Store.Put(ctx, key, value, cond, lease)
	if err != nil {
		return r, err
	}
	c.copy.mu.Lock()
	defer c.copy.mu.Unlock()
	c.copy.entry = store.Entry{Key: key, Value: value, Revision: r}
	close(c.copy.changed)
	c.copy.changed = make(chan struct{})
	return r, nil
}

// TestMirroredListIsNotRead is the same with a mirror in place of a watch.
func TestMirroredListIsNotRead(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	c := &counted{Store: service.Client()}
	m := &copied{changed: make(chan struct{})}
	k := New(Settings{Store: c, Mirror: m, Clock: func() time.Time { return now }, Log: hclog.NewNullLogger(), Interval: tick})
	t.Cleanup(func() { assert.NoError(t, k.Close()) })
	checkFollows(t, c, k, newKeeper(t, copying{Store: service.Client(), copy: m}))
}

// checkFollows has another router change the list, and the one whose readings are
// counted write to it.
func checkFollows(t *testing.T, c *counted, k, other *Keeper) {
	other.Accuse(now, "first", "u")
	assert.Eventually(t, func() bool { return k.Suspect(now, "first") }, waitFor, tick)
	var before int64
	require.Eventually(t, func() bool {
		before = c.readings.Load()
		time.Sleep(10 * tick)
		return before == c.readings.Load()
	}, waitFor, tick, "the list is read on")
	for n := range 20 {
		d := quarantine.Digest(fmt.Sprint(n))
		other.Accuse(now, d, "u")
		assert.Eventually(t, func() bool { return k.Suspect(now, d) }, waitFor, tick)
	}
	k.Accuse(now, "own", "u")
	assert.Eventually(t, func() bool { return other.Suspect(now, "own") }, waitFor, tick)
	assert.Equal(t, before, c.readings.Load())
}
