package engine

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// conn is a connection that can go silent for good or be reset.
type conn struct {
	net.Conn
	listener *listener
	muted    atomic.Bool
}

// Read reads from the connection, or drops what comes in once it is muted.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muted.Load() {
			return n, err
		}
	}
}

// Write writes to the connection, or drops b once it is muted.
func (c *conn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// ReadFrom copies from r by way of Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// reset closes the connection without the usual end.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// connOf returns the connection of a request.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// listener keeps the connections that it has accepted.
type listener struct {
	net.Listener
	silent func() bool // whether a new connection is muted at once

	mu   sync.Mutex
	open map[*conn]struct{}
}

func newListener(l net.Listener, silent func() bool) *listener {
	return &listener{Listener: l, silent: silent, open: make(map[*conn]struct{})}
}

// Accept accepts a connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l}
	c.muted.Store(l.silent())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *listener) all() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*conn, 0, len(l.open))
	for c := range l.open {
		all = append(all, c)
	}
	return all
}

func (l *listener) mute() {
	for _, c := range l.all() {
		c.muted.Store(true)
	}
}

func (l *listener) reset() {
	for _, c := range l.all() {
		c.reset()
	}
}
