package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"goji.io"
	"goji.io/pat"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/congestion"
	"example.org/lagoonfork/internal/forward"
	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/internal/ledger/recovery"
	"example.org/lagoonfork/internal/lending"
	"example.org/lagoonfork/internal/loadexchange"
	"example.org/lagoonfork/internal/mirror"
	"example.org/lagoonfork/internal/pageowner"
	"example.org/lagoonfork/internal/quarantine/inspection"
	"example.org/lagoonfork/internal/quarantine/writer"
)

// endpoint is an HTTP server on one address.
type endpoint struct {
	listener net.Listener
	server   *http.Server
	done     chan error
	cut      context.CancelCauseFunc // ends the contexts of all requests
	open     atomic.Int64            // connections
	guard    *guard.Guard
}

// endpointSettings configures an endpoint. Meter may be nil.
type endpointSettings struct {
	name    string // in the log
	address netip.AddrPort
	handler http.Handler
	meter   *congestion.Meter // measures the bytes that callers send
	limits  *callerlimit.Registry
	clock   func() time.Time
	log     hclog.Logger
}

// listen serves HTTP until close is called.
func listen(s endpointSettings) (e *endpoint, err error) {
	defer func() { err = merry.Prependf(err, "listening on %s", s.address) }()
	l, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return nil, err
	}
	if s.meter != nil {
		l = s.meter.Listener(l)
	}
	g := guard.New(guard.Settings{Registry: s.limits, Clock: s.clock, OnUnanswered: guard.LogUnanswered(s.log, s.name)})
	l = g.Listener(l)
	ctx, cut := context.WithCancelCause(context.Background())
	e = &endpoint{
		listener: l,
		cut:      cut,
		guard:    g,
		server: &http.Server{
			Handler:           s.handler,
			ConnContext:       g.ConnContext,
			BaseContext:       func(net.Listener) context.Context { return ctx },
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       serverIdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          guard.ErrorLog(s.log, s.name),
		},
		done: make(chan error, 1),
	}
	e.server.ConnState = e.observeConnection
	go func() { e.done <- e.server.Serve(l) }()
	return e, nil
}

// observeConnection counts the open connections and tells the guard of their states.
func (e *endpoint) observeConnection(c net.Conn, state http.ConnState) {
	e.guard.ConnState(c, state)
	switch state {
	case http.StateNew:
		e.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		e.open.Add(-1)
	}
}

// stopAccepting accepts no further connections and closes the idle ones. Requests that arrive on
// connections that are open but have not been used are still served.
func (e *endpoint) stopAccepting() (err error) {
	e.guard.CloseIdle(func() { e.server.SetKeepAlivesEnabled(false) })
	return e.listener.Close()
}

// close shuts the server down gracefully. The contexts of requests that have not finished when
// ctx ends are canceled with the cause forward.ErrStopping, so that their callers get an answer.
// Requests that have not finished soon after that are cut off.
func (e *endpoint) close(ctx context.Context) error {
	err := e.server.Shutdown(ctx)
	e.cut(forward.ErrStopping)
	if err != nil {
		last, done := context.WithTimeout(context.Background(), cutTimeout)
		defer done()
		err = e.server.Shutdown(last)
	}
	if err != nil {
		err = e.server.Close()
	}
	if served := <-e.done; !errors.Is(served, http.ErrServerClosed) && !errors.Is(served, net.ErrClosed) {
		err = errors.Join(err, served)
	}
	return err
}

// Paths at which routers tell each other of crashes of upstreams and of their limits.
const (
	crashNewsPath = "/peer/news/crashes"
	limitNewsPath = "/peer/news/limits"
)

// MetricsPath is the path of the router's metrics at its endpoint for peers.
const MetricsPath = "/metrics"

// peerHandler returns the handler for calls of other routers, and for operators who
// read the metrics.
func (r *Router) peerHandler() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.Get(MetricsPath), r.metrics)
	mux.Handle(pat.Post(pageowner.Path+":page"), pageowner.Handler(r.ledger))
	mux.Handle(pat.Post(recovery.Path+":page"), r.recovery)
	mux.Handle(pat.Post(writer.Path), writer.Handler(r.quarantine))
	mux.Handle(pat.Post(crashNewsPath), r.crashNews)
	mux.Handle(pat.Post(limitNewsPath), r.limitNews)
	mux.Handle(pat.Post(loadexchange.Path), r.loadExchange)
	mux.Handle(pat.Get(inspection.Path), inspection.List(r.quarantine))
	mux.Handle(pat.Delete(inspection.Path+"/:digest"), inspection.Clear(r.quarantine, r.settings.Clock))
	mux.Handle(pat.Post(lending.Path+"/:kind"), lending.Handler(lending.HandlerSettings{
		Lender: r.wallet, Clock: r.settings.Clock, Log: r.settings.Log,
	}))
	for _, m := range r.mirrors() {
		mux.Handle(pat.Get(mirror.SnapshotPath+m.Name()), m)
		mux.Handle(pat.Post(mirror.ChangesPath+m.Name()), m.ChangesHandler())
	}
	return guard.Bodies(guard.BodySettings{Handler: mux, Factor: peerBodyFactor, Timeout: peerBodyTimeout, Clock: r.settings.Clock})
}
