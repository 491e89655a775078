package edge

import (
	"net/http"

	"goji.io"
	"goji.io/pat"
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
	return r.stopping.Load() || r.congestion.Full(r.settings.Clock())
}
