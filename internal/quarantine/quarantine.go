// Package quarantine decides which requests are refused because they crash the
// upstreams that run them.
//
// A request is known by the digest of its content and by the digests of the parts of
// its prompt. When an upstream crashes, the crash is recorded for the digests of each
// request in flight on it; these are suspects. A request is refused once the crashes
// that count against one of its digests reach the crash limit.
//
//   - Each upstream counts once for a digest, because an upstream may crash repeatedly
//     without a request causing it.
//   - A crash counts against a part only if the request was sent when the router knew of
//     all earlier crashes of the part. Upstreams that end together therefore count once,
//     however many requests they take with them.
//   - A digest that was present at all crashes of another one and at more is considered
//     the cause, and the other one is not refused. If requests with different contents
//     ran during the same crashes, a multiple of the limit applies to them.
//   - A part is refused to the customers in whose requests it crashed upstreams, and to
//     all once there are two of them, so that a customer cannot have a part of another
//     one refused. To other customers it is on trial.
//
// An answer clears the crashes: for a part when it begins, for a content when it is
// complete. An answer that began shortly before a crash excuses a part for that crash. A refusal ends after a time that doubles with each further crash; then the
// digest is on trial, as is one whose crashes are one short of the limit. Requests with a
// digest on trial run one at a time.
//
// The List is kept in the key-value service for the whole fleet, under one key, by
// compare-and-swap. This package does no I/O and reads no clock.
//
// # Usage
//
//	list.Apply(now, []quarantine.Change{{Digest: digest, Upstream: upstream, Prior: list.Count(digest)}})
//	if list.IsQuarantined(now, digest, customer, limit) {
//		...
//	}
package quarantine

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/ident"
)

// Key is the key of the list in the key-value service.
const Key = "quarantine/list"

const (
	// retention is how long after its last crash a digest stays on the list.
	retention = 24 * time.Hour
	// suspectRetention is the same for a digest with a single crash, as most are that
	// ran beside the cause.
	suspectRetention = 10 * time.Minute
	// maxRecords limits the size of the list. The digests with the fewest crashes are
	// removed first, and among them those whose last crash is oldest.
	maxRecords = 2000
	// maxCrashes limits the crashes that are kept for a digest.
	maxCrashes = 32
	// sameCrashWindow is the time within which reports of a crash of an upstream
	// by different routers are treated as the same crash.
	sameCrashWindow = 5 * time.Second
	// coRunLimitFactor multiplies the crash limit for the content of a request if
	// another request ran during exactly the same crashes.
	coRunLimitFactor = 3
	// firstTerm is how long a digest is refused after the crash that reached the limit.
	firstTerm = 5 * time.Minute
)

// List holds the crashes of the suspect digests. The zero value is an empty list. It
// is not safe for concurrent use.
type List struct {
	Records map[Digest]Record `json:"records"`
}

// Record holds the crashes recorded for one digest.
type Record struct {
	// Part reports that the digest is that of a part of prompts.
	Part bool `json:"part,omitempty"`
	// Crashes lists the crashes during which requests with the digest ran, at most one
	// for each upstream.
	Crashes []Crash `json:"crashes"`
}

// Crash is a crash of an upstream, as observed by one router.
type Crash struct {
	Upstream ident.Upstream `json:"upstream"`
	Customer ident.Customer `json:"customer,omitempty"`
	At       time.Time      `json:"at"`
	// Concurrent reports that the request was sent before the last crash of the part was
	// known. Such a crash does not count against the part.
	Concurrent bool `json:"concurrent,omitempty"`
}

// Change is one change of a List: it records a crash of Upstream at At for the
// digest. If Upstream is empty, it clears the digest, and if Excused is set, that crash only.
type Change struct {
	At       time.Time      `json:"at,omitzero"`
	Digest   Digest         `json:"digest"`
	Part     bool           `json:"part,omitempty"`
	Upstream ident.Upstream `json:"upstream,omitempty"`
	Customer ident.Customer `json:"customer,omitempty"`
	// Prior is the number of crashes that counted against the digest, as known to the
	// router that sent the request when it did so.
	Prior   int  `json:"prior,omitempty"`
	Excused bool `json:"excused,omitempty"`
	// Trial reports that no crash is recorded or cleared, but a request with the digest,
	// which is on trial, has started to run. A List ignores such a change.
	Trial bool `json:"trial,omitempty"`
}

// same reports whether c and other are observations of the same crash.
func (c Crash) same(other Crash) bool {
	return c.Upstream == other.Upstream && c.At.Sub(other.At).Abs() < sameCrashWindow
}

// lastCrash returns the time of the last crash.
func (r Record) lastCrash() (last time.Time) {
	for _, c := range r.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// count returns the number of crashes that count against the digest.
func (r Record) count() (n int) {
	for _, c := range r.Crashes {
		if !c.Concurrent {
			n++
		}
	}
	return n
}

// expired reports whether the record is no longer kept.
func (r Record) expired(now time.Time) bool {
	kept := retention
	if r.count() < 2 {
		kept = suspectRetention
	}
	return now.Sub(r.lastCrash()) > kept
}

// Apply applies the changes in order, and removes digests that have expired or exceed
// the size limit. It reports whether the list changed.
func (l *List) Apply(now time.Time, changes []Change) (changed bool) {
	for _, c := range changes {
		switch {
		case c.Trial:
		case c.Upstream == "":
			changed = l.clear(c.Digest) || changed
		case c.Excused:
			changed = l.excuse(c.CrashID()) || changed
		default:
			changed = l.recordCrash(c) || changed
		}
	}
	if changed {
		l.expire(now)
	}
	return changed
}

// Shows reports whether the list is in a state to which the change leads.
func (l *List) Shows(c Change) bool {
	if c.Upstream == "" {
		_, ok := l.Records[c.Digest]
		return !ok
	}
	return l.hasCrash(c.CrashID()) != c.Excused
}

// CrashID identifies a crash of an upstream under a digest.
type CrashID string

// CrashID returns the identifier of the crash that the change is about.
func (c Change) CrashID() CrashID { return CrashID(string(c.Digest) + " " + string(c.Upstream)) }

// Excuse returns the change that clears the crash.
func (id CrashID) Excuse(now time.Time) Change {
	digest, upstream, _ := strings.Cut(string(id), " ")
	return Change{At: now, Digest: Digest(digest), Upstream: ident.Upstream(upstream), Excused: true}
}

// split returns the digest and a function that reports whether a crash is the identified one.
func (id CrashID) split() (d Digest, isCrash func(Crash) bool) {
	c := id.Excuse(time.Time{})
	return c.Digest, func(o Crash) bool { return o.Upstream == c.Upstream }
}

// hasCrash reports whether the list has the crash.
func (l *List) hasCrash(id CrashID) bool {
	d, isCrash := id.split()
	return slices.ContainsFunc(l.Records[d].Crashes, isCrash)
}

// excuse removes a crash. It reports whether the list changed.
func (l *List) excuse(id CrashID) (changed bool) {
	d, isCrash := id.split()
	r := l.Records[d]
	kept := slices.DeleteFunc(slices.Clone(r.Crashes), isCrash)
	switch {
	case len(kept) == len(r.Crashes):
		return false
	case len(kept) == 0:
		return l.clear(d)
	}
	r.Crashes = kept
	l.Records[d] = r
	return true
}

// recordCrash adds a crash to the record of a digest. If the record has one of the same
// upstream, that one is kept, with the time of the new one if it is much later. It reports
// whether the list changed.
func (l *List) recordCrash(c Change) (changed bool) {
	r := l.Records[c.Digest]
	sameUpstream := func(o Crash) bool { return o.Upstream == c.Upstream }
	if i := slices.IndexFunc(r.Crashes, sameUpstream); i >= 0 {
		if c.At.Sub(r.Crashes[i].At) < firstTerm {
			return false
		}
		r.Crashes = slices.Clone(r.Crashes)
		r.Crashes[i].At = c.At.UTC()
		l.Records[c.Digest] = r
		return true
	}
	if len(r.Crashes) >= maxCrashes {
		return false
	}
	crash := Crash{Upstream: c.Upstream, Customer: c.Customer, At: c.At.UTC(), Concurrent: c.Part && c.Prior < r.count()}
	if l.Records == nil {
		l.Records = make(map[Digest]Record)
	}
	r.Part = c.Part
	r.Crashes = append(slices.Clone(r.Crashes), crash)
	l.Records[c.Digest] = r
	return true
}

// clear removes a digest from the list. It reports whether the list changed.
func (l *List) clear(d Digest) (changed bool) {
	if _, ok := l.Records[d]; !ok {
		return false
	}
	delete(l.Records, d)
	return true
}

// expire removes records that are no longer kept, and then the least ones beyond
// maxRecords.
func (l *List) expire(now time.Time) {
	for d, r := range l.Records {
		if r.expired(now) {
			delete(l.Records, d)
		}
	}
	for len(l.Records) > maxRecords {
		delete(l.Records, l.least())
	}
}

// least returns the digest with the fewest crashes that count, and among these the one
// whose last crash is the oldest.
func (l *List) least() (least Digest) {
	var last time.Time
	var count int
	for d, r := range l.Records {
		n, at := r.count(), r.lastCrash()
		if least == "" || n < count || n == count && at.Before(last) {
			least, count, last = d, n, at
		}
	}
	return least
}

// Count returns the number of crashes that count against the digest.
func (l *List) Count(d Digest) int { return l.Records[d].count() }

// IsSuspect reports whether crashes are recorded for the digest and still kept. A
// request whose content is suspect runs apart from other suspects.
func (l *List) IsSuspect(now time.Time, d Digest) bool {
	r, ok := l.Records[d]
	return ok && !r.expired(now)
}

// IsQuarantined reports whether a request of the customer with the digest is refused
// under the crash limit.
func (l *List) IsQuarantined(now time.Time, d Digest, customer ident.Customer, limit int) bool {
	return l.QuarantineEnd(d, customer, limit).After(now)
}

// OnTrial reports whether a request of the customer with the digest is not refused although
// the crashes of the digest have reached the limit or are one short of it, and no other
// digest is considered their cause. Requests with such a digest run one at a time.
func (l *List) OnTrial(now time.Time, d Digest, customer ident.Customer, limit int) bool {
	r, ok := l.Records[d]
	if !ok || r.expired(now) || r.count() == 0 {
		return false
	}
	return r.count() >= max(limit, 1)-1 && l.coverage(d) != coveredByMore && !l.IsQuarantined(now, d, customer, limit)
}

// concerns reports whether the record counts against requests of the customer. The
// crashes of a part do so if requests of the customer or of two other ones were involved.
func (r Record) concerns(customer ident.Customer) bool {
	if !r.Part {
		return true
	}
	for _, c := range r.Crashes {
		if c.Customer == customer || c.Customer != r.Crashes[0].Customer {
			return true
		}
	}
	return false
}

// QuarantineEnd returns the time until which requests of the customer with the digest are
// refused under the crash limit, or the zero time if its crashes do not reach the limit.
func (l *List) QuarantineEnd(d Digest, customer ident.Customer, limit int) time.Time {
	r, ok := l.Records[d]
	limit = max(limit, 1)
	if !ok || r.count() < limit || !r.concerns(customer) {
		return time.Time{}
	}
	switch l.coverage(d) {
	case coveredByMore:
		return time.Time{}
	case coveredEqually:
		limit *= coRunLimitFactor
		if r.count() < limit {
			return time.Time{}
		}
	}
	term := firstTerm << min(r.count()-limit, 10)
	return r.lastCrash().Add(min(term, retention))
}

// coverage describes whether another digest was present at all crashes of a digest.
type coverage int

const (
	uncovered      coverage = iota // no other was present at all its crashes
	coveredEqually                 // the content of another request was, at the same crashes
	coveredByMore                  // another was, at these crashes and at more
)

// coverage compares the crashes of a digest with those of all others. Digests of parts
// are not compared with those that were present at the same crashes: they may be of the
// same requests.
func (l *List) coverage(d Digest) coverage {
	result := uncovered
	r := l.Records[d]
	for other, o := range l.Records {
		if other == d || !o.covers(r.Crashes) {
			continue
		}
		if len(o.Crashes) > len(r.Crashes) {
			return coveredByMore
		}
		if !r.Part && !o.Part {
			result = coveredEqually
		}
	}
	return result
}

// covers reports whether the digest was present at all the given crashes.
func (r Record) covers(crashes []Crash) bool {
	for _, c := range crashes {
		if !slices.ContainsFunc(r.Crashes, c.same) {
			return false
		}
	}
	return true
}

// Encode returns the JSON encoding of the list.
func (l *List) Encode() (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "encoding the quarantine list") }()
	return json.Marshal(l)
}

// Decode parses a list from JSON. Empty data yields an empty list.
func Decode(data []byte) (l List, err error) {
	defer func() { err = merry.Prepend(err, "decoding the quarantine list") }()
	if len(data) == 0 {
		return List{}, nil
	}
	err = json.Unmarshal(data, &l)
	return l, err
}
