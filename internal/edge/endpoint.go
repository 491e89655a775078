package edge

import (
	"net/http"
	"net/netip"

	"goji.io"
	"goji.io/pat"

	"example.org/lagoonfork/internal/endpoint"
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

// listen starts the endpoints for callers, for checks of readiness and for other routers.
func (r *Router) listen() error {
	s := r.settings
	for _, e := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", s.CallerAddress, r.intake},
		{"ready", s.ReadyAddress, r.readyHandler()},
		{"peers", s.PeerAddress, r.peerHandler()},
	} {
		if !e.address.IsValid() {
			continue
		}
		settings := endpoint.Settings{
			Name: e.name, Address: e.address, Handler: e.handler, Limits: r.limits[e.name],
			ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
			Stopping: forward.ErrStopping, Clock: s.Clock, Log: s.Log,
		}
		if e.address == s.CallerAddress {
			settings.Wrap = r.congestion.Listener
			settings.UnusedWait = unusedWait
			settings.CutTimeout = cutTimeout(s.DrainTimeout)
			settings.Configured = r.configuredLimits
		}
		listening, err := endpoint.Listen(settings)
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, listening)
		if e.address == s.CallerAddress {
			r.callers = listening
		}
	}
	return nil
}

// configuredLimits returns what the configuration in force says of the heads and the idle connections
// of callers.
func (r *Router) configuredLimits() (l guard.Limits) {
	if t := r.table.Load(); t != nil {
		l = guard.Limits{HeadBytes: t.Limits.HeaderBytes, HeadTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
	}
	return l
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
