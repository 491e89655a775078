package affinity

import "time"

const (
	// cacheTime is how long an upstream is expected to have a shared prefix in its cache after
	// this router sent it there.
	cacheTime = 10 * time.Second
	// maxSent bounds the prefixes that are remembered for a service.
	maxSent = 2048
)

// sentKey is a shared prefix on one incarnation of an upstream.
type sentKey struct {
	key    uint64
	member *member
}

// sentPrefixes remembers to which upstreams shared prefixes were sent last. The zero value is
// empty.
type sentPrefixes struct {
	at    map[sentKey]time.Time
	order []sentKey // of the first time; the oldest is forgotten first
}

// add records that a prefix was sent to m.
func (s *sentPrefixes) add(now time.Time, key uint64, m *member) {
	if key == 0 {
		return
	}
	if s.at == nil {
		s.at = make(map[sentKey]time.Time)
	}
	k := sentKey{key, m}
	_, known := s.at[k]
	s.at[k] = now
	if known {
		return
	}
	s.order = append(s.order, k)
	for len(s.order) > maxSent || now.Sub(s.at[s.order[0]]) >= cacheTime {
		delete(s.at, s.order[0])
		s.order = s.order[1:]
	}
}

// has reports whether a prefix was sent to m within cacheTime.
func (s *sentPrefixes) has(now time.Time, key uint64, m *member) bool {
	at, ok := s.at[sentKey{key, m}]
	return ok && now.Sub(at) < cacheTime
}
