package ledger

import (
	"math"
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// Unaccounted is the holder of tokens that were granted and possibly spent according to
// nobody: the key-value service was restored from an older copy of the page, and routers
// that may have drawn since did not say what they hold. Its share is never returned.
const Unaccounted ident.Incarnation = "unaccounted"

// Standing is what a holder knows of its share. A page that was restored from an older
// copy lacks the latest draws and returns of its holders, which restate them with it.
type Standing struct {
	// Era is the era of the key-value service in which the page recorded the last draw or
	// return whose result the holder has, and Sequence the number of that op.
	Era      store.Era `json:"era,omitempty"`
	Sequence uint64    `json:"sequence"`
	// Granted is the number of tokens of the share that the holder has neither spent nor
	// returned.
	Granted tokens.Count `json:"granted"`
	// Funding is the funding of the budget, for a page that lacks the budget.
	Funding Funding `json:"funding"`
}

// Restate records what a holder knows of its share on a page that was restored.
type Restate struct {
	Holder ident.Incarnation `json:"holder"`
	Known  Standing          `json:"known"`
	// Spent and Limit are as in Draw.
	Spent tokens.Count `json:"spent,omitempty"`
	Limit *SpendLimit  `json:"limit,omitempty"`
}

// restate makes the holder's share what the holder knows it to be, if the page lacks an op
// that the holder has the result of. The page must be of a later era than that knowledge,
// since within an era such a share was reclaimed. What the page lacks is taken from the
// tokens that are not accounted for, and then from the free tokens. Tokens that exceed the
// prepaid tokens become Excess.
func (b *Budget) restate(r Restate) {
	if s := b.Shares[r.Holder]; r.Known.Sequence == 0 || s != nil && s.Sequence >= r.Known.Sequence {
		return
	}
	b.updateFunding(r.Known.Funding)
	s := b.ensureShare(r.Holder)
	granted := max(r.Known.Granted+max(r.Spent-s.Spent, 0), s.Reserved)
	if len(b.Claims) > 0 {
		granted = max(granted, s.Granted) // the difference may have been billed by claims that are lost
	}
	if u := b.Shares[Unaccounted]; u != nil {
		u.Granted -= min(max(granted-s.Granted, 0), u.Granted)
	}
	s.Granted = granted
	s.recordOp(r.Known.Sequence, 0)
	s.Limit = r.Limit
	b.Excess = max(b.Excess, b.used()-b.prepaid())
	b.lowerExcess()
	b.changed = true
}

// Era returns the era of the key-value service in which the page was last written. It is not
// known for an empty page and for one that an earlier release has written.
func (p *Page) Era() (era store.Era, known bool) { return p.era, p.eraKnown }

// BeginEra makes the page one of the given era. The caller has found the newest version of
// the page that is known.
func (p *Page) BeginEra(era store.Era) {
	p.era, p.eraKnown = era, true
	p.changes++
}

// minUnknownTime is the shortest time for which holders that did not restate their shares
// are assumed to have gone on drawing.
const minUnknownTime = 10 * time.Second

// WithholdUnaccounted is Withhold for a fleet in which one router may hold a fifth of the free
// tokens unspent.
func (p *Page) WithholdUnaccounted(now time.Time, known map[ident.Incarnation]bool) (withheld tokens.Count) {
	return p.Withhold(now, known, sharedPart)
}

// Withhold moves free tokens to the share Unaccounted, as many as routers that are not among
// the known ones can have drawn since the page was written: twice what the spending rates that
// they have declared allow, and the fraction heldPart of the free tokens, which is what they may
// hold unspent. Their shares keep what they have, but successors free none of it. It returns
// the number of tokens.
func (p *Page) Withhold(now time.Time, known map[ident.Incarnation]bool, heldPart float64) (withheld tokens.Count) {
	unknown := max(now.Sub(p.Written), minUnknownTime)
	for _, b := range p.Budgets {
		rate := 0.0 // tokens per second
		for holder, s := range b.Shares {
			if s.Limit != nil && !known[holder] {
				rate += s.Limit.PerSecond
				s.Limit = nil
			}
		}
		free := b.Free()
		n := tokens.Count(min(math.Ceil(2*rate*unknown.Seconds())+math.Ceil(float64(free)*max(heldPart, sharedPart)), float64(free)))
		b.changed = true
		if n > 0 {
			u := b.ensureShare(Unaccounted)
			u.Granted += n
			u.Ended = true
			withheld += n
		}
		p.recordChanges(b)
	}
	return withheld
}

// sharedPart is the part of the free tokens that one router of a small fleet may hold unspent.
const sharedPart = 0.2

// VMsOf returns the VMs whose shares are held by the given holders. Earlier processes on these
// VMs had ended when the page was written.
func (p *Page) VMsOf(holders map[ident.Incarnation]bool) map[ident.VM]bool {
	vms := make(map[ident.VM]bool)
	for _, b := range p.Budgets {
		for id, s := range b.Shares {
			if s.Limit != nil && holders[id] {
				vms[s.Limit.VM] = true
			}
		}
	}
	return vms
}

// AllHolders reports whether all holders of shares that have not ended are known, or have
// been replaced by another process on their VM.
func (p *Page) AllHolders(known map[ident.Incarnation]bool, replaced map[ident.VM]bool) bool {
	for _, b := range p.Budgets {
		for id, s := range b.Shares {
			if !s.Ended && !known[id] && (s.Limit == nil || !replaced[s.Limit.VM]) {
				return false
			}
		}
	}
	return true
}
