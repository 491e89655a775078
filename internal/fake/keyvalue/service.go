// Package keyvalue is an in-memory stand-in for the platform's key-value
// service, for tests and for the embedded fleet.
//
// A Service holds the entries, the leases and the changes. Each Client is a
// store.Store over it. Faults are set at run time, for all clients on the
// Service or for one client, so that one router can be parted from the service
// while others are not.
//
// Leases follow the service's clock. The time to live goes on during an
// outage, so a holder that could not renew its lease finds it lapsed when the
// service is back.
//
// # Usage
//
//	service := keyvalue.New(keyvalue.Settings{})
//	client := service.Client()
//	_, err := client.Put(ctx, "vm/a", value, store.If(0), store.NoLease)
//
//	client.SetFaults(keyvalue.Faults{LoseAnswers: 1}) // the next write
//	service.SetFaults(keyvalue.Faults{Outage: true})  // all clients
//	service.Advance(time.Minute)                      // leases lapse
package keyvalue

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// defaultHistory is the number of changes held if Settings does not say.
const defaultHistory = 4096

// epoch is the present time of a Service without a clock until it is advanced.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Settings sets up a Service. The zero value is useful.
type Settings struct {
	// Clock gives the present time. Without a clock, time moves by Advance
	// alone.
	Clock func() time.Time
	// Seed seeds the choice of lost writes and answers.
	Seed uint64
	// History is the least number of changes held for watches. Older ones are
	// compacted. The default is 4096.
	History int
}

// Service is the state that all clients share. Its methods are safe for
// concurrent use.
type Service struct {
	clock   func() time.Time
	history int

	mu        sync.Mutex
	rng       *rand.Rand
	advanced  time.Duration // added to the clock
	revision  store.Revision
	compacted store.Revision // changes up to this revision are gone
	entries   map[string]store.Entry
	changes   []store.Event // after compacted, in order of revision
	leases    map[store.Lease]*lease
	lastLease store.Lease
	faults    *faults
	late      []func() // writes held back by Faults.HoldWrites
	counts    Counts
	changed   chan struct{} // closed and replaced at each change of state
}

// New returns an empty service.
func New(settings Settings) *Service {
	clock := settings.Clock
	if clock == nil {
		clock = func() time.Time { return epoch }
	}
	history := settings.History
	if history <= 0 {
		history = defaultHistory
	}
	return &Service{
		clock:   clock,
		history: history,
		rng:     rand.New(rand.NewPCG(settings.Seed, 0)),
		entries: make(map[string]store.Entry),
		leases:  make(map[store.Lease]*lease),
		faults:  new(faults),
		changed: make(chan struct{}),
	}
}

// Client returns a new handle with faults of its own.
func (s *Service) Client() *Client {
	return &Client{service: s, faults: new(faults)}
}

// Advance moves the service's time forward by d and ends the leases that lapse.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanced += d
	s.expire()
}

// Compact drops all changes so far. A watch that has not seen them ends with
// store.ErrCompacted.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.changes = nil
	s.broadcast()
}

// SetFaults sets the faults of all clients. The faults of each client come on
// top.
func (s *Service) SetFaults(f Faults) {
	s.setFaults(s.faults, f)
}

// ReleaseHeld lets the writes held back by Faults.HoldWrites take effect now,
// if their conditions still hold.
func (s *Service) ReleaseHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

// Counts returns the number of calls of all clients so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Revision returns the revision of the store.
func (s *Service) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Counts counts calls by kind. Refused and failed calls count too.
type Counts struct {
	Reads    int // Get and List
	Writes   int // Put and Delete
	Leases   int // Grant, KeepAlive and Revoke
	Watches  int // watches begun
	Waiting  int // watches open at present
	Rejected int // calls of any kind that an outage refused
}

func (s *Service) now() time.Time {
	return s.clock().Add(s.advanced)
}

// broadcast wakes the waiting watches. The caller holds mu.
func (s *Service) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// change records the change of one key at the revision of e. The caller holds
// mu.
func (s *Service) change(e store.Event) {
	s.changes = append(s.changes, e)
	if len(s.changes) > 2*s.history {
		s.trim()
	}
	s.broadcast()
}

// trim compacts all but the last changes. The caller holds mu.
func (s *Service) trim() {
	n := len(s.changes) - s.history
	s.compacted = s.changes[n-1].Entry.Revision
	s.changes = slices.Clone(s.changes[n:])
}
