// Package plainservice is a small stand-in for a plain service beside the
// model engines.
//
// It executes any call, and counts the executions of each request. Faults can
// be set at any time.
//
// # Usage
//
//	s := plainservice.New(plainservice.Settings{})
//	defer s.Close()
//	upstream.Address = s.Address()
//	...
//	assert.Equal(t, 1, s.Executions(request))
package plainservice

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// HeaderIdempotencyKey is the header by which callers name a call.
const HeaderIdempotencyKey = "Idempotency-Key"

// foreignAttempt is the attempt that crossed responses belong to.
const foreignAttempt = "foreign"

// Settings of a Service.
type Settings struct {
	Slots int
	Clock func() time.Time
}

// Faults are the faults in force. The zero value is a sound service.
type Faults struct {
	DropBefore  bool          // drop the connection without executing the call
	DropAfter   bool          // execute the call, then drop the connection
	DropWithin  bool          // execute the call, then drop the connection in the response's body
	Silent      bool          // execute the call and never respond
	Slow        time.Duration // wait before the execution
	NotRun      bool          // refuse with the promise that nothing was run
	Unavailable bool          // refuse without that promise, after the execution
	Crossed     bool          // respond as to another attempt
	Unnamed     bool          // respond without the attempt
	Excess      int           // bytes added to the response's body
}

// Response is the body of the response to a call.
type Response struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Request    string `json:"request"`
	BodyDigest string `json:"bodyDigest"`
	Execution  int    `json:"execution"` // of this request, from 1
	Excess     string `json:"excess,omitempty"`
}

// Service is a plain service. Its methods are safe for concurrent use.
type Service struct {
	settings Settings
	server   *httptest.Server
	closing  chan struct{}

	mu         sync.Mutex
	faults     Faults
	leaving    bool
	running    int
	total      int
	executions map[string]int
}

// New starts a service on a free port of 127.0.0.1.
func New(s Settings) *Service {
	if s.Clock == nil {
		s.Clock = time.Now
	}
	p := &Service{settings: s, closing: make(chan struct{}), executions: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, p.load)
	mux.HandleFunc("/", p.call)
	p.server = httptest.NewServer(mux)
	return p
}

// Address returns where the service listens.
func (s *Service) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Listener.Addr().String())
}

// Close drops the calls in progress and waits.
func (s *Service) Close() error {
	close(s.closing)
	s.server.CloseClientConnections()
	s.server.Close()
	return nil
}

// SetFaults puts faults in force, in place of those before.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving sets whether the service reports that it is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Executions returns how often the call was executed. A call is known by its
// request identifier and, if it has one, by its idempotency key.
func (s *Service) Executions(request ident.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[string(request)]
}

// Running returns the number of calls in progress.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// TotalExecutions returns how many calls were executed.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	f := s.begin()
	defer s.end()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.identify(w, r, f)
	if f.NotRun {
		w.Header().Set(engine.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.DropBefore {
		drop(w)
		return
	}
	if !s.wait(r, f.Slow) {
		return
	}
	s.respond(w, r, f, s.execute(r, body))
}

func (s *Service) begin() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// identify repeats the identifiers of the call in the response.
func (s *Service) identify(w http.ResponseWriter, r *http.Request, f Faults) {
	attempt := r.Header.Get(engine.HeaderAttempt)
	if f.Crossed {
		attempt = foreignAttempt
	}
	if attempt != "" && !f.Unnamed {
		w.Header().Set(engine.HeaderAttempt, attempt)
	}
	if request := r.Header.Get(engine.HeaderRequest); request != "" {
		w.Header().Set(engine.HeaderRequest, request)
	}
}

// wait waits for d. It reports whether the call is still wanted.
func (s *Service) wait(r *http.Request, d time.Duration) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closing:
		return false
	}
}

func (s *Service) execute(r *http.Request, body []byte) Response {
	digest := sha256.Sum256(body)
	request := r.Header.Get(engine.HeaderRequest)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.executions[request]++
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" && key != request {
		s.executions[key]++
	}
	return Response{
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Request:    request,
		BodyDigest: hex.EncodeToString(digest[:]),
		Execution:  s.executions[request],
	}
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, f Faults, response Response) {
	switch {
	case f.DropAfter:
		drop(w)
		return
	case f.Silent:
		s.silence(r)
		return
	case f.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.Excess = strings.Repeat("x", f.Excess)
	w.Header().Set("Content-Type", "application/json")
	if f.DropWithin {
		w.Header().Set("Content-Length", "4096")
		_, _ = io.WriteString(w, `{"method":`)
		_ = http.NewResponseController(w).Flush()
		drop(w)
		return
	}
	_ = json.NewEncoder(w).Encode(response)
}

// silence keeps the connection open without a response.
func (s *Service) silence(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closing:
	}
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := engine.Load{Slots: s.settings.Slots, Running: s.running, Leaving: s.leaving, AsOf: s.settings.Clock()}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// drop resets the connection of a call.
func drop(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
