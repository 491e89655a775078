// Package keyvalue is an in-memory fake of the platform's key-value service for
// tests and for the embedded fleet.
//
// A Service holds the entries, the leases and the history of changes. Each
// Client implements store.Store on it. Faults can be changed at run time, on the
// Service for all clients or on a single client, so that a test can cut off one
// router from the service while the others still reach it.
//
// Leases expire by the service's clock, which keeps running during an outage. A
// holder that could not renew its lease finds it expired after the outage.
//
// # Usage
//
//	service := keyvalue.New(keyvalue.Settings{})
//	client := service.Client()
//	_, err := client.Put(ctx, "vm/a", value, store.If(0), store.NoLease)
//
//	client.SetFaults(keyvalue.Faults{LoseResponses: 1}) // affects the next write
//	service.SetFaults(keyvalue.Faults{Outage: true})  // affects all clients
//	service.Advance(time.Minute)                      // expires leases
//
//	copied := service.Copy()
//	service.Restore(copied) // loses the writes since; begins the next era
package keyvalue

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// defaultHistory is the default of Settings.History.
const defaultHistory = 4096

// epoch is the initial time of a Service without a clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Settings configures a Service. The zero value is valid.
type Settings struct {
	// Clock returns the current time. If it is nil, only Advance changes the
	// time.
	Clock func() time.Time
	// Seed seeds the random choice of lost writes and responses.
	Seed uint64
	// History is the minimum number of changes retained for watches. Older
	// changes are compacted. The default is 4096.
	History int
}

// Service holds the state shared by all clients. Its methods are safe for
// concurrent use.
type Service struct {
	clock   func() time.Time
	history int

	mu           sync.Mutex
	rng          *rand.Rand
	clockOffset  time.Duration  // added to the clock
	revision     store.Revision // of the last change; its era is that of the service
	compacted    store.Revision // changes up to this revision have been dropped
	entries      map[string]store.Entry
	events       []store.Event // changes after compacted, ordered by revision
	leases       map[store.Lease]*lease
	lastLease    store.Lease
	faults       *faultState
	heldWrites   []func() // writes postponed by Faults.HoldWrites
	counts       Counts
	stateChanged chan struct{} // closed and replaced on every change of entries or faults and on Compact
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
		clock:        clock,
		history:      history,
		rng:          rand.New(rand.NewPCG(settings.Seed, 0)),
		entries:      make(map[string]store.Entry),
		leases:       make(map[store.Lease]*lease),
		faults:       new(faultState),
		stateChanged: make(chan struct{}),
	}
}

// Client returns a new client with faults of its own.
func (s *Service) Client() *Client {
	return &Client{service: s, faults: new(faultState)}
}

// Advance moves the service's time forward by d and revokes the leases that
// expire.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset += d
	s.expire()
}

// Compact drops the history of all changes so far. A watch that has not yet
// received them ends with store.ErrCompacted.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.events = nil
	s.broadcast()
}

// SetFaults replaces the faults that apply to all clients. Faults set on a client
// apply in addition.
func (s *Service) SetFaults(f Faults) {
	s.setFaults(s.faults, f)
}

// ReleaseHeld executes the writes postponed by Faults.HoldWrites. A write whose
// condition no longer holds has no effect.
func (s *Service) ReleaseHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.heldWrites {
		write()
	}
	s.heldWrites = nil
}

// Counts returns the numbers of calls made by all clients so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Revision returns the current revision of the store.
func (s *Service) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Counts holds the number of calls of each kind, including rejected and failed
// calls.
type Counts struct {
	Reads       int // Get and List
	Writes      int // Put and Delete
	Leases      int // Grant, KeepAlive and Revoke
	Watches     int // calls of Watch
	OpenWatches int // watches that are open now
	Rejected    int // calls of any kind rejected because of an outage
}

// now returns the service's current time. The caller holds mu.
func (s *Service) now() time.Time {
	return s.clock().Add(s.clockOffset)
}

// broadcast wakes the watches that wait for changes. The caller holds mu.
func (s *Service) broadcast() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// recordEvent appends the change of one key to the history and wakes the watches.
// The caller holds mu.
func (s *Service) recordEvent(e store.Event) {
	s.events = append(s.events, e)
	if len(s.events) > 2*s.history {
		s.compactOldest()
	}
	s.broadcast()
}

// compactOldest drops all changes but the last s.history ones. The caller holds
// mu.
func (s *Service) compactOldest() {
	n := len(s.events) - s.history
	s.compacted = s.events[n-1].Entry.Revision
	s.events = slices.Clone(s.events[n:])
}
