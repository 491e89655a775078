package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"example.org/lagoonfork/internal/affinity"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// callerLeft is the outcome of a request whose caller has closed its side of the connection.
	callerLeft = "callerLeft"
	// errorWriteTimeout bounds the write of an error response, which blocks only if earlier responses
	// fill the socket's buffer.
	errorWriteTimeout = time.Second
)

// finishFailed ends a request whose response was not delivered. It aborts the
// connection if the caller has a part of the response, forwards a 5xx
// response of an upstream if there is one, and writes an error response otherwise. The
// status is 503 if no attempt may have run the request, 504 if it expired, and else 502.
// The reason is the code of the error response, except that 504 has its own.
func (t *transfer) finishFailed(reason string) {
	status, retryAfter := http.StatusBadGateway, time.Duration(0)
	timedOut := errors.Is(t.ctx.Err(), context.DeadlineExceeded)
	stopping := errors.Is(context.Cause(t.ctx), ErrStopping)
	if stopping {
		reason = "stopping"
	}
	left := errors.Is(t.ctx.Err(), context.Canceled) && !stopping
	switch {
	case t.delivery.end() != endNone:
		t.endCaller()
	case t.headerWritten:
		outcome := "cutOff"
		if left {
			outcome = callerLeft
		}
		t.recordEnd(0, outcome, "")
		t.delivery.cutOff()
		panic(http.ErrAbortHandler)
	case left:
		t.finishLeft()
		return
	}
	t.undelivered = !t.streamBegan
	switch {
	case t.serverError != nil:
		b := t.serverError
		if now := t.now(); now.After(t.r.Expires()) {
			setWriteDeadline(t.w, now.Add(writeGrace))
		}
		if t.writeBuffered(b) != nil {
			t.finishFailed(reason) // as the caller has a part of it
		}
		t.recordEnd(b.status, "upstreamFailure", "")
		return
	case t.runs == 0:
		status, retryAfter = http.StatusServiceUnavailable, retryDelay(t.r.Route.LatencyGoal)
	case timedOut:
		status, reason = http.StatusGatewayTimeout, "timeout"
	}
	t.recordEnd(status, reason, "")
	writeError(t.now(), t.w, status, reason, retryAfter)
}

// finishLeft ends a request whose caller has closed its side of the connection before a part of
// the response was written. Whether the caller has left or only finished sending is not known, so
// that it gets an error response. A request that may have run is charged in both cases.
func (t *transfer) finishLeft() {
	status, retryAfter := http.StatusBadGateway, time.Duration(0)
	if t.runs == 0 {
		status, retryAfter = http.StatusServiceUnavailable, retryDelay(t.r.Route.LatencyGoal)
	}
	t.recordEnd(status, callerLeft, "")
	t.w.Header().Set("Connection", "close")
	writeError(t.now(), t.w, status, callerLeft, retryAfter)
}

// endCaller aborts the connection to a caller that was ended because it does not read.
func (t *transfer) endCaller() {
	t.recordEnd(0, string(t.delivery.end()), "")
	t.f.slow.countEnd(t.now(), t.delivery.end(), t.f.settings.Log)
	panic(http.ErrAbortHandler)
}

// finishNoUpstream ends a request for which there is no upstream. If that is because of
// limits that upstreams name or because they warm up, the caller learns when the next request is
// allowed.
func (t *transfer) finishNoUpstream(q affinity.Query) {
	table := t.f.settings.Roster.Service(t.r.Service.ID)
	if table == nil {
		t.finishFailed("noUpstream")
		return
	}
	if table.AllClosed() {
		t.finishRefused(domainsClosed())
		return
	}
	wait, limited := table.Wait(t.now(), q)
	if !limited {
		t.finishFailed("noUpstream")
		return
	}
	reason := "upstreamLimits"
	if table.AwaitsWarmUp(t.now(), q) {
		reason = "upstreamsWarming"
	}
	t.finishRefused(refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: jitter(max(wait, otherRouterRetryAfter))})
}

// finishRefused ends a request that is not sent to another upstream. If no attempt may have
// run it and it has not expired, the caller learns when to send it again.
func (t *transfer) finishRefused(r refusal) {
	if t.runs > 0 || t.headerWritten || t.serverError != nil || t.ctx.Err() != nil {
		t.finishFailed(r.reason)
		return
	}
	t.recordEnd(r.status, r.reason, "")
	writeError(t.now(), t.w, r.status, r.reason, r.retryAfter)
}

// retryDelay returns the Retry-After of a request that was not run: a quarter of the
// route's latency goal, or otherRouterRetryAfter if that is longer, with jitter so that
// callers that were refused at the same time do not retry at the same time.
func retryDelay(goal time.Duration) time.Duration {
	return jitter(max(goal/4, otherRouterRetryAfter))
}

// jitter returns a random duration in [d, 2d).
func jitter(d time.Duration) time.Duration { return d + rand.N(d) }

// recordEnd counts and logs the end of the request. The status is 0 if the caller
// received no complete response, and u is the upstream whose response was delivered, if
// any.
func (t *transfer) recordEnd(status int, outcome string, u ident.Upstream) {
	t.f.settings.Metrics.RecordRequest(t.r.Route.Name, outcome, t.now().Sub(t.r.Arrived), t.firstEvent)
	event.ForwardEnded.Info(t.f.settings.Log, "request", t.r.ID, "status", status, "outcome", outcome, "upstream", u,
		"attempts", len(t.tried), "runs", t.runs, "events", t.eventsSent, "customer", t.r.customerID(),
		"cost", t.cost(), "prompt", t.r.PromptTokens, "firstEvent", t.firstEvent, "longestGap", t.longestGap, "took", t.now().Sub(t.r.Arrived))
}
