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

// Segment holds ended claims that were moved off a page, which would otherwise
// be written again with every change of the page. It never changes.
type Segment struct {
	Claims map[ident.Budget]map[ident.Request]*Claim `json:"claims"`
}

// SegmentID identifies a segment of a page by its content.
type SegmentID string

// SegmentRef lists a segment on its page.
type SegmentRef struct {
	ID SegmentID `json:"id"`
	// Ended is when the last claim of the segment ended.
	Ended time.Time `json:"ended"`
}

// claimSize is the usual encoded size of a claim in bytes.
const claimSize = 340

// maxSealed is the greatest number of claims in a segment. As many of the
// longest identifiers fit in a value of the key-value service.
const maxSealed = 512

// SegmentKey returns the key of a segment of page n in the key-value service.
func SegmentKey(n int, id SegmentID) string {
	return Key(n) + "/sealed/" + string(id)
}

// Seal moves the oldest of the ended claims, at most three quarters of them, to
// a new segment if they are worth least bytes. The segment must be durable
// before the page that lists it is written. Sealing by itself is not a change.
func (p *Page) Seal(least int) (s *Segment, ref SegmentRef, ok bool) {
	claims := p.ended()
	claims = claims[:min(len(claims)-len(claims)/4, maxSealed)]
	if len(claims) == 0 || len(claims)*claimSize < least {
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

// List adds a segment to the page.
func (p *Page) List(ref SegmentRef) {
	p.Sealed = append(p.Sealed, ref)
}

// Unlist removes a segment that has expired or is lost. Claims as old as those
// in it are answered with Expired from then on.
func (p *Page) Unlist(ref SegmentRef) {
	p.Sealed = slices.DeleteFunc(slices.Clone(p.Sealed), func(r SegmentRef) bool { return r == ref })
	for _, b := range p.Budgets {
		if ref.Ended.After(b.Pruned) {
			b.Pruned = ref.Ended
			b.encoded = nil
		}
	}
}

// Recall puts a sealed claim back on the page, unless the page has a newer
// record of it. By itself it is not a change.
func (p *Page) Recall(budget ident.Budget, c Claim) {
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

// Find returns the claim of a request, if the segment holds it.
func (s *Segment) Find(budget ident.Budget, request ident.Request) (c Claim, ok bool) {
	found := s.Claims[budget][request]
	if found == nil {
		return Claim{}, false
	}
	return *found, true
}

// EncodeSegment returns s as JSON with its identifier.
func EncodeSegment(s *Segment) (data []byte, id SegmentID, err error) {
	defer func() { err = merry.Prepend(err, "encoding ledger segment") }()
	data, err = json.Marshal(s)
	if err != nil {
		return nil, "", err
	}
	return data, SegmentID(strconv.FormatUint(xxhash.Sum64(data), 36)), nil
}

// DecodeSegment returns the segment that data encodes. It refuses unknown
// fields and claims that are open.
func DecodeSegment(data []byte) (s *Segment, err error) {
	defer func() { err = merry.Prepend(err, "decoding ledger segment") }()
	s = new(Segment)
	if err := decodeStrictly(data, s); err != nil {
		return nil, err
	}
	for _, claims := range s.Claims {
		for id, c := range claims {
			if c == nil || c.Request != id || c.State == StateOpen {
				return nil, merry.Prependf(ErrInvariant, "claim %s", id)
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

// ended returns the ended claims of the page, the oldest first.
func (p *Page) ended() []endedClaim {
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

// compare orders claims by their end, and those that ended together by name.
func (c endedClaim) compare(d endedClaim) int {
	return cmp.Or(c.Ended.Compare(d.Ended), cmp.Compare(c.budget, d.budget), cmp.Compare(c.Request, d.Request))
}
