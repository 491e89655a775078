// Package endpoint serves HTTP on one address, within limits for callers that nobody controls, and
// stops without cutting off a request that has begun to arrive.
//
// It does not use Shutdown or SetKeepAlivesEnabled of net/http. These close a connection after a look
// at its state, which is idle until the whole head of the next request has been read. A request that
// arrives between the two steps is cut off, although it may run. An Endpoint has each connection
// closed by the goroutine that reads it (see package guard).
//
// # Usage
//
//	e, err := endpoint.Listen(endpoint.Settings{Name: "callers", Address: address, Handler: h, ...})
//	...
//	e.Drain(ctx) // until the connections that are open have ended
//	err = e.Close(ctx)
package endpoint

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/guard"
)

const (
	// lateWait is how long connections on which no request has arrived are kept at least, however
	// long ago they were accepted, once the endpoint has stopped accepting others.
	lateWait = time.Second
	// defaultCutTimeout is the CutTimeout by default.
	defaultCutTimeout = 100 * time.Millisecond
	// pollInterval is the time between two looks for open connections during a stop.
	pollInterval = 10 * time.Millisecond
)

// Settings configures an Endpoint. Wrap, Refusal, Configured, UnusedWait, CutTimeout and the limits are
// optional.
type Settings struct {
	Name    string // in the log
	Address netip.AddrPort
	Handler http.Handler
	// Wrap returns a listener that is used instead of the endpoint's own.
	Wrap    func(net.Listener) net.Listener
	Limits  *callerlimit.Registry // of connections and of the memory of requests
	Refusal []byte                // see guard.Settings

	// ReadHeaderTimeout begins with the first byte of a head, and ReadTimeout, which is that of a body,
	// with the end of the head. IdleTimeout also bounds the time until the first request of a connection.
	ReadHeaderTimeout, ReadTimeout, IdleTimeout time.Duration
	MaxHeaderBytes                              int
	// Configured returns the limits of the configuration in force. It must not block. The limits above
	// bound them, and apply where they are zero.
	Configured func() guard.Limits

	// UnusedWait is how long a connection on which no request has arrived is kept during a stop,
	// since it was accepted. With 0 it ends at once.
	UnusedWait time.Duration
	// Stopping is the cause with which the contexts of requests are canceled that have not ended
	// when the endpoint has to be closed.
	Stopping error
	// CutTimeout bounds the time from then until their responses have been written. It should allow
	// for a VM that has little of a processor.
	CutTimeout time.Duration
	Clock      func() time.Time
	Log        hclog.Logger
}

// Endpoint is an HTTP server on one address. Its methods are safe for concurrent use, but for
// Close, which is called once.
type Endpoint struct {
	settings Settings
	listener net.Listener
	server   *http.Server
	guard    *guard.Guard
	cut      context.CancelCauseFunc // ends the contexts of all requests
	served   chan struct{}           // closed when no connection is accepted any more
	serveErr error                   // valid once served is closed
}

// Listen serves HTTP until Close is called.
func Listen(s Settings) (e *Endpoint, err error) {
	defer func() { err = merry.Prependf(err, "listening on %s", s.Address) }()
	l, err := net.Listen("tcp", s.Address.String())
	if err != nil {
		return nil, err
	}
	g := guard.New(guard.Settings{
		Registry: s.Limits, Refusal: s.Refusal, Limits: s.limits, Clock: s.Clock, OnUnanswered: guard.LogUnanswered(s.Log, s.Name),
	})
	ctx, cut := context.WithCancelCause(context.Background())
	e = &Endpoint{
		settings: s, listener: l, guard: g, cut: cut, served: make(chan struct{}),
		server: &http.Server{
			Handler:     s.limitBodies(announceEnd(s.Handler, g.Draining)),
			ConnContext: g.ConnContext,
			ConnState:   g.ConnState,
			BaseContext: func(net.Listener) context.Context { return ctx },
			// The times for the first request of a connection begin in net/http before the head does,
			// so the guard applies ReadHeaderTimeout, and limitBodies ReadTimeout.
			IdleTimeout:    s.IdleTimeout,
			MaxHeaderBytes: s.MaxHeaderBytes,
			ErrorLog:       guard.ErrorLog(s.Log, s.Name),
		},
	}
	if s.Wrap != nil {
		l = s.Wrap(l)
	}
	go func() {
		defer close(e.served)
		e.serveErr = e.server.Serve(g.Listener(l))
	}()
	return e, nil
}

// limitBodies returns a handler for whose bodies ReadTimeout applies. net/http sets another deadline once
// the body has ended.
func (s Settings) limitBodies(h http.Handler) http.Handler {
	if s.ReadTimeout <= 0 {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(s.Clock().Add(s.ReadTimeout)) // supported by net/http
		}
		h.ServeHTTP(w, r)
	})
}

// limits returns the limits in force. net/http permits heads of 4 KiB above MaxHeaderBytes.
func (s Settings) limits() (l guard.Limits) {
	if s.Configured != nil {
		l = s.Configured()
	}
	l.HeadTimeout = lowerLimit(l.HeadTimeout, s.ReadHeaderTimeout)
	l.IdleTimeout = lowerLimit(l.IdleTimeout, s.IdleTimeout)
	return l
}

// lowerLimit returns the lower one of two limits, of which 0 means none.
func lowerLimit(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Address returns the address in use. Port 0 is replaced by the port that was chosen.
func (e *Endpoint) Address() netip.AddrPort {
	return e.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Drain has each connection end once it is idle, and waits until those that are open have ended or
// ctx ends. Further connections are still accepted, for a request each, so that their callers get a
// response.
func (e *Endpoint) Drain(ctx context.Context) {
	e.guard.Drain(time.Time{})
	e.awaitConnections(ctx, e.settings.Clock())
}

// StopAccepting accepts no further connections and has those that are open end once they are idle.
// Requests that arrive on connections that have not been used yet are still served.
func (e *Endpoint) StopAccepting() (err error) {
	err = unlessClosed(e.listener.Close())
	e.guard.Drain(time.Time{})
	return err
}

// Close stops accepting, and waits until all connections have ended. The contexts of requests that
// have not ended when ctx ends are canceled with the cause Stopping, so that their callers get a
// response. What has not ended after CutTimeout is cut off.
func (e *Endpoint) Close(ctx context.Context) (err error) {
	err = e.StopAccepting()
	if !e.awaitEnd(ctx) {
		e.cut(e.settings.Stopping)
		e.guard.Drain(e.settings.Clock())
		last, done := context.WithTimeout(context.Background(), cmp.Or(e.settings.CutTimeout, defaultCutTimeout))
		defer done()
		e.awaitEnd(last)
	}
	return errors.Join(err, e.Kill())
}

// Kill closes all connections at once, as if the process had died. It may be called several times.
func (e *Endpoint) Kill() (err error) {
	err = e.server.Close()
	e.cut(e.settings.Stopping)
	<-e.served
	return errors.Join(unlessClosed(err), unlessClosed(e.serveErr))
}

// unlessClosed returns err, or nil if it only says that the listener or the server is closed.
func unlessClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// awaitEnd waits until no connection is being accepted any more and none is open. It reports false if
// ctx ends before.
func (e *Endpoint) awaitEnd(ctx context.Context) bool {
	select {
	case <-e.served: // from now on the guard knows all connections
		return e.awaitConnections(ctx, e.settings.Clock())
	case <-ctx.Done():
		return false
	}
}

// awaitConnections waits until no connection is open that was accepted until the given time and
// reports true, or false if ctx ends before.
func (e *Endpoint) awaitConnections(ctx context.Context, until time.Time) bool {
	began := e.settings.Clock()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for e.guard.Connections(until) > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return false
		}
		if now := e.settings.Clock(); now.Sub(began) >= min(lateWait, e.settings.UnusedWait) {
			e.guard.Drain(now.Add(-e.settings.UnusedWait))
		}
	}
	return true
}
