package transport

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errSealed is returned by writes after the call was abandoned.
var errSealed = errors.New("write after the call was abandoned")

// States of a connection for the call that currently uses it.
const (
	unwritten int32 = iota // the call has written nothing
	written                // the call has written at least once
	sealed                 // the call left the connection without writing; writes fail
)

// conn is a connection that records whether a call has written to it.
type conn struct {
	net.Conn
	transport *Transport
	state     atomic.Int32
}

// Write writes unless the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(unwritten, written) && c.state.Load() == sealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from its transport.
func (c *conn) Close() error {
	c.transport.remove(c)
	return c.Conn.Close()
}

// reset prepares a written connection for the next call.
func (c *conn) reset() {
	c.state.CompareAndSwap(written, unwritten)
}

// seal prevents later writes if the call has not written yet. It reports whether the
// call has written.
func (c *conn) seal() bool {
	return !c.state.CompareAndSwap(unwritten, sealed) && c.state.Load() == written
}

// callTrace tracks the connections that one call uses.
type callTrace struct {
	mu      sync.Mutex
	current *conn
	last    *conn // connection that was used last
	sent    bool  // whether any byte was sent
	reused  bool  // whether a pooled connection was used
}

// gotConn records the connection on which net/http sends the call from now on. It seals
// the previous one, so that the call is not written to both. A connection of another
// type cannot be sealed, and the call counts as sent.
func (t *callTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealCurrent()
	t.reused = t.reused || info.Reused
	c, ok := info.Conn.(*conn)
	if !ok {
		t.sent = true
		return
	}
	c.reset()
	t.current, t.last = c, c
}

// sealCurrent seals the current connection.
func (t *callTrace) sealCurrent() {
	if t.current == nil {
		return
	}
	if t.current.seal() {
		t.sent = true
	}
	t.current = nil
}

// finish seals the call's last connection.
func (t *callTrace) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealCurrent()
}
