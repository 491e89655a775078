package duty

import (
	"encoding/json"
	"errors"
	"net/http"

	"example.org/lagoonfork/pkg/store"
)

// Answer answers a call: with answer as JSON, or with the status that tells the
// caller what became of a call that failed with err.
func Answer(w http.ResponseWriter, answer any, err error) {
	switch {
	case errors.Is(err, store.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // the caller repeats a call without an answer
	}
}
