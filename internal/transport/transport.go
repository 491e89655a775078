// Package transport sends HTTP calls to one upstream and knows exactly whether
// any byte of a call was sent.
//
// Net/http repeats some calls by itself when a pooled connection turns out to
// be dead. A Transport permits that only as long as no byte of the call was
// written. A call sent on a fresh connection is sent at most once.
//
// # Usage
//
//	t := transport.New(transport.Settings{ConnectTimeout: time.Second})
//	defer t.Close()
//	response, sent, err := t.Do(request, transport.Fresh)
//	if err != nil && !sent {
//		// the upstream has seen nothing of the call
//	}
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// ErrClosed reports a call of a closed transport.
var ErrClosed = errors.New("transport closed")

// Limits of the connections to one upstream.
const (
	maxIdleConnections = 64
	maxHeaderSize      = 64 << 10 // bytes
)

// Mode tells which connection a call uses.
type Mode int

// Modes of calls.
const (
	// Fresh dials a new connection and closes it after the call.
	Fresh Mode = iota
	// Pooled uses an idle connection if there is one.
	Pooled
)

// Settings of a Transport.
type Settings struct {
	ConnectTimeout time.Duration
	// IdleLimit is how long a connection may be idle before it is closed.
	IdleLimit time.Duration
}

// Transport holds the connections to one upstream. Its methods are safe for
// concurrent use.
type Transport struct {
	dialer        net.Dialer
	pooled, fresh *http.Transport

	mu     sync.Mutex
	open   map[*conn]struct{}
	closed bool
}

// New returns a transport without connections.
func New(s Settings) *Transport {
	t := &Transport{
		dialer: net.Dialer{Timeout: s.ConnectTimeout},
		open:   make(map[*conn]struct{}),
	}
	t.pooled = t.base(s)
	t.fresh = t.base(s)
	t.fresh.DisableKeepAlives = true
	return t
}

func (t *Transport) base(s Settings) *http.Transport {
	return &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        s.IdleLimit,
		MaxResponseHeaderBytes: maxHeaderSize,
	}
}

// Do sends the request. After an error, sent reports whether any byte of the
// request was given to a connection; if not, none will be. A call that finds
// its pooled connection dead before its first byte is sent on a fresh one. The
// caller closes the response's body.
func (t *Transport) Do(request *http.Request, mode Mode) (response *http.Response, sent bool, err error) {
	if mode == Fresh {
		response, a, err := once(t.fresh, request)
		return response, a.sent, err
	}
	response, a, err := once(t.pooled, request)
	if err == nil || a.sent || !a.reused || request.Context().Err() != nil {
		return response, a.sent, err
	}
	again, bodyErr := rewind(request)
	if bodyErr != nil {
		return nil, false, err
	}
	response, a, err = once(t.fresh, again)
	return response, a.sent, err
}

// once sends the request and returns what became of it.
func once(via *http.Transport, request *http.Request) (*http.Response, *attempt, error) {
	a := new(attempt)
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.GetBody = nil
	response, err := via.RoundTrip(request)
	if err != nil {
		a.end()
		return nil, a, err
	}
	a.sent = true
	return response, a, nil
}

// rewind returns the request with its body at the beginning.
func rewind(request *http.Request) (*http.Request, error) {
	if request.GetBody == nil {
		return request, nil
	}
	body, err := request.GetBody()
	if err != nil {
		return nil, err
	}
	again := request.WithContext(request.Context())
	again.Body = body
	return again, nil
}

// DropIdle closes all idle connections.
func (t *Transport) DropIdle() {
	t.pooled.CloseIdleConnections()
}

// Connections returns the number of open connections.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Close closes all connections, also those in use.
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
	raw, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, owner: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = raw.Close()
		return nil, ErrClosed
	}
	t.open[c] = struct{}{}
	return c, nil
}

func (t *Transport) forget(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}
