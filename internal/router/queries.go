package router

import (
	"net/netip"

	"example.org/lagoonfork/internal/metrics"
	"example.org/lagoonfork/internal/peerclient"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// CallerAddress returns the address on which the router serves callers.
func (r *Router) CallerAddress() netip.AddrPort { return r.callers.Address() }

// PeerAddress returns the address on which the router serves peers.
func (r *Router) PeerAddress() netip.AddrPort { return r.peers.Address() }

// Incarnation returns the identifier of this process.
func (r *Router) Incarnation() ident.Incarnation { return r.incarnation }

// Done returns a channel that is closed once the registration has ended: at Close,
// or because a newer process of the VM has registered. The router then has to stop.
func (r *Router) Done() <-chan struct{} { return r.registration.Done() }

// Index returns the index of the configuration in force.
func (r *Router) Index() *configuration.Index { return r.watcher.Index() }

// Metrics returns the router's metrics.
func (r *Router) Metrics() *metrics.Metrics { return r.metrics }

// LivePeers returns the number of other live routers.
func (r *Router) LivePeers() int { return len(r.liveVMs()) }

// Leaving reports whether an upstream is leaving, so that the router sends it no new
// requests.
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

// Status returns the status that the router reports to peers.
func (r *Router) Status() peerclient.Status {
	return peerclient.Status{
		VM:          r.settings.VM,
		Incarnation: r.incarnation,
		Revision:    int64(r.watcher.Revision()),
		Ready:       r.ready(),
		Draining:    r.draining.Load(),
	}
}

// ready reports whether the load balancer should send callers to this router.
func (r *Router) ready() bool {
	return r.serving.Load() && !r.draining.Load()
}
