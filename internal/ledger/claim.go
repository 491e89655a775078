package ledger

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
)

// open records a claim and reserves its cost bound from the holder's share.
func (b *Budget) open(c Claim, now time.Time) Result {
	if old := b.Claims[c.Request]; old != nil {
		return old.standing(c)
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
	return b.store(c, Applied)
}

// settle bills a request unless it is billed already.
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
	return old.standing(c)
}

// settleOpen bills the holder's open claim from the tokens reserved for it.
func (b *Budget) settleOpen(old *Claim, c Claim, now time.Time) Result {
	if c.Cost > old.Reserved {
		return Result{Outcome: Invalid, Claim: old.clone()}
	}
	s := b.share(old.Holder)
	s.Reserved -= old.Reserved
	s.Granted -= c.Cost
	b.Settled += c.Cost
	c.Reserved = old.Reserved
	c.Opened = old.Opened
	return b.end(c, StateSettled, now, Applied)
}

// supersede bills a delivered answer of a request whose open claim has another
// holder. That holder may yet release the claim, so the bill cannot be left to
// it. The tokens that it reserved leave its share.
func (b *Budget) supersede(old *Claim, op Settle, now time.Time) Result {
	s := b.share(old.Holder)
	s.Reserved -= old.Reserved
	s.Granted -= old.Reserved
	delete(b.Claims, old.Request)
	b.shrink()
	b.changed = true
	return b.charge(op, now)
}

// charge bills a request without an open claim: to the holder's unreserved
// share, or, once delivered, to what is free.
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
		return b.end(c, StateWrittenOff, now, WrittenOff)
	}
	b.Settled += c.Cost
	return b.end(c, StateSettled, now, Applied)
}

// release ends the holder's open claim without a bill.
func (b *Budget) release(op Release, now time.Time) Result {
	c := b.Claims[op.Request]
	if c == nil {
		return released(op)
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
	b.share(c.Holder).Reserved -= c.Reserved
	b.changed = true
	if !op.Uncertain {
		delete(b.Claims, c.Request)
		return released(op)
	}
	return b.end(*c, StateUncertain, now, Applied)
}

// released returns the result of a release that finds no claim: what a release
// without uncertainty leaves behind.
func released(op Release) Result {
	if op.Uncertain {
		return Result{Outcome: NotFound}
	}
	return Result{Outcome: Applied}
}

// takeOver gives an open claim with its reserved tokens to another holder.
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
	from := b.share(op.From)
	from.Granted -= c.Reserved
	from.Reserved -= c.Reserved
	to := b.share(op.To)
	to.Granted += c.Reserved
	to.Reserved += c.Reserved
	c.Holder = op.To
	c.Attempt = op.Attempt
	b.changed = true
	return Result{Outcome: Applied, Claim: c.clone()}
}

// end stores c in a state that it does not leave while others may ask for it.
func (b *Budget) end(c Claim, state State, now time.Time, outcome Outcome) Result {
	c = c.trimmed()
	c.State = state
	c.Ended = now.UTC().Truncate(time.Second)
	return b.store(c, outcome)
}

func (b *Budget) store(c Claim, outcome Outcome) Result {
	if b.Claims == nil {
		b.Claims = make(map[ident.Request]*Claim)
	}
	b.Claims[c.Request] = &c
	b.changed = true
	return Result{Outcome: outcome, Claim: c.clone()}
}

// expired reports whether a claim that was recorded when c was made may have
// been dropped since, so that its absence says nothing.
func (b *Budget) expired(c Claim) bool {
	made := c.Ended
	if made.IsZero() {
		made = c.Opened
	}
	return !b.Pruned.IsZero() && !made.IsZero() && !made.After(b.Pruned.Add(clockMargin))
}

// trimmed returns what retries and audits need of an ended claim.
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

// standing returns the result of opening or settling c where the claim already
// is as c left it, or belongs to another.
func (c *Claim) standing(other Claim) Result {
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
