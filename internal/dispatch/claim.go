package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// openAllowance is how long the first token of an idempotent request waits
	// for its claim to be recorded.
	openAllowance = 300 * time.Millisecond
	// settleAllowance is how long the end of an answer waits for the ledger
	// before other routers are asked to hold the bill.
	settleAllowance = 500 * time.Millisecond
	// downAllowance is how long claims and bills wait for the ledger while it
	// has not answered for longer than settleAllowance.
	downAllowance = 20 * time.Millisecond
	// holdInterval is the time between two tries to find routers that hold a
	// bill.
	holdInterval = time.Second
	// maxResolutions bounds how often a claim that others change is looked at.
	maxResolutions = 4
)

// errLedgerUnreachable reports that the claim of a non-idempotent request could
// not be recorded, so that it was not dispatched.
var errLedgerUnreachable = errors.New("ledger unreachable")

// existingError reports that the request has a claim of another run.
type existingError struct {
	claim ledger.Claim
}

// Error describes the claim.
func (e *existingError) Error() string {
	return fmt.Sprintf("claim of %s is %s at %s", e.claim.Request, e.claim.State, e.claim.Holder)
}

// claim is the run's view of its claim in the ledger.
type claim struct {
	opened  chan ledger.Result // nil until the claim is being opened
	settled bool               // the result of opening has been dealt with
	taken   bool               // the claim was taken over from another holder
}

// record returns the claim as the ledger keeps it.
func (x *run) claimRecord(up ident.Upstream) ledger.Claim {
	return ledger.Claim{
		Request:     x.r.ID,
		Customer:    x.r.Customer,
		Application: x.r.Application,
		Holder:      x.d.Holder,
		Attempt:     x.attempt,
		Digest:      x.r.Digest,
		Idempotent:  x.r.Idempotent,
		Keyed:       x.r.Keyed,
		State:       ledger.StateOpen,
		Reserved:    x.r.Bound,
		Upstream:    up,
		Opened:      x.d.Clock(),
	}
}

// openClaim begins to record the claim, once.
func (x *run) openClaim(up ident.Upstream) {
	if x.claim.opened != nil || x.claim.taken {
		return
	}
	opened := make(chan ledger.Result, 1)
	x.claim.opened = opened
	op := ledger.Op{Budget: x.r.Budget.ID, Open: &ledger.Open{Claim: x.claimRecord(up)}}
	x.d.Ledger.Push(op, func(r ledger.Result) { opened <- r })
}

// confirmClaim waits until the claim is known to be this run's. For idempotent
// requests it gives up waiting after a while; non-idempotent ones fail then.
func (x *run) confirmClaim(ctx context.Context) error {
	if x.claim.settled || x.claim.opened == nil {
		return nil
	}
	timer := time.NewTimer(x.allowance())
	defer timer.Stop()
	select {
	case r := <-x.claim.opened:
		x.d.ledgerDown.Store(false)
		x.claim.settled = true
		return x.judgeOpen(r)
	case <-timer.C:
		x.claim.settled = true
		x.record("claim", "not recorded in time")
		return x.withoutClaim()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// allowance returns how long the request may wait for its claim.
func (x *run) allowance() time.Duration {
	switch {
	case x.r.Idempotent && x.d.ledgerDown.Load():
		return downAllowance
	case x.r.Idempotent:
		return openAllowance
	}
	return max(time.Duration(x.d.Policy().RefusalAllowanceMillis)*time.Millisecond, openAllowance)
}

func (x *run) withoutClaim() error {
	if x.r.Idempotent {
		return nil
	}
	return errLedgerUnreachable
}

func (x *run) judgeOpen(r ledger.Result) error {
	switch r.Outcome {
	case ledger.Applied:
		return nil
	case ledger.Existing:
		return &existingError{claim: *r.Claim}
	case ledger.ShareGone:
		x.d.Wallet.Invalidate(x.r.Budget.ID)
	}
	event.ClaimRejected.Warn(x.d.Log, "request", x.r.ID, "outcome", r.Outcome)
	return x.withoutClaim()
}

// releaseClaim ends the claim without a bill and frees the reservation. It waits
// a while until that is recorded, so that the caller's next try finds no trace
// of this one.
func (x *run) releaseClaim(uncertain bool) {
	reservation := x.reservation
	if x.claim.opened == nil && !x.claim.taken {
		reservation.Release()
		return
	}
	op := ledger.Op{Budget: x.r.Budget.ID, Release: &ledger.Release{
		Request:   x.r.ID,
		Holder:    x.d.Holder,
		Attempt:   x.attempt,
		Uncertain: uncertain,
	}}
	released := make(chan struct{})
	x.d.Ledger.Push(op, func(ledger.Result) {
		reservation.Release()
		close(released)
	})
	timer := time.NewTimer(settleAllowance)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	}
}

// settle bills the request and returns the answer's end once the bill cannot
// be lost.
func (x *run) settle(ctx context.Context, out outcome) End {
	bill := x.claimRecord(out.end.Upstream)
	bill.State = ledger.StateSettled
	bill.Cost = out.cost
	bill.Ended = x.d.Clock()
	out.end.Cost = out.cost
	results := x.push(bill)
	timer := time.NewTimer(x.patience())
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			return x.billed(ctx, r, bill, out)
		case <-timer.C:
			x.d.ledgerDown.Store(true)
			if x.held(ctx, bill) {
				return out.end
			}
			timer.Reset(holdInterval)
		case <-x.d.base.Done():
			return refused(refusal.Ran(refusal.BillPending, "the bill could not be recorded"))
		}
	}
}

// patience returns how long a bill waits for the ledger alone.
func (x *run) patience() time.Duration {
	if x.d.ledgerDown.Load() {
		return downAllowance
	}
	return settleAllowance
}

// push sends the bill to the ledger. The reservation ends with the result.
func (x *run) push(bill ledger.Claim) <-chan ledger.Result {
	results := make(chan ledger.Result, 1)
	op := ledger.Op{Budget: x.r.Budget.ID, Settle: &ledger.Settle{Claim: bill}}
	x.d.Ledger.Push(op, func(r ledger.Result) {
		x.d.ledgerDown.Store(false)
		x.account(r, bill.Cost)
		results <- r
	})
	return results
}

// account ends the reservation as the ledger decided.
func (x *run) account(r ledger.Result, cost tokens.Count) {
	switch r.Outcome {
	case ledger.Applied:
		x.reservation.Settle(cost)
	case ledger.ShareGone, ledger.WrittenOff:
		x.reservation.Forfeit()
		x.d.Wallet.Invalidate(x.r.Budget.ID)
	default:
		x.reservation.Release()
	}
}

// billed returns the end of an answer whose bill the ledger has decided on.
func (x *run) billed(ctx context.Context, r ledger.Result, bill ledger.Claim, out outcome) End {
	for range maxResolutions {
		x.record("settle", fmt.Sprintf("%s, %d tokens", r.Outcome, out.cost))
		if r.Outcome == ledger.Applied {
			return out.end
		}
		if r.Outcome != ledger.Existing {
			break
		}
		if r.Claim.State == ledger.StateSettled {
			// The same request ran elsewhere and is billed there. This answer
			// is whole too, and its caller is not billed again.
			out.end.Cost = 0
			return out.end
		}
		if end, ok := x.fetch(ctx, *r.Claim); ok {
			return end
		}
		if r.Claim.State != ledger.StateOpen || pause(ctx, retrySoon) != nil {
			break
		}
		r = <-x.push(bill)
	}
	x.d.Metrics.BillRejected()
	event.BillRejected.Warn(x.d.Log, "request", x.r.ID, "outcome", r.Outcome)
	return refused(refusal.Ran(refusal.Superseded,
		"the request was taken over by another router or its share was reclaimed").After(retrySoon))
}

// held gives the bill to routers in two other failure domains, if the policy
// and the state of this router's lease permit that the answer is delivered on
// their word.
func (x *run) held(ctx context.Context, bill ledger.Claim) bool {
	if x.d.Policy().Preference != configuration.PreferAvailability || !x.d.MayDeliver(x.d.Clock()) {
		return false
	}
	op := ledger.Op{Budget: x.r.Budget.ID, Settle: &ledger.Settle{Claim: bill, Delivered: true}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdInterval)
	defer cancel()
	if err := x.d.Peers.Hold(ctx, []ledger.Op{op}); err != nil {
		event.BillNotHeld.Warn(x.d.Log, "request", x.r.ID, "error", err)
		return false
	}
	if !x.d.MayDeliver(x.d.Clock()) {
		return false
	}
	x.d.Ledger.Push(op, func(ledger.Result) {})
	x.d.Metrics.BillHeld()
	event.BillHeld.Info(x.d.Log, "request", x.r.ID)
	x.record("settle", "held by routers in two other failure domains")
	return true
}

// settleAbandoned bills what was produced before the caller went away.
func (x *run) settleAbandoned(ctx context.Context) End {
	cost := min(x.r.Chat.Prompt+tokens.Count(x.answer.Len()), x.r.Bound)
	bill := x.claimRecord(x.tried[len(x.tried)-1])
	bill.State = ledger.StateSettled
	bill.Cost = cost
	bill.Ended = x.d.Clock()
	x.push(bill)
	x.record("abandoned", fmt.Sprintf("caller left after %d tokens: %v", x.position, context.Cause(ctx)))
	return refused(refusal.Ran(refusal.DeadlineExceeded, "the caller left"))
}
