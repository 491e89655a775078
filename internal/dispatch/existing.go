package dispatch

import (
	"context"
	"errors"
	"slices"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/refusal"
)

// resolveExisting handles a request for which another run has a claim. It
// copies that run's answer if a router still holds it, takes the claim over if
// its holder can no longer act, or refuses the request with what is known of
// the other run.
func (x *run) resolveExisting(ctx context.Context, c ledger.Claim) End {
	x.reservation.Release()
	for range maxClaimChecks {
		if c.Digest != x.r.Digest {
			return *x.refuse(x.keyReusedRefusal())
		}
		if end, ok := x.fetchAnswer(ctx, c); ok {
			return end
		}
		if c.State != ledger.StateOpen || !x.r.Idempotent || !c.Idempotent {
			return *x.refuse(existingRefusal(c))
		}
		current, taken := x.takeOver(ctx, c)
		if taken {
			return x.execute(ctx)
		}
		if current == nil {
			break
		}
		c = *current
	}
	return *x.refuse(refusal.NewMayHaveRun(refusal.Superseded, "the request is being run elsewhere").WithRetryAfter(shortRetryDelay))
}

// keyReusedRefusal returns the refusal of a request whose idempotency key was
// used for a different request. The request may have been dispatched already,
// because idempotent requests are dispatched while the claim is being opened.
func (x *run) keyReusedRefusal() *refusal.Refusal {
	r := refusal.NewMayHaveRun(refusal.IdempotencyKeyReused, "the idempotency key was used for another request")
	r.NotRun = len(x.tried) == 0
	return r
}

// existingRefusal returns the refusal of a request that another run has claimed
// and whose answer is not available.
func existingRefusal(c ledger.Claim) *refusal.Refusal {
	if c.State == ledger.StateSettled {
		return refusal.NewMayHaveRun(refusal.AnswerNotHeld, "the request was run and billed once; its answer is no longer held")
	}
	return refusal.NewMayHaveRun(refusal.OutcomeUnknown, "the request may have been run, and is not run again")
}

// fetchAnswer copies the answer from the router that ran the request.
func (x *run) fetchAnswer(ctx context.Context, c ledger.Claim) (End, bool) {
	if c.Holder == x.d.Holder {
		return End{}, false
	}
	answer, err := x.d.Peers.FetchAnswer(ctx, c.Holder, x.r.key())
	if err != nil {
		event.AnswerNotFetched.Info(x.d.Log, "request", x.r.ID, "holder", c.Holder, "error", err)
		return End{}, false
	}
	if answer.End.Refusal != nil {
		return End{}, false
	}
	if !x.extendAnswer(answer.Pieces) {
		return End{}, false
	}
	if response := answer.End.Response; response != nil {
		x.answer.Memory.Add(response.Body.Len())
	}
	x.record("answer", "copied from "+string(c.Holder))
	answer.End.Cost = 0
	return answer.End, true
}

// takeOver transfers the claim to this run. If the claim has changed meanwhile,
// it returns the current claim.
func (x *run) takeOver(ctx context.Context, c ledger.Claim) (current *ledger.Claim, taken bool) {
	op := ledger.Op{Budget: x.r.Budget.ID, TakeOver: &ledger.TakeOver{
		Request: x.r.ID,
		From:    c.Holder,
		To:      x.d.Holder,
		Attempt: x.attempt,
	}}
	result, err := x.d.Ledger.Apply(ctx, op)
	if err != nil || errors.Is(ctx.Err(), context.Canceled) {
		return nil, false
	}
	event.RequestTakenOver.Info(x.d.Log, "request", x.r.ID, "from", c.Holder, "outcome", result.Outcome)
	if result.Outcome != ledger.Applied {
		return result.Claim, false
	}
	x.d.Metrics.TakeOver()
	x.record("claim", "taken over from "+string(c.Holder))
	x.reservation = x.d.Wallet.Adopt(x.d.Clock(), x.r.Budget.ID, x.funding(), c.Reserved)
	x.claim = claim{takenOver: true, resolved: true}
	x.tried = nil
	return nil, true
}

// extendAnswer appends to the answer those of the given pieces that it does not
// have yet. It reports false if the answer is not a prefix of them.
func (x *run) extendAnswer(pieces []string) bool {
	emitted, _, err := x.emittedPieces()
	if err != nil || len(emitted) > len(pieces) || !slices.Equal(emitted, pieces[:len(emitted)]) {
		return false
	}
	for _, piece := range pieces[len(emitted):] {
		x.appendPiece(piece)
	}
	return true
}
