// Package weightstore is a small fake of the platform's weight store, which serves
// model weights at a limited rate.
//
// # Usage
//
//	s := weightstore.New(weightstore.Settings{Rate: 2, Burst: 1})
//	defer s.Close()
//	response, err := http.Get("http://" + s.Address().String() + "/weights/model/version")
package weightstore

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"goji.io"
	"goji.io/pat"
	"golang.org/x/time/rate"
)

// Settings configures a Store.
type Settings struct {
	Rate  rate.Limit       // downloads per second; 0 means no limit
	Burst int              // downloads allowed at once
	Size  int              // size of the weights in bytes
	Clock func() time.Time // time.Now by default
}

// Store is a running fake weight store. Its methods are safe for concurrent use.
type Store struct {
	settings Settings
	limiter  *rate.Limiter
	server   *httptest.Server
	served   atomic.Int64
	refused  atomic.Int64
}

// New starts a store on a free port of 127.0.0.1.
func New(s Settings) *Store {
	if s.Rate == 0 {
		s.Rate = rate.Inf
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	store := &Store{settings: s, limiter: rate.NewLimiter(s.Rate, s.Burst)}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/weights/*"), store.serveWeights)
	store.server = httptest.NewServer(mux)
	return store
}

// Address returns the address on which the store listens.
func (s *Store) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Listener.Addr().String())
}

// Served returns the number of downloads that were served.
func (s *Store) Served() int64 { return s.served.Load() }

// Refused returns the number of downloads refused because of the rate limit.
func (s *Store) Refused() int64 { return s.refused.Load() }

// Close stops the store and waits for the downloads in progress.
func (s *Store) Close() error {
	s.server.Close()
	return nil
}

// serveWeights serves one download, or refuses it with status 429 if it exceeds
// the rate limit.
func (s *Store) serveWeights(w http.ResponseWriter, _ *http.Request) {
	if !s.limiter.AllowN(s.settings.Clock(), 1) {
		s.refused.Add(1)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.served.Add(1)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write([]byte(strings.Repeat("w", s.settings.Size)))
}
