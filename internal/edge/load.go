package edge

import (
	"time"

	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/ident"
)

// loadView returns the load of the upstreams as the other routers see it, or nil if requests are
// placed without it. Predictions pay where the speeds of upstreams differ, which those show that
// report a slowdown. Where all are alike, they spread popular prompt parts over more upstreams than
// the load asks for.
func (r *Router) loadView(now time.Time) *load.View {
	if !r.roster.ReportsSlowdown() {
		return nil
	}
	return r.loadExchange.View(now)
}

// loadSamples returns what this router tells the others about upstreams, which is nothing if they
// have no use for it.
func (r *Router) loadSamples(now time.Time) []load.Sample {
	if !r.roster.ReportsSlowdown() {
		return nil
	}
	return r.roster.Samples(now)
}

// isConfigured reports whether a service is in the configuration.
func (r *Router) isConfigured(service ident.Service) bool {
	table := r.table.Load()
	if table == nil {
		return true
	}
	_, ok := table.Services[service]
	return ok
}

// maintainQueue has the queue refuse requests that can no longer start in time.
func (r *Router) maintainQueue() error {
	ticker := time.NewTicker(queueInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.queue.Maintain(r.settings.Clock())
		case <-r.tomb.Dying():
			return nil
		}
	}
}
