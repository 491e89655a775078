package router

import (
	"context"
	"time"

	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/issuer"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// surveyed reads the reports for the routing tables without the models that are
// about to be unloaded.
type surveyed struct {
	*engineclient.Client
	issuer *issuer.Issuer
}

// Load returns the upstream's report of its load.
func (s surveyed) Load(ctx context.Context, up configuration.Upstream) (engine.Load, error) {
	return s.issuer.Load(ctx, up)
}

// mayOrder reports whether the lease was confirmed within half its time to live,
// before which no other router takes this one for dead.
func (r *Router) mayOrder(now time.Time) bool {
	confirmed := r.registration.Confirmed()
	return !confirmed.IsZero() && now.Sub(confirmed) < r.settings.Timing.LeaseTTL/2
}

// leavingUpstreams returns the upstreams of a service that the routing table
// holds to be leaving.
func (r *Router) leavingUpstreams(id ident.Service) map[ident.Upstream]bool {
	leaving := make(map[ident.Upstream]bool)
	if s, ok := r.directory.Service(id); ok {
		for _, up := range s.Table.Status() {
			leaving[up.Upstream] = up.Leaving
		}
	}
	return leaving
}
