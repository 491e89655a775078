package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"example.org/lagoonfork/internal/admission"
	"example.org/lagoonfork/internal/directory"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/internal/replay"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
)

// run is the execution of one request. It is used by a single goroutine.
type run struct {
	d       *Dispatcher
	r       *Request
	answer  *replay.Answer[string, End]
	attempt ident.Attempt // identifies the run in its claim; each dispatch appends a number
	subject quarantine.Subject
	rng     *rand.Rand

	service     *directory.Service
	reservation *wallet.Reservation
	claim       claim
	position    int              // number of pieces that the current attempt has produced
	mayHaveRun  bool             // an upstream may have run the request
	admission   *keeper.Attempt  // of the current attempt by the quarantine
	tried       []ident.Upstream // upstreams of the attempts so far
	answerBegan bool             // the engine has begun to respond in the current attempt
}

// produce runs the request through all stages and returns the end of the
// answer.
func (x *run) produce(ctx context.Context) End {
	if end := x.prepare(ctx); end != nil {
		return *end
	}
	ticket, end := x.admit(ctx)
	if end != nil {
		x.reservation.Release()
		return *end
	}
	defer func() { x.service.Gate.Leave(x.d.Clock(), ticket) }()
	if end := x.awaitMemory(ctx); end != nil {
		x.reservation.Release()
		return *end
	}
	defer x.answer.Memory.Release(answerBytes)
	return x.execute(ctx)
}

// prepare refuses quarantined requests and reserves the cost bound.
func (x *run) prepare(ctx context.Context) *End {
	now := x.d.Clock()
	service, ok := x.d.Directory.Service(x.r.Service)
	if !ok {
		return x.refuse(refusal.New(refusal.NotFound, "service %s is not configured", x.r.Service))
	}
	x.service = service
	if err := x.begin(); errors.Is(err, errQuarantined) {
		event.RequestQuarantined.Warn(x.d.Log, "request", x.r.ID, "customer", x.r.Customer)
		return x.refuse(refusal.New(refusal.Quarantined, "this request has crashed several upstreams"))
	}
	x.admission.End() // the request may wait, so that each attempt begins anew
	reservation, err := x.d.Wallet.Reserve(ctx, now, wallet.Request{
		Budget:   x.r.Budget.ID,
		Funding:  x.funding(),
		Tokens:   x.r.MaxCost,
		Deadline: x.r.Deadline,
	})
	if err != nil {
		return x.refuse(reservationRefusal(x.r, err))
	}
	x.reservation = reservation
	return nil
}

// funding returns the funding of the request's budget as recorded in the
// ledger.
func (x *run) funding() ledger.Funding {
	b := x.r.Budget
	return ledger.Funding{Customer: b.Customer, Prepaid: b.Prepaid, Revision: int64(b.Funded)}
}

// reservationRefusal returns the refusal of a request whose cost bound could
// not be reserved.
func reservationRefusal(r *Request, err error) *refusal.Refusal {
	if errors.Is(err, wallet.ErrExhausted) {
		return refusal.New(refusal.BudgetExhausted, "budget %s has fewer than %d tokens left", r.Budget.ID, r.MaxCost)
	}
	return refusal.New(refusal.LedgerUnreachable,
		"budget %s cannot be drawn on at present", r.Budget.ID).WithRetryAfter(longRetryDelay)
}

// admit waits for admission to the service.
func (x *run) admit(ctx context.Context) (*admission.Ticket, *End) {
	ticket, err := x.service.Gate.Enter(ctx, x.d.Clock(), admission.Request{
		Customer: x.r.Customer,
		Weight:   x.r.Weight,
		Tokens:   x.estimatedTokens(),
		Deadline: x.r.Deadline,
	})
	if err == nil {
		return ticket, nil
	}
	var admissionRefusal *admission.Refusal
	if errors.As(err, &admissionRefusal) {
		return nil, x.refuse(refusal.New(refusal.Overloaded,
			"service %s is busy: %s", x.r.Service, admissionRefusal.Reason).WithRetryAfter(admissionRefusal.RetryAfter))
	}
	return nil, x.refuse(refusal.New(refusal.DeadlineExceeded, "not started in time").WithRetryAfter(shortRetryDelay))
}

// execute opens the claim, produces the answer and settles the claim.
func (x *run) execute(ctx context.Context) End {
	if !x.r.Idempotent {
		x.openClaim("")
		if err := x.awaitClaim(ctx); err != nil {
			return x.handleFailure(ctx, err)
		}
	}
	defer func() { x.admission.End() }()
	result, err := x.runAttempts(ctx)
	if err != nil {
		return x.handleFailure(ctx, err)
	}
	x.admission.RecordCompletion(x.d.Clock())
	return x.settle(ctx, result)
}

// handleFailure returns the end of a request that no attempt has completed.
func (x *run) handleFailure(ctx context.Context, err error) End {
	var existing *claimExistsError
	if errors.As(err, &existing) {
		return x.resolveExisting(ctx, existing.claim)
	}
	if errors.Is(context.Cause(ctx), errAbandoned) && x.answer.Len() > 0 {
		return x.settleAbandoned(ctx)
	}
	x.releaseClaim(x.mayHaveRun && !x.r.Idempotent)
	return *x.refuse(x.failureRefusal(err))
}

// failureRefusal returns the refusal for the error of the last attempt.
func (x *run) failureRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, errLedgerUnreachable):
		return refusal.New(refusal.LedgerUnreachable, "the claim could not be recorded").WithRetryAfter(longRetryDelay)
	case errors.Is(err, errQuarantined):
		event.RequestQuarantined.Warn(x.d.Log, "request", x.r.ID, "customer", x.r.Customer)
		return refusal.NewMayHaveRun(refusal.Quarantined, "this request has crashed several upstreams")
	case errors.Is(err, errSuspectRunning) && !x.mayHaveRun:
		return refusal.New(refusal.Overloaded, "%v", errSuspectRunning).WithRetryAfter(shortRetryDelay)
	case x.mayHaveRun && !x.r.Idempotent:
		return refusal.NewMayHaveRun(refusal.OutcomeUnknown, "the upstream may have run the request, which is not idempotent")
	case errors.Is(err, errDiverged):
		return refusal.NewMayHaveRun(refusal.UpstreamFailed, "the answer could not be continued on another upstream").WithRetryAfter(shortRetryDelay)
	case x.mayHaveRun:
		return refusal.NewMayHaveRun(refusal.UpstreamFailed, "no upstream completed the request").WithRetryAfter(shortRetryDelay)
	}
	return notRunRefusal(err)
}

// refuse records a refusal in the journal and returns the end of the answer.
func (x *run) refuse(r *refusal.Refusal) *End {
	x.record("refused", r.Error())
	end := refusalEnd(r)
	return &end
}

// record adds an entry to the journal of the request.
func (x *run) record(kind, detail string) {
	x.d.Journal.Record(x.d.Clock(), x.r.ID, kind, detail)
}

// logEnd logs and counts the outcome of the request.
func (x *run) logEnd(end *End) {
	if r := end.Refusal; r != nil {
		x.d.Metrics.Refused(r.Code)
		event.RequestRefused.Info(x.d.Log, "request", x.r.ID, "customer", x.r.Customer,
			"code", r.Code, "notRun", r.NotRun, "message", r.Message)
		return
	}
	x.d.Metrics.Served(end.Cost)
	event.RequestServed.Info(x.d.Log, "request", x.r.ID, "customer", x.r.Customer,
		"budget", x.r.Budget.ID, "upstream", end.Upstream, "cost", end.Cost)
}

// sleep waits until d has passed. If ctx ends first, it returns an error that wraps
// the cause.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait interrupted: %w", context.Cause(ctx))
	}
}
