package writer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/duty"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// countingStore counts the writes of all routers in writes and blocks each until
// release is closed.
type countingStore struct {
	*keyvalue.Client
	writes  *atomic.Int64
	release <-chan struct{}
}

func (c countingStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, lease store.Lease) (store.Revision, error) {
	c.writes.Add(1)
	<-c.release
	return c.Client.Put(ctx, key, value, cond, lease)
}

// fleet is a set of routers of which one writes for all.
type fleet struct {
	service *keyvalue.Service
	writes  atomic.Int64
	release chan struct{} // closed to unblock writes
	clients []*keyvalue.Client
	keepers []*keeper.Keeper
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{service: keyvalue.New(keyvalue.Settings{Seed: 1}), release: make(chan struct{})}
	var members []membership.Record
	var servers []*http.ServeMux
	for i := range n {
		mux := http.NewServeMux()
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		servers = append(servers, mux)
		members = append(members, membership.Record{
			VM: ident.VM(fmt.Sprint("vm-", i)), Capacity: n - i, Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
		})
	}
	for i := range n {
		c := duty.New(duty.Settings{
			Self: members[i].VM, Members: func() []membership.Record { return members }, Timeout: 5 * time.Second, Clock: time.Now,
		})
		t.Cleanup(c.Close)
		client := f.service.Client()
		k := keeper.New(keeper.Settings{
			Store: countingStore{client, &f.writes, f.release}, Writer: New(c), Linger: 50 * time.Millisecond,
			Clock: time.Now, Log: hclog.NewNullLogger(), Interval: 20 * time.Millisecond,
		})
		t.Cleanup(func() { assert.NoError(t, k.Close()) })
		servers[i].Handle(Path, Handler(k))
		f.clients, f.keepers = append(f.clients, client), append(f.keepers, k)
	}
	return f
}

// lose has k run a request with the content d, and records the loss of its upstream.
func lose(k *keeper.Keeper, d quarantine.Digest, upstream ident.Upstream) {
	a := k.Begin(time.Now(), quarantine.Subject{Content: d}, 99)
	a.RecordLoss(time.Now(), keeper.Loss{Upstream: upstream})
	a.End()
}

// waitUntilRefused waits until every router refuses d under the given crash limit.
func (f *fleet) waitUntilRefused(t *testing.T, d quarantine.Digest, crashLimit int) {
	for i, k := range f.keepers {
		require.Eventually(t, func() bool { return k.IsQuarantined(time.Now(), quarantine.Subject{Content: d}, crashLimit) }, 10*time.Second, time.Millisecond, "router %d", i)
	}
}

// TestOneRouterWritesForAll has ten routers record a crash while the first write is
// blocked, and checks that at most two writes happen: changes that arrive during a
// write go into the next one.
func TestOneRouterWritesForAll(t *testing.T) {
	f := newFleet(t, 10)
	for i, k := range f.keepers {
		lose(k, "shared", ident.Upstream(fmt.Sprint("u-", i)))
	}
	writer := f.keepers[0]
	assert.Eventually(t, func() bool {
		return writer.IsQuarantined(time.Now(), quarantine.Subject{Content: "shared"}, len(f.keepers))
	}, 10*time.Second, time.Millisecond)
	close(f.release)
	f.waitUntilRefused(t, "shared", len(f.keepers))
	assert.LessOrEqual(t, f.writes.Load(), int64(2), "writes")
}

// TestRefusedWriterIsReplaced checks that other routers' changes are written while the
// service is unavailable to the router that writes for all, and that the changes of
// that router follow after its outage.
func TestRefusedWriterIsReplaced(t *testing.T) {
	f := newFleet(t, 3)
	close(f.release)
	f.clients[0].SetFaults(keyvalue.Faults{Outage: true})
	lose(f.keepers[0], "first", "u-9")
	for i := 1; i < 3; i++ {
		lose(f.keepers[i], "other", ident.Upstream(fmt.Sprint("u-", i)))
	}
	for _, k := range f.keepers[1:] {
		require.Eventually(t, func() bool { return k.IsQuarantined(time.Now(), quarantine.Subject{Content: "other"}, 2) }, 10*time.Second, time.Millisecond)
	}
	f.clients[0].SetFaults(keyvalue.Faults{})
	f.waitUntilRefused(t, "first", 1)
}

func TestMalformedChanges(t *testing.T) {
	s := httptest.NewServer(Handler(nil))
	t.Cleanup(s.Close)
	response, err := http.Post(s.URL, "application/json", nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.NoError(t, response.Body.Close())
}
