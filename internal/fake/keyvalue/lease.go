package keyvalue

import (
	"maps"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// lease is a lease with the keys attached to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// grant creates a lease. The caller holds mu.
func (s *Service) grant(ttl time.Duration) store.Lease {
	s.lastLease++
	s.leases[s.lastLease] = &lease{
		ttl:     ttl,
		expires: s.now().Add(ttl),
		keys:    make(map[string]struct{}),
	}
	return s.lastLease
}

// renew restarts the time to live of a lease. The caller holds mu.
func (s *Service) renew(id store.Lease) error {
	l, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseNotFound
	}
	l.expires = s.now().Add(l.ttl)
	return nil
}

// revoke ends a lease and deletes its keys, all at the same revision. The caller
// holds mu.
func (s *Service) revoke(id store.Lease) error {
	l, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseNotFound
	}
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return nil
	}
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		delete(s.entries, key)
		s.recordEvent(deleteEvent(key, s.revision))
	}
	return nil
}

// expire revokes the leases whose time to live has passed. The caller holds mu.
func (s *Service) expire() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !s.leases[id].expires.After(now) {
			// The only error is an unknown lease, and id is in the map.
			_ = s.revoke(id)
		}
	}
}

// moveKey detaches key from one lease and attaches it to another. Either may be
// store.NoLease. The caller holds mu.
func (s *Service) moveKey(key string, from, to store.Lease) {
	if l, ok := s.leases[from]; ok {
		delete(l.keys, key)
	}
	if l, ok := s.leases[to]; ok {
		l.keys[key] = struct{}{}
	}
}

// deleteEvent returns the event of the deletion of key at revision r.
func deleteEvent(key string, r store.Revision) store.Event {
	return store.Event{
		Entry:   store.Entry{Key: key, Revision: r},
		Deleted: true,
	}
}
