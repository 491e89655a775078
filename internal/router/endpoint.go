package router

import (
	"errors"
	"net/http"
	"net/netip"
	"time"

	"example.org/lagoonfork/internal/callerapi"
	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/endpoint"
	"example.org/lagoonfork/internal/guard"
)

// unusedWait is how long a stopping router waits for the first request on a connection that a caller
// has opened.
const unusedWait = 5 * time.Second

// errStopping is the cause of requests that are cut off because the router stops.
var errStopping = errors.New("the router stops")

// listen opens the sockets and starts the servers, so that the addresses are known.
func (r *Router) listen() (err error) {
	r.callerLimits = callerlimit.New(r.settings.Limits.callers())
	r.peerLimits = callerlimit.New(r.settings.Limits.VM.Peers())
	callers := r.endpointSettings("callers", r.settings.CallerAddress, &r.callerHandler, r.callerLimits)
	callers.Refusal = callerapi.HeadRefusal()
	callers.UnusedWait = unusedWait
	if r.callers, err = endpoint.Listen(callers); err != nil {
		return err
	}
	if r.peers, err = endpoint.Listen(r.endpointSettings("peers", r.settings.PeerAddress, &r.peerHandler, r.peerLimits)); err != nil {
		return errors.Join(err, r.callers.Kill())
	}
	return nil
}

// callers returns the limits of the endpoint for callers. Whatever the memory of the VM, a single
// request with a body of the maximum size has memory.
func (l Limits) callers() callerlimit.Limits {
	limits := l.VM.Callers()
	if limits.Connections == 0 || limits.Connections > l.MaxConnections {
		limits.Connections = l.MaxConnections
	}
	if limits.Memory == 0 {
		return limits
	}
	return limits.WithRequest(callerapi.LargestRequest(l.MaxBody) + guard.LargestOverhead(l.MaxHeader))
}

func (r *Router) endpointSettings(name string, address netip.AddrPort, h http.Handler, limits *callerlimit.Registry) endpoint.Settings {
	return endpoint.Settings{
		Name: name, Address: address, Handler: h, Limits: limits,
		ReadHeaderTimeout: r.settings.Limits.ReadTimeout,
		ReadTimeout:       r.settings.Limits.ReadTimeout,
		IdleTimeout:       r.settings.Limits.IdleTimeout,
		MaxHeaderBytes:    r.settings.Limits.MaxHeader,
		Stopping:          errStopping, Clock: r.settings.Clock, Log: r.settings.Log,
	}
}
