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
)

const waitTimeout = 5 * time.Second

// receiver records the items that it receives, and replies.
type receiver struct {
	mu       sync.Mutex
	received []string
	replies  []int
}

func (r *receiver) receive(_ time.Time, items []string) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, items...)
	return slices.Clone(r.replies)
}

func (r *receiver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.received)
}

// fleet is a set of routers, of which the first one sends.
type fleet struct {
	senders   []*Sender[string, int]
	receivers []*receiver
	servers   []*httptest.Server
	addresses []netip.AddrPort
	replies   chan []int // passed to OnReplies of the first router
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{replies: make(chan []int, 10)}
	for range n {
		r := new(receiver)
		s := New(Settings[string, int]{
			Path:      "/news",
			Receive:   r.receive,
			OnReplies: func(_ time.Time, replies []int) { f.replies <- replies },
			Peers:     func() []netip.AddrPort { return f.addresses[1:] },
			Timeout:   2 * time.Second, Clock: time.Now, Log: hclog.NewNullLogger(),
		})
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		t.Cleanup(func() { assert.NoError(t, s.Close()) })
		f.senders, f.receivers, f.servers = append(f.senders, s), append(f.receivers, r), append(f.servers, server)
		f.addresses = append(f.addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	return f
}

var items = []string{"news"}

// TestAllRoutersReceiveNews checks that each router receives news exactly once, directly or
// through another one, and that the sender receives the replies.
func TestAllRoutersReceiveNews(t *testing.T) {
	for _, n := range []int{2, 9, 3 * maxGroups} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			f.receivers[n-1].replies = []int{7, 5, 7}
			f.senders[0].Send(items)
			select {
			case replies := <-f.replies:
				assert.Equal(t, []int{5, 7}, replies)
			case <-time.After(waitTimeout):
				require.Fail(t, "the sender received no reply")
			}
			for i, r := range f.receivers {
				assert.Equal(t, min(i, 1), r.count(), "router %d", i)
			}
		})
	}
}

// TestRouterThatDoesNotRespondIsPassedOver checks that the other routers of a group receive
// news although the first one of the group has ended.
func TestRouterThatDoesNotRespondIsPassedOver(t *testing.T) {
	f := newFleet(t, 3*maxGroups)
	f.servers[1].Close()
	f.senders[0].Send(items)
	for i, r := range f.receivers[2:] {
		require.Eventually(t, func() bool { return r.count() == 1 }, waitTimeout, time.Millisecond, "router %d", i+2)
	}
}

func TestMalformedNews(t *testing.T) {
	f := newFleet(t, 1)
	response, err := http.Post(f.servers[0].URL, "application/json", nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	require.NoError(t, response.Body.Close())
}

func TestSendWithoutPeers(t *testing.T) {
	f := newFleet(t, 1)
	assert.Empty(t, f.senders[0].sendToAll(context.Background(), items, nil, maxGroups))
}
