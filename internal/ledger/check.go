package ledger

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Errors of pages.
var (
	// ErrInvariant reports a page that no sequence of ops can lead to.
	ErrInvariant = errors.New("ledger page breaks an invariant")
	// ErrPageFull reports a page that has no room for an op.
	ErrPageFull = errors.New("ledger page is full")
)

// Check returns an error that wraps ErrInvariant unless in each budget
//
//   - Settled plus all Granted is at most the prepaid total plus Excess,
//   - Reserved is at most Granted in each share,
//   - Reserved is the sum over the holder's open claims,
//   - and no count is negative or beyond the bound of ops.
func (p *Page) Check() error {
	for id, b := range p.Budgets {
		if err := b.check(); err != nil {
			return merry.Prependf(err, "budget %s", id)
		}
	}
	return nil
}

// Prune drops the claims that ended at least retention before now. Open claims
// stay. Segments whose claims are all that old are no longer listed. It returns
// the number of claims dropped from the page itself. A late record of a request
// that is old enough to have been dropped is answered with Expired.
func (p *Page) Prune(now time.Time, retention time.Duration) (dropped int) {
	cutoff := now.UTC().Round(0).Add(-retention)
	for _, ref := range p.Sealed {
		if !ref.Ended.After(cutoff) {
			p.Unlist(ref)
		}
	}
	for _, b := range p.Budgets {
		n := b.prune(cutoff)
		dropped += n
		if n > 0 {
			b.encoded = nil
			p.changes++
		}
	}
	return dropped
}

func (b *Budget) prune(cutoff time.Time) (dropped int) {
	for id, c := range b.Claims {
		if c.State == StateOpen || c.Ended.After(cutoff) {
			continue
		}
		delete(b.Claims, id)
		dropped++
	}
	if dropped > 0 && cutoff.After(b.Pruned) {
		b.Pruned = cutoff
	}
	return dropped
}

func (b *Budget) check() error {
	if b == nil {
		return merry.Prepend(ErrInvariant, "no content")
	}
	if err := b.checkCounts(); err != nil {
		return err
	}
	if err := b.checkShares(); err != nil {
		return err
	}
	if used, limit := b.used(), b.prepaid()+b.Excess; used > limit {
		return merry.Prependf(ErrInvariant, "%d settled and shared of %d prepaid", used, limit)
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
			return merry.Prepend(ErrInvariant, "claim without content")
		}
		counts = append(counts, c.Reserved, c.Cost, c.Reserved-c.Cost)
	}
	for _, s := range b.Shares {
		if s == nil {
			return merry.Prepend(ErrInvariant, "share without content")
		}
		counts = append(counts, s.Granted, s.Reserved, s.Moved, s.Granted-s.Reserved)
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
			return merry.Prependf(ErrInvariant, "claim %s under the key %s", c.Request, id)
		}
		if c.State == StateOpen {
			reserved[c.Holder] += c.Reserved
		}
	}
	for holder, s := range b.Shares {
		if s.Reserved != reserved[holder] {
			return merry.Prependf(ErrInvariant, "share of %s reserves %d for claims of %d", holder, s.Reserved, reserved[holder])
		}
		delete(reserved, holder)
	}
	for holder := range reserved {
		return merry.Prependf(ErrInvariant, "open claim of %s without a share", holder)
	}
	return nil
}
