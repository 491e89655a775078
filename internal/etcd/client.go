// Package etcd implements store.Store on top of the etcd v3 JSON gateway.
//
// A Client tries its addresses in turn, starting with the one that last answered
// successfully. A read is retried at the next address after any failure. A write is
// retried only if it certainly did not run. Otherwise its outcome is unknown, which
// store.ErrUnknown reports.
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
// A watch does not reconnect. When the connection fails, the watch ends with an error.
// Its user then lists the entries and opens a new watch.
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

// maxIdleConnections is the maximum number of idle connections to each address.
const maxIdleConnections = 8

// Settings configures a Client.
type Settings struct {
	// Addresses are the base URLs of the gateways. They are tried in turn.
	Addresses []string
	// Timeout is the timeout of each call to one address and of opening a watch.
	// The default is 2 s.
	Timeout time.Duration
	// MaxResponse is the maximum size in bytes of a response and of a message of
	// a watch. The default is 64 MiB.
	MaxResponse int64
}

// Client implements store.Store. Its methods are safe for concurrent use.
type Client struct {
	addresses   []string
	timeout     time.Duration
	maxResponse int64
	http        *http.Client
	preferred   atomic.Int64 // index of the address of the last successful call

	ctx    context.Context // canceled by Close
	cancel context.CancelFunc

	mu      sync.Mutex
	closed  bool
	watches sync.WaitGroup // open watches; grows only while not closed
}

var _ store.Store = (*Client)(nil)

// New returns a client. It makes no call.
func New(settings Settings) (c *Client, err error) {
	defer func() { err = merry.Prepend(err, "creating the key-value client") }()
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

// Close ends the open watches, waits until they have ended, and closes idle
// connections.
func (c *Client) Close() error {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.watches.Wait()
	c.http.CloseIdleConnections()
	return nil
}

// addWatch adds a watch to watches. It reports false if the client is closed.
func (c *Client) addWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.watches.Add(1)
	return true
}

// firstIndex returns the index of the address to try first.
func (c *Client) firstIndex() int {
	return int(c.preferred.Load())
}
