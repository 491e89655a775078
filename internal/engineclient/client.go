// Package engineclient is the router's side of a model engine.
//
// A Client starts runs on engines and reads their answers as streams. A stream
// gives each token of its own answer exactly once and in order, whatever
// becomes of the connections below it, or ends with an error that tells what
// is known of the run.
//
// A connection that is silent past the limit is given up, and the answer is
// read on from the next token over a new connection. The pooled connections to
// that engine are dropped at the same time, as they may have gone silent too.
//
// The identifier of a run's request is unique over all callers of the engine.
//
// # Usage
//
//	c := engineclient.New(engineclient.Settings{SilenceLimit: limit, Log: log})
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
//			break // the answer is whole
//		}
//		...
//	}
//
// A stream that is closed before its end leaves the engine at work; Cancel
// stops it.
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

// Defaults of Settings.
const (
	defaultSilenceLimit   = 10 * time.Second
	defaultConnectTimeout = time.Second
	defaultCallTimeout    = 5 * time.Second
	defaultResumeLimit    = 3
)

// Times of the housekeeping.
const (
	checksPerLimit = 8 // checks for silence within one silence limit
	minCheck       = time.Millisecond
	maxCheck       = time.Second
	idlePeerLimit  = 10 * time.Minute // after which an unused peer is forgotten
)

// Settings of a Client. Zero values stand for defaults.
type Settings struct {
	// SilenceLimit is how long a connection may be silent while an answer is
	// awaited. It is asked again at each check, so that it can follow the
	// configuration in force.
	SilenceLimit   func() time.Duration
	ConnectTimeout time.Duration
	// CallTimeout bounds the calls other than runs.
	CallTimeout time.Duration
	// ResumeLimit is the number of times in succession that a stream is
	// resumed without a new token.
	ResumeLimit int
	Log         hclog.Logger
	Clock       func() time.Time
	// Seed makes the jitter of resumptions repeatable.
	Seed uint64
}

func (s Settings) withDefaults() Settings {
	if s.SilenceLimit == nil {
		s.SilenceLimit = func() time.Duration { return defaultSilenceLimit }
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

// address is the key of a peer.
type address string

// Client talks to engines. Its methods are safe for concurrent use.
//
// Its locks are taken in this order: Client.mu, a shard of peers, peer.mu,
// Stream.mu.
type Client struct {
	settings Settings
	peers    *shard.Map[address, *peer]
	ctx      context.Context // ends with the client
	t        tomb.Tomb
	crashes  atomic.Uint64 // that the client has seen

	mu     sync.Mutex // guards what follows
	closed bool
	random *rand.Rand
}

// New returns a client. Close releases it.
func New(s Settings) *Client {
	c := &Client{
		settings: s.withDefaults(),
		peers:    shard.NewMap[address, *peer](),
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
	}
	c.ctx = c.t.Context(context.Background())
	c.t.Go(c.housekeep)
	return c
}

// Close ends all streams and waits until their connections are closed.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.t.Kill(nil)
	c.peers.Each(func(_ address, p *peer) { p.transport.Close() })
	return c.t.Wait()
}

// background runs f unless the client is closed. Close waits for it.
func (c *Client) background(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.t.Go(func() error {
		f()
		return nil
	})
}

// peer returns the peer of an upstream.
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
		p.used = now
	})
	return p, nil
}

func (c *Client) transportSettings() transport.Settings {
	return transport.Settings{
		ConnectTimeout: c.settings.ConnectTimeout,
		IdleLimit:      c.settings.SilenceLimit(),
	}
}

// housekeep gives up silent connections and forgets unused peers.
func (c *Client) housekeep() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.t.Dying():
			return nil
		case <-timer.C:
		}
		limit := c.settings.SilenceLimit()
		c.check(limit, c.settings.Clock())
		timer.Reset(min(max(limit/checksPerLimit, minCheck), maxCheck))
	}
}

func (c *Client) check(limit time.Duration, now time.Time) {
	var unused []address
	c.peers.Each(func(key address, p *peer) {
		if p.check(limit, now) == 0 && now.Sub(p.used) >= idlePeerLimit {
			unused = append(unused, key)
		}
	})
	for _, key := range unused {
		c.forget(key, now)
	}
}

// forget drops a peer unless it has been used in the meantime.
func (c *Client) forget(key address, now time.Time) {
	c.peers.Do(key, func(entries map[address]*peer) {
		p := entries[key]
		if p == nil || p.inUse() || now.Sub(p.used) < idlePeerLimit {
			return
		}
		delete(entries, key)
		p.transport.Close()
	})
}
