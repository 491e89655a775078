// Package broadcast sends news directly to all other routers, within about a round trip.
//
// In a large fleet a Sender divides the routers into groups. The first router of a group
// that responds passes the news on to the others. A router that is not reached is not
// called again: what must arrive has to be sent again, or by other ways.
//
// # Usage
//
//	s := broadcast.New(broadcast.Settings[News, Reply]{Path: "/peer/news", Peers: peers, Receive: receive, ...})
//	defer s.Close()
//	s.Send(news)
//	mux.Handle(pat.Post("/peer/news"), s)
package broadcast

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/peerlink"
)

const (
	// maxGroups limits the routers that one router sends news to.
	maxGroups = 20
	// linger is how long news waits for more, such as that of other requests that the same
	// crash has ended.
	linger = 5 * time.Millisecond
	// maxQueued limits the items that wait to be sent. Further ones are dropped.
	maxQueued = 2000
	// maxBodyBytes is the limit of the size of a request body.
	maxBodyBytes = 1 << 20
)

// Settings configures a Sender of items of type T, to which routers reply with values of
// type R. All fields but OnReplies are required.
type Settings[T any, R cmp.Ordered] struct {
	// Path is the HTTP path at which the routers receive the items.
	Path string
	// Receive is called with the items of another router. It returns the replies to it. It
	// may be called by several goroutines at once.
	Receive func(now time.Time, items []T) (replies []R)
	// OnReplies is called with the replies of the other routers, sorted and each one once,
	// if there are any. It may be called by several goroutines at once.
	OnReplies func(now time.Time, replies []R)
	// Peers returns the addresses of the other routers.
	Peers func() []netip.AddrPort
	// Timeout bounds the call to one router. A router that passes items on has half of it
	// for that.
	Timeout time.Duration
	Clock   func() time.Time
	Log     hclog.Logger
}

// Sender sends items to the other routers, and is the handler for those that they send.
// Its methods are safe for concurrent use.
type Sender[T any, R cmp.Ordered] struct {
	settings Settings[T, R]
	links    *peerlink.Links
	tomb     tomb.Tomb
	wake     chan struct{}

	mu     sync.Mutex
	queued []T
}

// message is the body of a call.
type message[T any] struct {
	Items []T `json:"items"`
	// PassOn lists the routers to which the receiver sends the items.
	PassOn []netip.AddrPort `json:"passOn,omitempty"`
}

// result is the body of the response to a call.
type result[R any] struct {
	Replies []R `json:"replies,omitempty"`
}

// New returns a Sender and starts its background goroutine.
func New[T any, R cmp.Ordered](s Settings[T, R]) *Sender[T, R] {
	sender := &Sender[T, R]{
		settings: s,
		links:    peerlink.New(peerlink.Settings{Timeout: s.Timeout, Clock: s.Clock}),
		wake:     make(chan struct{}, 1),
	}
	sender.tomb.Go(sender.loop)
	return sender
}

// Close stops the background goroutine, waits for it and closes all connections.
func (s *Sender[T, R]) Close() error {
	s.tomb.Kill(nil)
	err := s.tomb.Wait()
	s.links.Close()
	return err
}

// Send sends the items in the background.
func (s *Sender[T, R]) Send(items []T) {
	s.mu.Lock()
	if len(s.queued)+len(items) <= maxQueued {
		s.queued = append(s.queued, items...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sender[T, R]) loop() error {
	ctx := s.tomb.Context(context.Background())
	for {
		select {
		case <-s.wake:
		case <-s.tomb.Dying():
			return nil
		}
		select {
		case <-time.After(linger):
		case <-s.tomb.Dying():
			return nil
		}
		s.mu.Lock()
		items := s.queued
		s.queued = nil
		s.mu.Unlock()
		// Each batch is sent by a goroutine of its own, so that a router that does not
		// respond delays no later batch.
		s.tomb.Go(func() error {
			replies := s.sendToAll(ctx, items, s.settings.Peers(), maxGroups)
			if len(replies) > 0 && s.settings.OnReplies != nil {
				s.settings.OnReplies(s.settings.Clock(), replies)
			}
			return nil
		})
	}
}

// sendToAll sends the items to the routers, divided into up to groupCount groups, and
// returns their replies.
func (s *Sender[T, R]) sendToAll(ctx context.Context, items []T, peers []netip.AddrPort, groupCount int) []R {
	if len(items) == 0 || len(peers) == 0 {
		return nil
	}
	var mu sync.Mutex
	var replies []R
	var wg sync.WaitGroup
	groupSize := (len(peers) + groupCount - 1) / groupCount
	for group := range slices.Chunk(peers, groupSize) {
		wg.Go(func() {
			r := s.sendToGroup(ctx, items, group)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, r...)
		})
	}
	wg.Wait()
	slices.Sort(replies)
	return slices.Compact(replies)
}

// sendToGroup sends the items to the first router of a group that responds, which passes
// them on to the ones after it.
func (s *Sender[T, R]) sendToGroup(ctx context.Context, items []T, group []netip.AddrPort) []R {
	for i, address := range group {
		var r result[R]
		err := s.links.Post(ctx, address, s.settings.Path, message[T]{Items: items, PassOn: group[i+1:]}, &r)
		if err == nil {
			return r.Replies
		}
		event.NotBroadcast.Debug(s.settings.Log, "path", s.settings.Path, "peer", address, "error", err)
	}
	return nil
}

// ServeHTTP receives items of another router and passes them on. It responds with status
// 400 to a body that cannot be read.
func (s *Sender[T, R]) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	var m message[T]
	if err := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxBodyBytes)).Decode(&m); err != nil {
		http.Error(w, "the items cannot be read", http.StatusBadRequest)
		return
	}
	replies := s.settings.Receive(s.settings.Clock(), m.Items)
	if len(m.PassOn) > 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(h.Context()), s.settings.Timeout/2)
		defer cancel()
		replies = append(replies, s.sendToAll(ctx, m.Items, m.PassOn, len(m.PassOn))...)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result[R]{Replies: replies}) // the caller does not repeat the call
}
