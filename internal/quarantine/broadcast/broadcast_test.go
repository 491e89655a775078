package broadcast

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/quarantine"
)

const waitTimeout = 5 * time.Second

// receiver records the changes that it receives, and has seen answers to some digests.
type receiver struct {
	mu       sync.Mutex
	received []quarantine.Change
	answered []quarantine.Digest
}

func (r *receiver) Receive(_ time.Time, changes []quarantine.Change) []quarantine.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, changes...)
	return slices.Clone(r.answered)
}

func (r *receiver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.received)
}

// fleet is a set of routers, of which the first one sends.
type fleet struct {
	senders   []*Sender
	receivers []*receiver
	servers   []*httptest.Server
	addresses []netip.AddrPort
	answered  chan []quarantine.Digest // passed to OnAnswered of the first router
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{answered: make(chan []quarantine.Digest, 10)}
	for range n {
		s := New(Settings{
			Peers:      func() []netip.AddrPort { return f.addresses[1:] },
			OnAnswered: func(_ time.Time, digests ...quarantine.Digest) { f.answered <- digests },
			Timeout:    2 * time.Second, Clock: time.Now, Log: hclog.NewNullLogger(),
		})
		r := new(receiver)
		server := httptest.NewServer(s.Handler(r))
		t.Cleanup(server.Close)
		t.Cleanup(func() { assert.NoError(t, s.Close()) })
		f.senders, f.receivers, f.servers = append(f.senders, s), append(f.receivers, r), append(f.servers, server)
		f.addresses = append(f.addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	return f
}

var changes = []quarantine.Change{{Digest: "d", Upstream: "u1"}}

// TestAllRoutersReceiveChanges checks that each router receives changes exactly once,
// directly or through another one, and that the sender learns which digests are sound.
func TestAllRoutersReceiveChanges(t *testing.T) {
	for _, n := range []int{2, 9, 3 * maxGroups} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			f.receivers[n-1].answered = []quarantine.Digest{"d"}
			f.senders[0].Send(changes)
			select {
			case digests := <-f.answered:
				assert.Equal(t, []quarantine.Digest{"d"}, digests)
			case <-time.After(waitTimeout):
				require.Fail(t, "the sender was not told of the answer")
			}
			for i, r := range f.receivers {
				assert.Equal(t, min(i, 1), r.count(), "router %d", i)
			}
		})
	}
}

// TestRouterThatDoesNotRespondIsPassedOver checks that the other routers of a group receive
// changes although the first one of the group has ended.
func TestRouterThatDoesNotRespondIsPassedOver(t *testing.T) {
	f := newFleet(t, 3*maxGroups)
	f.servers[1].Close()
	f.senders[0].Send(changes)
	for i, r := range f.receivers[2:] {
		require.Eventually(t, func() bool { return r.count() == 1 }, waitTimeout, time.Millisecond, "router %d", i+2)
	}
}

func TestMalformedChanges(t *testing.T) {
	f := newFleet(t, 1)
	response, err := http.Post(f.servers[0].URL, "application/json", nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.NoError(t, response.Body.Close())
}

func TestSendWithoutPeers(t *testing.T) {
	f := newFleet(t, 1)
	assert.Empty(t, f.senders[0].sendToAll(context.Background(), changes, nil, maxGroups))
}
