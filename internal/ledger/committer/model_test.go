package committer

import (
	"math/rand/v2"

	"github.com/anishathalye/porcupine"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// budgetOp returns a random draw, return, top-up or settlement without a claim.
func budgetOp(_ *schedule, rng *rand.Rand, holder int, sequence *uint64) ledger.Op {
	h := holderName(holder)
	n := tokens.Count(1 + rng.IntN(60))
	op := ledger.Op{Budget: "b"}
	switch rng.IntN(8) {
	case 0, 1, 2:
		f := ledger.Funding{Prepaid: prepaidTokens, Revision: 1}
		op.Draw = &ledger.Draw{Holder: h, Sequence: *sequence + 1, Want: n, Least: 1 + n/2, Funding: f}
	case 3:
		op.Return = &ledger.Return{Holder: h, Sequence: *sequence + 1, Tokens: n}
	case 4:
		op.TopUp = &ledger.TopUp{ID: ident.TopUp(requestName(rng.IntN(2))), Tokens: 30}
	default:
		c := claim(requestName(rng.IntN(requests)), h, 0)
		c.Reserved = 30
		c.Cost = n / 2
		op.Settle = &ledger.Settle{Claim: c, Delivered: rng.IntN(2) == 0}
	}
	return op
}

// budgetState is the model state of one budget.
type budgetState struct {
	funded   bool
	free     tokens.Count
	held     [holders]tokens.Count
	hasShare [holders]bool
	billed   [requests]int // holder plus one, negative if written off
	toppedUp [2]bool
}

// step returns the state after op and the result of op.
func (b budgetState) step(op ledger.Op) (budgetState, ledger.Result) {
	switch {
	case op.Draw != nil:
		return b.draw(index(string(op.Draw.Holder)), *op.Draw)
	case op.Return != nil:
		return b.returnTokens(index(string(op.Return.Holder)), op.Return.Tokens)
	case op.TopUp != nil:
		n := index(string(op.TopUp.ID))
		if !b.toppedUp[n] {
			b.free += op.TopUp.Tokens
		}
		b.toppedUp[n] = true
		return b, ledger.Result{Outcome: ledger.Applied, Granted: op.TopUp.Tokens, Free: b.free}
	}
	return b.settle(index(string(op.Settle.Claim.Holder)), *op.Settle)
}

func (b budgetState) draw(h int, d ledger.Draw) (budgetState, ledger.Result) {
	if !b.funded {
		b.free += prepaidTokens
		b.funded = true
	}
	grant := min(d.Want, b.free)
	if grant < d.Least {
		return b, ledger.Result{Outcome: ledger.Exhausted, Free: b.free}
	}
	b.free -= grant
	b.held[h] += grant
	b.hasShare[h] = true
	return b, ledger.Result{Outcome: ledger.Applied, Granted: grant, Free: b.free}
}

func (b budgetState) returnTokens(h int, n tokens.Count) (budgetState, ledger.Result) {
	if !b.hasShare[h] {
		return b, ledger.Result{Outcome: ledger.ShareGone, Free: b.free}
	}
	n = min(n, b.held[h])
	b.held[h] -= n
	b.free += n
	return b, ledger.Result{Outcome: ledger.Applied, Granted: n, Free: b.free}
}

func (b budgetState) settle(h int, s ledger.Settle) (budgetState, ledger.Result) {
	r := index(string(s.Claim.Request))
	result := ledger.Result{Outcome: ledger.Applied}
	switch {
	case b.billed[r] == h+1:
	case b.billed[r] == -h-1:
		result.Outcome = ledger.WrittenOff
	case b.billed[r] != 0:
		result.Outcome = ledger.Existing
	case b.hasShare[h] && b.held[h] >= s.Claim.Cost:
		b.held[h] -= s.Claim.Cost
		b.billed[r] = h + 1
	case !s.Delivered || !b.exists():
		result.Outcome = ledger.ShareGone
		if s.Delivered {
			result.Outcome = ledger.NotFound
		}
	case b.free >= s.Claim.Cost:
		b.free -= s.Claim.Cost
		b.billed[r] = h + 1
	default:
		result.Outcome = ledger.WrittenOff
		b.billed[r] = -h - 1
	}
	result.Free = b.free
	return b, result
}

func (b budgetState) exists() bool { return b.funded || b.toppedUp[0] || b.toppedUp[1] }

// index returns the number in a name made by holderName or requestName.
func index(name string) int { return int(name[1] - '0') }

// claimOp returns a random op on a claim. The shares of the holders are never
// exhausted.
func claimOp(_ *schedule, rng *rand.Rand, holder int, sequence *uint64) ledger.Op {
	h := holderName(holder)
	n := rng.IntN(requests)
	op := ledger.Op{Budget: "b"}
	if *sequence == 0 {
		f := ledger.Funding{Prepaid: 1 << 20, Revision: 1}
		op.Draw = &ledger.Draw{Holder: h, Sequence: 1, Want: 1 << 12, Least: 1 << 12, Funding: f}
		return op
	}
	c := claim(requestName(n), h, tokens.Count(1+rng.IntN(10)))
	c.Idempotent = idempotent(n)
	switch rng.IntN(9) {
	case 0, 1, 2:
		c.Cost = 0
		op.Open = &ledger.Open{Claim: c}
	case 3:
		op.Release = &ledger.Release{Request: c.Request, Holder: h, Attempt: c.Attempt, Uncertain: rng.IntN(2) == 0}
	case 4, 5, 6:
		from := holderName(rng.IntN(holders))
		op.TakeOver = &ledger.TakeOver{Request: c.Request, From: from, To: h, Attempt: c.Attempt}
	default:
		op.Settle = &ledger.Settle{Claim: c, Delivered: c.Idempotent && rng.IntN(2) == 0}
	}
	return op
}

func idempotent(request int) bool { return request%2 == 0 }

// claimState is the model state of one claim.
type claimState struct {
	state  ledger.State // empty if there is none
	holder ident.Incarnation
}

// step returns the state after op and the outcome of op.
func (s claimState) step(op ledger.Op) (claimState, ledger.Outcome) {
	switch {
	case op.Open != nil:
		return s.open(op.Open.Claim.Holder)
	case op.Settle != nil:
		return s.settle(*op.Settle)
	case op.Release != nil:
		return s.release(*op.Release)
	case op.TakeOver != nil:
		return s.take(*op.TakeOver)
	}
	return s, ledger.Applied
}

func (s claimState) open(h ident.Incarnation) (claimState, ledger.Outcome) {
	if s.state == "" {
		return claimState{ledger.StateOpen, h}, ledger.Applied
	}
	return s, s.ownedBy(h)
}

func (s claimState) settle(op ledger.Settle) (claimState, ledger.Outcome) {
	h := op.Claim.Holder
	billed := s.state == ledger.StateSettled
	if s.state == "" || !billed && (s.holder == h || op.Delivered) {
		return claimState{ledger.StateSettled, h}, ledger.Applied
	}
	return s, s.ownedBy(h)
}

func (s claimState) release(r ledger.Release) (claimState, ledger.Outcome) {
	switch {
	case s.state == "" && r.Uncertain:
		return s, ledger.NotFound
	case s.state == "":
		return s, ledger.Applied
	case s.holder != r.Holder:
		return s, ledger.Existing
	case s.state == ledger.StateUncertain && r.Uncertain:
		return s, ledger.Applied
	case s.state != ledger.StateOpen:
		return s, ledger.Existing
	case r.Uncertain:
		return claimState{ledger.StateUncertain, s.holder}, ledger.Applied
	}
	return claimState{}, ledger.Applied
}

func (s claimState) take(t ledger.TakeOver) (claimState, ledger.Outcome) {
	switch {
	case s.state == "":
		return s, ledger.NotFound
	case s.holder == t.To:
		return s, ledger.Applied
	case s.state == ledger.StateOpen && s.holder == t.From && idempotent(index(string(t.Request))):
		return claimState{ledger.StateOpen, t.To}, ledger.Applied
	}
	return s, ledger.Existing
}

func (s claimState) ownedBy(h ident.Incarnation) ledger.Outcome {
	if s.holder == h {
		return ledger.Applied
	}
	return ledger.Existing
}

// budgetModel returns the specification of one budget: each op takes effect once,
// atomically between its call and its return.
func budgetModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{budgetState{}} },
		Step: func(state, input, output any) []any {
			before, out := state.(budgetState), output.(outcome)
			if out.page != nil {
				return statesIf(before == budgetStateOf(out.page), before)
			}
			after, want := before.step(input.(ledger.Op))
			switch {
			case out.unknown:
				return []any{before, after}
			case out.withdrawn:
				return []any{before}
			}
			r := out.result
			if r.Outcome != want.Outcome || r.Granted != want.Granted {
				return nil
			}
			if r.Outcome != ledger.Exhausted {
				return []any{after}
			}
			// If a copy of the draw may still be in transit, the refusal is
			// recorded in a share.
			recorded := after
			recorded.hasShare[index(string(input.(ledger.Op).Draw.Holder))] = true
			return statesIf(r.RefusalRecorded || r.Free == want.Free, after, recorded)
		},
	}
	return m.ToModel()
}

// claimModel returns the specification of claims, partitioned by request.
func claimModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: byRequest,
		Init:      func() []any { return []any{claimState{}} },
		Step: func(state, input, output any) []any {
			before, out := state.(claimState), output.(outcome)
			op := input.(ledger.Op)
			if out.page != nil {
				return statesIf(before == claimStateOf(out.page, op.Request()), before)
			}
			after, want := before.step(op)
			switch {
			case out.unknown:
				return []any{before, after}
			case out.withdrawn:
				return []any{before}
			}
			c := out.result.Claim
			same := out.result.Outcome == want
			if c != nil {
				same = same && claimState{c.State, c.Holder} == after
			}
			return statesIf(same, after)
		},
	}
	return m.ToModel()
}

// statesIf returns states if ok, and nil otherwise.
func statesIf(ok bool, states ...any) []any {
	if !ok {
		return nil
	}
	return states
}

// budgetStateOf returns the model state that corresponds to a page.
func budgetStateOf(p *ledger.Page) (state budgetState) {
	b := p.Budgets["b"]
	if b == nil {
		return budgetState{}
	}
	state.funded = b.Funding != (ledger.Funding{})
	state.free = b.Free()
	for id := range b.TopUps {
		state.toppedUp[index(string(id))] = true
	}
	for id, s := range b.Shares {
		state.held[index(string(id))] = s.Granted
		state.hasShare[index(string(id))] = true
	}
	for id, c := range b.Claims {
		n := index(string(c.Holder)) + 1
		if c.State == ledger.StateWrittenOff {
			n = -n
		}
		state.billed[index(string(id))] = n
	}
	return state
}

// claimStateOf returns the model state that corresponds to the claim of a request
// on a page.
func claimStateOf(p *ledger.Page, id ident.Request) claimState {
	c, ok := p.Find("b", id)
	if !ok {
		return claimState{}
	}
	return claimState{c.State, c.Holder}
}

// byRequest partitions a history by request. Draws are left out.
func byRequest(ops []porcupine.Operation) [][]porcupine.Operation {
	parts := make([][]porcupine.Operation, requests)
	for _, o := range ops {
		op := o.Input.(ledger.Op)
		if op.Draw != nil {
			continue
		}
		n := index(string(op.Request()))
		parts[n] = append(parts[n], o)
	}
	return parts
}
