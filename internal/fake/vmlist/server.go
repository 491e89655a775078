// Package vmlist is a stand-in for the platform's list of VMs, which lags
// behind reality.
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

// epoch is the present time of a Server without a clock until it is advanced.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Settings sets up a Server.
type Settings struct {
	// Clock gives the present time. Without a clock, time moves by Advance
	// alone.
	Clock func() time.Time
	// Lag is how long a change takes to show on the list.
	Lag time.Duration
}

// Server holds the list. It answers GET /vms as an http.Handler. Its methods
// are safe for concurrent use.
type Server struct {
	clock func() time.Time

	mu       sync.Mutex
	advanced time.Duration // added to the clock
	lag      time.Duration
	outage   bool
	shown    map[ident.VM]vmlist.VM
	pending  []change // in the order in which they were made
}

// change is a change of reality that the list does not show yet.
type change struct {
	vm      vmlist.VM
	removed bool
	shows   time.Time
}

// New returns an empty list.
func New(settings Settings) *Server {
	clock := settings.Clock
	if clock == nil {
		clock = func() time.Time { return epoch }
	}
	return &Server{
		clock: clock,
		lag:   settings.Lag,
		shown: make(map[ident.VM]vmlist.VM),
	}
}

// Put adds or changes a VM in reality; the list shows it after the lag.
func (s *Server) Put(vm vmlist.VM) {
	s.add(change{vm: vm})
}

// Remove removes a VM in reality.
func (s *Server) Remove(id ident.VM) {
	s.add(change{vm: vmlist.VM{ID: id}, removed: true})
}

// SetLag sets the lag of changes from now on.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetOutage makes the list fail with status 503.
func (s *Server) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// Advance moves the time of the list forward by d.
func (s *Server) Advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanced += d
}

// VMs returns the list as it shows, in order of id.
func (s *Server) VMs() []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.show()
	vms := make([]vmlist.VM, 0, len(s.shown))
	for _, id := range slices.Sorted(maps.Keys(s.shown)) {
		vms = append(vms, s.shown[id])
	}
	return vms
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if s.out() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client notices a list that is cut off.
	_ = json.NewEncoder(w).Encode(s.VMs())
}

func (s *Server) out() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *Server) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.shows = s.now().Add(s.lag)
	s.pending = append(s.pending, c)
}

// show applies the changes whose lag is over. The caller holds mu.
func (s *Server) show() {
	now := s.now()
	rest := s.pending[:0]
	for _, c := range s.pending {
		switch {
		case c.shows.After(now):
			rest = append(rest, c)
		case c.removed:
			delete(s.shown, c.vm.ID)
		default:
			s.shown[c.vm.ID] = c.vm
		}
	}
	s.pending = rest
}

func (s *Server) now() time.Time {
	return s.clock().Add(s.advanced)
}
