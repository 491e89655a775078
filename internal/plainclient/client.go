// Package plainclient is the router's side of a plain service.
//
// A Client forwards one HTTP call to one upstream, at most once. It knows
// exactly whether a call that failed may have reached the upstream: it may once
// any byte of it was given to a connection. The whole response is read before
// any of it is returned.
//
// # Usage
//
//	c := plainclient.New(plainclient.Settings{Log: log})
//	defer c.Close()
//	response, err := c.Forward(ctx, upstream, plainclient.Call{
//		Request: request, Attempt: attempt, Method: "POST", Path: "/permits", Header: h, Body: body,
//	})
//	if errors.Is(err, plainclient.ErrNotRun) {
//		// the call may be sent elsewhere, even if it must not run twice
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
	defaultSilenceLimit   = 10 * time.Second
	defaultMaxResponse    = 16 << 20 // bytes
)

// Settings of a Client. Zero values stand for defaults.
type Settings struct {
	ConnectTimeout time.Duration
	// SilenceLimit bounds the wait for the response and between its parts.
	SilenceLimit func() time.Duration
	// MaxResponse bounds the body of a response, in bytes.
	MaxResponse int64
	Log         hclog.Logger
}

func (s Settings) withDefaults() Settings {
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	if s.SilenceLimit == nil {
		s.SilenceLimit = func() time.Duration { return defaultSilenceLimit }
	}
	if s.MaxResponse == 0 {
		s.MaxResponse = defaultMaxResponse
	}
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	return s
}

// address is the key of a transport.
type address string

// Client forwards calls. Its methods are safe for concurrent use.
type Client struct {
	settings   Settings
	transports *shard.Map[address, *transport.Transport]
	ctx        context.Context // ends with the client
	end        context.CancelFunc
	calls      sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// New returns a client. Close releases it.
func New(s Settings) *Client {
	c := &Client{
		settings:   s.withDefaults(),
		transports: shard.NewMap[address, *transport.Transport](),
	}
	c.ctx, c.end = context.WithCancel(context.Background())
	return c
}

// Close ends the calls in progress, waits for them and closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.end()
	c.calls.Wait()
	c.transports.Each(func(_ address, t *transport.Transport) { t.Close() })
	return nil
}

// begin counts a call in, unless the client is closed.
func (c *Client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.calls.Add(1)
	return true
}

// Retain forgets all upstreams but the given ones. It is called when the
// upstreams change. Calls in progress go on; their connections are closed once
// they have been idle for the silence limit.
func (c *Client) Retain(ups []configuration.Upstream) {
	kept := make(map[address]bool, len(ups))
	for _, up := range ups {
		kept[address(up.Address.String())] = true
	}
	var gone []address
	c.transports.Each(func(key address, _ *transport.Transport) {
		if !kept[key] {
			gone = append(gone, key)
		}
	})
	for _, key := range gone {
		c.transports.Do(key, func(entries map[address]*transport.Transport) {
			if t := entries[key]; t != nil {
				t.DropIdle()
			}
			delete(entries, key)
		})
	}
}

func (c *Client) transport(up configuration.Upstream) (t *transport.Transport) {
	key := address(up.Address.String())
	c.transports.Do(key, func(entries map[address]*transport.Transport) {
		t = entries[key]
		if t == nil {
			t = transport.New(transport.Settings{
				ConnectTimeout: c.settings.ConnectTimeout,
				IdleLimit:      c.settings.SilenceLimit(),
			})
			entries[key] = t
		}
	})
	return t
}
