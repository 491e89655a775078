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

// surveyEngines is the client of the surveyor. Its load reports omit the models that
// are about to be unloaded, so that they are not in the routing tables.
type surveyEngines struct {
	*engineclient.Client
	issuer *issuer.Issuer
}

// Load returns the upstream's load report without the models that are about to be
// unloaded.
func (s surveyEngines) Load(ctx context.Context, up configuration.Upstream) (engine.Load, error) {
	return s.issuer.Load(ctx, up)
}

// mayIssueOrders reports whether the lease was confirmed less than half its time to
// live ago. For that long, no other router considers this one dead.
func (r *Router) mayIssueOrders(now time.Time) bool {
	confirmed := r.registration.Confirmed()
	return !confirmed.IsZero() && now.Sub(confirmed) < r.settings.Timing.LeaseTTL/2
}

// leavingUpstreams returns which upstreams of a service are marked as leaving in the
// routing table.
func (r *Router) leavingUpstreams(id ident.Service) map[ident.Upstream]bool {
	leaving := make(map[ident.Upstream]bool)
	if s, ok := r.directory.Service(id); ok {
		for _, up := range s.Table.Status() {
			leaving[up.Upstream] = up.Leaving
		}
	}
	return leaving
}
