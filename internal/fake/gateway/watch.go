package gateway

import (
	"encoding/json"
	"errors"
	"net/http"

	"example.org/lagoonfork/pkg/store"
)

// watchEvent is a change on the wire. The type is left out for a put.
type watchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

// watchResponse is a message of a watch.
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
	prefix, ok := prefixOf(request.Create.Key, request.Create.RangeEnd)
	if !ok || request.Create.StartRevision < 1 {
		refuse(w, http.StatusBadRequest, codeInvalidArgument, "a watch is of a prefix from a revision")
		return
	}
	watch, err := h.store.Watch(r.Context(), prefix, request.Create.StartRevision-1)
	if err != nil {
		answer(w, nil, err)
		return
	}
	// The stand-in's watches close without an error.
	defer func() { _ = watch.Close() }()
	stream(w, r, watch)
}

// stream sends the batches of a watch until it ends or the client leaves.
func stream(w http.ResponseWriter, r *http.Request, watch store.Watch) {
	w.Header().Set("Content-Type", "application/json")
	message := watchResponse{Created: true}
	for {
		if err := send(w, message); err != nil || message.Canceled {
			return
		}
		batch, err := watch.Next(r.Context())
		switch {
		case errors.Is(err, store.ErrCompacted):
			message = watchResponse{Canceled: true, CompactRevision: 1}
		case err != nil:
			panic(http.ErrAbortHandler)
		default:
			message = fromBatch(batch)
		}
	}
}

func send(w http.ResponseWriter, message watchResponse) error {
	if err := json.NewEncoder(w).Encode(result[watchResponse]{message}); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func fromBatch(batch store.Batch) watchResponse {
	message := watchResponse{Header: header{Revision: batch.Revision}}
	for _, e := range batch.Events {
		event := watchEvent{KV: fromEntry(e.Entry)}
		if e.Deleted {
			event.Type = "DELETE"
		}
		message.Events = append(message.Events, event)
	}
	return message
}
