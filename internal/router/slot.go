package router

import (
	"net/http"
	"sync/atomic"
)

// handlerSlot serves with a handler that is set once the router is composed,
// and answers 503 before that.
type handlerSlot struct {
	handler atomic.Pointer[http.Handler]
}

// set puts the handler into place.
func (s *handlerSlot) set(h http.Handler) {
	s.handler.Store(&h)
}

// ServeHTTP passes the request to the handler.
func (s *handlerSlot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := s.handler.Load()
	if h == nil {
		http.Error(w, "the router is starting", http.StatusServiceUnavailable)
		return
	}
	(*h).ServeHTTP(w, r)
}
