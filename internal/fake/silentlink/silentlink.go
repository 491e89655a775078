// Package silentlink provides a listener whose open connections can go silent without a
// reset while new ones work, for tests of clients that keep connections open.
//
// # Usage
//
//	server := httptest.NewUnstartedServer(handler)
//	link := silentlink.New(server.Listener)
//	server.Listener = link
//	server.Start()
//	...
//	link.Silence()
//
// Silent connections stay until the client closes them, so that a client is closed before the
// server.
package silentlink

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a listener whose connections can go silent. Its methods are safe for concurrent
// use.
type Listener struct {
	net.Listener
	accepted atomic.Int64

	mu   sync.Mutex
	open map[*conn]struct{}
}

// New returns a Listener that accepts the connections of l.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, open: make(map[*conn]struct{})}
}

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int64 { return l.accepted.Load() }

// Silence makes all open connections silent for good and returns their number: bytes are
// lost in both directions, and the peer does not learn that the server closes them.
func (l *Listener) Silence() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
		n++
	}
	return n
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	c := &conn{Conn: raw, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

type conn struct {
	net.Conn
	link   *Listener
	silent atomic.Bool
}

// Read discards what arrives on a silent connection.
func (c *conn) Read(b []byte) (n int, err error) {
	for {
		n, err = c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards what is sent on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection, unless it is silent.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.link.mu.Lock()
	delete(c.link.open, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
