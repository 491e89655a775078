package gateway

import (
	"encoding/json"
	"errors"
	"net/http"

	"example.org/lagoonfork/pkg/store"
)

// watchEvent is the wire format of a change. Type is empty for a put.
type watchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

// watchResponse is one message of a watch.
type watchResponse struct {
	Header          header         `json:"header"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision store.Revision `json:"compact_revision,string,omitempty"`
	Events          []watchEvent   `json:"events,omitempty"`
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Create struct {
			Key           []byte         `json:"key"`
			RangeEnd      []byte         `json:"range_end"`
			StartRevision store.Revision `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if !decode(w, r, &request) {
		return
	}
	prefix, ok := prefixFromRange(request.Create.Key, request.Create.RangeEnd)
	if !ok || request.Create.StartRevision < 1 {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "a watch is of a prefix from a revision")
		return
	}
	watch, err := h.store.Watch(r.Context(), prefix, request.Create.StartRevision-1)
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	// Watches of the fake store close without an error.
	defer func() { _ = watch.Close() }()
	streamWatch(w, r, watch)
}

// streamWatch sends the batches of a watch until the watch ends or the client
// disconnects.
func streamWatch(w http.ResponseWriter, r *http.Request, watch store.Watch) {
	w.Header().Set("Content-Type", "application/json")
	message := watchResponse{Created: true}
	for {
		if err := send(w, message); err != nil || message.Canceled {
			return
		}
		batch, err := watch.Next(r.Context())
		switch {
		case errors.Is(err, store.ErrCompacted):
			message = watchResponse{Canceled: true, CompactRevision: 1} // clients only check that it is above 0
		case err != nil:
			panic(http.ErrAbortHandler)
		default:
			message = newWatchResponse(batch)
		}
	}
}

func send(w http.ResponseWriter, message watchResponse) error {
	if err := json.NewEncoder(w).Encode(result[watchResponse]{message}); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func newWatchResponse(batch store.Batch) watchResponse {
	message := watchResponse{Header: header{Revision: batch.Revision}}
	for _, e := range batch.Events {
		event := watchEvent{KV: newKeyValue(e.Entry)}
		if e.Deleted {
			event.Type = "DELETE"
		}
		message.Events = append(message.Events, event)
	}
	return message
}
