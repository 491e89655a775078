package engine

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// connKey is the context key for the connection of a request.
type connKey struct{}

// conn is a connection that can be silenced or reset. A silent connection stays
// open but discards all input and output.
type conn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
}

// Read reads from the connection. While the connection is silent, it discards
// the input and keeps reading until an error.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. If the connection is silent, it discards b
// and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// ReadFrom copies from r through Write, so that a silent connection discards
// the data.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close closes the connection and removes it from its listener.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP RST instead of a FIN.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// connFromContext returns the connection of a request, or nil.
func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// listener tracks the open connections it has accepted.
type listener struct {
	net.Listener
	silentOnAccept func() bool // whether a new connection starts out silent

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(l net.Listener, silentOnAccept func() bool) *listener {
	return &listener{Listener: l, silentOnAccept: silentOnAccept, conns: make(map[*conn]struct{})}
}

// Accept accepts a connection and tracks it.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l}
	c.silent.Store(l.silentOnAccept())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

func (l *listener) silenceAll() {
	for _, c := range l.connections() {
		c.silent.Store(true)
	}
}

func (l *listener) resetAll() {
	for _, c := range l.connections() {
		c.reset()
	}
}
