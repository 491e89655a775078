package ledger

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
)

// open records a claim and reserves its maximum cost from the holder's share.
func (b *Budget) open(c Claim, now time.Time) Result {
	if old := b.Claims[c.Request]; old != nil {
		return old.existingResult(c)
	}
	if b.expired(c) {
		return Result{Outcome: Expired}
	}
	s := b.Shares[c.Holder]
	if s == nil || s.unreserved() < c.Reserved {
		return Result{Outcome: ShareGone}
	}
	s.Reserved += c.Reserved
	c.State = StateOpen
	c.Cost = 0
	c.Ended = time.Time{}
	if c.Opened.IsZero() {
		c.Opened = now
	}
	c.Opened = c.Opened.UTC().Round(0)
	return b.storeClaim(c, Applied)
}

// settle bills a request unless it has already been billed.
func (b *Budget) settle(op Settle, now time.Time) Result {
	c := op.Claim
	c.Delivered = op.Delivered
	old := b.Claims[c.Request]
	switch {
	case old == nil && b.expired(c):
		return Result{Outcome: Expired}
	case old == nil:
		return b.charge(op, now)
	case old.State == StateOpen && old.Holder == c.Holder:
		return b.settleOpen(old, c, now)
	case old.State == StateOpen && old.Idempotent && op.Delivered:
		return b.supersede(old, op, now)
	case old.State == StateUncertain && (old.Holder == c.Holder || old.Idempotent && op.Delivered):
		return b.charge(op, now)
	}
	return old.existingResult(c)
}

// settleOpen bills the holder's open claim from the tokens reserved for it.
func (b *Budget) settleOpen(old *Claim, c Claim, now time.Time) Result {
	if c.Cost > old.Reserved {
		return Result{Outcome: Invalid, Claim: old.clone()}
	}
	s := b.ensureShare(old.Holder)
	s.Reserved -= old.Reserved
	s.Granted -= c.Cost
	b.Settled += c.Cost
	c.Reserved = old.Reserved
	c.Opened = old.Opened
	return b.endClaim(c, StateSettled, now, Applied)
}

// supersede bills a delivered request whose open claim has another holder. That
// holder may still release the claim, so it cannot be relied on to settle it.
// The tokens that it reserved are removed from its share.
func (b *Budget) supersede(old *Claim, op Settle, now time.Time) Result {
	s := b.ensureShare(old.Holder)
	s.Reserved -= old.Reserved
	s.Granted -= old.Reserved
	delete(b.Claims, old.Request)
	b.lowerExcess()
	b.changed = true
	return b.charge(op, now)
}

// charge bills a request that has no open claim. The cost is taken from the
// unreserved tokens of the holder's share. If these do not suffice, the cost of a
// delivered request is taken from the free tokens of the budget. If these do not
// suffice either, it is written off.
func (b *Budget) charge(op Settle, now time.Time) Result {
	c := op.Claim
	c.Delivered = op.Delivered
	s := b.Shares[c.Holder]
	switch {
	case s != nil && s.unreserved() >= c.Cost:
		s.Granted -= c.Cost
	case !op.Delivered:
		return Result{Outcome: ShareGone}
	case b.Free() < c.Cost:
		b.WrittenOff += c.Cost
		return b.endClaim(c, StateWrittenOff, now, WrittenOff)
	}
	b.Settled += c.Cost
	return b.endClaim(c, StateSettled, now, Applied)
}

// release ends the holder's open claim without billing it.
func (b *Budget) release(op Release, now time.Time) Result {
	c := b.Claims[op.Request]
	if c == nil {
		return missingClaimResult(op)
	}
	if c.Holder != op.Holder || c.Attempt != op.Attempt {
		return Result{Outcome: Existing, Claim: c.clone()}
	}
	if c.State == StateUncertain && op.Uncertain {
		return Result{Outcome: Applied, Claim: c.clone()}
	}
	if c.State != StateOpen {
		return Result{Outcome: Existing, Claim: c.clone()}
	}
	b.ensureShare(c.Holder).Reserved -= c.Reserved
	b.changed = true
	if !op.Uncertain {
		delete(b.Claims, c.Request)
		return missingClaimResult(op)
	}
	return b.endClaim(*c, StateUncertain, now, Applied)
}

// missingClaimResult returns the result of a release if there is no claim. A
// release that is not Uncertain removes the claim, so that this may be a
// repetition of it.
func missingClaimResult(op Release) Result {
	if op.Uncertain {
		return Result{Outcome: NotFound}
	}
	return Result{Outcome: Applied}
}

// takeOver transfers an open claim and its reserved tokens to another holder.
func (b *Budget) takeOver(op TakeOver) Result {
	c := b.Claims[op.Request]
	if c == nil {
		return Result{Outcome: NotFound}
	}
	if c.Holder == op.To && c.Attempt == op.Attempt {
		return Result{Outcome: Applied, Claim: c.clone()}
	}
	if c.State != StateOpen || !c.Idempotent || c.Holder != op.From {
		return Result{Outcome: Existing, Claim: c.clone()}
	}
	from := b.ensureShare(op.From)
	from.Granted -= c.Reserved
	from.Reserved -= c.Reserved
	to := b.ensureShare(op.To)
	to.Granted += c.Reserved
	to.Reserved += c.Reserved
	c.Holder = op.To
	c.Attempt = op.Attempt
	b.changed = true
	return Result{Outcome: Applied, Claim: c.clone()}
}

// endClaim stores c in an ended state, without the fields that only open claims
// need.
func (b *Budget) endClaim(c Claim, state State, now time.Time, outcome Outcome) Result {
	c = c.trimmed()
	c.State = state
	c.Ended = now.UTC().Truncate(time.Second)
	return b.storeClaim(c, outcome)
}

func (b *Budget) storeClaim(c Claim, outcome Outcome) Result {
	if b.Claims == nil {
		b.Claims = make(map[ident.Request]*Claim)
	}
	b.Claims[c.Request] = &c
	b.changed = true
	return Result{Outcome: outcome, Claim: c.clone()}
}

// expired reports whether an earlier claim for the request of c may already have
// been pruned, so that its absence does not prove that the request is unbilled.
func (b *Budget) expired(c Claim) bool {
	recordedAt := c.Ended
	if recordedAt.IsZero() {
		recordedAt = c.Opened
	}
	return !b.PrunedUntil.IsZero() && !recordedAt.IsZero() && !recordedAt.After(b.PrunedUntil.Add(maxClockSkew))
}

// trimmed returns c with only the fields that retries and audits need of an
// ended claim.
func (c Claim) trimmed() Claim {
	return Claim{
		Request:    c.Request,
		Holder:     c.Holder,
		Attempt:    c.Attempt,
		Digest:     c.Digest,
		Idempotent: c.Idempotent,
		Keyed:      c.Keyed,
		Delivered:  c.Delivered,
		State:      c.State,
		Reserved:   c.Reserved,
		Cost:       c.Cost,
		Upstream:   c.Upstream,
		Ended:      c.Ended,
	}
}

// existingResult returns the result of an Open or Settle with the claim other
// that leaves the existing claim c unchanged. It is Applied or WrittenOff if other
// has the same holder and attempt, so that the op is a repetition, and Existing
// otherwise.
func (c *Claim) existingResult(other Claim) Result {
	r := Result{Outcome: Existing, Claim: c.clone()}
	if c.Holder != other.Holder || c.Attempt != other.Attempt {
		return r
	}
	r.Outcome = Applied
	if c.State == StateWrittenOff {
		r.Outcome = WrittenOff
	}
	return r
}

func (c *Claim) clone() *Claim {
	d := *c
	return &d
}
