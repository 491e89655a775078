// Package exchange is an HTTP/1.1 client for upstreams with a pool of
// connections.
//
// A connection carries one exchange at a time. It is reused only if the response
// was read to its end and no bytes followed it, so that excess bytes are never
// taken for the response to the next request. An error reports whether any part
// of the request may have been sent. The package never retries a request.
//
// An open connection may go silent for good without a reset, and the other idle ones to the
// upstream with it. While a call waits for longer than usual on a reused connection, only
// connections that have carried a response since are reused. If it gets none, the others are
// closed.
//
// # Usage
//
//	p := exchange.NewPool(exchange.Settings{ConnectTimeout: time.Second, IdleLimit: 4 * time.Second, Clock: time.Now})
//	defer p.Close()
//	response, err := p.Do(ctx, call)
//	var failure *exchange.Failure
//	if errors.As(err, &failure) && !failure.Sent {
//		// the upstream received no part of the request
//	}
//	defer response.Close()
package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// maxIdle is the maximum number of idle connections to one upstream.
	maxIdle = 16
	// idleMargin is how long before the idle timeout that the upstream announces
	// the pool stops reusing a connection.
	idleMargin = 500 * time.Millisecond
	// sendTimeout is how long Close waits for the rest of the request to be sent
	// if the response arrived earlier.
	sendTimeout = 50 * time.Millisecond
	// uploadEndTimeout is how long the end of a response without a length waits for the rest of
	// the request to be sent, before it counts as incomplete.
	uploadEndTimeout = 500 * time.Millisecond
	// bufferSize is the size of a connection's read buffer in bytes.
	bufferSize = 4 << 10
	// maxHeaderBytes is the maximum number of bytes that are read for the status
	// line and headers of a response, including preceding interim responses.
	maxHeaderBytes = 64 << 10
	// maxStatus is above all statuses of responses.
	maxStatus = 600
)

// ErrStatus reports a response with a status outside of 200 to 599, which is none.
var ErrStatus = errors.New("status out of range")

// errUploadFailed reports a body without a length to a request that was not sent completely.
var errUploadFailed = errors.New("connection ended before the request was sent")

// errUploadBlocked reports a request that is still being sent after uploadEndTimeout.
var errUploadBlocked = errors.New("upstream does not read the request")

// errHeaderTooLarge reports a response whose headers exceed maxHeaderBytes.
var errHeaderTooLarge = errors.New("response headers too large")

// Settings configures a Pool.
type Settings struct {
	// ConnectTimeout bounds the time to open a connection. Zero means no limit.
	ConnectTimeout time.Duration
	// IdleLimit is how long a connection may be idle if the upstream does not
	// announce an idle timeout. If it is zero, such connections are not reused.
	IdleLimit time.Duration
	// OnReceive is called with the number of bytes of each read from an upstream. It is optional.
	OnReceive func(n int)
	Clock     func() time.Time
}

// Call is one request to one upstream.
type Call struct {
	Address netip.AddrPort
	// Owner identifies the process that listens on the address. Connections to
	// a different owner of the same address are not reused.
	Owner  string
	Method string
	URI    string // as in the request line
	Host   string
	Header http.Header // without hop-by-hop headers and Content-Length
	Body   [][]byte    // in pieces, which are not changed
	// NewConnection disables the reuse of an idle connection.
	NewConnection bool
}

// Failure is the error of a call that received no response.
type Failure struct {
	// Sent reports that the upstream may have received a part of the request.
	Sent bool
	// Reused reports that the connection had already carried an exchange.
	Reused bool
	cause  error
}

// Error returns a description of the failure.
func (f *Failure) Error() string { return "no response: " + f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Pool holds idle connections to upstreams. Its methods are safe for concurrent
// use.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	mu      sync.Mutex
	idle    map[netip.AddrPort][]*conn
	waiting map[netip.AddrPort]map[*conn]time.Time // start of the calls that wait on reused connections
	present map[Process]bool                       // set by Retain; nil before
	closed  bool
}

// NewPool returns an empty Pool.
func NewPool(s Settings) *Pool {
	return &Pool{
		settings: s,
		dialer:   net.Dialer{Timeout: s.ConnectTimeout},
		idle:     make(map[netip.AddrPort][]*conn),
		waiting:  make(map[netip.AddrPort]map[*conn]time.Time),
	}
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	owner     string
	limited   *limitedConn
	reader    *bufio.Reader // reads from limited
	reused    bool
	lastUsed  time.Time // end of the last exchange
	idleUntil time.Time // end of the time in which an idle connection may be reused
}

// Do sends the request and returns the response once its headers were read. The
// connection is closed when ctx is done, even while the body is being read. The
// error is a *Failure. The caller must close the response.
func (p *Pool) Do(ctx context.Context, call Call) (r *Response, err error) {
	c, err := p.connect(ctx, call)
	if err != nil {
		return nil, &Failure{cause: merry.Prepend(err, "connecting")}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	sendDone := make(chan error, 1)
	go func() { sendDone <- c.send(call) }()
	reused := c.reused
	c.reused = true
	if reused {
		p.beginWait(call.Address, c, p.settings.Clock())
	}
	response, err := c.readHeader(call.Method)
	if reused {
		p.endWait(call.Address, c, p.settings.Clock(), err == nil, errors.Is(ctx.Err(), context.Canceled))
	}
	if err != nil {
		stopCancel()
		_ = c.Close()
		err = errors.Join(err, <-sendDone)
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &Failure{Sent: true, Reused: reused, cause: err}
	}
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,

		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		Reused:             reused,

		body:       response.Body,
		closeAfter: response.Close,
		pool:       p, conn: c, address: call.Address, sendDone: sendDone, stopCancel: stopCancel, ctx: ctx,
	}, nil
}

// readHeader reads the status line and headers of the response, and skips interim
// responses.
func (c *conn) readHeader(method string) (response *http.Response, err error) {
	c.limited.remaining = maxHeaderBytes
	defer func() { c.limited.remaining = unlimited }()
	for {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode/100 == 1:
			continue
		case response.StatusCode < http.StatusOK || response.StatusCode >= maxStatus:
			return nil, merry.Prependf(ErrStatus, "status %03d", response.StatusCode)
		}
		return response, nil
	}
}

// limitedConn limits the number of bytes that can be read from a connection.
type limitedConn struct {
	net.Conn
	remaining int         // bytes, or unlimited
	onReceive func(n int) // may be nil
}

// unlimited is the value of limitedConn.remaining that disables the limit.
const unlimited = -1

// Read implements io.Reader. It returns errHeaderTooLarge after the limit is reached.
func (c *limitedConn) Read(b []byte) (n int, err error) {
	if c.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if c.remaining > 0 && len(b) > c.remaining {
		b = b[:c.remaining]
	}
	n, err = c.Conn.Read(b)
	if c.onReceive != nil {
		c.onReceive(n)
	}
	if c.remaining > 0 {
		c.remaining -= n
	}
	return n, err
}

// send writes the request.
func (c *conn) send(call Call) error {
	var header strings.Builder
	header.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if err := call.Header.Write(&header); err != nil {
		return err
	}
	length := 0
	for _, piece := range call.Body {
		length += len(piece)
	}
	if length > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		header.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	header.WriteString("\r\n")
	buffers := append(net.Buffers{[]byte(header.String())}, call.Body...)
	_, err := buffers.WriteTo(c.Conn)
	return err
}

// connect returns an idle connection to the call's owner, or opens a new one.
func (p *Pool) connect(ctx context.Context, call Call) (*conn, error) {
	if !call.NewConnection {
		if c := p.takeIdle(call, p.settings.Clock()); c != nil {
			return c, nil
		}
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", call.Address.String())
	if err != nil {
		return nil, err
	}
	limited := &limitedConn{Conn: raw, remaining: unlimited, onReceive: p.settings.OnReceive}
	return &conn{Conn: raw, owner: call.Owner, limited: limited, reader: bufio.NewReaderSize(limited, bufferSize)}, nil
}

// takeIdle removes a usable idle connection from the pool and returns it, or returns
// nil if there is none. It closes unusable connections that it comes across.
func (p *Pool) takeIdle(call Call, now time.Time) *conn {
	for {
		c := p.popIdle(call.Address)
		if c == nil {
			return nil
		}
		if c.owner == call.Owner && now.Before(c.idleUntil) && !p.suspect(call.Address, c, now) && openAndEmpty(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes the most recently used idle connection to an address and returns it,
// or returns nil if there is none.
func (p *Pool) popIdle(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.setIdle(address, list[:len(list)-1])
	return c
}

// putIdle adds a connection to the pool, where it may be idle for at most limit. It
// closes the connection if the pool is closed or full, if limit is not positive, or if Retain
// was called without its process.
func (p *Pool) putIdle(c *conn, address netip.AddrPort, limit time.Duration) {
	c.lastUsed = p.settings.Clock()
	c.idleUntil = c.lastUsed.Add(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	gone := p.present != nil && !p.present[Process{address, c.owner}]
	if p.closed || gone || limit <= 0 || len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// idleLimit returns how long a connection may be idle after a response with the
// headers h: the timeout in its Keep-Alive header less idleMargin, or
// Settings.IdleLimit if it has none.
func (p *Pool) idleLimit(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return p.settings.IdleLimit
}
