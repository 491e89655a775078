package router

import (
	"net/netip"

	"example.org/lagoonfork/internal/metrics"
	"example.org/lagoonfork/internal/peerclient"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// CallerAddress returns where callers reach the router.
func (r *Router) CallerAddress() netip.AddrPort { return r.callerAddress }

// PeerAddress returns where peers reach the router.
func (r *Router) PeerAddress() netip.AddrPort { return r.peerAddress }

// Incarnation returns the identifier of this run.
func (r *Router) Incarnation() ident.Incarnation { return r.incarnation }

// Done is closed when the router has to stop because the VM has a younger
// incarnation.
func (r *Router) Done() <-chan struct{} { return r.registration.Dead() }

// Index returns the index of the configuration in force.
func (r *Router) Index() *configuration.Index { return r.watcher.Index() }

// Metrics returns the figures of the router.
func (r *Router) Metrics() *metrics.Metrics { return r.metrics }

// LivePeers returns the number of other routers that are live.
func (r *Router) LivePeers() int { return len(r.liveVMs()) }

// Leaving reports whether the router sends an upstream nothing new because it
// leaves.
func (r *Router) Leaving(id ident.Upstream) bool {
	for _, s := range r.directory.All() {
		for _, status := range s.Table.Status() {
			if status.Upstream == id && status.Leaving {
				return true
			}
		}
	}
	return false
}

// Status returns what the router says of itself.
func (r *Router) Status() peerclient.Status {
	return peerclient.Status{
		VM:          r.settings.VM,
		Incarnation: r.incarnation,
		Revision:    int64(r.watcher.Revision()),
		Ready:       r.ready(),
		Draining:    r.draining.Load(),
	}
}

// ready reports whether the balancer should send callers.
func (r *Router) ready() bool {
	return r.serving.Load() && !r.draining.Load()
}
