package ledger

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// Segment contains ended claims that were moved off a page, so that they are not
// rewritten with every change of the page. It is immutable once written.
type Segment struct {
	Claims map[ident.Budget]map[ident.Request]*Claim `json:"claims"`
}

// SegmentID identifies a segment of a page by a hash of its content.
type SegmentID string

// SegmentRef is the reference to a segment on its page.
type SegmentRef struct {
	ID SegmentID `json:"id"`
	// Ended is the latest end time of the claims in the segment.
	Ended time.Time `json:"ended"`
}

// typicalClaimSize is the typical encoded size of a claim in bytes.
const typicalClaimSize = 340

// maxSegmentClaims is the maximum number of claims in a segment. A segment of
// this size fits in a value of the key-value service even if all identifiers
// have their maximum length.
const maxSegmentClaims = 512

// SegmentKey returns the key of a segment of page n in the key-value service.
func SegmentKey(n int, id SegmentID) string {
	return PageKey(n) + "/sealed/" + string(id)
}

// MoveToSegment moves the oldest ended claims, at most three quarters of them and
// at most maxSegmentClaims, to a new segment if their estimated size is at least
// minBytes. Otherwise ok is false. The caller sets the ID of ref to that returned
// by EncodeSegment, and passes ref to AddSegment. The segment must be durable
// before the page that references it is written. MoveToSegment does not count as a
// change of the page.
func (p *Page) MoveToSegment(minBytes int) (s *Segment, ref SegmentRef, ok bool) {
	claims := p.endedClaims()
	claims = claims[:min(len(claims)-len(claims)/4, maxSegmentClaims)]
	if len(claims) == 0 || len(claims)*typicalClaimSize < minBytes {
		return nil, SegmentRef{}, false
	}
	s = &Segment{Claims: make(map[ident.Budget]map[ident.Request]*Claim)}
	for _, c := range claims {
		s.add(c.budget, c.Claim)
		b := p.Budgets[c.budget]
		delete(b.Claims, c.Request)
		b.encoded = nil
		ref.Ended = c.Ended
	}
	return s, ref, true
}

// AddSegment adds a reference to a segment to the page.
func (p *Page) AddSegment(ref SegmentRef) {
	p.Segments = append(p.Segments, ref)
}

// RemoveSegment removes the reference to a segment that has expired or is lost.
// From then on, an Open or Settle without an existing claim has the outcome
// Expired if its claim is as old as those in the segment.
func (p *Page) RemoveSegment(ref SegmentRef) {
	p.Segments = slices.DeleteFunc(slices.Clone(p.Segments), func(r SegmentRef) bool { return r == ref })
	for _, b := range p.Budgets {
		if ref.Ended.After(b.PrunedUntil) {
			b.PrunedUntil = ref.Ended
			b.encoded = nil
		}
	}
}

// RestoreClaim copies a claim from a segment back to the page, unless the page
// already has a claim for the request, which is newer. It does not count as a
// change of the page.
func (p *Page) RestoreClaim(budget ident.Budget, c Claim) {
	b := p.Budgets[budget]
	if b == nil || b.Claims[c.Request] != nil {
		return
	}
	if b.Claims == nil {
		b.Claims = make(map[ident.Request]*Claim)
	}
	b.Claims[c.Request] = &c
	b.encoded = nil
}

// Find returns a copy of the claim of a request, if the segment contains it.
func (s *Segment) Find(budget ident.Budget, request ident.Request) (c Claim, ok bool) {
	found := s.Claims[budget][request]
	if found == nil {
		return Claim{}, false
	}
	return *found, true
}

// EncodeSegment returns s as JSON, and its identifier.
func EncodeSegment(s *Segment) (data []byte, id SegmentID, err error) {
	defer func() { err = merry.Prepend(err, "encoding ledger segment") }()
	data, err = json.Marshal(s)
	if err != nil {
		return nil, "", err
	}
	return data, SegmentID(strconv.FormatUint(xxhash.Sum64(data), 36)), nil
}

// DecodeSegment returns the segment that data encodes. It rejects unknown
// fields and open claims.
func DecodeSegment(data []byte) (s *Segment, err error) {
	defer func() { err = merry.Prepend(err, "decoding ledger segment") }()
	s = new(Segment)
	if err := decodeStrictly(data, s); err != nil {
		return nil, err
	}
	for _, claims := range s.Claims {
		for id, c := range claims {
			if c == nil || c.Request != id || c.State == StateOpen {
				return nil, merry.Prependf(ErrInvariant, "claim with key %s is null, open or of another request", id)
			}
		}
	}
	return s, nil
}

func (s *Segment) add(budget ident.Budget, c *Claim) {
	if s.Claims[budget] == nil {
		s.Claims[budget] = make(map[ident.Request]*Claim)
	}
	s.Claims[budget][c.Request] = c
}

// endedClaim is a claim with its budget.
type endedClaim struct {
	budget ident.Budget
	*Claim
}

// endedClaims returns the ended claims of the page, the oldest first.
func (p *Page) endedClaims() []endedClaim {
	var claims []endedClaim
	for id, b := range p.Budgets {
		for _, c := range b.Claims {
			if c.State != StateOpen {
				claims = append(claims, endedClaim{id, c})
			}
		}
	}
	slices.SortFunc(claims, endedClaim.compare)
	return claims
}

// compare orders claims by end time, then by budget and request.
func (c endedClaim) compare(d endedClaim) int {
	return cmp.Or(c.Ended.Compare(d.Ended), cmp.Compare(c.budget, d.budget), cmp.Compare(c.Request, d.Request))
}
