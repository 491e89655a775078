// Package inspection lets operators read the quarantine list of a router and clear a
// digest on all routers.
//
// # Usage
//
//	mux.Handle(pat.Get(inspection.Path), inspection.List(k))
//	mux.Handle(pat.Delete(inspection.Path+"/:digest"), inspection.Clear(k, time.Now))
package inspection

import (
	"encoding/json"
	"net/http"
	"time"

	"goji.io/pat"

	"example.org/lagoonfork/internal/quarantine"
)

// Path is the HTTP path of the list.
const Path = "/peer/quarantine"

// Keeper holds the list. See package keeper.
type Keeper interface {
	Records() quarantine.List
	Clear(now time.Time, digests ...quarantine.Digest)
}

// List returns the handler that writes the list as JSON.
func List(k Keeper) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(k.Records()) // the operator may have disconnected
	})
}

// Clear returns the handler that clears the digest in the path. It responds with status
// 404 if the router has no crashes of it.
func Clear(k Keeper, clock func() time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		digest := quarantine.Digest(pat.Param(r, "digest"))
		if _, ok := k.Records().Records[digest]; !ok {
			http.Error(w, "digest "+string(digest)+" has no crashes", http.StatusNotFound)
			return
		}
		k.Clear(clock(), digest)
		w.WriteHeader(http.StatusNoContent)
	})
}
