// Package quarantine decides which requests are refused because they crash the
// upstreams that run them.
//
// When an upstream crashes, each request in flight on it is accused. A crash is
// evidence of one, divided by the requests that stand accused of it; a request
// is refused once the evidence against it reaches about the crash limit. An
// accused request that completes is cleared, so that one which merely ran
// beside the culprit goes free; and an upstream that crashes by itself accuses
// each request only once.
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
	// evidenceMargin is how far below the crash limit the evidence may be.
	evidenceMargin = 0.5
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

// Refused reports whether the evidence against the request reaches the crash
// limit. A crash during which no other accused request ran counts as one, one
// with others as its part.
func (l *List) Refused(now time.Time, d Digest, limit int) bool {
	return l.Suspect(now, d) && l.evidence(d) > float64(max(limit, 1))-evidenceMargin
}

// evidence sums the parts of the crashes that speak against the request.
func (l *List) evidence(d Digest) (sum float64) {
	for _, c := range l.Accused[d].Crashes {
		sum += 1 / float64(l.suspects(c))
	}
	return sum
}

// suspects counts the requests that ran during a crash and stand accused.
func (l *List) suspects(c Crash) (n int) {
	for _, a := range l.Accused {
		if slices.ContainsFunc(a.Crashes, c.same) {
			n++
		}
	}
	return n
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
