// Package guard bounds what the connections and requests of untrusted callers take of a router's
// memory and descriptors.
//
// It counts the bytes and the lines of each head before net/http builds a map from them, and
// refuses a request for which there is no memory: with status 503 and a Retry-After, after which
// it closes the connection. Handlers reserve the memory for bodies before they read them. What is
// given up for newcomers is decided by package callerlimit.
//
// # Usage
//
//	g := guard.New(guard.Settings{Registry: callerlimit.New(limits), Clock: time.Now})
//	server := &http.Server{Handler: h, ConnContext: g.ConnContext, ConnState: g.ConnState}
//	server.Serve(g.Listener(l))
//
// In a handler:
//
//	body, err := guard.ReadBody(r, maxBytes)
//	if errors.Is(err, guard.ErrNoMemory) {
//		// refuse the request
//	}
package guard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/requestframe"
)

const (
	// lineBytes is the memory that a line of a head takes at most beside its bytes while the
	// request is forwarded: an entry in three maps and its strings.
	lineBytes = 320
	// byteFactor is the memory for each byte of a head. A list in a header takes most, as an
	// entry of four bytes becomes a part of a prompt and an identifier.
	byteFactor = 16
	// chunkedBytes is the memory that the trailers of a body without a length may take.
	// net/http bounds them to 4 KiB.
	chunkedBytes = 4 << 10 * byteFactor
	// refusalTimeout bounds the time to write a refusal, which fits into the socket's buffer. A VM with
	// little of a processor may not run for 100 ms, and nothing is written after the deadline.
	refusalTimeout = time.Second
)

// LargestOverhead returns the memory that a request takes at most beside its body if its head has the
// given size and lines of at least four bytes, the line break included.
func LargestOverhead(headSize int) int64 {
	return int64(headSize)*byteFactor + int64(headSize)/4*lineBytes + chunkedBytes + pieceBytes
}

// Settings configures a Guard. Registry and Clock are required.
type Settings struct {
	Registry *callerlimit.Registry
	// Refusal is the body, in JSON, of the refusal of a request whose head has no memory. It is
	// that of Refuse by default.
	Refusal []byte
	// OnUnanswered is called when a connection has ended after the head of a request arrived, with
	// no byte of a response written and although the caller had not closed it. It is optional.
	OnUnanswered func(Unanswered)
	// Limits returns the limits in force for heads and idle connections. It must not block. It is
	// optional; by default those of http.Server apply.
	Limits func() Limits
	Clock  func() time.Time
}

// Unanswered describes a request that got no response.
type Unanswered struct {
	Caller net.Addr
	Since  time.Duration // since the head arrived
	// GivenUp reports that the connection was closed to make room for others.
	GivenUp bool
}

// Guard watches the connections of one endpoint. Its methods are safe for concurrent use.
type Guard struct {
	settings Settings

	mu          sync.Mutex
	connections map[*conn]struct{}
	draining    bool
}

// New returns a Guard.
func New(s Settings) *Guard {
	return &Guard{settings: s, connections: make(map[*conn]struct{})}
}

// Connections returns the number of open connections that were accepted until the given time.
func (g *Guard) Connections(until time.Time) (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.connections {
		if !c.accepted.After(until) {
			n++
		}
	}
	return n
}

// Drain ends connections that wait for a request, and from then on each that has been used once it
// is idle. Connections on which no request has arrived yet are kept if they were accepted after the
// given time.
//
// A connection ends by the deadline of its reader, so that a request of which a part has been read
// is served. net/http instead closes connections whose state is idle, which lasts until the whole
// head has been read, and cuts off what has arrived meanwhile.
func (g *Guard) Drain(unusedSince time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for c := range g.connections {
		c.drain(unusedSince)
	}
}

func (g *Guard) add(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections[c] = struct{}{}
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.connections, c)
}

// Draining reports whether connections end once they are idle.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Listener returns a listener that accepts the connections of l within the limits. Others are
// closed.
func (g *Guard) Listener(l net.Listener) net.Listener { return listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := l.guard.settings.Clock()
		c := &conn{Conn: inner, guard: l.guard, accepted: now}
		entry, ok := l.guard.settings.Registry.Open(now, c.giveUp)
		if !ok {
			_ = inner.Close()
			continue
		}
		c.entry = entry
		l.guard.add(c)
		c.beginIdle(now)
		return c, nil
	}
}

type contextKey struct{}

// ConnContext is for the field of the same name of http.Server.
func (g *Guard) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// ConnState is for the field of the same name of http.Server.
func (g *Guard) ConnState(c net.Conn, state http.ConnState) {
	guarded, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		guarded.endRequest(g.settings.Clock())
	case http.StateClosed:
		g.remove(guarded)
		guarded.entry.Close()
		guarded.reportUnanswered(g.settings.Clock())
	case http.StateHijacked:
		g.remove(guarded)
		guarded.entry.Close()
	}
}

// conn is a connection whose reads are counted. net/http does not read from it concurrently.
type conn struct {
	net.Conn
	guard   *Guard
	entry   *callerlimit.Connection
	scanner requestframe.Scanner
	pending []byte // received, but part of what follows the last read
	refused bool   // a response has been written to a head that was not passed on
	busy    bool   // a request has arrived, and its response has not been completed
	head    int64  // reserved for the unfinished head of the next request
	owed    int64  // to be reserved for it once the connection is no longer busy

	headEnd      time.Time    // of the request
	written      atomic.Int64 // bytes written since then
	callerClosed atomic.Bool  // a read has failed
	accepted     time.Time

	mu      sync.Mutex
	used    bool // a request has begun to arrive
	inUse   bool // bytes of a request have been read since the connection was idle
	whole   bool // all of that request has been read
	givenUp bool // to make room for others
	closed  bool
	timing
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// reportUnanswered reports a request that is in progress and has got no byte of a response. The
// server must have closed the connection.
func (c *conn) reportUnanswered(now time.Time) {
	report := c.guard.settings.OnUnanswered
	if report == nil || !c.busy || c.written.Load() > 0 || c.callerClosed.Load() {
		return
	}
	c.mu.Lock()
	givenUp := c.givenUp
	c.mu.Unlock()
	report(Unanswered{Caller: c.RemoteAddr(), Since: now.Sub(c.headEnd), GivenUp: givenUp})
}

// advance has the scanner follow bytes that were read at the given time. It reports false if the
// connection has been closed since they were read. They must not be passed on then, because there can
// be no response.
func (c *conn) advance(now time.Time, b []byte) (part requestframe.Part, taken int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	part = c.scanner.Part()
	taken = c.scanner.Advance(b)
	switch {
	case part == requestframe.Body || c.scanner.Started() || c.scanner.Complete():
		c.used, c.inUse = true, true
	case !c.busy: // only empty lines have arrived
		c.inUse = false
	}
	if !c.busy || part == requestframe.Body {
		c.whole = c.scanner.Part() == requestframe.Head && (part == requestframe.Body || c.scanner.Complete())
	}
	c.followHead(now)
	return part, taken, !c.closed
}

// Read implements net.Conn. It returns bytes of one head or of one body, never of both, so that
// the server does not buffer a head before it is counted.
func (c *conn) Read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return c.Conn.Read(b)
	}
	if c.refused { // net/http reads again after the part of a line
		return 0, io.EOF
	}
	b = b[:c.scanner.Limit(len(b))]
	if len(c.pending) > 0 {
		n = copy(b, c.pending)
		c.pending = c.pending[n:]
	} else if n, err = c.receive(b); n == 0 {
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
			c.callerClosed.Store(true)
		}
		return n, err
	}
	now := c.guard.settings.Clock()
	started := c.scanner.Started()
	part, taken, ok := c.advance(now, b[:n])
	if !ok {
		return 0, net.ErrClosed
	}
	if taken < n {
		c.pending = append(append([]byte(nil), b[taken:n]...), c.pending...)
	}
	if len(c.pending) == 0 {
		c.pending = nil
	}
	if part == requestframe.Body {
		c.entry.Progress(now, taken)
		if c.scanner.Part() == requestframe.Head {
			c.entry.Enter(now, callerlimit.Running)
		}
		return taken, err
	}
	if c.headIsTooLarge() {
		c.refuse(now, http.StatusRequestHeaderFieldsTooLarge, "", headTooLargeBody)
		return 0, io.EOF
	}
	if !c.countHead(now, b[:taken], started) {
		c.refuseMemory(now)
		return 0, io.EOF
	}
	return taken, err
}

// countHead reserves memory for bytes of a head and reports whether there was enough. It must be
// called after the scanner has advanced over them.
func (c *conn) countHead(now time.Time, b []byte, started bool) bool {
	cost := int64(len(b))*byteFactor + int64(bytes.Count(b, []byte{'\n'}))*lineBytes
	if c.busy { // net/http reads one byte ahead, to learn when the caller leaves
		c.owed += cost
		return true
	}
	cost, c.owed = cost+c.owed, 0
	if !started {
		c.entry.Enter(now, callerlimit.Receiving)
	}
	if !c.entry.Reserve(now, cost) {
		return false
	}
	c.head += cost
	switch {
	case !c.scanner.Complete():
	case c.scanner.Part() == requestframe.Body:
		c.beginRequest(now, callerlimit.Uploading)
	default:
		c.beginRequest(now, callerlimit.Running)
	}
	return true
}

// beginRequest records that the head of a request has ended.
func (c *conn) beginRequest(now time.Time, p callerlimit.Phase) {
	c.entry.Enter(now, p)
	c.busy, c.head = true, 0
	c.headEnd = now
	c.written.Store(0)
}

// endRequest releases the memory of the request that has ended.
func (c *conn) endRequest(now time.Time) {
	c.busy = false
	c.becomeIdle(now)
	c.entry.Release(c.head)
	if c.owed > 0 {
		c.entry.Enter(now, callerlimit.Receiving)
	} else {
		c.entry.Enter(now, callerlimit.Waiting)
	}
}
