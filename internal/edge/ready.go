package edge

import (
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	"example.org/lagoonfork/internal/event"
)

// readyHandler answers the platform's readiness checks.
func (r *Router) readyHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(r.settings.ReadyPath), func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Ready reports whether the router accepts requests.
func (r *Router) Ready() bool {
	return !r.shedsLoad() && r.table.Load() != nil && r.roster.Len() > 0
}

// shedsLoad reports whether callers should use other routers, because this one is
// stopping or because its link is saturated, which would soon cut it off.
func (r *Router) shedsLoad() bool {
	return r.stopping.Load() || r.linkFull(r.settings.Clock())
}

// linkFull reports whether the link is saturated, and logs when that changes.
func (r *Router) linkFull(now time.Time) bool {
	full := r.congestion.Full(now)
	if r.linkWasFull.Swap(full) != full {
		event.LinkSaturated.Info(r.settings.Log, "full", full, "utilization", r.congestion.Utilization(now), "inFlight", r.intake.InFlight())
	}
	return full
}
