// Package quarantine decides which requests are refused because they crash the
// upstreams that run them.
//
// When an upstream crashes, each request in flight on it is accused. A request
// is refused once it stands accused by crashes of as many different upstreams
// as the crash limit says, unless another request was beside it each time: then
// the one that was there at more crashes is taken for the culprit. An accused
// request that completes is cleared, so that one which merely ran beside the
// culprit goes free; and an upstream that crashes by itself accuses each
// request only once.
//
// The List is kept in the key-value service for the whole fleet, under one key,
// by compare-and-swap. This package holds the pure part.
//
// # Usage
//
//	list.Accuse(now, digest, upstream)
//	if list.Refused(now, digest, limit) {
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
	// lifetime is how long an accusation stands.
	lifetime = 24 * time.Hour
	// maxAccused bounds the list. The oldest accusations go first.
	maxAccused = 2000
	// sameCrash is how far apart routers may see the same crash.
	sameCrash = 5 * time.Second
	// tiedFactor is how many times the crash limit a request may crash
	// upstreams while another one ran beside it each time.
	tiedFactor = 3
)

// Digest identifies the content of a request, whatever its identifier.
type Digest string

// DigestOf returns the digest of a customer's request with the given body.
func DigestOf(customer ident.Customer, service ident.Service, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(customer))
	h.Write([]byte{0})
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write(body)
	return Digest(hex.EncodeToString(h.Sum(nil)[:16]))
}

// List holds the accused requests. The zero value is empty. It is not safe for
// concurrent use.
type List struct {
	Accused map[Digest]Accusation `json:"accused"`
}

// Accusation is what speaks against one request.
type Accusation struct {
	// Crashes lists the crashes during which it ran, one for each upstream.
	Crashes []Crash `json:"crashes"`
}

// Change is an accusation of a request, or a clearance if there is no upstream.
type Change struct {
	At       time.Time      `json:"at,omitzero"`
	Digest   Digest         `json:"digest"`
	Upstream ident.Upstream `json:"upstream,omitempty"`
}

// Crash is a crash of an upstream, as one router saw it.
type Crash struct {
	Upstream ident.Upstream `json:"upstream"`
	At       time.Time      `json:"at"`
}

// same reports whether two routers speak of the same crash.
func (c Crash) same(other Crash) bool {
	return c.Upstream == other.Upstream && c.At.Sub(other.At).Abs() < sameCrash
}

// last returns the time of the last crash.
func (a Accusation) last() (last time.Time) {
	for _, c := range a.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// Accuse records that upstream crashed while it ran the request. It reports
// whether the list changed.
func (l *List) Accuse(now time.Time, d Digest, upstream ident.Upstream) (changed bool) {
	a := l.Accused[d]
	ofUpstream := func(c Crash) bool { return c.Upstream == upstream }
	if slices.ContainsFunc(a.Crashes, ofUpstream) {
		return false
	}
	if l.Accused == nil {
		l.Accused = make(map[Digest]Accusation)
	}
	a.Crashes = append(slices.Clone(a.Crashes), Crash{Upstream: upstream, At: now.UTC()})
	l.Accused[d] = a
	l.expire(now)
	return true
}

// Apply makes the changes in order. It reports whether the list changed.
func (l *List) Apply(changes []Change) (changed bool) {
	for _, c := range changes {
		if c.Upstream == "" {
			changed = l.Clear(c.Digest) || changed
			continue
		}
		changed = l.Accuse(c.At, c.Digest, c.Upstream) || changed
	}
	return changed
}

// Clear records that the request completed. It reports whether the list
// changed.
func (l *List) Clear(d Digest) (changed bool) {
	if _, ok := l.Accused[d]; !ok {
		return false
	}
	delete(l.Accused, d)
	return true
}

func (l *List) expire(now time.Time) {
	for d, a := range l.Accused {
		if now.Sub(a.last()) > lifetime {
			delete(l.Accused, d)
		}
	}
	for len(l.Accused) > maxAccused {
		delete(l.Accused, l.oldest())
	}
}

func (l *List) oldest() (oldest Digest) {
	var last time.Time
	for d, a := range l.Accused {
		if oldest == "" || a.last().Before(last) {
			oldest, last = d, a.last()
		}
	}
	return oldest
}

// Suspect reports whether the request stands accused at all. A suspect runs
// apart from other suspects.
func (l *List) Suspect(now time.Time, d Digest) bool {
	a, ok := l.Accused[d]
	return ok && now.Sub(a.last()) <= lifetime
}

// Refused reports whether the request has crashed as many upstreams as the
// limit says. A request that another one was beside at all its crashes is not
// refused for them if that one has crashed more, and for as many only after
// tiedFactor times the limit.
func (l *List) Refused(now time.Time, d Digest, limit int) bool {
	if !l.Suspect(now, d) {
		return false
	}
	crashes := l.Accused[d].Crashes
	limit = max(limit, 1)
	switch l.standing(d) {
	case standingBehind:
		return false
	case standingTied:
		return len(crashes) >= tiedFactor*limit
	}
	return len(crashes) >= limit
}

// standing compares a request with those that ran beside it.
type standing int

const (
	standingFirst  standing = iota // no other ran during all its crashes
	standingTied                   // another ran during the same crashes
	standingBehind                 // another ran during them and during more
)

func (l *List) standing(d Digest) standing {
	first := standingFirst
	crashes := l.Accused[d].Crashes
	for other, a := range l.Accused {
		if other == d || !a.covers(crashes) {
			continue
		}
		if len(a.Crashes) > len(crashes) {
			return standingBehind
		}
		first = standingTied
	}
	return first
}

// covers reports whether the request ran during all the given crashes.
func (a Accusation) covers(crashes []Crash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(a.Crashes, c.same) {
			return false
		}
	}
	return true
}

// Encode returns the list as JSON.
func (l *List) Encode() (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encoding quarantine") }()
	return json.Marshal(l)
}

// Decode returns the list that data holds. Empty data is an empty list.
func Decode(data []byte) (l List, err error) {
	defer func() { err = merry.Prepend(err, "decoding quarantine") }()
	if len(data) == 0 {
		return List{}, nil
	}
	err = json.Unmarshal(data, &l)
	return l, err
}
