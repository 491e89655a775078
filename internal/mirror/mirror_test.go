package mirror

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
)

// source reads a stand-in service that may be away.
type source struct {
	*keyvalue.Client
	away atomic.Bool
}

func (s *source) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if s.away.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Client.List(ctx, prefix)
}

func (s *source) Changes(ctx context.Context, prefix string, from store.Revision, wait time.Duration) (store.Batch, error) {
	if s.away.Load() {
		return store.Batch{}, store.ErrUnavailable
	}
	w, err := s.Watch(ctx, prefix, from)
	if err != nil {
		return store.Batch{}, err
	}
	defer func() { _ = w.Close() }()
	ctx, cancel := context.WithTimeout(ctx, max(wait, 5*time.Millisecond))
	defer cancel()
	b, err := w.Next(ctx)
	if ctx.Err() != nil {
		return store.Batch{Revision: from}, nil
	}
	return b, err
}

type fixture struct {
	service *keyvalue.Service
	source  *source
	mirror  *Mirror
}

func newFixture(t *testing.T, service *keyvalue.Service, peers ...netip.AddrPort) fixture {
	f := fixture{service: service, source: &source{Client: service.Client()}}
	f.mirror = New(Settings{
		Name: "test", Prefix: "k/", Source: f.source,
		Interval: 10 * time.Millisecond, Timeout: time.Second, LostAfter: 30 * time.Millisecond, Grace: 300 * time.Millisecond,
		Peers: func() []netip.AddrPort { return append([]netip.AddrPort(nil), peers...) },
		Clock: time.Now, Log: hclog.NewNullLogger(),
	})
	t.Cleanup(func() { require.NoError(t, f.mirror.Close()) })
	return f
}

func (f fixture) put(t *testing.T, key, value string) {
	_, err := f.service.Client().Put(t.Context(), "k/"+key, []byte(value), store.Always, store.NoLease)
	require.NoError(t, err)
}

// becomes waits until a key has a value, or is absent if the value is empty.
func (f fixture) becomes(t *testing.T, key, value string) {
	require.Eventually(t, func() bool {
		e, ok := f.mirror.Get("k/" + key)
		return ok == (value != "") && string(e.Value) == value
	}, 10*time.Second, time.Millisecond, "%s=%s", key, value)
}

func TestFollowsChangesAndCompaction(t *testing.T) {
	f := newFixture(t, keyvalue.New(keyvalue.Settings{Seed: 1}))
	f.put(t, "a", "1")
	f.becomes(t, "a", "1")
	f.put(t, "a", "2")
	f.becomes(t, "a", "2")
	f.source.away.Store(true)
	f.put(t, "b", "1")
	require.NoError(t, f.service.Client().Delete(t.Context(), "k/a", store.Always))
	f.service.Compact()
	f.source.away.Store(false)
	f.becomes(t, "b", "1")
	f.becomes(t, "a", "")
	assert.Len(t, f.mirror.Entries(), 1)
}

// TestAsksOtherRouters cuts one router off from the service.
func TestAsksOtherRouters(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{Seed: 1})
	near := newFixture(t, service)
	server := httptest.NewServer(near.mirror)
	defer server.Close()
	far := newFixture(t, service, netip.MustParseAddrPort(server.Listener.Addr().String()))
	far.source.away.Store(true)
	for i := range 3 {
		value := fmt.Sprint(i)
		near.put(t, "a", value)
		near.becomes(t, "a", value)
		far.becomes(t, "a", value)
	}
}

// TestViewOrdersByRevision applies late and repeated changes.
func TestViewOrdersByRevision(t *testing.T) {
	v := newView(nil)
	at := time.Unix(0, 0)
	set := func(key string, r store.Revision) store.Event {
		return store.Event{Entry: store.Entry{Key: key, Revision: r}}
	}
	v.replace(at, []store.Entry{{Key: "a", Revision: 5}, {Key: "b", Revision: 4}}, 5, limits{})
	v.apply(at, store.Batch{Revision: 6, Events: []store.Event{set("a", 3), {Entry: store.Entry{Key: "b", Revision: 2}, Deleted: true}}}, limits{})
	assert.EqualValues(t, 5, v.entries["a"].Revision, "a late change")
	assert.Contains(t, v.entries, "b", "a late deletion")
	v.apply(at, store.Batch{Revision: 7, Events: []store.Event{{Entry: store.Entry{Key: "b", Revision: 7}, Deleted: true}}}, limits{})
	assert.NotContains(t, v.entries, "b")
}

// TestLapsedEntriesHaveAGrace finds entries missing after an outage.
func TestLapsedEntriesHaveAGrace(t *testing.T) {
	l := limits{lostAfter: time.Second, grace: 2 * time.Second}
	at := time.Unix(100, 0)
	v := newView(nil)
	v.confirm(at, l)
	v.replace(at, []store.Entry{{Key: "back", Revision: 1}, {Key: "gone", Revision: 1}}, 1, l)

	at = at.Add(5 * time.Second)
	require.True(t, v.confirm(at, l))
	v.replace(at, nil, 9, l)
	assert.Len(t, v.entries, 2, "they may come back")
	v.apply(at, store.Batch{Revision: 10, Events: []store.Event{{Entry: store.Entry{Key: "back", Revision: 10}}}}, l)
	assert.False(t, v.expire(at.Add(l.grace-1)))
	assert.True(t, v.expire(at.Add(l.grace)))
	assert.Contains(t, v.entries, "back")
	assert.NotContains(t, v.entries, "gone")

	for range 5 {
		at = at.Add(l.lostAfter / 2)
		require.False(t, v.confirm(at, l))
	}
	v.apply(at, store.Batch{Revision: 11, Events: []store.Event{{Entry: store.Entry{Key: "back", Revision: 11}, Deleted: true}}}, l)
	assert.NotContains(t, v.entries, "back", "after the grace a deletion counts at once")
}
