// Package transport sends HTTP calls to one upstream and reports reliably whether
// any byte of a call was sent.
//
// An open connection may go silent for good without a reset. After a call without a response
// the other idle connections are closed, so that the next call opens a new one.
//
// Package net/http repeats some calls on its own when a pooled connection turns out
// to be closed. A Transport permits that only while no byte of the call has been
// written. A call on a fresh connection is sent at most once.
//
// # Usage
//
//	t := transport.New(transport.Settings{ConnectTimeout: time.Second})
//	defer t.Close()
//	response, sent, err := t.Do(request, transport.Fresh)
//	if err != nil && !sent {
//		// the upstream has not received any byte of the call
//	}
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// ErrClosed is returned by calls of a closed Transport.
var ErrClosed = errors.New("transport closed")

// ErrStale is wrapped by the error of a call that got no response, or only a part of one, on a
// connection that had worked before, or on a new one while others were open. The connections
// may have been lost without notice, so the error says nothing about the upstream. It does not
// report calls that the caller canceled.
var ErrStale = errors.New("open connection does not respond")

// ErrStatus reports a response with a status outside of 200 to 599, which is none.
var ErrStatus = errors.New("status out of range")

// errUploadFailed reports a body without a length to a request that was not sent completely.
var errUploadFailed = errors.New("connection ended before the request was sent")

// Limits of the connections to one upstream.
const (
	maxIdleConnections = 64
	maxHeaderSize      = 64 << 10 // bytes
	maxStatus          = 600      // above all statuses of responses
)

// Mode selects the connection that a call uses.
type Mode int

// Modes of calls.
const (
	// Fresh dials a new connection and closes it after the call.
	Fresh Mode = iota
	// Pooled uses an idle connection if there is one.
	Pooled
)

// DialFunc opens a connection, as net.Dialer.DialContext does. If it is nil, the latter is used.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Within returns a function that opens connections with dial and gives up after the timeout, unless
// that is zero. The context alone does not bound it in net/http, which goes on to dial after the
// request has been canceled.
func (dial DialFunc) Within(timeout time.Duration) DialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	if timeout == 0 {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Settings configures a Transport.
type Settings struct {
	// Dial opens connections. It may be nil.
	Dial DialFunc
	// ConnectTimeout bounds the time to open a connection. Zero means no limit.
	ConnectTimeout time.Duration
	// IdleLimit is how long a connection may be idle before it is closed.
	IdleLimit time.Duration
}

// Transport holds the connections to one upstream. Its methods are safe for
// concurrent use.
type Transport struct {
	dialRaw       DialFunc
	pooled, fresh *http.Transport

	mu     sync.Mutex
	open   map[*conn]struct{}
	closed bool
}

// New returns a Transport without connections.
func New(s Settings) *Transport {
	t := &Transport{dialRaw: s.Dial.Within(s.ConnectTimeout), open: make(map[*conn]struct{})}
	t.pooled = t.newHTTPTransport(s)
	t.fresh = t.newHTTPTransport(s)
	t.fresh.DisableKeepAlives = true
	return t
}

func (t *Transport) newHTTPTransport(s Settings) *http.Transport {
	return &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        s.IdleLimit,
		MaxResponseHeaderBytes: maxHeaderSize,
	}
}

// Do sends the request. After an error, sent reports whether any byte of the request
// was written to a connection; if not, none will be. If a pooled connection fails
// before the first byte, the call is sent on a fresh one. The caller must close the
// response's body.
func (t *Transport) Do(request *http.Request, mode Mode) (response *http.Response, sent bool, err error) {
	if mode == Fresh {
		response, trace, err := roundTrip(t.fresh, request)
		return response, trace.sent, err
	}
	response, trace, err := roundTrip(t.pooled, request)
	switch {
	case err == nil:
		response.Body = &body{ReadCloser: response.Body, transport: t, ctx: request.Context()}
		return response, true, nil
	case errors.Is(err, ErrStatus):
		return nil, true, err
	case trace.sent && (trace.reused || t.hasOthers(trace.last)):
		return nil, true, t.recordFailure(request.Context(), err)
	case trace.sent || !trace.reused || request.Context().Err() != nil:
		return nil, trace.sent, err
	}
	retry, bodyErr := withNewBody(request)
	if bodyErr != nil {
		return nil, false, err
	}
	response, trace, err = roundTrip(t.fresh, retry)
	return response, trace.sent, err
}

// roundTrip sends the request once and returns the response and the trace of the
// call.
func roundTrip(via *http.Transport, request *http.Request) (*http.Response, *callTrace, error) {
	trace := new(callTrace)
	wrote := make(chan error, 1) // the result of writing the request
	clientTrace := &httptrace.ClientTrace{GotConn: trace.gotConn, WroteRequest: func(info httptrace.WroteRequestInfo) {
		select {
		case wrote <- info.Err:
		default: // net/http reports one request several times if it sends it again
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), clientTrace))
	request.GetBody = nil
	response, err := via.RoundTrip(request)
	if err != nil {
		trace.finish()
		return nil, trace, err
	}
	trace.sent = true
	if response.StatusCode < http.StatusOK || response.StatusCode >= maxStatus {
		_ = response.Body.Close()
		return nil, trace, fmt.Errorf("%w: %03d", ErrStatus, response.StatusCode)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &unframedBody{ReadCloser: response.Body, ctx: request.Context(), wrote: wrote}
	}
	return response, trace, nil
}

// unframedBody is the body of a response that has neither a length nor chunks, and ends with the
// connection. A write that fails consumes the error of a connection that was reset, and the end
// of the body then looks like that of a complete one. It is complete only if the request was
// written.
type unframedBody struct {
	io.ReadCloser
	ctx   context.Context
	wrote chan error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	select {
	case writeErr := <-b.wrote:
		b.wrote <- writeErr // for the next call
		if err := b.ctx.Err(); err != nil {
			return n, err
		}
		if writeErr != nil {
			return n, fmt.Errorf("%w: %w", errUploadFailed, writeErr)
		}
		return n, io.EOF
	case <-b.ctx.Done():
		return n, b.ctx.Err()
	}
}

// recordFailure handles the error err of a call without a response on a connection that may
// have been lost: it closes the idle connections and wraps ErrStale, unless the caller canceled
// the call.
func (t *Transport) recordFailure(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return err
	}
	t.DropIdle()
	return fmt.Errorf("%w: %w", ErrStale, err)
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	transport *Transport
	ctx       context.Context // of the call
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.transport.recordFailure(b.ctx, err)
	}
	return n, err
}

// withNewBody returns the request with its body at the beginning. A request without
// GetBody is returned unchanged.
func withNewBody(request *http.Request) (*http.Request, error) {
	if request.GetBody == nil {
		return request, nil
	}
	body, err := request.GetBody()
	if err != nil {
		return nil, err
	}
	rewound := request.WithContext(request.Context())
	rewound.Body = body
	return rewound, nil
}

// DropIdle closes all idle connections.
func (t *Transport) DropIdle() {
	t.pooled.CloseIdleConnections()
}

// hasOthers reports whether connections other than c are open. If all are lost at once, c has
// been lost with them although it was new.
func (t *Transport) hasOthers(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other := range t.open {
		if other != c {
			return true
		}
	}
	return false
}

// Connections returns the number of open connections.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Close closes all connections, including those in use.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	open := make([]*conn, 0, len(t.open))
	for c := range t.open {
		open = append(open, c)
	}
	t.mu.Unlock()
	t.pooled.CloseIdleConnections()
	for _, c := range open {
		_ = c.Close()
	}
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := t.dialRaw(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, transport: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = raw.Close()
		return nil, ErrClosed
	}
	t.open[c] = struct{}{}
	return c, nil
}

func (t *Transport) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}
