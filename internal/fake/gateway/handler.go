// Package gateway serves a store.Store over the etcd v3 JSON gateway, as a
// stand-in for the platform's key-value service.
//
// It serves what package etcd asks for: ranges of one key or one prefix,
// transactions of at most one comparison and one operation, leases and
// watches. A write with an unknown outcome closes the connection without an
// answer.
//
// # Usage
//
//	server := httptest.NewServer(gateway.New(service.Client()))
package gateway

import (
	"encoding/json"
	"errors"
	"net/http"

	"goji.io"
	"goji.io/pat"

	"example.org/lagoonfork/pkg/store"
)

// maxRequest bounds the size of a request in bytes. It leaves room for a value
// of the greatest size in base64.
const maxRequest = 2 * store.MaxValueSize

// Codes of errors in the body of a response.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeUnavailable     = 14
)

// Handler serves the calls of the gateway under /v3/. Its methods are safe for
// concurrent use.
type Handler struct {
	store store.Store
	mux   *goji.Mux
}

// New returns a handler that serves s.
func New(s store.Store) *Handler {
	h := &Handler{store: s, mux: goji.NewMux()}
	h.mux.HandleFunc(pat.Post("/v3/kv/range"), h.rangeKeys)
	h.mux.HandleFunc(pat.Post("/v3/kv/txn"), h.txn)
	h.mux.HandleFunc(pat.Post("/v3/lease/grant"), h.grant)
	h.mux.HandleFunc(pat.Post("/v3/lease/keepalive"), h.keepAlive)
	h.mux.HandleFunc(pat.Post("/v3/lease/revoke"), h.revoke)
	h.mux.HandleFunc(pat.Post("/v3/watch"), h.watch)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequest)
	h.mux.ServeHTTP(w, r)
}

// decode reads the body of a request and answers a malformed one.
func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		refuse(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return false
	}
	return true
}

// answer writes the response of a call, or its error.
func answer(w http.ResponseWriter, response any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// The client notices a response that is cut off.
		_ = json.NewEncoder(w).Encode(response)
	case errors.Is(err, store.ErrLeaseNotFound):
		refuse(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
	case errors.Is(err, store.ErrTooLarge):
		refuse(w, http.StatusBadRequest, codeInvalidArgument, "etcdserver: request is too large")
	case errors.Is(err, store.ErrUnknown):
		panic(http.ErrAbortHandler)
	default:
		refuse(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
	}
}

func refuse(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error   string `json:"error"`
		Code    int    `json:"code"`
		Message string `json:"message"`
	}{message, code, message})
}
