package ledger

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Errors returned for pages.
var (
	// ErrInvariant reports a page that no sequence of ops can produce.
	ErrInvariant = errors.New("ledger page violates an invariant")
	// ErrPageFull reports that a page has no room for an op.
	ErrPageFull = errors.New("ledger page is full")
)

// Check returns an error that wraps ErrInvariant unless in each budget
//
//   - Settled plus all Granted is at most the prepaid total plus Excess,
//   - Reserved is at most Granted in each share,
//   - Reserved is the sum over the holder's open claims,
//   - and no count is negative or greater than the largest count of an op.
func (p *Page) Check() error {
	for id, b := range p.Budgets {
		if err := b.check(); err != nil {
			return merry.Prependf(err, "budget %s", id)
		}
	}
	return nil
}

// unkeyedRetention is how long the ended claim of a request without an
// idempotency key is kept, so that a repeated bill is recognized.
const unkeyedRetention = time.Minute

// Prune removes claims that ended at least retention before now. Settled claims
// without an idempotency key, and whose bill no other router held, are removed
// after unkeyedRetention if that is shorter. Open claims stay. Prune also removes
// references to segments whose claims all ended at least retention before now.
// It returns the number of claims removed from the page itself. A late bill that
// is old enough to have been pruned has the outcome Expired.
//
// Prune does nothing before p.PruneNotBefore, which RecordWrite sets when writes resume
// after a gap.
func (p *Page) Prune(now time.Time, retention time.Duration) (dropped int) {
	if now.Before(p.PruneNotBefore) {
		return 0
	}
	for _, ref := range p.Segments {
		if !ref.Ended.After(now.UTC().Add(-retention)) {
			p.RemoveSegment(ref)
		}
	}
	for _, b := range p.Budgets {
		n := b.prune(now.UTC(), retention)
		dropped += n
		if n > 0 {
			b.encoded = nil
			p.changes++
		}
	}
	return dropped
}

const (
	// writeGap is the time without a write after which the page may have been
	// unreachable for its writers.
	writeGap = 10 * time.Second
	// pruneHold is how long nothing is pruned after such a gap, so that bills
	// that routers kept during the gap still find the claims they repeat.
	pruneHold = time.Minute
	// maxClockSkew is the assumed maximum difference between the clocks of VMs.
	maxClockSkew = 5 * time.Second
)

// RecordWrite records a write of the page at the time now, and suspends pruning if the
// page was not written for at least writeGap.
func (p *Page) RecordWrite(now time.Time) {
	now = now.UTC().Truncate(time.Second)
	if !p.Written.IsZero() && now.Sub(p.Written) >= writeGap {
		p.PruneNotBefore = now.Add(pruneHold)
	}
	if now.After(p.Written) {
		p.Written = now
	}
}

func (b *Budget) prune(now time.Time, retention time.Duration) (dropped int) {
	for id, c := range b.Claims {
		if c.State == StateOpen || c.Ended.After(now.Add(-c.retention(retention))) {
			continue
		}
		delete(b.Claims, id)
		dropped++
		if c.Ended.After(b.PrunedUntil) {
			b.PrunedUntil = c.Ended
		}
	}
	return dropped
}

func (c *Claim) retention(keyed time.Duration) time.Duration {
	if c.Keyed || c.Delivered || c.State != StateSettled {
		return keyed
	}
	return min(keyed, unkeyedRetention)
}

func (b *Budget) check() error {
	if b == nil {
		return merry.Prepend(ErrInvariant, "budget is null")
	}
	if err := b.checkCounts(); err != nil {
		return err
	}
	if err := b.checkShares(); err != nil {
		return err
	}
	if used, limit := b.used(), b.prepaid()+b.Excess; used > limit {
		return merry.Prependf(ErrInvariant, "%d tokens settled and granted, limit %d", used, limit)
	}
	return nil
}

func (b *Budget) checkCounts() error {
	counts := []tokens.Count{b.Settled, b.WrittenOff, b.Excess, b.Funding.Prepaid}
	for _, t := range b.TopUps {
		counts = append(counts, t)
	}
	for _, c := range b.Claims {
		if c == nil {
			return merry.Prepend(ErrInvariant, "claim is null")
		}
		counts = append(counts, c.Reserved, c.Cost, c.Reserved-c.Cost)
	}
	for _, s := range b.Shares {
		if s == nil {
			return merry.Prepend(ErrInvariant, "share is null")
		}
		counts = append(counts, s.Granted, s.Reserved, s.Moved, s.Spent, s.Granted-s.Reserved)
	}
	for _, n := range counts {
		if !inRange(n) {
			return merry.Prependf(ErrInvariant, "count %d out of range", n)
		}
	}
	return nil
}

func (b *Budget) checkShares() error {
	reserved := make(map[ident.Incarnation]tokens.Count)
	for id, c := range b.Claims {
		if c.Request != id {
			return merry.Prependf(ErrInvariant, "claim of request %s has key %s", c.Request, id)
		}
		if c.State == StateOpen {
			reserved[c.Holder] += c.Reserved
		}
	}
	for holder, s := range b.Shares {
		if s.Reserved != reserved[holder] {
			return merry.Prependf(ErrInvariant, "share of %s has %d tokens reserved, its open claims %d", holder, s.Reserved, reserved[holder])
		}
		delete(reserved, holder)
	}
	for holder := range reserved {
		return merry.Prependf(ErrInvariant, "open claim of %s, which has no share", holder)
	}
	return nil
}
