// Package broadcast sends changes of the quarantine list directly to the other routers,
// so that all of them know of a crash before they send the next request that may cause
// one.
//
// In a large fleet a Sender divides the routers into groups. The first router of a group
// that responds passes the changes on to the others. A router that is not reached learns
// of the changes from the key-value service.
//
// # Usage
//
//	s := broadcast.New(broadcast.Settings{Peers: peers, OnAnswered: k.Clear, ...})
//	defer s.Close()
//	s.Send(changes)
//	mux.Handle(pat.Post(broadcast.Path), s.Handler(k))
package broadcast

import (
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
	"example.org/lagoonfork/internal/quarantine"
)

// Path is the HTTP path to which routers post changes.
const Path = "/peer/quarantine/broadcast"

const (
	// maxGroups limits the routers that one router sends changes to.
	maxGroups = 20
	// linger is how long changes wait for others, such as those of the other requests
	// that the same crash has ended.
	linger = 5 * time.Millisecond
	// maxQueued limits the changes that wait to be sent. Further ones reach the other
	// routers through the key-value service.
	maxQueued = 2000
	// maxBodyBytes is the limit of the size of a request body.
	maxBodyBytes = 1 << 20
)

// Receiver applies changes of other routers. See package keeper.
type Receiver interface {
	// Receive returns the digests among the changes that it ignores, because this
	// router has just seen an answer to a request with them.
	Receive(now time.Time, changes []quarantine.Change) (answered []quarantine.Digest)
}

// Settings configures a Sender. All fields are required.
type Settings struct {
	// Peers returns the addresses of the other routers.
	Peers func() []netip.AddrPort
	// OnAnswered is called with the digests that other routers have just seen answers
	// to. It may be called by several goroutines at once.
	OnAnswered func(now time.Time, digests ...quarantine.Digest)
	// Timeout bounds the call to one router. A router that passes changes on has half of
	// it for that.
	Timeout time.Duration
	Clock   func() time.Time
	Log     hclog.Logger
}

// Sender sends changes to the other routers. Its methods are safe for concurrent use.
type Sender struct {
	settings Settings
	links    *peerlink.Links
	tomb     tomb.Tomb
	wake     chan struct{}

	mu     sync.Mutex
	queued []quarantine.Change
}

// message is the body of a call, and result that of its response.
type (
	message struct {
		Changes []quarantine.Change `json:"changes"`
		// PassOn lists the routers to which the receiver sends the changes.
		PassOn []netip.AddrPort `json:"passOn,omitempty"`
	}
	result struct {
		// Answered lists the digests that routers have just seen answers to.
		Answered []quarantine.Digest `json:"answered,omitempty"`
	}
)

// New returns a Sender and starts its background goroutine.
func New(s Settings) *Sender {
	sender := &Sender{
		settings: s,
		links:    peerlink.New(peerlink.Settings{Timeout: s.Timeout, Clock: s.Clock}),
		wake:     make(chan struct{}, 1),
	}
	sender.tomb.Go(sender.loop)
	return sender
}

// Close stops the background goroutine, waits for it and closes all connections.
func (s *Sender) Close() error {
	s.tomb.Kill(nil)
	err := s.tomb.Wait()
	s.links.Close()
	return err
}

// Send sends the changes in the background.
func (s *Sender) Send(changes []quarantine.Change) {
	s.mu.Lock()
	if len(s.queued)+len(changes) <= maxQueued {
		s.queued = append(s.queued, changes...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sender) loop() error {
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
		changes := s.queued
		s.queued = nil
		s.mu.Unlock()
		// Each batch is sent by a goroutine of its own, so that a router that does not
		// respond delays no later batch.
		s.tomb.Go(func() error {
			if answered := s.sendToAll(ctx, changes, s.settings.Peers(), maxGroups); len(answered) > 0 {
				s.settings.OnAnswered(s.settings.Clock(), answered...)
			}
			return nil
		})
	}
}

// sendToAll sends the changes to the routers, divided into up to groupCount groups, and
// returns the digests that they have just seen answers to.
func (s *Sender) sendToAll(ctx context.Context, changes []quarantine.Change, peers []netip.AddrPort, groupCount int) []quarantine.Digest {
	if len(changes) == 0 || len(peers) == 0 {
		return nil
	}
	var mu sync.Mutex
	var answered []quarantine.Digest
	var wg sync.WaitGroup
	groupSize := (len(peers) + groupCount - 1) / groupCount
	for group := range slices.Chunk(peers, groupSize) {
		wg.Go(func() {
			digests := s.sendToGroup(ctx, changes, group)
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, digests...)
		})
	}
	wg.Wait()
	slices.Sort(answered)
	return slices.Compact(answered)
}

// sendToGroup sends the changes to the first router of a group that responds, which
// passes them on to the ones after it.
func (s *Sender) sendToGroup(ctx context.Context, changes []quarantine.Change, group []netip.AddrPort) []quarantine.Digest {
	for i, address := range group {
		var r result
		err := s.links.Post(ctx, address, Path, message{Changes: changes, PassOn: group[i+1:]}, &r)
		if err == nil {
			return r.Answered
		}
		event.QuarantineNotBroadcast.Debug(s.settings.Log, "peer", address, "error", err)
	}
	return nil
}

// Handler returns the handler for changes that other routers send. It has r apply them
// and passes them on, and responds with status 400 to a body that cannot be read.
func (s *Sender) Handler(r Receiver) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		var m message
		if err := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxBodyBytes)).Decode(&m); err != nil {
			http.Error(w, "the changes cannot be read", http.StatusBadRequest)
			return
		}
		answered := r.Receive(s.settings.Clock(), m.Changes)
		if len(m.PassOn) > 0 {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(h.Context()), s.settings.Timeout/2)
			defer cancel()
			answered = append(answered, s.sendToAll(ctx, m.Changes, m.PassOn, len(m.PassOn))...)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result{Answered: answered}) // the caller does not repeat the call
	})
}
