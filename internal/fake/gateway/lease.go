package gateway

import (
	"errors"
	"net/http"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// leaseMessage is the wire format of the requests and responses of the lease
// calls. TTL is in seconds.
type leaseMessage struct {
	Header header      `json:"header"`
	ID     store.Lease `json:"ID,string,omitempty"`
	TTL    int64       `json:"TTL,string,omitempty"`
}

func (h *Handler) grant(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	if !decode(w, r, &request) {
		return
	}
	id, err := h.store.Grant(r.Context(), time.Duration(request.TTL)*time.Second)
	writeResponse(w, leaseMessage{ID: id, TTL: request.TTL}, err)
}

func (h *Handler) keepAlive(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	if !decode(w, r, &request) {
		return
	}
	err := h.store.KeepAlive(r.Context(), request.ID)
	response := result[leaseMessage]{leaseMessage{ID: request.ID, TTL: 1}}
	if errors.Is(err, store.ErrLeaseNotFound) {
		response.Result.TTL = 0
		err = nil
	}
	writeResponse(w, response, err)
}

func (h *Handler) revoke(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	if !decode(w, r, &request) {
		return
	}
	err := h.store.Revoke(r.Context(), request.ID)
	writeResponse(w, leaseMessage{}, err)
}

// result wraps one message of a streamed response.
type result[T any] struct {
	Result T `json:"result"`
}
