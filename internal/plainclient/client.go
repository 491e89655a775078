// Package plainclient sends HTTP calls from a router to plain services.
//
// A Client forwards each call to one upstream, at most once. If a call fails,
// the client reports whether it may have reached the upstream, which is the
// case once any byte of it was written to a connection. The client reads the
// whole response before it returns any of it.
//
// # Usage
//
//	c := plainclient.New(plainclient.Settings{Log: log})
//	defer c.Close()
//	response, err := c.Forward(ctx, upstream, plainclient.Call{
//		Request: request, Attempt: attempt, Method: "POST", Path: "/permits", Header: h, Body: body,
//	})
//	if errors.Is(err, plainclient.ErrNotRun) {
//		// the call may be sent to another upstream, even if it must not run twice
//	}
package plainclient

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/shard"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
)

// Defaults of Settings.
const (
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 10 * time.Second
	defaultMemoryTimeout  = 10 * time.Second
	defaultMaxResponse    = 16 << 20 // bytes
)

// Settings of a Client. Fields with zero values get their defaults.
type Settings struct {
	ConnectTimeout time.Duration
	// IdleTimeout returns the idle timeout: the longest wait for the response
	// and between two parts of it. It also bounds how long pooled connections
	// stay open unused.
	IdleTimeout func() time.Duration
	// MaxResponse bounds the body of a response, in bytes.
	MaxResponse int64
	// MemoryTimeout bounds the wait for the memory of a response.
	MemoryTimeout time.Duration
	Log           hclog.Logger
}

// withDefaults returns s with zero values replaced by the defaults.
func (s Settings) withDefaults() Settings {
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	if s.IdleTimeout == nil {
		s.IdleTimeout = func() time.Duration { return defaultIdleTimeout }
	}
	if s.MaxResponse == 0 {
		s.MaxResponse = defaultMaxResponse
	}
	if s.MemoryTimeout == 0 {
		s.MemoryTimeout = defaultMemoryTimeout
	}
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	return s
}

// address is the host and port of an upstream, the key of its transport.
type address string

// Client forwards calls. Its methods are safe for concurrent use.
type Client struct {
	settings   Settings
	transports *shard.Map[address, *transport.Transport]
	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	calls      sync.WaitGroup // calls in progress

	mu     sync.Mutex
	closed bool
}

// New returns a client. Close releases its resources.
func New(s Settings) *Client {
	c := &Client{
		settings:   s.withDefaults(),
		transports: shard.NewMap[address, *transport.Transport](),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close cancels the calls in progress, waits for them and closes all
// connections.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	c.transports.Each(func(_ address, t *transport.Transport) { t.Close() })
	return nil
}

// beginCall adds a call to c.calls. It reports false if the client is closed.
func (c *Client) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.calls.Add(1)
	return true
}

// Retain drops the transports of all upstreams but the given ones. It is meant
// to be called when the set of upstreams changes. Calls in progress continue;
// their connections are closed once they have been unused for the idle timeout.
func (c *Client) Retain(ups []configuration.Upstream) {
	retained := make(map[address]bool, len(ups))
	for _, up := range ups {
		retained[address(up.Address.String())] = true
	}
	var removed []address
	c.transports.Each(func(key address, _ *transport.Transport) {
		if !retained[key] {
			removed = append(removed, key)
		}
	})
	for _, key := range removed {
		c.transports.Do(key, func(entries map[address]*transport.Transport) {
			if t := entries[key]; t != nil {
				t.DropIdle()
			}
			delete(entries, key)
		})
	}
}

// transport returns the transport of an upstream's address and creates it if
// needed.
func (c *Client) transport(up configuration.Upstream) (t *transport.Transport) {
	key := address(up.Address.String())
	c.transports.Do(key, func(entries map[address]*transport.Transport) {
		t = entries[key]
		if t == nil {
			t = transport.New(transport.Settings{
				ConnectTimeout: c.settings.ConnectTimeout,
				IdleLimit:      c.settings.IdleTimeout(),
			})
			entries[key] = t
		}
	})
	return t
}
