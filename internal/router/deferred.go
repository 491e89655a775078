package router

import (
	"net/http"
	"sync/atomic"
)

// deferredHandler forwards to a handler that is set once the router is assembled.
// Until then it responds with status 503.
type deferredHandler struct {
	handler atomic.Pointer[http.Handler]
}

// set installs the handler.
func (s *deferredHandler) set(h http.Handler) {
	s.handler.Store(&h)
}

// ServeHTTP forwards the request to the handler.
func (s *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := s.handler.Load()
	if h == nil {
		http.Error(w, "the router is starting", http.StatusServiceUnavailable)
		return
	}
	(*h).ServeHTTP(w, r)
}
