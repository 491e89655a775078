package router

import (
	"errors"
	"net"
	"net/http"

	"example.org/lagoonfork/internal/callerapi"
	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/guard"
)

// listen opens the sockets and starts the servers, so that the addresses are known.
func (r *Router) listen() error {
	callers, err := net.Listen("tcp", r.settings.CallerAddress.String())
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", r.settings.PeerAddress.String())
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	r.callerAddress = callers.Addr().(*net.TCPAddr).AddrPort()
	r.peerAddress = peers.Addr().(*net.TCPAddr).AddrPort()
	r.callerLimits = callerlimit.New(r.settings.Limits.callers())
	r.peerLimits = callerlimit.New(r.settings.Limits.VM.Peers())
	callerGuard := guard.New(guard.Settings{Registry: r.callerLimits, Refusal: callerapi.HeadRefusal(), Clock: r.settings.Clock, OnUnanswered: guard.LogUnanswered(r.settings.Log, "callers")})
	peerGuard := guard.New(guard.Settings{Registry: r.peerLimits, Clock: r.settings.Clock, OnUnanswered: guard.LogUnanswered(r.settings.Log, "peers")})
	r.callers = r.newServer("callers", &r.callerHandler, callerGuard)
	r.peers = r.newServer("peers", &r.peerHandler, peerGuard)
	r.serveListener(r.callers, callerGuard.Listener(callers))
	r.serveListener(r.peers, peerGuard.Listener(peers))
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

func (r *Router) newServer(name string, h http.Handler, g *guard.Guard) *http.Server {
	limits := r.settings.Limits
	return &http.Server{
		Handler:           h,
		ConnContext:       g.ConnContext,
		ConnState:         g.ConnState,
		ReadHeaderTimeout: limits.ReadTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeader,
		ErrorLog:          guard.ErrorLog(r.settings.Log, name),
	}
}

func (r *Router) serveListener(s *http.Server, l net.Listener) {
	r.tomb.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}
