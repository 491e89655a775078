// Package quarantine decides which requests are refused because they crash the
// upstreams that run them.
//
// When an upstream crashes, the crash is recorded for each request in flight on it;
// such a request is called accused. A request is refused once crashes of as many
// different upstreams as the crash limit are recorded for it, unless another
// request ran during all of the same crashes: then the request with more crashes is
// considered the cause, and among requests with equal crashes a multiple of the
// limit applies.
//
// When an accused request completes, its crashes are cleared, so that a request
// that merely ran alongside the cause is not refused. Each upstream counts only
// once for a request, because an upstream may crash repeatedly without a request
// causing it.
//
// The List is kept in the key-value service for the whole fleet, under one key,
// by compare-and-swap. This package does no I/O and reads no clock.
//
// # Usage
//
//	list.RecordCrash(now, digest, upstream)
//	if list.IsQuarantined(now, digest, limit) {
//		...
//	}
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/ident"
)

// Key is the key of the list in the key-value service.
const Key = "quarantine/requests"

const (
	// retention is how long after its last crash a request stays on the list.
	retention = 24 * time.Hour
	// maxRequests limits the size of the list. The requests whose last crash is
	// oldest are removed first.
	maxRequests = 2000
	// sameCrashWindow is the time within which reports of a crash of an upstream
	// by different routers are treated as the same crash.
	sameCrashWindow = 5 * time.Second
	// coRunLimitFactor multiplies the crash limit for a request if another request
	// ran during exactly the same crashes.
	coRunLimitFactor = 3
)

// Digest identifies the content of a request, independent of its request identifier.
type Digest string

// DigestOf returns the digest of a customer's request to a service with the given
// body.
func DigestOf(customer ident.Customer, service ident.Service, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(customer))
	h.Write([]byte{0})
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write(body)
	return Digest(hex.EncodeToString(h.Sum(nil)[:16]))
}

// List holds the crash histories of the accused requests. The zero value is an
// empty list. It is not safe for concurrent use.
type List struct {
	Requests map[Digest]CrashHistory `json:"accused"`
}

// CrashHistory holds the crashes recorded for one request.
type CrashHistory struct {
	// Crashes lists the crashes during which the request ran, at most one for each
	// upstream.
	Crashes []Crash `json:"crashes"`
}

// Change records a crash for a request. If Upstream is empty, it clears the request.
type Change struct {
	At       time.Time      `json:"at,omitzero"`
	Digest   Digest         `json:"digest"`
	Upstream ident.Upstream `json:"upstream,omitempty"`
}

// Crash is a crash of an upstream, as observed by one router.
type Crash struct {
	Upstream ident.Upstream `json:"upstream"`
	At       time.Time      `json:"at"`
}

// same reports whether c and other are observations of the same crash.
func (c Crash) same(other Crash) bool {
	return c.Upstream == other.Upstream && c.At.Sub(other.At).Abs() < sameCrashWindow
}

// lastCrash returns the time of the last crash.
func (h CrashHistory) lastCrash() (last time.Time) {
	for _, c := range h.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// RecordCrash records that upstream crashed while it ran the request. It also removes
// requests that have expired or exceed the size limit. It reports whether the list
// changed.
func (l *List) RecordCrash(now time.Time, d Digest, upstream ident.Upstream) (changed bool) {
	h := l.Requests[d]
	sameUpstream := func(c Crash) bool { return c.Upstream == upstream }
	if slices.ContainsFunc(h.Crashes, sameUpstream) {
		return false
	}
	if l.Requests == nil {
		l.Requests = make(map[Digest]CrashHistory)
	}
	h.Crashes = append(slices.Clone(h.Crashes), Crash{Upstream: upstream, At: now.UTC()})
	l.Requests[d] = h
	l.expire(now)
	return true
}

// Apply applies the changes in order. It reports whether the list changed.
func (l *List) Apply(changes []Change) (changed bool) {
	for _, c := range changes {
		if c.Upstream == "" {
			changed = l.Clear(c.Digest) || changed
			continue
		}
		changed = l.RecordCrash(c.At, c.Digest, c.Upstream) || changed
	}
	return changed
}

// Clear removes a request, which has completed, from the list. It reports whether
// the list changed.
func (l *List) Clear(d Digest) (changed bool) {
	if _, ok := l.Requests[d]; !ok {
		return false
	}
	delete(l.Requests, d)
	return true
}

// expire removes requests whose last crash is older than retention, and then the
// oldest ones beyond maxRequests.
func (l *List) expire(now time.Time) {
	for d, h := range l.Requests {
		if now.Sub(h.lastCrash()) > retention {
			delete(l.Requests, d)
		}
	}
	for len(l.Requests) > maxRequests {
		delete(l.Requests, l.oldest())
	}
}

// oldest returns the request whose last crash is the oldest.
func (l *List) oldest() (oldest Digest) {
	var last time.Time
	for d, h := range l.Requests {
		if oldest == "" || h.lastCrash().Before(last) {
			oldest, last = d, h.lastCrash()
		}
	}
	return oldest
}

// IsSuspect reports whether crashes are recorded for the request, the last one within
// retention. A suspect request runs apart from other suspects.
func (l *List) IsSuspect(now time.Time, d Digest) bool {
	h, ok := l.Requests[d]
	return ok && now.Sub(h.lastCrash()) <= retention
}

// IsQuarantined reports whether the number of crashes recorded for the request has
// reached the limit. If another request ran during all of these crashes and during
// more, the request is not refused. If another one ran during exactly the same
// crashes, the limit is multiplied by coRunLimitFactor.
func (l *List) IsQuarantined(now time.Time, d Digest, limit int) bool {
	if !l.IsSuspect(now, d) {
		return false
	}
	crashes := l.Requests[d].Crashes
	limit = max(limit, 1)
	switch l.coverage(d) {
	case coveredByMore:
		return false
	case coveredEqually:
		return len(crashes) >= coRunLimitFactor*limit
	}
	return len(crashes) >= limit
}

// coverage describes whether another request ran during all crashes of a request.
type coverage int

const (
	uncovered      coverage = iota // no other ran during all its crashes
	coveredEqually                 // another ran during the same crashes
	coveredByMore                  // another ran during them and during more
)

// coverage compares the crashes of a request with those of all other requests.
func (l *List) coverage(d Digest) coverage {
	result := uncovered
	crashes := l.Requests[d].Crashes
	for other, h := range l.Requests {
		if other == d || !h.covers(crashes) {
			continue
		}
		if len(h.Crashes) > len(crashes) {
			return coveredByMore
		}
		result = coveredEqually
	}
	return result
}

// covers reports whether the request ran during all the given crashes.
func (h CrashHistory) covers(crashes []Crash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(h.Crashes, c.same) {
			return false
		}
	}
	return true
}

// Encode returns the JSON encoding of the list.
func (l *List) Encode() (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encoding quarantine") }()
	return json.Marshal(l)
}

// Decode parses a list from JSON. Empty data yields an empty list.
func Decode(data []byte) (l List, err error) {
	defer func() { err = merry.Prepend(err, "decoding quarantine") }()
	if len(data) == 0 {
		return List{}, nil
	}
	err = json.Unmarshal(data, &l)
	return l, err
}
