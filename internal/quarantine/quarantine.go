// Package quarantine decides which requests are refused because they crash the
// upstreams that run them.
//
// When an upstream crashes, each request in flight on it is accused. A request
// is refused once it stands accused by crashes of as many different upstreams
// as the crash limit says. An accused request that completes is cleared, so
// that one which merely ran beside the culprit goes free; and an upstream that
// crashes by itself accuses each request only once.
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
	// Upstreams lists the different upstreams that crashed while they ran it.
	Upstreams []ident.Upstream `json:"upstreams"`
	Last      time.Time        `json:"last"`
}

// Accuse records that upstream crashed while it ran the request. It reports
// whether the list changed.
func (l *List) Accuse(now time.Time, d Digest, upstream ident.Upstream) (changed bool) {
	a := l.Accused[d]
	if slices.Contains(a.Upstreams, upstream) {
		return false
	}
	if l.Accused == nil {
		l.Accused = make(map[Digest]Accusation)
	}
	a.Upstreams = append(slices.Clone(a.Upstreams), upstream)
	a.Last = now
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
		if now.Sub(a.Last) > lifetime {
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
		if oldest == "" || a.Last.Before(last) {
			oldest, last = d, a.Last
		}
	}
	return oldest
}

// Suspect reports whether the request stands accused at all. A suspect runs
// apart from other suspects.
func (l *List) Suspect(now time.Time, d Digest) bool {
	return l.crashes(now, d) > 0
}

// Refused reports whether the request is refused under the crash limit.
func (l *List) Refused(now time.Time, d Digest, limit int) bool {
	return l.crashes(now, d) >= max(limit, 1)
}

func (l *List) crashes(now time.Time, d Digest) int {
	a, ok := l.Accused[d]
	if !ok || now.Sub(a.Last) > lifetime {
		return 0
	}
	return len(a.Upstreams)
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
