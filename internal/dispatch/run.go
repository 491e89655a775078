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
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/internal/replay"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
)

// run is one request on its way through the stages. It belongs to one
// goroutine.
type run struct {
	d       *Dispatcher
	r       *Request
	answer  *replay.Answer[string, End]
	attempt ident.Attempt // of the claim; dispatches add a number to it
	content quarantine.Digest
	rng     *rand.Rand

	service     *directory.Service
	reservation *wallet.Reservation
	claim       claim
	position    int // pieces that the current attempt has produced
	mayHaveRun  bool
	tried       []ident.Upstream
}

// produce takes the request through its stages and returns the answer's end.
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
	return x.perform(ctx)
}

// prepare checks the request against the quarantine and reserves its bound.
func (x *run) prepare(ctx context.Context) *End {
	now := x.d.Clock()
	service, ok := x.d.Directory.Service(x.r.Service)
	if !ok {
		return x.refuse(refusal.New(refusal.NotFound, "service %s is not configured", x.r.Service))
	}
	x.service = service
	if x.quarantined() {
		event.RequestQuarantined.Warn(x.d.Log, "request", x.r.ID, "customer", x.r.Customer)
		return x.refuse(refusal.New(refusal.Quarantined, "this request has crashed several upstreams"))
	}
	reservation, err := x.d.Wallet.Reserve(ctx, now, wallet.Request{
		Budget:   x.r.Budget.ID,
		Funding:  x.funding(),
		Tokens:   x.r.Bound,
		Deadline: x.r.Deadline,
	})
	if err != nil {
		return x.refuse(reserveRefusal(x.r, err))
	}
	x.reservation = reservation
	return nil
}

func (x *run) funding() ledger.Funding {
	b := x.r.Budget
	return ledger.Funding{Customer: b.Customer, Prepaid: b.Prepaid, Revision: int64(b.Funded)}
}

func reserveRefusal(r *Request, err error) *refusal.Refusal {
	if errors.Is(err, wallet.ErrExhausted) {
		return refusal.New(refusal.BudgetExhausted, "budget %s has fewer than %d tokens left", r.Budget.ID, r.Bound)
	}
	return refusal.New(refusal.LedgerUnreachable,
		"budget %s cannot be drawn on at present", r.Budget.ID).After(retryLater)
}

// admit waits for the gate of the service.
func (x *run) admit(ctx context.Context) (*admission.Ticket, *End) {
	ticket, err := x.service.Gate.Enter(ctx, x.d.Clock(), admission.Request{
		Customer: x.r.Customer,
		Weight:   x.r.Weight,
		Tokens:   x.work(),
		Deadline: x.r.Deadline,
	})
	if err == nil {
		return ticket, nil
	}
	var full *admission.Refusal
	if errors.As(err, &full) {
		return nil, x.refuse(refusal.New(refusal.Overloaded,
			"service %s is busy: %s", x.r.Service, full.Reason).After(full.RetryAfter))
	}
	return nil, x.refuse(refusal.New(refusal.DeadlineExceeded, "not started in time").After(retrySoon))
}

// perform opens the claim, produces the answer and settles.
func (x *run) perform(ctx context.Context) End {
	if !x.r.Idempotent {
		x.openClaim("")
		if err := x.confirmClaim(ctx); err != nil {
			return x.stopped(ctx, err)
		}
	}
	out, err := x.attempts(ctx)
	if err != nil {
		return x.stopped(ctx, err)
	}
	x.d.Quarantine.Clear(x.content)
	return x.settle(ctx, out)
}

// stopped returns the end of a request whose attempts failed.
func (x *run) stopped(ctx context.Context, err error) End {
	var existing *existingError
	if errors.As(err, &existing) {
		return x.useExisting(ctx, existing.claim)
	}
	if errors.Is(context.Cause(ctx), errAbandoned) && x.answer.Len() > 0 {
		return x.settleAbandoned(ctx)
	}
	x.releaseClaim(x.mayHaveRun && !x.r.Idempotent)
	return *x.refuse(x.failure(err))
}

// failure returns the refusal for an error of the last attempt.
func (x *run) failure(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, errLedgerUnreachable):
		return refusal.New(refusal.LedgerUnreachable, "the claim could not be recorded").After(retryLater)
	case errors.Is(err, errQuarantined):
		event.RequestQuarantined.Warn(x.d.Log, "request", x.r.ID, "customer", x.r.Customer)
		return refusal.Ran(refusal.Quarantined, "this request has crashed several upstreams")
	case x.mayHaveRun && !x.r.Idempotent:
		return refusal.Ran(refusal.OutcomeUnknown, "the upstream may have run the request, which is not idempotent")
	case errors.Is(err, errDiverged):
		return refusal.Ran(refusal.UpstreamFailed, "the answer could not be continued on another upstream").After(retrySoon)
	case x.mayHaveRun:
		return refusal.Ran(refusal.UpstreamFailed, "no upstream completed the request").After(retrySoon)
	}
	return notRunRefusal(err)
}

func (x *run) refuse(r *refusal.Refusal) *End {
	x.record("refused", r.Error())
	end := refused(r)
	return &end
}

func (x *run) record(kind, detail string) {
	x.d.Journal.Record(x.d.Clock(), x.r.ID, kind, detail)
}

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

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("interrupted: %w", context.Cause(ctx))
	}
}
