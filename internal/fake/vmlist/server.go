// Package vmlist is a fake of the platform's VM list, which shows changes of VMs
// with a delay.
//
// # Usage
//
//	list := vmlist.New(vmlist.Settings{Lag: 30 * time.Second, Clock: time.Now})
//	list.Put(vm)
//	mux.Handle(pat.Get("/vms"), list)
package vmlist

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/ident"
)

// epoch is the initial time of a Server without a clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Settings configures a Server. The zero value is valid.
type Settings struct {
	// Clock returns the current time. If it is nil, only Advance changes the
	// time.
	Clock func() time.Time
	// Lag is the delay until a change is visible in the list.
	Lag time.Duration
}

// Server holds the list and serves it as the http.Handler of GET /vms. Its methods
// are safe for concurrent use.
type Server struct {
	clock func() time.Time

	mu          sync.Mutex
	clockOffset time.Duration // added to the clock
	lag         time.Duration
	outage      bool
	visible     map[ident.VM]vmlist.VM
	pending     []pendingChange // in the order in which they were made, not yet visible
}

// pendingChange is a change that is not yet visible in the list.
type pendingChange struct {
	vm        vmlist.VM
	removed   bool
	visibleAt time.Time
}

// New returns a server with an empty list.
func New(settings Settings) *Server {
	clock := settings.Clock
	if clock == nil {
		clock = func() time.Time { return epoch }
	}
	return &Server{
		clock:   clock,
		lag:     settings.Lag,
		visible: make(map[ident.VM]vmlist.VM),
	}
}

// Put adds or replaces a VM. The list shows the change after the lag.
func (s *Server) Put(vm vmlist.VM) {
	s.addPending(pendingChange{vm: vm})
}

// Remove removes a VM. The list shows the change after the lag.
func (s *Server) Remove(id ident.VM) {
	s.addPending(pendingChange{vm: vmlist.VM{ID: id}, removed: true})
}

// SetLag sets the lag of later changes. Pending changes keep theirs.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetOutage sets whether requests fail with status 503.
func (s *Server) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// Advance moves the server's time forward by d.
func (s *Server) Advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset += d
}

// VMs returns the visible VMs, sorted by id.
func (s *Server) VMs() []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue()
	vms := make([]vmlist.VM, 0, len(s.visible))
	for _, id := range slices.Sorted(maps.Keys(s.visible)) {
		vms = append(vms, s.visible[id])
	}
	return vms
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if s.inOutage() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error truncates the list, which the client detects.
	_ = json.NewEncoder(w).Encode(s.VMs())
}

// inOutage reports whether requests are to fail.
func (s *Server) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// addPending records a change, to become visible after the current lag.
func (s *Server) addPending(c pendingChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.visibleAt = s.now().Add(s.lag)
	s.pending = append(s.pending, c)
}

// applyDue applies the pending changes whose lag has passed. The caller holds mu.
func (s *Server) applyDue() {
	now := s.now()
	remaining := s.pending[:0]
	for _, c := range s.pending {
		switch {
		case c.visibleAt.After(now):
			remaining = append(remaining, c)
		case c.removed:
			delete(s.visible, c.vm.ID)
		default:
			s.visible[c.vm.ID] = c.vm
		}
	}
	s.pending = remaining
}

// now returns the server's current time. The caller holds mu.
func (s *Server) now() time.Time {
	return s.clock().Add(s.clockOffset)
}
