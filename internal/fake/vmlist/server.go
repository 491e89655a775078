// Package vmlist is a stand-in for the platform's list of VMs, which lags
// behind reality.
//
// # Usage
//
//	list := vmlist.New(vmlist.Settings{Lag: 30 * time.Second, Clock: time.Now})
//	list.Put(vm)
//	mux.Handle("/vms", list)
package vmlist

import (
	"net/http"
	"time"

	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/ident"
)

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
type Server struct{}

// New returns an empty list.
func New(settings Settings) *Server { return &Server{} }

// Put adds or changes a VM in reality; the list shows it after the lag.
func (s *Server) Put(vm vmlist.VM) {}

// Remove removes a VM in reality.
func (s *Server) Remove(id ident.VM) {}

// SetLag sets the lag of changes from now on.
func (s *Server) SetLag(lag time.Duration) {}

// SetOutage makes the list fail with status 503.
func (s *Server) SetOutage(outage bool) {}

// Advance moves the time of the list forward by d.
func (s *Server) Advance(d time.Duration) {}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {}
