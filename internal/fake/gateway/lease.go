package gateway

import (
	"errors"
	"net/http"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// leaseTTL is a lease on the wire. TTL counts seconds.
type leaseTTL struct {
	Header header      `json:"header"`
	ID     store.Lease `json:"ID,string,omitempty"`
	TTL    int64       `json:"TTL,string,omitempty"`
}

func (h *Handler) grant(w http.ResponseWriter, r *http.Request) {
	var request leaseTTL
	if !decode(w, r, &request) {
		return
	}
	id, err := h.store.Grant(r.Context(), time.Duration(request.TTL)*time.Second)
	answer(w, leaseTTL{ID: id, TTL: request.TTL}, err)
}

func (h *Handler) keepAlive(w http.ResponseWriter, r *http.Request) {
	var request leaseTTL
	if !decode(w, r, &request) {
		return
	}
	err := h.store.KeepAlive(r.Context(), request.ID)
	response := result[leaseTTL]{leaseTTL{ID: request.ID, TTL: 1}}
	if errors.Is(err, store.ErrLeaseNotFound) {
		response.Result.TTL = 0
		err = nil
	}
	answer(w, response, err)
}

func (h *Handler) revoke(w http.ResponseWriter, r *http.Request) {
	var request leaseTTL
	if !decode(w, r, &request) {
		return
	}
	err := h.store.Revoke(r.Context(), request.ID)
	answer(w, leaseTTL{}, err)
}

// result is one message of a stream.
type result[T any] struct {
	Result T `json:"result"`
}
