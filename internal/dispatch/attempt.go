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
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/internal/retry"
	"example.org/lagoonfork/internal/routing"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// cancelTimeout bounds the call that cancels a run on an engine.
const cancelTimeout = 2 * time.Second

// plainCallTokens is the assumed size of a call to a plain service in admission
// and routing.
const plainCallTokens tokens.Count = 1024

// errDiverged reports that an attempt produced text that differs from the part
// of the answer that an earlier attempt has already appended.
var errDiverged = errors.New("answers of two attempts differ")

var (
	// errQuarantined reports that the request, or a part of its prompt, has crashed too
	// many upstreams.
	errQuarantined = errors.New("request quarantined")
	// errSuspectRunning reports that another request with the same suspect content or
	// part is running.
	errSuspectRunning = errors.New("another request that may crash upstreams in the same way is running")
)

// begin has the quarantine decide on the next attempt. The attempt before has then ended,
// too.
func (x *run) begin() error {
	if x.admission != nil {
		x.admission.End()
	}
	x.admission = x.d.Quarantine.Begin(x.d.Clock(), x.subject, x.d.Policy().CrashLimit)
	switch x.admission.Verdict {
	case keeper.Refused:
		return errQuarantined
	case keeper.Busy:
		return errSuspectRunning
	}
	return nil
}

// attemptResult is the result of a completed attempt.
type attemptResult struct {
	end  End
	cost tokens.Count
}

// runAttempts dispatches the request until an attempt completes or no further
// retry is allowed.
func (x *run) runAttempts(ctx context.Context) (attemptResult, error) {
	budget := x.service.RetryBudget(x.r.Customer)
	budget.Deposit()
	for n := 1; ; n++ {
		if err := x.begin(); err != nil {
			return attemptResult{}, err
		}
		result, err := x.runAttempt(ctx, n)
		if err == nil {
			return result, nil
		}
		var existing *claimExistsError
		if errors.As(err, &existing) || errors.Is(err, errQuarantined) || ctx.Err() != nil {
			return attemptResult{}, err
		}
		d := retry.Decide(x.d.Clock(), x.retryFailure(n, err), budget, x.rng)
		event.RetryDecided.Info(x.d.Log, "request", x.r.ID, "attempt", n, "retry", d.Retry, "reason", d.Reason, "error", err)
		x.record("retry", fmt.Sprintf("attempt %d failed (%v): %s", n, err, d.Reason))
		if !d.Retry {
			return attemptResult{}, err
		}
		if err := sleep(ctx, d.After); err != nil {
			return attemptResult{}, err
		}
	}
}

// retryFailure describes a failed attempt, numbered from 1, to retry.Decide.
func (x *run) retryFailure(attempt int, err error) retry.Failure {
	return retry.Failure{
		Attempt:       attempt,
		Idempotent:    x.r.Idempotent,
		MayHaveRun:    x.mayHaveRun,
		Permanent:     isPermanent(err),
		Crashed:       errors.Is(err, engineclient.ErrCrashed),
		ConnectFailed: connectFailed(err),
		Deadline:      x.r.Deadline,
	}
}

// connectFailed reports whether no connection to the upstream could be
// established.
func connectFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isPermanent reports whether another attempt would fail in the same way.
func isPermanent(err error) bool {
	return errors.Is(err, engineclient.ErrRefused) || errors.Is(err, errDiverged) ||
		errors.Is(err, plainclient.ErrTooLarge) || errors.Is(err, plainclient.ErrNoMemory) || errors.Is(err, errLedgerUnreachable)
}

// runAttempt chooses an upstream and dispatches the request to it.
func (x *run) runAttempt(ctx context.Context, n int) (result attemptResult, err error) {
	decision, err := x.choose()
	if err != nil {
		return attemptResult{}, err
	}
	up := decision.Upstream
	x.d.Metrics.Attempt(n > 1)
	x.tried = append(x.tried, up.ID)
	if x.r.Keyed && x.r.Idempotent {
		x.openClaim(up.ID)
	}
	inFlight := x.service.Table.Start(x.d.Clock(), up.ID, x.estimatedTokens(), x.admission.Suspect)
	var observation routing.Observation
	defer func() { x.service.Table.Finish(x.d.Clock(), inFlight, observation) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.admission.OnRevoked(func() { cancel(errQuarantined) })
	result, observation, err = x.dispatch(ctx, up, ident.Attempt(fmt.Sprintf("%s-%d", x.attempt, n)), decision.Reason == routing.ReasonPrefixCached)
	x.handleAttemptError(up, err)
	if err != nil && errors.Is(context.Cause(ctx), errQuarantined) {
		return result, errQuarantined
	}
	return result, err
}

// handleAttemptError records whether the request may have run and, if it
// crashed the upstream, reports the crash to the quarantine and invalidates the
// upstream's cache state.
func (x *run) handleAttemptError(up configuration.Upstream, err error) {
	if err == nil {
		return
	}
	if engineclient.MayHaveRun(err) && !errors.Is(err, plainclient.ErrNotRun) {
		x.mayHaveRun = true
	}
	if errors.Is(err, engineclient.ErrCrashed) {
		x.d.Metrics.Crash()
		event.RequestAccused.Warn(x.d.Log, "upstream", up.ID, "request", x.r.ID)
		x.admission.RecordLoss(x.d.Clock(), keeper.Loss{Upstream: up.ID, Ended: true, AnswerBegan: x.answerBegan})
		x.service.Table.InvalidateCache(up.ID)
	}
}

// choose chooses the upstream of the next attempt. If no untried upstream is
// available, it allows upstreams that have been tried already, and drops the
// isolation of the request.
func (x *run) choose() (routing.Decision, error) {
	now := x.d.Clock()
	q := x.query(now)
	d, err := x.service.Table.Choose(now, q, x.rng)
	if err != nil && (len(q.Exclude) > 0 || q.Isolate) {
		q.Exclude, q.Isolate = nil, false
		d, err = x.service.Table.Choose(now, q, x.rng)
	}
	if err != nil {
		event.NoUpstreamAvailable.Warn(x.d.Log, "request", x.r.ID, "service", x.r.Service)
		return d, err
	}
	event.RouteChosen.Info(x.d.Log, "request", x.r.ID, "upstream", d.Upstream.ID, "reason", d.Reason,
		"expectedWait", d.ExpectedWait, "cachedTokens", d.CachedTokens, "candidates", d.Candidates)
	x.record("route", fmt.Sprintf("%s: %s, expected wait %v", d.Upstream.ID, d.Reason, d.ExpectedWait))
	return d, nil
}

// query returns the routing query of the next attempt.
func (x *run) query(now time.Time) routing.Query {
	q := routing.Query{
		Exclude: slices.Clone(x.tried),
		Isolate: x.admission.Suspect,
	}
	if c := x.r.Chat; c != nil {
		q.Model = c.Model
		q.PromptTokens = c.PromptTokens
		q.MaxOutputTokens = c.MaxOutputTokens
		q.Prefix = routing.PrefixOf(c.PromptText)
	}
	return q
}

// estimatedTokens returns the expected size of the request in tokens, for
// admission and routing.
func (x *run) estimatedTokens() tokens.Count {
	if c := x.r.Chat; c != nil {
		return c.PromptTokens + c.MaxOutputTokens
	}
	return plainCallTokens
}

// dispatch runs one attempt on an upstream.
func (x *run) dispatch(ctx context.Context, up configuration.Upstream, attempt ident.Attempt, prefixExpected bool) (attemptResult, routing.Observation, error) {
	if x.r.Chat != nil {
		return x.runChat(ctx, up, attempt, prefixExpected)
	}
	return x.runCall(ctx, up, attempt)
}

// runCall forwards the request to a plain service.
func (x *run) runCall(ctx context.Context, up configuration.Upstream, attempt ident.Attempt) (attemptResult, routing.Observation, error) {
	forward := x.r.Call.Forward
	forward.Request = x.r.ID
	forward.Attempt = attempt
	forward.Idempotent = x.r.Idempotent
	forward.Memory = x.answer.Memory
	response, err := x.d.PlainClient.Forward(ctx, up, forward)
	if err == nil {
		err = x.awaitClaim(ctx)
	}
	if err != nil {
		return attemptResult{}, routing.Observation{UpstreamFailed: !isPermanent(err) && ctx.Err() == nil}, err
	}
	end := End{Attempt: attempt, Upstream: up.ID, Response: &response}
	return attemptResult{end: end, cost: x.r.Call.Cost}, routing.Observation{}, nil
}

// runChat runs the request on an engine and appends the generated tokens to the
// answer.
func (x *run) runChat(ctx context.Context, up configuration.Upstream, attempt ident.Attempt, prefixExpected bool) (result attemptResult, observation routing.Observation, err error) {
	started := x.d.Clock()
	x.position, x.answerBegan = 0, false
	request := ident.Request(x.r.key())
	stream, err := x.d.EngineClient.Start(ctx, up, engineclient.Run{
		Request:   request,
		Attempt:   attempt,
		Model:     x.r.Chat.Model,
		Body:      x.r.Chat.Body,
		Priority:  x.r.Chat.Priority,
		MaxOutput: x.r.Chat.MaxOutputTokens,
		CacheKey:  string(routing.PrefixOf(x.r.Chat.PromptText)),
	})
	if err != nil {
		x.cancelRun(up, request, err)
		return attemptResult{}, routing.Observation{UpstreamFailed: isUpstreamFailure(ctx, err)}, err
	}
	defer func() { _ = stream.Close() }() // only releases the connection
	x.answerBegan = true
	x.service.Table.ExpectCached(up.ID, routing.PrefixOf(x.r.Chat.PromptText))
	end, firstToken, err := x.readStream(ctx, stream)
	if err != nil {
		x.cancelRun(up, request, err)
		return attemptResult{}, routing.Observation{UpstreamFailed: isUpstreamFailure(ctx, err)}, err
	}
	end.Attempt, end.Upstream = attempt, up.ID
	observation = x.observe(started, firstToken, end.Usage)
	observation.PrefixExpected = prefixExpected
	return attemptResult{end: end, cost: x.cost(end.Usage, stream.Received())}, observation, nil
}

// isUpstreamFailure reports whether an error was caused by the upstream rather
// than by the request or its context.
func isUpstreamFailure(ctx context.Context, err error) bool {
	var existing *claimExistsError
	return ctx.Err() == nil && !isPermanent(err) && !errors.As(err, &existing)
}

// readStream reads the stream to its end and appends its tokens to the answer.
// It returns the time of the first token.
func (x *run) readStream(ctx context.Context, stream *engineclient.Stream) (end End, firstToken time.Time, err error) {
	for {
		e, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return end, firstToken, x.awaitClaim(ctx)
		}
		if err != nil {
			return end, firstToken, err
		}
		if firstToken.IsZero() {
			firstToken = x.d.Clock()
			x.admission.RecordAnswer(firstToken)
		}
		if err := x.handleEvent(ctx, e, &end); err != nil {
			return end, firstToken, err
		}
	}
}

// handleEvent stores an event's finish reason and usage in end and emits its
// text.
func (x *run) handleEvent(ctx context.Context, e engine.Event, end *End) error {
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

// emit appends a piece of text to the answer. While a further attempt repeats
// the pieces of earlier ones, emit compares them instead and returns
// errDiverged if they differ.
func (x *run) emit(ctx context.Context, piece string) error {
	if err := x.awaitClaim(ctx); err != nil {
		return err
	}
	emitted, _, err := x.emittedPieces()
	if err != nil {
		return err
	}
	if x.position < len(emitted) {
		if emitted[x.position] != piece {
			return errDiverged
		}
		x.position++
		return nil
	}
	x.appendPiece(piece)
	x.position++
	return nil
}

// emittedPieces returns the pieces that have been appended to the answer.
func (x *run) emittedPieces() ([]string, *End, error) {
	if x.answer.Len() == 0 {
		return nil, nil, nil
	}
	return x.answer.Read(context.Background(), 0)
}

// cancelRun cancels a run on its engine after err, unless it cannot have run or
// the engine has crashed.
func (x *run) cancelRun(up configuration.Upstream, request ident.Request, err error) {
	if !engineclient.MayHaveRun(err) || errors.Is(err, engineclient.ErrCrashed) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := x.d.EngineClient.Cancel(ctx, up, request); err != nil {
		event.CancelNotSent.Info(x.d.Log, "request", x.r.ID, "upstream", up.ID, "error", err)
	}
}

// observe returns the timings and token counts of a completed run for the
// routing table.
func (x *run) observe(started, firstToken time.Time, u *engine.Usage) routing.Observation {
	if firstToken.IsZero() {
		return routing.Observation{}
	}
	o := routing.Observation{TimeToFirstToken: firstToken.Sub(started), PromptTokens: x.r.Chat.PromptTokens}
	if u != nil {
		o.PromptTokens = u.PromptTokens
	}
	if u != nil && u.Details != nil {
		o.CachedTokens = u.Details.CachedTokens
	}
	if x.position > 1 {
		o.TimePerToken = x.d.Clock().Sub(firstToken) / time.Duration(x.position-1)
	}
	return o
}

// cost returns the cost of the request: the usage that the engine reported or,
// for an answer without usage because it was cut off, the prompt and the tokens
// received. The result does not exceed the cost bound of the request.
func (x *run) cost(u *engine.Usage, received int) tokens.Count {
	if u == nil {
		return min(x.r.Chat.PromptTokens+tokens.Count(received), x.r.MaxCost)
	}
	return min(u.PromptTokens+u.CompletionTokens, x.r.MaxCost)
}

// notRunRefusal returns the refusal of a request that certainly did not run.
func notRunRefusal(err error) *refusal.Refusal {
	var engineRefusal *engineclient.RefusalError
	switch {
	case errors.As(err, &engineRefusal):
		return refusal.New(refusal.UpstreamRefused, "%s", engineRefusal.Message)
	case errors.Is(err, routing.ErrNoUpstream):
		return refusal.New(refusal.NoUpstream, "no upstream is available").WithRetryAfter(shortRetryDelay)
	}
	return refusal.New(refusal.UpstreamFailed, "no upstream took the request").WithRetryAfter(shortRetryDelay)
}
