// Package etcd implements store.Store over the etcd v3 JSON gateway.
//
// A Client tries its addresses in turn, beginning with the one that answered
// last. A read goes to the next address after any failure. A write goes to the
// next address only if it certainly did not run; otherwise its outcome is
// unknown.
//
// # Usage
//
//	c, err := etcd.New(etcd.Settings{
//		Addresses: []string{"http://10.0.0.5:2379", "http://10.0.1.5:2379"},
//		Timeout:   2 * time.Second,
//	})
//	...
//	defer c.Close()
//	entry, err := c.Get(ctx, "config/current")
//
// A watch does not reconnect. It ends with an error, and its user lists and
// watches again.
package etcd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/store"
)

// Defaults of Settings.
const (
	defaultTimeout     = 2 * time.Second
	defaultMaxResponse = 64 << 20 // bytes
)

// maxIdleConnections is the number of idle connections kept to each address.
const maxIdleConnections = 8

// Settings sets up a Client.
type Settings struct {
	// Addresses are the base URLs of the gateways. They are tried in turn.
	Addresses []string
	// Timeout bounds each call at one address, and the begin of a watch. The
	// default is 2 s.
	Timeout time.Duration
	// MaxResponse bounds the size in bytes of a response and of a message of
	// a watch. The default is 64 MiB.
	MaxResponse int64
}

// Client is a store.Store. Its methods are safe for concurrent use.
type Client struct {
	addresses   []string
	timeout     time.Duration
	maxResponse int64
	http        *http.Client
	preferred   atomic.Int64 // index of the address that answered last

	ctx    context.Context // ends at Close
	cancel context.CancelFunc

	mu      sync.Mutex
	closed  bool
	watches sync.WaitGroup // begun while not closed
}

var _ store.Store = (*Client)(nil)

// New returns a client. It makes no call.
func New(settings Settings) (c *Client, err error) {
	defer func() { err = merry.Prepend(err, "setting up the key-value client") }()
	if len(settings.Addresses) == 0 {
		return nil, errors.New("no addresses")
	}
	for _, address := range settings.Addresses {
		if _, err := url.ParseRequestURI(address); err != nil {
			return nil, err
		}
	}
	c = &Client{
		addresses:   slices.Clone(settings.Addresses),
		timeout:     settings.Timeout,
		maxResponse: settings.MaxResponse,
		http:        &http.Client{Transport: transport()},
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.maxResponse <= 0 {
		c.maxResponse = defaultMaxResponse
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

func transport() *http.Transport {
	return &http.Transport{
		DialContext:         new(net.Dialer).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
}

// Close ends the watches, waits for them, and closes idle connections.
func (c *Client) Close() error {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.watches.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// begin counts a watch, unless the client is closed.
func (c *Client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.watches.Add(1)
	return true
}

// start returns the index of the address to be tried first.
func (c *Client) start() int {
	return int(c.preferred.Load())
}
