package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/internal/retry"
	"example.org/lagoonfork/internal/routing"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// cancelTimeout bounds the call that cancels a run at an engine.
const cancelTimeout = 2 * time.Second

// callWork is what a call of a plain service counts for in admission.
const callWork tokens.Count = 1024

// errDiverged reports that another attempt gave another text than the part of
// the answer that the caller has received.
var errDiverged = errors.New("answers of two attempts differ")

// errQuarantined reports that the request has crashed too many upstreams.
var errQuarantined = errors.New("request quarantined")

// quarantined reports whether the whole fleet refuses the request.
func (x *run) quarantined() bool {
	return x.d.Quarantine.Refused(x.d.Clock(), x.content, x.d.Policy().CrashLimit)
}

// outcome is what a completed attempt gave.
type outcome struct {
	end  End
	cost tokens.Count
}

// attempts dispatches the request until one attempt completes or no further one
// is allowed.
func (x *run) attempts(ctx context.Context) (outcome, error) {
	budget := x.service.RetryBudget(x.r.Customer)
	budget.Deposit()
	for n := 1; ; n++ {
		if n > 1 && x.quarantined() {
			return outcome{}, errQuarantined
		}
		out, err := x.attemptOnce(ctx, n)
		if err == nil {
			return out, nil
		}
		var existing *existingError
		if errors.As(err, &existing) || ctx.Err() != nil {
			return outcome{}, err
		}
		d := retry.Decide(x.d.Clock(), x.describe(n, err), budget, x.rng)
		event.RetryDecided.Info(x.d.Log, "request", x.r.ID, "attempt", n, "retry", d.Retry, "reason", d.Reason, "error", err)
		x.record("retry", fmt.Sprintf("attempt %d failed (%v): %s", n, err, d.Reason))
		if !d.Retry {
			return outcome{}, err
		}
		if err := pause(ctx, d.After); err != nil {
			return outcome{}, err
		}
	}
}

// describe returns what the decision on a retry needs to know.
func (x *run) describe(attempt int, err error) retry.Failure {
	return retry.Failure{
		Attempt:    attempt,
		Idempotent: x.r.Idempotent,
		MayHaveRun: x.mayHaveRun,
		Permanent:  permanent(err),
		Crashed:    errors.Is(err, engineclient.ErrCrashed),
		Unreached:  unreached(err),
		Deadline:   x.r.Deadline,
	}
}

// unreached reports whether no connection to the upstream could be made.
func unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func permanent(err error) bool {
	return errors.Is(err, engineclient.ErrRefused) || errors.Is(err, errDiverged) ||
		errors.Is(err, plainclient.ErrTooLarge) || errors.Is(err, errLedgerUnreachable)
}

// attemptOnce chooses an upstream and dispatches the request to it.
func (x *run) attemptOnce(ctx context.Context, n int) (out outcome, err error) {
	decision, err := x.choose()
	if err != nil {
		return outcome{}, err
	}
	up := decision.Upstream
	x.d.Metrics.Attempt(n > 1)
	x.tried = append(x.tried, up.ID)
	if x.r.Keyed && x.r.Idempotent {
		x.openClaim(up.ID)
	}
	suspect := x.d.Quarantine.Suspect(x.d.Clock(), x.content)
	work := x.service.Table.Start(x.d.Clock(), up.ID, x.work(), suspect)
	var seen routing.Observation
	defer func() { x.service.Table.Finish(x.d.Clock(), work, seen) }()
	out, seen, err = x.dispatch(ctx, up, ident.Attempt(fmt.Sprintf("%s-%d", x.attempt, n)), decision.Reason == routing.ReasonPrefixCached)
	x.judge(up, err)
	return out, err
}

// judge draws the conclusions of an attempt's error.
func (x *run) judge(up configuration.Upstream, err error) {
	if err == nil {
		return
	}
	if engineclient.MayHaveRun(err) && !errors.Is(err, plainclient.ErrNotRun) {
		x.mayHaveRun = true
	}
	if errors.Is(err, engineclient.ErrCrashed) {
		x.d.Metrics.Crash()
		event.RequestAccused.Warn(x.d.Log, "upstream", up.ID, "request", x.r.ID)
		x.d.Quarantine.Accuse(x.d.Clock(), x.content, up.ID)
		x.service.Table.Forget(up.ID)
	}
}

// choose decides on the upstream of the next attempt. When all have been tried,
// they may be tried again.
func (x *run) choose() (routing.Decision, error) {
	now := x.d.Clock()
	q := x.query(now)
	d, err := x.service.Table.Choose(now, q, x.rng)
	if err != nil && (len(q.Exclude) > 0 || q.Isolate) {
		q.Exclude, q.Isolate = nil, false
		d, err = x.service.Table.Choose(now, q, x.rng)
	}
	if err != nil {
		event.RouteMissing.Warn(x.d.Log, "request", x.r.ID, "service", x.r.Service)
		return d, err
	}
	event.RouteChosen.Info(x.d.Log, "request", x.r.ID, "upstream", d.Upstream.ID, "reason", d.Reason,
		"expectedWait", d.ExpectedWait, "cachedTokens", d.CachedTokens, "candidates", d.Candidates)
	x.record("route", fmt.Sprintf("%s: %s, expected wait %v", d.Upstream.ID, d.Reason, d.ExpectedWait))
	return d, nil
}

func (x *run) query(now time.Time) routing.Query {
	q := routing.Query{
		Exclude: slices.Clone(x.tried),
		Isolate: x.d.Quarantine.Suspect(now, x.content),
	}
	if c := x.r.Chat; c != nil {
		q.Model = c.Model
		q.PromptTokens = c.Prompt
		q.MaxOutputTokens = c.Output
		q.Prefix = routing.PrefixOf(c.Text)
	}
	return q
}

// work returns the tokens that the request is expected to take up.
func (x *run) work() tokens.Count {
	if c := x.r.Chat; c != nil {
		return c.Prompt + c.Output
	}
	return callWork
}

func (x *run) dispatch(ctx context.Context, up configuration.Upstream, a ident.Attempt, expected bool) (outcome, routing.Observation, error) {
	if x.r.Chat != nil {
		return x.chat(ctx, up, a, expected)
	}
	return x.call(ctx, up, a)
}

// call forwards the request to a plain service.
func (x *run) call(ctx context.Context, up configuration.Upstream, a ident.Attempt) (outcome, routing.Observation, error) {
	forward := x.r.Call.Forward
	forward.Request = x.r.ID
	forward.Attempt = a
	forward.Idempotent = x.r.Idempotent
	response, err := x.d.Plain.Forward(ctx, up, forward)
	if err == nil {
		err = x.confirmClaim(ctx)
	}
	if err != nil {
		return outcome{}, routing.Observation{UpstreamFailed: !permanent(err) && ctx.Err() == nil}, err
	}
	end := End{Attempt: a, Upstream: up.ID, Response: &response}
	return outcome{end: end, cost: x.r.Call.Cost}, routing.Observation{}, nil
}

// chat runs the request on an engine and appends its tokens to the answer.
func (x *run) chat(ctx context.Context, up configuration.Upstream, a ident.Attempt, expected bool) (out outcome, seen routing.Observation, err error) {
	began := x.d.Clock()
	x.position = 0
	request := ident.Request(x.r.key())
	stream, err := x.d.Engines.Start(ctx, up, engineclient.Run{
		Request:   request,
		Attempt:   a,
		Model:     x.r.Chat.Model,
		Body:      x.r.Chat.Body,
		Priority:  x.r.Chat.Priority,
		MaxOutput: x.r.Chat.Output,
		CacheKey:  string(routing.PrefixOf(x.r.Chat.Text)),
	})
	if err != nil {
		x.cancel(up, request, err)
		return outcome{}, routing.Observation{UpstreamFailed: upstreamFault(ctx, err)}, err
	}
	defer func() { _ = stream.Close() }() // it only releases the connection
	x.service.Table.ExpectCached(up.ID, routing.PrefixOf(x.r.Chat.Text))
	end, first, err := x.read(ctx, stream)
	if err != nil {
		x.cancel(up, request, err)
		return outcome{}, routing.Observation{UpstreamFailed: upstreamFault(ctx, err)}, err
	}
	end.Attempt, end.Upstream = a, up.ID
	seen = x.observe(began, first, end.Usage)
	seen.PrefixExpected = expected
	return outcome{end: end, cost: x.cost(end.Usage, stream.Received())}, seen, nil
}

// upstreamFault reports whether an error speaks against the upstream.
func upstreamFault(ctx context.Context, err error) bool {
	var existing *existingError
	return ctx.Err() == nil && !permanent(err) && !errors.As(err, &existing)
}

// read takes the stream's tokens until its end.
func (x *run) read(ctx context.Context, stream *engineclient.Stream) (end End, first time.Time, err error) {
	for {
		e, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return end, first, x.confirmClaim(ctx)
		}
		if err != nil {
			return end, first, err
		}
		if first.IsZero() {
			first = x.d.Clock()
		}
		if err := x.take(ctx, e, &end); err != nil {
			return end, first, err
		}
	}
}

func (x *run) take(ctx context.Context, e engine.Event, end *End) error {
	if e.FinishReason != "" {
		end.FinishReason = e.FinishReason
	}
	if e.Usage != nil {
		end.Usage = e.Usage
	}
	if e.Text == "" {
		return nil
	}
	return x.emit(ctx, e.Text)
}

// emit appends a piece to the answer. A further attempt first has to repeat
// what earlier ones have given out.
func (x *run) emit(ctx context.Context, piece string) error {
	if err := x.confirmClaim(ctx); err != nil {
		return err
	}
	given, _, err := x.given()
	if err != nil {
		return err
	}
	if x.position < len(given) {
		if given[x.position] != piece {
			return errDiverged
		}
		x.position++
		return nil
	}
	x.answer.Append(piece)
	x.position++
	return nil
}

// given returns the pieces that the answer has.
func (x *run) given() ([]string, *End, error) {
	if x.answer.Len() == 0 {
		return nil, nil, nil
	}
	return x.answer.Read(context.Background(), 0)
}

// cancel stops a run at its engine unless it has ended by itself.
func (x *run) cancel(up configuration.Upstream, request ident.Request, err error) {
	if !engineclient.MayHaveRun(err) || errors.Is(err, engineclient.ErrCrashed) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := x.d.Engines.Cancel(ctx, up, request); err != nil {
		event.CancelNotSent.Info(x.d.Log, "request", x.r.ID, "upstream", up.ID, "error", err)
	}
}

func (x *run) observe(began, first time.Time, u *engine.Usage) routing.Observation {
	if first.IsZero() {
		return routing.Observation{}
	}
	o := routing.Observation{TimeToFirstToken: first.Sub(began), PromptTokens: x.r.Chat.Prompt}
	if u != nil {
		o.PromptTokens = u.PromptTokens
	}
	if u != nil && u.Details != nil {
		o.CachedTokens = u.Details.CachedTokens
	}
	if x.position > 1 {
		o.TimePerToken = x.d.Clock().Sub(first) / time.Duration(x.position-1)
	}
	return o
}

// cost returns what the request costs: the engine's count or, for an answer that
// was cut, the tokens received; at most the bound.
func (x *run) cost(u *engine.Usage, received int) tokens.Count {
	if u == nil {
		return min(x.r.Chat.Prompt+tokens.Count(received), x.r.Bound)
	}
	return min(u.PromptTokens+u.CompletionTokens, x.r.Bound)
}

// notRunRefusal returns the refusal of a request that certainly did not run.
func notRunRefusal(err error) *refusal.Refusal {
	var engineRefusal *engineclient.RefusalError
	switch {
	case errors.As(err, &engineRefusal):
		return refusal.New(refusal.UpstreamRefused, "%s", engineRefusal.Message)
	case errors.Is(err, routing.ErrNoUpstream):
		return refusal.New(refusal.NoUpstream, "no upstream is available").After(retrySoon)
	}
	return refusal.New(refusal.UpstreamFailed, "no upstream took the request").After(retrySoon)
}
