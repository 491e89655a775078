package ledger

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// maxCount is the largest token count that an op may contain. It is far enough
// below the maximum of tokens.Count that the sums of a budget do not overflow.
const maxCount tokens.Count = 1 << 52

// Apply applies op to p at the time now and returns its result. It depends on
// nothing but its arguments. It is not safe for concurrent use.
func (p *Page) Apply(op Op, now time.Time) Result {
	now = now.UTC().Round(0)
	if !op.wellFormed() {
		return Result{Outcome: Invalid}
	}
	if op.Reclaim != nil && op.Budget == "" {
		return p.reclaimInAllBudgets(op.Reclaim.Holder, now)
	}
	if op.FreePredecessors != nil {
		return p.freePredecessorsInAllBudgets(*op.FreePredecessors)
	}
	b := p.Budgets[op.Budget]
	restatement, restated := op.restatement()
	restated = restated && restatement.Known.Era < p.era
	if b == nil && (op.createsBudget() || restated) {
		b = p.createBudget(op)
	}
	if b == nil {
		return missingBudgetResult(op)
	}
	if restated {
		b.restate(restatement)
	}
	r := b.apply(op, now)
	r.Era = p.era
	r.Free = b.Free()
	r.Settled = b.Settled
	if holder := op.holder(); holder != "" {
		r.SharedByOthers = b.sharedByOthers(holder)
	}
	p.recordChanges(b)
	return r
}

// Changes returns the number of changes to the page since it was decoded. If it
// is the same before and after an op, the op changed nothing.
func (p *Page) Changes() uint64 {
	return p.changes
}

// createsBudget reports whether op creates its budget if that does not exist.
func (o Op) createsBudget() bool {
	return o.Draw != nil || o.TopUp != nil
}

func (p *Page) createBudget(op Op) *Budget {
	b := &Budget{changed: true}
	if r, ok := op.restatement(); ok {
		b.Funding = r.Known.Funding
	}
	if op.Draw != nil {
		b.Funding = op.Draw.Funding
	}
	if p.Budgets == nil {
		p.Budgets = make(map[ident.Budget]*Budget)
	}
	p.Budgets[op.Budget] = b
	return b
}

// recordChanges counts a change of p and discards the cached encoding of b if b
// has changed since the last call.
func (p *Page) recordChanges(b *Budget) {
	if !b.changed {
		return
	}
	b.changed = false
	b.encoded = nil
	p.changes++
}

// missingBudgetResult returns the result of an op on a budget that does not exist.
func missingBudgetResult(op Op) Result {
	switch {
	case op.Open != nil, op.Return != nil:
		return Result{Outcome: ShareGone}
	case op.Settle != nil && !op.Settle.Delivered:
		return Result{Outcome: ShareGone}
	}
	return Result{Outcome: NotFound}
}

// reclaimInAllBudgets frees the holder's shares in all budgets of the page.
func (p *Page) reclaimInAllBudgets(holder ident.Incarnation, now time.Time) Result {
	for _, b := range p.Budgets {
		b.reclaim(holder, now)
		p.recordChanges(b)
	}
	return Result{Outcome: Applied}
}

// freePredecessorsInAllBudgets applies s to all budgets of the page.
// Result.Granted is the number of tokens freed.
func (p *Page) freePredecessorsInAllBudgets(s FreePredecessors) Result {
	r := Result{Outcome: Applied}
	for _, b := range p.Budgets {
		r.Granted += b.freePredecessors(s)
		p.recordChanges(b)
	}
	return r
}

func (b *Budget) apply(op Op, now time.Time) Result {
	switch {
	case op.Draw != nil:
		return b.draw(*op.Draw)
	case op.Return != nil:
		return b.returnTokens(*op.Return)
	case op.Open != nil:
		return b.open(op.Open.Claim, now)
	case op.Settle != nil:
		return b.settle(*op.Settle, now)
	case op.Release != nil:
		return b.release(*op.Release, now)
	case op.TakeOver != nil:
		return b.takeOver(*op.TakeOver)
	case op.TopUp != nil:
		return b.topUp(*op.TopUp)
	case op.Restate != nil:
		b.settleSpent(op.Restate.Holder, op.Restate.Spent)
		return Result{Outcome: Applied}
	default:
		b.reclaim(op.Reclaim.Holder, now)
		return Result{Outcome: Applied}
	}
}

// wellFormed reports whether op has exactly one command, sets all required
// fields and has only counts within their bounds.
func (o Op) wellFormed() bool {
	if o.commandCount() != 1 {
		return false
	}
	if o.FreePredecessors != nil {
		return o.Budget == "" && o.FreePredecessors.wellFormed()
	}
	if o.Budget == "" && o.Reclaim == nil {
		return false
	}
	switch {
	case o.Draw != nil:
		return o.Draw.wellFormed()
	case o.Return != nil:
		return o.Return.wellFormed()
	case o.Open != nil:
		return o.Open.Claim.wellFormed()
	case o.Settle != nil:
		c := o.Settle.Claim
		return c.wellFormed() && inRange(c.Cost) && c.Cost <= c.Reserved
	case o.Release != nil:
		return o.Release.Request != "" && o.Release.Holder != ""
	case o.TakeOver != nil:
		return o.TakeOver.Request != "" && o.TakeOver.From != "" && o.TakeOver.To != ""
	case o.TopUp != nil:
		return o.TopUp.ID != "" && positive(o.TopUp.Tokens)
	case o.Restate != nil:
		return o.Restate.Holder != "" && o.Restate.Known.wellFormed() && inRange(o.Restate.Spent) && o.Restate.Limit.wellFormed()
	default:
		return o.Reclaim.Holder != ""
	}
}

// commandCount returns the number of command fields that are set.
func (o Op) commandCount() (n int) {
	commands := [...]bool{
		o.Draw != nil, o.Return != nil, o.Open != nil, o.Settle != nil,
		o.Release != nil, o.TakeOver != nil, o.TopUp != nil, o.Reclaim != nil, o.FreePredecessors != nil, o.Restate != nil,
	}
	for _, isSet := range commands {
		if isSet {
			n++
		}
	}
	return n
}

func (d Draw) wellFormed() bool {
	if d.Holder == "" || d.Sequence == 0 {
		return false
	}
	return positive(d.Want) && inRange(d.Least) && d.Least <= d.Want && inRange(d.Funding.Prepaid) && inRange(d.Spent) &&
		d.Limit.wellFormed() && d.Known.wellFormed() && d.MaxHeldFraction >= 0 && d.MaxHeldFraction <= 1 &&
		inRange(d.Needed) && d.Needed <= d.Want
}

func (r Return) wellFormed() bool {
	if r.Holder == "" || r.Sequence == 0 || !inRange(r.Spent) || !r.Limit.wellFormed() || !r.Known.wellFormed() {
		return false
	}
	return positive(r.Tokens) || r.Tokens == 0 && (r.Spent > 0 || r.Limit != nil)
}

func (k *Standing) wellFormed() bool {
	return k == nil || k.Era >= 0 && inRange(k.Granted) && inRange(k.Funding.Prepaid)
}

func (c Claim) wellFormed() bool {
	return c.Request != "" && c.Holder != "" && inRange(c.Reserved)
}

func positive(n tokens.Count) bool {
	return n > 0 && n <= maxCount
}

func inRange(n tokens.Count) bool {
	return n >= 0 && n <= maxCount
}
