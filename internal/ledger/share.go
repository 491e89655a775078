package ledger

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// draw grants tokens to the holder's share.
func (b *Budget) draw(d Draw) Result {
	b.updateFunding(d.Funding)
	b.settleSpent(d.Holder, d.Spent)
	s := b.Shares[d.Holder]
	if s != nil && d.Sequence <= s.Sequence {
		return b.recordedDrawResult(s, d)
	}
	grant := min(d.Want, b.Free(), max(b.room(d.MaxHeldFraction), b.Free()/minSharePart-s.granted(), d.Needed, d.Least))
	if grant < max(d.Least, 1) {
		return b.refuseDraw(d)
	}
	s = b.ensureShare(d.Holder)
	s.Granted += grant
	s.recordOp(d.Sequence, grant)
	s.Limit = d.Limit
	b.markPredecessorsEnded(d.Holder, d.Limit)
	b.changed = true
	return Result{Outcome: Applied, Granted: grant}
}

// minSharePart is the part of the free tokens, as a divisor, that each share may hold even if all
// shares together hold more than Draw.MaxHeldFraction. Shares of processes that have not
// returned count as held; without it no share could be refilled after a large loss.
const minSharePart = 16

// granted returns the tokens of the share, or 0 if there is none.
func (s *Share) granted() tokens.Count {
	if s == nil {
		return 0
	}
	return s.Granted
}

// room returns how many tokens can be granted until all shares that have not ended hold
// the given fraction of the tokens left. It may be negative.
func (b *Budget) room(maxHeldFraction float64) tokens.Count {
	if maxHeldFraction == 0 {
		return maxCount
	}
	held := b.sharedByOthers("")
	return tokens.Count(maxHeldFraction*float64(held+b.Free())) - held
}

// markPredecessorsEnded marks the shares of other holders on the VM of the
// limit as ended.
func (b *Budget) markPredecessorsEnded(holder ident.Incarnation, l *SpendLimit) {
	if l == nil {
		return
	}
	for id, s := range b.Shares {
		if id != holder && s.Limit != nil && s.Limit.VM == l.VM {
			s.Ended = true
		}
	}
}

// refuseDraw returns the result of a draw for which too few tokens are free. It
// records the refusal if an earlier copy of the draw may still arrive.
func (b *Budget) refuseDraw(d Draw) Result {
	if d.Repeated {
		b.ensureShare(d.Holder).recordOp(d.Sequence, 0)
		b.changed = true
	}
	return Result{Outcome: Exhausted, Holders: b.runningHoldings(d.Holder)}
}

// recordedDrawResult returns the result recorded for a draw. A recorded draw
// that moved no tokens was refused.
func (b *Budget) recordedDrawResult(s *Share, d Draw) Result {
	if d.Sequence == s.Sequence && s.Moved == 0 {
		return Result{Outcome: Exhausted, RefusalRecorded: true, Holders: b.runningHoldings(d.Holder)}
	}
	return s.recordedResult(d.Sequence)
}

// returnTokens frees up to r.Tokens unreserved tokens of the holder's share.
func (b *Budget) returnTokens(r Return) Result {
	s := b.Shares[r.Holder]
	if s == nil {
		return Result{Outcome: ShareGone}
	}
	b.settleSpent(r.Holder, r.Spent)
	if r.Sequence <= s.Sequence {
		return s.recordedResult(r.Sequence)
	}
	freed := min(r.Tokens, s.unreserved())
	if s.settledBySuccessor() {
		freed = 0 // the holder may have spent what is left
	}
	s.Granted -= freed
	s.recordOp(r.Sequence, freed)
	if !s.settledBySuccessor() {
		s.Limit = r.Limit
	}
	b.lowerExcess()
	b.changed = true
	return Result{Outcome: Applied, Granted: freed}
}

// settleSpent settles the increase of the total that the holder has spent
// without claims, up to the unreserved tokens of its share.
func (b *Budget) settleSpent(holder ident.Incarnation, total tokens.Count) {
	s := b.Shares[holder]
	if s == nil || total <= s.Spent {
		return
	}
	n := min(total-s.Spent, s.unreserved())
	s.Spent += n
	s.Granted -= n
	b.Settled += n
	b.changed = b.changed || n > 0
}

// reclaim frees the share of a holder that is no longer active. It removes open
// claims of idempotent requests and marks the other open claims as uncertain.
func (b *Budget) reclaim(holder ident.Incarnation, now time.Time) {
	if b.Shares[holder] == nil {
		return
	}
	for id, c := range b.Claims {
		if c.Holder != holder || c.State != StateOpen {
			continue
		}
		if c.Idempotent {
			delete(b.Claims, id)
			continue
		}
		c.State = StateUncertain
		c.Ended = now
	}
	delete(b.Shares, holder)
	b.lowerExcess()
	b.changed = true
}

// topUp adds the tokens unless the identifier was used before.
func (b *Budget) topUp(t TopUp) Result {
	if added, ok := b.TopUps[t.ID]; ok {
		if added != t.Tokens {
			return Result{Outcome: Invalid}
		}
		return Result{Outcome: Applied, Granted: added}
	}
	if b.prepaid()+t.Tokens > maxCount {
		return Result{Outcome: Invalid}
	}
	if b.TopUps == nil {
		b.TopUps = make(map[ident.TopUp]tokens.Count)
	}
	b.TopUps[t.ID] = t.Tokens
	b.lowerExcess()
	b.changed = true
	return Result{Outcome: Applied, Granted: t.Tokens}
}

// updateFunding replaces the funding if f has a higher revision or there is none
// yet. Tokens settled and granted beyond the prepaid tokens become Excess.
func (b *Budget) updateFunding(f Funding) {
	if f == b.Funding {
		return
	}
	if f.Revision <= b.Funding.Revision && b.Funding != (Funding{}) {
		return
	}
	b.Funding = f
	b.Excess = max(0, b.used()-b.prepaid())
	b.changed = true
}

// lowerExcess lowers Excess to the tokens that are still settled and granted
// beyond the prepaid tokens.
func (b *Budget) lowerExcess() {
	b.Excess = min(b.Excess, max(0, b.used()-b.prepaid()))
}

// ensureShare returns the holder's share and creates it if necessary.
func (b *Budget) ensureShare(holder ident.Incarnation) *Share {
	s := b.Shares[holder]
	if s != nil {
		return s
	}
	if b.Shares == nil {
		b.Shares = make(map[ident.Incarnation]*Share)
	}
	s = new(Share)
	b.Shares[holder] = s
	return s
}

// settledBySuccessor reports whether a successor has freed what the holder cannot have
// spent (FreePredecessors). An op of the holder that is applied later comes from a dead
// process.
func (s *Share) settledBySuccessor() bool { return s.Ended && s.Limit == nil }

func (s *Share) recordOp(sequence uint64, moved tokens.Count) {
	s.Sequence = sequence
	s.Moved = moved
}

// recordedResult returns the result recorded for a sequence number up to the
// last one. Only the last result is kept: an op with an older number is a late
// copy whose result no caller waits for.
func (s *Share) recordedResult(sequence uint64) Result {
	if sequence < s.Sequence {
		return Result{Outcome: Invalid}
	}
	return Result{Outcome: Applied, Granted: s.Moved}
}

func (s *Share) unreserved() tokens.Count {
	return s.Granted - s.Reserved
}
