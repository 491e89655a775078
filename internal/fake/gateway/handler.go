// Package gateway serves a store.Store over the etcd v3 JSON gateway protocol,
// as a fake of the platform's key-value service.
//
// It implements the subset that package etcd uses: ranges of one key or one
// prefix, transactions of at most one comparison and one operation, leases and
// watches. After a write with an unknown outcome it closes the connection
// without a response.
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

// maxRequest is the maximum size of a request body in bytes. It has room for a
// value of store.MaxValueSize in base64.
const maxRequest = 2 * store.MaxValueSize

// gRPC status codes in error responses.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeUnavailable     = 14
)

// Handler serves the JSON gateway under /v3/. Its methods are safe for
// concurrent use.
type Handler struct {
	store store.Store
	mux   *goji.Mux
}

// New returns a Handler backed by s.
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

// decode decodes the body of a request. If the body is malformed, it writes an
// error response and returns false.
func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return false
	}
	return true
}

// writeResponse writes the response of a call, or the response for err. After a
// write with an unknown outcome it aborts the connection.
func writeResponse(w http.ResponseWriter, response any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// A write error needs no handling: the client notices a truncated
		// response.
		_ = json.NewEncoder(w).Encode(response)
	case errors.Is(err, store.ErrLeaseNotFound):
		writeError(w, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
	case errors.Is(err, store.ErrTooLarge):
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "etcdserver: request is too large")
	case errors.Is(err, store.ErrUnknown):
		panic(http.ErrAbortHandler)
	default:
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
	}
}

// writeError writes an error in the format of the etcd gateway.
func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error   string `json:"error"`
		Code    int    `json:"code"`
		Message string `json:"message"`
	}{message, code, message})
}
