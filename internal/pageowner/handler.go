package pageowner

import (
	"encoding/json"
	"net/http"
	"strconv"

	"goji.io/pat"

	"example.org/lagoonfork/internal/duty"
	"example.org/lagoonfork/internal/ledger"
)

// maxRequestBytes is the maximum size of the ops in a request body.
const maxRequestBytes = 4 << 20

// Handler returns a handler that applies the ops that other routers send. The
// route must have the pattern variable page.
func Handler(l Ledger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page, err := strconv.Atoi(pat.Param(r, "page"))
		if err != nil {
			http.Error(w, "page: not a number", http.StatusBadRequest)
			return
		}
		var ops []ledger.Op
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&ops); err != nil {
			http.Error(w, "ops: "+err.Error(), http.StatusBadRequest)
			return
		}
		results, err := l.ApplyLocal(r.Context(), page, ops)
		duty.WriteResult(w, results, err)
	})
}
