package dispatch

import (
	"context"
	"errors"
	"slices"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/refusal"
)

// useExisting answers a request that has a claim of another run: with that
// run's answer where a router still holds it, by taking the claim over where
// its holder can act no longer, or with a refusal that tells what is known.
func (x *run) useExisting(ctx context.Context, c ledger.Claim) End {
	x.reservation.Release()
	for range maxResolutions {
		if c.Digest != x.r.Digest {
			return *x.refuse(refusal.New(refusal.KeyReused, "the idempotency key was used for another request"))
		}
		if end, ok := x.fetch(ctx, c); ok {
			return end
		}
		if c.State != ledger.StateOpen || !x.r.Idempotent || !c.Idempotent {
			return *x.refuse(existingRefusal(c))
		}
		next, taken := x.takeOver(ctx, c)
		if taken {
			return x.perform(ctx)
		}
		if next == nil {
			break
		}
		c = *next
	}
	return *x.refuse(refusal.Ran(refusal.Superseded, "the request is being run elsewhere").After(retrySoon))
}

// existingRefusal tells what became of a request whose answer is out of reach.
func existingRefusal(c ledger.Claim) *refusal.Refusal {
	if c.State == ledger.StateSettled {
		return refusal.Ran(refusal.AnswerNotHeld, "the request was run and billed once; its answer is no longer held")
	}
	return refusal.Ran(refusal.OutcomeUnknown, "the request may have been run, and is not run again")
}

// fetch copies the answer from the router that ran the request.
func (x *run) fetch(ctx context.Context, c ledger.Claim) (End, bool) {
	if c.Holder == x.d.Holder {
		return End{}, false
	}
	held, err := x.d.Peers.Answer(ctx, c.Holder, x.r.key())
	if err != nil {
		event.AnswerNotFetched.Info(x.d.Log, "request", x.r.ID, "holder", c.Holder, "error", err)
		return End{}, false
	}
	if held.End.Refusal != nil {
		return End{}, false
	}
	if !x.extend(held.Pieces) {
		return End{}, false
	}
	x.record("answer", "copied from "+string(c.Holder))
	held.End.Cost = 0
	return held.End, true
}

// takeOver makes the claim this run's. If another holder was quicker, it
// returns the claim as it stands now.
func (x *run) takeOver(ctx context.Context, c ledger.Claim) (next *ledger.Claim, taken bool) {
	op := ledger.Op{Budget: x.r.Budget.ID, Take: &ledger.TakeOver{
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
	x.claim = claim{taken: true, settled: true}
	x.tried = nil
	return nil, true
}

// extend appends what the answer lacks of the given pieces. It reports whether
// the answer is their beginning.
func (x *run) extend(pieces []string) bool {
	given, _, err := x.given()
	if err != nil || len(given) > len(pieces) || !slices.Equal(given, pieces[:len(given)]) {
		return false
	}
	for _, piece := range pieces[len(given):] {
		x.answer.Append(piece)
	}
	return true
}
