package duty

import (
	"encoding/json"
	"errors"
	"net/http"

	"example.org/lagoonfork/pkg/store"
)

// WriteResult writes the response to a call: result as JSON if err is nil, status 503 (the
// call was not executed) if err wraps store.ErrUnavailable, and otherwise status 504
// (it may have been executed).
func WriteResult(w http.ResponseWriter, result any, err error) {
	switch {
	case errors.Is(err, store.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result) // the caller repeats a call that got no response
	}
}
