// Package plainservice is a small fake of a plain service, an upstream that is
// not a model engine.
//
// It accepts any call and counts the executions of each request. Faults can be
// changed at any time.
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

// HeaderIdempotencyKey is the request header with the caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// mismatchedAttempt is the attempt identifier in responses under Faults.MismatchedAttempt.
const mismatchedAttempt = "foreign"

// Settings configures a Service.
type Settings struct {
	Slots int              // reported as load
	Clock func() time.Time // time.Now by default
}

// Faults describes the faults injected into the calls. The zero value injects
// none.
type Faults struct {
	DropBeforeExecution bool          // reset the connection without executing the call
	DropAfterExecution  bool          // execute the call, then reset the connection
	DropDuringBody      bool          // execute the call, then reset the connection within the response body
	Silent              bool          // execute the call, but never respond
	Delay               time.Duration // delay of the execution
	NotRun              bool          // refuse the call and report with X-Not-Run that it was not executed
	Unavailable         bool          // execute the call, then respond with status 503 without X-Not-Run
	MismatchedAttempt   bool          // respond with the X-Attempt-Id of another attempt
	MissingAttempt      bool          // respond without X-Attempt-Id
	ExcessBytes         int           // number of bytes added to the response body
}

// Response is the body of the response to a call.
type Response struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Request    string `json:"request"`
	BodyDigest string `json:"bodyDigest"`
	Execution  int    `json:"execution"` // number of this execution of the request, starting at 1
	Excess     string `json:"excess,omitempty"`
}

// Service is a running fake service. Its methods are safe for concurrent use.
type Service struct {
	settings Settings
	server   *httptest.Server
	closing  chan struct{}

	mu              sync.Mutex
	faults          Faults
	leaving         bool
	running         int
	totalExecutions int
	executions      map[string]int
}

// New starts a service on a free port of 127.0.0.1.
func New(s Settings) *Service {
	if s.Clock == nil {
		s.Clock = time.Now
	}
	service := &Service{settings: s, closing: make(chan struct{}), executions: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, service.load)
	mux.HandleFunc("/", service.call)
	service.server = httptest.NewServer(mux)
	return service
}

// Address returns the address on which the service listens.
func (s *Service) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Listener.Addr().String())
}

// Close closes the connections of calls in progress, stops the service and waits
// for it to end.
func (s *Service) Close() error {
	close(s.closing)
	s.server.CloseClientConnections()
	s.server.Close()
	return nil
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving sets whether the service reports in its load that it is about to
// leave.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Executions returns the number of executions of a call. The call is identified
// by its request identifier or its idempotency key.
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

// TotalExecutions returns the number of executions of all calls.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalExecutions
}

// call handles all calls except those of engine.PathLoad.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	f := s.beginCall()
	defer s.endCall()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.setIdentifiers(w, r, f)
	if f.NotRun {
		w.Header().Set(engine.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.DropBeforeExecution {
		drop(w)
		return
	}
	if !s.waitDelay(r, f.Delay) {
		return
	}
	s.respond(w, r, f, s.execute(r, body))
}

// beginCall counts a running call and returns the faults that apply to it.
func (s *Service) beginCall() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// setIdentifiers copies the attempt and request identifiers of the call to the
// response headers.
func (s *Service) setIdentifiers(w http.ResponseWriter, r *http.Request, f Faults) {
	attempt := r.Header.Get(engine.HeaderAttempt)
	if f.MismatchedAttempt {
		attempt = mismatchedAttempt
	}
	if attempt != "" && !f.MissingAttempt {
		w.Header().Set(engine.HeaderAttempt, attempt)
	}
	if request := r.Header.Get(engine.HeaderRequest); request != "" {
		w.Header().Set(engine.HeaderRequest, request)
	}
}

// waitDelay waits for d. It returns false if the service is closed before.
func (s *Service) waitDelay(r *http.Request, d time.Duration) bool {
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

// execute counts an execution of the call and returns the response to it.
func (s *Service) execute(r *http.Request, body []byte) Response {
	digest := sha256.Sum256(body)
	request := r.Header.Get(engine.HeaderRequest)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalExecutions++
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

// respond sends the response of an executed call as the faults require.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, f Faults, response Response) {
	switch {
	case f.DropAfterExecution:
		drop(w)
		return
	case f.Silent:
		s.holdOpen(r)
		return
	case f.Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.Excess = strings.Repeat("x", f.ExcessBytes)
	w.Header().Set("Content-Type", "application/json")
	if f.DropDuringBody {
		w.Header().Set("Content-Length", "4096")
		_, _ = io.WriteString(w, `{"method":`)
		_ = http.NewResponseController(w).Flush()
		drop(w)
		return
	}
	_ = json.NewEncoder(w).Encode(response)
}

// holdOpen blocks without a response until the client disconnects or the service
// is closed.
func (s *Service) holdOpen(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closing:
	}
}

// load handles engine.PathLoad.
func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := engine.Load{Slots: s.settings.Slots, Running: s.running, Leaving: s.leaving, AsOf: s.settings.Clock()}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}

// drop closes the connection of a call with a TCP reset.
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
