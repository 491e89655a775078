package keyvalue

import (
	"maps"
	"slices"

	"example.org/lagoonfork/pkg/store"
)

// Copy is a copy of the entries and leases of a Service.
type Copy struct {
	revision  store.Revision
	compacted store.Revision
	events    []store.Event
	entries   map[string]store.Entry
	leases    map[store.Lease]*lease
	lastLease store.Lease
}

// Copy returns a copy of the current state for Restore.
func (s *Service) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyState()
}

// copyState returns a copy of the current state. The caller holds mu.
func (s *Service) copyState() *Copy {
	c := &Copy{
		revision:  s.revision,
		compacted: s.compacted,
		events:    slices.Clone(s.events),
		entries:   maps.Clone(s.entries),
		leases:    make(map[store.Lease]*lease, len(s.leases)),
		lastLease: s.lastLease,
	}
	for id, l := range s.leases {
		c.leases[id] = &lease{ttl: l.ttl, expires: l.expires, keys: maps.Clone(l.keys)}
	}
	return c
}

// Restore replaces the state by an earlier one, which begins the next era. All writes
// since the copy are lost, and their revisions and lease numbers are given out again.
// Leases of the copy restart their time to live. Open watches end, and writes held by
// Faults.HoldWrites stay held.
func (s *Service) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.revision = store.NewRevision(era, c.revision.Counter())
	s.lastLease = c.lastLease
	s.compacted = store.NewRevision(era, c.compacted.Counter())
	s.events = nil
	for _, e := range c.events {
		s.events = append(s.events, store.Event{Entry: inEra(era, e.Entry), Deleted: e.Deleted})
	}
	s.entries = make(map[string]store.Entry, len(c.entries))
	for key, e := range c.entries {
		s.entries[key] = inEra(era, e)
	}
	s.leases = make(map[store.Lease]*lease, len(c.leases))
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: s.now().Add(l.ttl), keys: maps.Clone(l.keys)}
	}
	s.broadcast()
}

// inEra returns an entry of a copy as it is in the era that the copy begins.
func inEra(era store.Era, e store.Entry) store.Entry {
	e.Revision = store.NewRevision(era, e.Revision.Counter())
	return e
}

// Era returns the era of the service.
func (s *Service) Era() store.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}

// Era returns the era of the service.
func (c *Client) Era() store.Era { return c.service.Era() }
