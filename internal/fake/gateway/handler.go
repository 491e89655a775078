// Package gateway serves a store.Store over the etcd v3 JSON gateway, as a
// stand-in for the platform's key-value service.
//
// # Usage
//
//	server := httptest.NewServer(gateway.New(service.Client()))
package gateway

import (
	"net/http"

	"example.org/lagoonfork/pkg/store"
)

// Handler serves the calls of the gateway under /v3/.
type Handler struct {
	store store.Store
}

// New returns a handler that serves s.
func New(s store.Store) *Handler { return &Handler{store: s} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {}
