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

// leaseSlack is the part of the retention for which a segment outlives it.
const leaseSlack = 4

// Find returns the claim of a request from its page or from a segment.
func (c *Committer) Find(ctx context.Context, budget ident.Budget, request ident.Request) (found ledger.Claim, ok bool, err error) {
	defer func() { err = merry.Prependf(err, "finding request %s", request) }()
	n := ledger.Index(budget, len(c.pages))
	p, err := c.Page(ctx, n)
	if err != nil {
		return ledger.Claim{}, false, err
	}
	if found, ok = p.Find(budget, request); ok {
		return found, true, nil
	}
	for _, ref := range slices.Backward(p.Sealed) {
		s, err := c.readSegment(ctx, n, ref)
		if errors.Is(err, errSegmentLost) {
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

// recall puts the sealed claims that batch concerns back on the page.
func (c *Committer) recall(p *page, batch []*request) error {
	if len(p.current.Sealed) == 0 {
		return nil
	}
	for _, rq := range batch {
		id := rq.op.Request()
		if _, ok := p.current.Find(rq.op.Budget, id); ok || id == "" {
			continue
		}
		if err := c.recallOne(p, rq.op.Budget, id); err != nil {
			return err
		}
	}
	return nil
}

// recallOne looks for a claim in the segments, the latest first.
func (c *Committer) recallOne(p *page, budget ident.Budget, id ident.Request) error {
	for _, ref := range slices.Backward(slices.Clone(p.current.Sealed)) {
		s, err := c.segment(p, ref)
		if err != nil {
			return err
		}
		if claim, ok := s.Find(budget, id); ok {
			p.current.Recall(budget, claim)
			return nil
		}
	}
	return nil
}

// segment returns a segment that the page lists. One that is lost is unlisted:
// claims as old as its own are then refused rather than billed again.
func (c *Committer) segment(p *page, ref ledger.SegmentRef) (*ledger.Segment, error) {
	if s := p.segments[ref.ID]; s != nil {
		return s, nil
	}
	s, err := c.readSegment(c.context(), p.number, ref)
	if errors.Is(err, errSegmentLost) {
		event.LedgerSegmentLost.Warn(c.settings.Log, "page", p.number, "segment", ref.ID, "ended", ref.Ended)
		p.current.Unlist(ref)
		return new(ledger.Segment), nil
	}
	if err != nil {
		return nil, err
	}
	p.keep(ref, s)
	return s, nil
}

// errSegmentLost reports a segment whose key is gone.
var errSegmentLost = errors.New("ledger segment is lost")

func (c *Committer) readSegment(ctx context.Context, n int, ref ledger.SegmentRef) (*ledger.Segment, error) {
	entry, err := c.get(ctx, ledger.SegmentKey(n, ref.ID))
	if err != nil {
		return nil, err
	}
	if entry.Revision == 0 {
		return nil, errSegmentLost
	}
	return ledger.DecodeSegment(entry.Value)
}

// keep caches a segment, and drops those that the page lists no longer.
func (p *page) keep(ref ledger.SegmentRef, s *ledger.Segment) {
	listed := map[ledger.SegmentID]*ledger.Segment{ref.ID: s}
	for _, r := range p.current.Sealed {
		if old := p.segments[r.ID]; old != nil {
			listed[r.ID] = old
		}
	}
	p.segments = listed
}

// seal moves the oldest ended claims of a page to a new segment, which it
// writes before it lists it. If the page is then not written, the segment
// expires with its lease, and the claims are still on the page.
func (c *Committer) seal(p *page) (sealed bool, err error) {
	defer func() { err = merry.Prependf(err, "sealing claims of ledger page %d", p.number) }()
	s, ref, ok := p.current.Seal(c.settings.SealSize / 2)
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
	p.current.List(ref)
	p.keep(ref, s)
	c.counters.Sealed.Add(1)
	event.ClaimsSealed.Debug(c.settings.Log, "page", p.number, "segment", ref.ID, "bytes", len(data))
	return true, nil
}

// createSegment writes a segment under a lease that outlives its claims. A
// segment that exists has the same content, as its identifier tells.
func (c *Committer) createSegment(p *page, ref ledger.SegmentRef, data []byte) error {
	ctx, cancel := context.WithTimeout(c.context(), c.settings.Timeout)
	defer cancel()
	lease, err := c.settings.Store.Grant(ctx, segmentLife(c.settings.Retention))
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

func segmentLife(retention time.Duration) time.Duration {
	return retention + retention/leaseSlack
}
