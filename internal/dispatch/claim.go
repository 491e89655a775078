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
	// openTimeout is how long the first token of an idempotent request waits
	// for its claim to be recorded. A non-idempotent request waits at least as
	// long before it is dispatched.
	openTimeout = 300 * time.Millisecond
	// settleTimeout is how long the end of an answer waits for the ledger
	// before other routers are asked to hold the bill.
	settleTimeout = 500 * time.Millisecond
	// ledgerDownTimeout replaces openTimeout and settleTimeout while the ledger
	// has not answered the last bill in time.
	ledgerDownTimeout = 20 * time.Millisecond
	// holdRetryInterval is the time between two attempts to have other routers
	// hold a bill. It also bounds each attempt.
	holdRetryInterval = time.Second
	// maxClaimChecks bounds how often a run checks a claim that other runs keep
	// changing.
	maxClaimChecks = 4
)

// errLedgerUnreachable reports that a non-idempotent request was not dispatched
// because its claim could not be recorded.
var errLedgerUnreachable = errors.New("ledger unreachable")

// claimExistsError reports that another run holds a claim of the request.
type claimExistsError struct {
	claim ledger.Claim
}

// Error describes the existing claim.
func (e *claimExistsError) Error() string {
	return fmt.Sprintf("claim of %s is %s at %s", e.claim.Request, e.claim.State, e.claim.Holder)
}

// claim is the state of a run's claim in the ledger.
type claim struct {
	openResult chan ledger.Result // nil until the claim is being opened
	resolved   bool               // the result of opening has been handled
	takenOver  bool               // the claim was taken over from another holder
}

// newClaim returns the run's claim as a ledger record.
func (x *run) newClaim(up ident.Upstream) ledger.Claim {
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
		Reserved:    x.r.MaxCost,
		Upstream:    up,
		Opened:      x.d.Clock(),
	}
}

// openClaim starts to record the claim in the ledger, unless this was done
// before or the claim was taken over.
func (x *run) openClaim(up ident.Upstream) {
	if x.claim.openResult != nil || x.claim.takenOver {
		return
	}
	opened := make(chan ledger.Result, 1)
	x.claim.openResult = opened
	op := ledger.Op{Budget: x.r.Budget.ID, Open: &ledger.Open{Claim: x.newClaim(up)}}
	x.d.Ledger.Push(op, func(r ledger.Result) { opened <- r })
}

// awaitClaim waits until the ledger has recorded the claim. It returns a
// claimExistsError if another run has one. After claimTimeout, an idempotent
// request continues without the claim and a non-idempotent one fails.
func (x *run) awaitClaim(ctx context.Context) error {
	if x.claim.resolved || x.claim.openResult == nil {
		return nil
	}
	timer := time.NewTimer(x.claimTimeout())
	defer timer.Stop()
	select {
	case r := <-x.claim.openResult:
		x.d.ledgerDown.Store(false)
		x.claim.resolved = true
		return x.handleOpenResult(r)
	case <-timer.C:
		x.claim.resolved = true
		x.record("claim", "not recorded in time")
		return x.noClaimError()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// claimTimeout returns how long the request may wait for its claim.
func (x *run) claimTimeout() time.Duration {
	switch {
	case x.r.Idempotent && x.d.ledgerDown.Load():
		return ledgerDownTimeout
	case x.r.Idempotent:
		return openTimeout
	}
	return max(time.Duration(x.d.Policy().RefusalAllowanceMillis)*time.Millisecond, openTimeout)
}

// noClaimError returns the error of a request whose claim is not recorded: nil
// if the request is idempotent and may run without it.
func (x *run) noClaimError() error {
	if x.r.Idempotent {
		return nil
	}
	return errLedgerUnreachable
}

// handleOpenResult handles the ledger's result of opening the claim.
func (x *run) handleOpenResult(r ledger.Result) error {
	switch r.Outcome {
	case ledger.Applied:
		return nil
	case ledger.Existing:
		return &claimExistsError{claim: *r.Claim}
	case ledger.ShareGone:
		x.d.Wallet.Invalidate(x.r.Budget.ID)
	}
	event.ClaimRejected.Warn(x.d.Log, "request", x.r.ID, "outcome", r.Outcome)
	return x.noClaimError()
}

// releaseClaim ends the claim without a bill and frees the reservation. It
// waits up to settleTimeout until that is recorded, so that a retry by the
// caller does not find the claim.
func (x *run) releaseClaim(uncertain bool) {
	reservation := x.reservation
	if x.claim.openResult == nil && !x.claim.takenOver {
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
	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	}
}

// settle bills the request. It returns the end of the answer once the bill is
// durable: settled in the ledger, or held by routers in two other failure
// domains. If the dispatcher closes before that, it returns a refusal.
func (x *run) settle(ctx context.Context, result attemptResult) End {
	bill := x.newClaim(result.end.Upstream)
	bill.State = ledger.StateSettled
	bill.Cost = result.cost
	bill.Ended = x.d.Clock()
	result.end.Cost = result.cost
	results := x.pushBill(bill)
	timer := time.NewTimer(x.billTimeout())
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			return x.resolveBill(ctx, r, bill, result)
		case <-timer.C:
			x.d.ledgerDown.Store(true)
			if x.holdBill(ctx, bill) {
				return result.end
			}
			timer.Reset(holdRetryInterval)
		case <-x.d.ctx.Done():
			return refusalEnd(refusal.NewMayHaveRun(refusal.BillPending, "the bill could not be recorded"))
		}
	}
}

// billTimeout returns how long a bill waits for the ledger before other routers
// are asked to hold it.
func (x *run) billTimeout() time.Duration {
	if x.d.ledgerDown.Load() {
		return ledgerDownTimeout
	}
	return settleTimeout
}

// pushBill sends the bill to the ledger. The reservation ends when the result
// arrives.
func (x *run) pushBill(bill ledger.Claim) <-chan ledger.Result {
	results := make(chan ledger.Result, 1)
	op := ledger.Op{Budget: x.r.Budget.ID, Settle: &ledger.Settle{Claim: bill}}
	kept := x.keepAnswer()
	x.d.Ledger.Push(op, func(r ledger.Result) {
		defer kept()
		x.d.ledgerDown.Store(false)
		x.endReservation(r, bill.Cost)
		results <- r
	})
	return results
}

// endReservation settles, forfeits or releases the reservation according to the
// ledger's result.
func (x *run) endReservation(r ledger.Result, cost tokens.Count) {
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

// resolveBill returns the end of an answer for the ledger's result of settling
// its bill.
func (x *run) resolveBill(ctx context.Context, r ledger.Result, bill ledger.Claim, result attemptResult) End {
	for range maxClaimChecks {
		x.record("settle", fmt.Sprintf("%s, %d tokens", r.Outcome, result.cost))
		if r.Outcome == ledger.Applied {
			return result.end
		}
		if r.Outcome != ledger.Existing {
			break
		}
		if r.Claim.State == ledger.StateSettled {
			// Another run of the same request was billed. This answer is
			// complete as well, and the caller is not billed twice.
			result.end.Cost = 0
			return result.end
		}
		if end, ok := x.fetchAnswer(ctx, *r.Claim); ok {
			return end
		}
		if r.Claim.State != ledger.StateOpen || sleep(ctx, shortRetryDelay) != nil {
			break
		}
		r = <-x.pushBill(bill)
	}
	x.d.Metrics.BillRejected()
	event.BillRejected.Warn(x.d.Log, "request", x.r.ID, "outcome", r.Outcome)
	return refusalEnd(refusal.NewMayHaveRun(refusal.Superseded,
		"the request was taken over by another router or its share was reclaimed").WithRetryAfter(shortRetryDelay))
}

// holdBill sends the bill to routers in two other failure domains and reports
// whether both have accepted it, so that the answer may be delivered before the
// ledger has recorded the bill. It does so only if the policy prefers
// availability and this router's lease was confirmed recently enough, before as
// well as after the call.
func (x *run) holdBill(ctx context.Context, bill ledger.Claim) bool {
	if x.d.Policy().Preference != configuration.PreferAvailability || !x.d.MayDeliver(x.d.Clock()) {
		return false
	}
	op := ledger.Op{Budget: x.r.Budget.ID, Settle: &ledger.Settle{Claim: bill, Delivered: true}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdRetryInterval)
	defer cancel()
	if err := x.d.Peers.HoldBills(ctx, []ledger.Op{op}); err != nil {
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

// settleAbandoned bills the prompt and the tokens that were produced before the
// caller left. It does not wait for the ledger.
func (x *run) settleAbandoned(ctx context.Context) End {
	cost := min(x.r.Chat.PromptTokens+tokens.Count(x.answer.Len()), x.r.MaxCost)
	bill := x.newClaim(x.tried[len(x.tried)-1])
	bill.State = ledger.StateSettled
	bill.Cost = cost
	bill.Ended = x.d.Clock()
	x.pushBill(bill)
	x.record("abandoned", fmt.Sprintf("caller left after %d tokens: %v", x.position, context.Cause(ctx)))
	return refusalEnd(refusal.NewMayHaveRun(refusal.CallerLeft, "the caller left"))
}
