// Package slowlink provides a listener whose connections share a link of limited
// bandwidth, for tests of what a router reads over a slow link.
//
// # Usage
//
//	server := httptest.NewUnstartedServer(handler)
//	link := slowlink.New(server.Listener, 100<<10)
//	server.Listener = link
//	server.Start()
package slowlink

import (
	"context"
	"net"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// chunkSize is the most bytes that one connection sends at a time.
const chunkSize = 4 << 10

// Listener is a listener whose connections share the bandwidth of what they send. Its
// methods are safe for concurrent use.
type Listener struct {
	net.Listener
	limiter *rate.Limiter
	sent    atomic.Int64
}

// New returns a Listener that accepts the connections of l. Together they send at most
// bytesPerSecond.
func New(l net.Listener, bytesPerSecond int) *Listener {
	return &Listener{Listener: l, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkSize)}
}

// Sent returns the number of bytes that all connections have sent.
func (l *Listener) Sent() int64 { return l.sent.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, link: l}, nil
}

type conn struct {
	net.Conn
	link *Listener
}

// Write sends b at the bandwidth that the link has left.
func (c *conn) Write(b []byte) (written int, err error) {
	for len(b) > 0 {
		chunk := b[:min(len(b), chunkSize)]
		if err := c.link.limiter.WaitN(context.Background(), len(chunk)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		c.link.sent.Add(int64(n))
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}
