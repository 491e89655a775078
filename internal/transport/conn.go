package transport

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errSealed reports a write after the call was given up.
var errSealed = errors.New("call given up")

// States of a connection with respect to the call that uses it.
const (
	unwritten int32 = iota
	written
	sealed
)

// conn is a connection that knows whether a call has written to it.
type conn struct {
	net.Conn
	owner *Transport
	state atomic.Int32
}

// Write writes unless the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(unwritten, written) && c.state.Load() == sealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.owner.forget(c)
	return c.Conn.Close()
}

// begin prepares the connection for a new call.
func (c *conn) begin() {
	c.state.CompareAndSwap(written, unwritten)
}

// seal keeps an unwritten connection from being written to. It reports whether
// the call has written to it before.
func (c *conn) seal() bool {
	return !c.state.CompareAndSwap(unwritten, sealed) && c.state.Load() == written
}

// attempt follows the connections that one call is given.
type attempt struct {
	mu      sync.Mutex
	current *conn
	sent    bool // whether any byte was sent
	reused  bool // whether a pooled connection was used
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave()
	a.reused = a.reused || info.Reused
	c, ok := info.Conn.(*conn)
	if !ok {
		a.sent = true
		return
	}
	c.begin()
	a.current = c
}

// leave seals the current connection.
func (a *attempt) leave() {
	if a.current == nil {
		return
	}
	if a.current.seal() {
		a.sent = true
	}
	a.current = nil
}

// end seals the attempt's last connection.
func (a *attempt) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leave()
}
