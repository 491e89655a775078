// Package engineclient implements the HTTP client with which a router talks to
// model engines.
//
// A Client starts runs on engines and reads their answers as streams. A stream
// delivers each token of its answer exactly once and in order, even if its
// connection fails and is replaced, or ends with an error that tells whether
// the engine may have run the request.
//
// A connection that receives no data for longer than the idle timeout is
// closed, and the stream resumes from the next token over a new connection. The
// pooled connections to that engine are closed at the same time, because they
// may have become silent too.
//
// The request identifier of a run must be unique among all clients of the
// engine.
//
// # Usage
//
//	c := engineclient.New(engineclient.Settings{IdleTimeout: timeout, Log: log})
//	defer c.Close()
//	s, err := c.Start(ctx, upstream, run)
//	switch {
//	case errors.Is(err, engineclient.ErrNotRun): // another upstream may run it
//	...
//	}
//	defer s.Close()
//	for {
//		e, err := s.Next(ctx)
//		if err == io.EOF {
//			break // the answer is complete
//		}
//		...
//	}
//
// Closing a stream before its end does not stop the run on the engine; Cancel
// does.
package engineclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/shard"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
)

// Default values of Settings.
const (
	defaultIdleTimeout    = 10 * time.Second
	defaultConnectTimeout = time.Second
	defaultCallTimeout    = 5 * time.Second
	defaultResumeLimit    = 3
)

// Timing of the maintenance loop.
const (
	checksPerIdleTimeout = 8 // number of checks for silence within one idle timeout
	minCheckInterval     = time.Millisecond
	maxCheckInterval     = time.Second
	unusedPeerTimeout    = 10 * time.Minute // an unused peer is removed after this time
)

// Settings configures a Client. Zero values select the defaults.
type Settings struct {
	// IdleTimeout returns how long a connection may receive no data while the
	// client waits for an answer. It is called at each check, so that it can
	// follow the configuration in force.
	IdleTimeout    func() time.Duration
	ConnectTimeout time.Duration
	// CallTimeout is the timeout of calls other than runs.
	CallTimeout time.Duration
	// ResumeLimit is the maximum number of consecutive resumptions of a stream
	// without a new token.
	ResumeLimit int
	Log         hclog.Logger
	Clock       func() time.Time
	// Seed seeds the jitter of resumption delays, to make it reproducible.
	Seed uint64
}

func (s Settings) withDefaults() Settings {
	if s.IdleTimeout == nil {
		s.IdleTimeout = func() time.Duration { return defaultIdleTimeout }
	}
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	if s.CallTimeout == 0 {
		s.CallTimeout = defaultCallTimeout
	}
	if s.ResumeLimit == 0 {
		s.ResumeLimit = defaultResumeLimit
	}
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	return s
}

// address is the network address of an engine, the key of its peer.
type address string

// Client is a client of model engines. Its methods are safe for concurrent use.
//
// Locks are acquired in this order: Client.mu, a shard of peers, peer.mu,
// Stream.mu.
type Client struct {
	settings   Settings
	peers      *shard.Map[address, *peer]
	ctx        context.Context // canceled when the client is closed
	tomb       tomb.Tomb
	crashCount atomic.Uint64 // number of engine crashes detected by the client

	mu     sync.Mutex // guards the fields below
	closed bool
	random *rand.Rand
}

// New returns a client and starts its maintenance loop. Close releases its
// resources.
func New(s Settings) *Client {
	c := &Client{
		settings: s.withDefaults(),
		peers:    shard.NewMap[address, *peer](),
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
	}
	c.ctx = c.tomb.Context(context.Background())
	c.tomb.Go(c.maintain)
	return c
}

// Close terminates all streams and waits for the client's goroutines to end.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.tomb.Kill(nil)
	c.peers.Each(func(_ address, p *peer) { p.transport.Close() })
	return c.tomb.Wait()
}

// runInBackground runs f in a goroutine unless the client is closed. Close waits
// for it.
func (c *Client) runInBackground(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.tomb.Go(func() error {
		f()
		return nil
	})
}

// peer returns the peer for the address of an upstream, creating it if needed.
func (c *Client) peer(up configuration.Upstream) (p *peer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	now := c.settings.Clock()
	key := address(up.Address.String())
	c.peers.Do(key, func(entries map[address]*peer) {
		p = entries[key]
		if p == nil {
			p = newPeer(key, up.ID, c.transportSettings())
			entries[key] = p
		}
		p.lastUsed = now
	})
	return p, nil
}

func (c *Client) transportSettings() transport.Settings {
	return transport.Settings{
		ConnectTimeout: c.settings.ConnectTimeout,
		IdleLimit:      c.settings.IdleTimeout(),
	}
}

// maintain periodically closes silent connections and removes unused peers.
func (c *Client) maintain() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-timer.C:
		}
		limit := c.settings.IdleTimeout()
		c.checkPeers(limit, c.settings.Clock())
		timer.Reset(min(max(limit/checksPerIdleTimeout, minCheckInterval), maxCheckInterval))
	}
}

func (c *Client) checkPeers(limit time.Duration, now time.Time) {
	var unused []address
	c.peers.Each(func(key address, p *peer) {
		if p.closeSilentStreams(limit, now) == 0 && now.Sub(p.lastUsed) >= unusedPeerTimeout {
			unused = append(unused, key)
		}
	})
	for _, key := range unused {
		c.removeUnusedPeer(key, now)
	}
}

// removeUnusedPeer removes a peer unless it has been used in the meantime.
func (c *Client) removeUnusedPeer(key address, now time.Time) {
	c.peers.Do(key, func(entries map[address]*peer) {
		p := entries[key]
		if p == nil || p.hasStreams() || now.Sub(p.lastUsed) < unusedPeerTimeout {
			return
		}
		delete(entries, key)
		p.transport.Close()
	})
}
