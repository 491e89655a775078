package committer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// leaseMarginDivisor is the ratio of the retention to the time by which the lease
// of a segment exceeds it.
const leaseMarginDivisor = 4

// FindClaim returns the claim of a request from its page or from a segment.
// Missing segments are skipped.
func (c *Committer) FindClaim(ctx context.Context, budget ident.Budget, request ident.Request) (found ledger.Claim, ok bool, err error) {
	defer func() { err = merry.Prependf(err, "finding request %s", request) }()
	n := ledger.PageIndex(budget, len(c.pages))
	p, err := c.Page(ctx, n)
	if err != nil {
		return ledger.Claim{}, false, err
	}
	if found, ok = p.Find(budget, request); ok {
		return found, true, nil
	}
	for _, ref := range slices.Backward(p.Segments) {
		s, err := c.readSegment(ctx, n, ref)
		if errors.Is(err, errSegmentNotFound) {
			continue
		}
		if err != nil {
			return ledger.Claim{}, false, err
		}
		if found, ok = s.Find(budget, request); ok {
			return found, true, nil
		}
	}
	return ledger.Claim{}, false, nil
}

// restoreSealed copies the sealed claims that the ops of batch refer to back to
// the cached page.
func (c *Committer) restoreSealed(p *page, batch []*request) error {
	if len(p.current.Segments) == 0 {
		return nil
	}
	for _, rq := range batch {
		id := rq.op.Request()
		if _, ok := p.current.Find(rq.op.Budget, id); ok || id == "" {
			continue
		}
		if err := c.restoreClaim(p, rq.op.Budget, id); err != nil {
			return err
		}
	}
	return nil
}

// restoreClaim searches the segments for a claim, newest first, and copies it back
// to the cached page if it is found.
func (c *Committer) restoreClaim(p *page, budget ident.Budget, id ident.Request) error {
	for _, ref := range slices.Backward(slices.Clone(p.current.Segments)) {
		s, err := c.segment(p, ref)
		if err != nil {
			return err
		}
		if claim, ok := s.Find(budget, id); ok {
			p.current.RestoreClaim(budget, claim)
			return nil
		}
	}
	return nil
}

// segment returns a segment that is listed on the page, from the cache if
// possible. If the segment is missing, segment returns an empty one and removes
// the reference from the page, after which claims as old as those in the segment
// are rejected as expired instead of being billed again.
func (c *Committer) segment(p *page, ref ledger.SegmentRef) (*ledger.Segment, error) {
	if s := p.segments[ref.ID]; s != nil {
		return s, nil
	}
	s, err := c.readSegment(c.context(), p.number, ref)
	if errors.Is(err, errSegmentNotFound) {
		event.LedgerSegmentLost.Warn(c.settings.Log, "page", p.number, "segment", ref.ID, "ended", ref.Ended)
		p.current.RemoveSegment(ref)
		return new(ledger.Segment), nil
	}
	if err != nil {
		return nil, err
	}
	p.cacheSegment(ref, s)
	return s, nil
}

// errSegmentNotFound is returned for a segment whose key does not exist.
var errSegmentNotFound = errors.New("ledger segment not found")

// readSegment reads a segment of page n from the key-value service.
func (c *Committer) readSegment(ctx context.Context, n int, ref ledger.SegmentRef) (*ledger.Segment, error) {
	entry, err := c.get(ctx, ledger.SegmentKey(n, ref.ID))
	if err != nil {
		return nil, err
	}
	if !entry.Exists() {
		return nil, errSegmentNotFound
	}
	return ledger.DecodeSegment(entry.Value)
}

// cacheSegment caches a segment, and evicts those that are no longer listed on
// the page.
func (p *page) cacheSegment(ref ledger.SegmentRef, s *ledger.Segment) {
	listed := map[ledger.SegmentID]*ledger.Segment{ref.ID: s}
	for _, r := range p.current.Segments {
		if old := p.segments[r.ID]; old != nil {
			listed[r.ID] = old
		}
	}
	p.segments = listed
}

// seal moves the oldest ended claims of the page to a new segment. It writes the
// segment before listing it on the page. If the page is not written afterwards,
// the stored page still has the claims, and the segment expires with its lease.
func (c *Committer) seal(p *page) (sealed bool, err error) {
	defer func() { err = merry.Prependf(err, "sealing claims of ledger page %d", p.number) }()
	s, ref, ok := p.current.MoveToSegment(c.settings.SealSize / 2)
	if !ok {
		return false, nil
	}
	data, id, err := ledger.EncodeSegment(s)
	if err != nil {
		return false, err
	}
	ref.ID = id
	if err := c.createSegment(p, ref, data); err != nil {
		return false, err
	}
	p.current.AddSegment(ref)
	p.cacheSegment(ref, s)
	c.counters.Sealed.Add(1)
	event.ClaimsSealed.Debug(c.settings.Log, "page", p.number, "segment", ref.ID, "bytes", len(data))
	return true, nil
}

// createSegment writes a segment with a lease longer than the retention of its
// claims. An existing segment with the same key has the same content, because
// its identifier is derived from the content.
func (c *Committer) createSegment(p *page, ref ledger.SegmentRef, data []byte) error {
	ctx, cancel := context.WithTimeout(c.context(), c.settings.Timeout)
	defer cancel()
	lease, err := c.settings.Store.Grant(ctx, segmentTTL(c.settings.Retention))
	if err != nil {
		return merry.Prepend(store.ErrUnavailable, err.Error())
	}
	c.counters.Writes.Add(1)
	_, err = c.settings.Store.Put(ctx, ledger.SegmentKey(p.number, ref.ID), data, store.If(0), lease)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return merry.Prepend(store.ErrUnavailable, err.Error())
	}
	return nil
}

// segmentTTL returns the duration of the lease of a segment, which exceeds the
// retention of its claims.
func segmentTTL(retention time.Duration) time.Duration {
	return retention + retention/leaseMarginDivisor
}
