package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/affinity"
	"example.org/lagoonfork/internal/allowance"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/exchange"
	"example.org/lagoonfork/internal/frame"
	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/internal/roster"
)

// outcome is the result of one attempt.
type outcome int

const (
	// outcomeDelivered means that the complete response was written to the
	// caller.
	outcomeDelivered outcome = iota
	// outcomeNotSent means that the upstream received no part of the request.
	outcomeNotSent
	// outcomeRejected means that the upstream did not run the request.
	outcomeRejected
	// outcomeLost means that the request may have run and that its response was
	// lost or unusable.
	outcomeLost
	// outcomeServerError means that the upstream ran the request and responded
	// with a 5xx status.
	outcomeServerError
)

// maxConclusiveTime bounds conclusiveTime, so that a silent upstream of a route with a long timeout is
// noticed by the requests that have a second left.
const maxConclusiveTime = time.Second

// maxLimit is the greatest limit in requests per second that is told apart from larger ones.
const maxLimit = 1e9

var (
	errWrongRequest  = errors.New("response belongs to another request")
	errUnsigned      = errors.New("response has no signature")
	errMissingEvents = errors.New("events are missing from the stream")
	errNotRun        = errors.New("upstream rejected the request without running it")
	errServerError   = errors.New("upstream returned a server error")
	errRefused       = errors.New("upstream refused the request, which may have run")
	errTooLarge      = errors.New("response body too large")
	errNoMemory      = errors.New("no memory for the response body")
	errCallerWrite   = errors.New("cannot write to the caller")
	// errNoContinuation reports a response that cannot continue a stream of which the caller
	// has a part.
	errNoContinuation = errors.New("response does not continue the stream")
	errServiceGone    = errors.New("service has been removed")
	errRevoked        = errors.New("request was quarantined during the attempt")
)

// attempt sends the request to one upstream that was chosen for q, forwards the response and
// records the outcome for the upstream.
func (t *transfer) attempt(u roster.Upstream, q affinity.Query) (out outcome, err error) {
	table := t.f.settings.Roster.Service(t.r.Service.ID)
	if table == nil {
		return outcomeNotSent, errServiceGone
	}
	table.Begin(u.ID)
	sent := t.now()
	t.prompt = table.BeginPrompt(sent, u.ID, u.Incarnation, q)
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer func() {
		if err != nil && errors.Is(context.Cause(ctx), errRevoked) {
			err = errRevoked
		}
		cancel(nil)
		t.prompt.End(t.now())
		now := t.now()
		table.End(now, u.ID, t.upstreamOutcome(out, err, now.Sub(sent)))
	}()
	t.admission.OnRevoked(func() { cancel(errRevoked) })
	t.attemptEvents = 0
	response, err := t.send(ctx, u)
	t.answerBegan = err == nil
	if err != nil {
		var failure *exchange.Failure
		if errors.As(err, &failure) && !failure.Sent {
			return outcomeNotSent, err
		}
		t.runs++
		return outcomeLost, err
	}
	defer response.Close()
	info := t.f.settings.HeaderTranslator.ParseResponse(t.r.ID, response.Status, response.Header)
	info.WrongRequest = info.WrongRequest || info.Unidentified && response.Reused
	if info.HasLoad && !info.WrongRequest && !info.WrongUpstream {
		table.SetReport(u.ID, u.Incarnation, load.Report{At: t.now(), Running: info.Running, Waiting: info.Waiting, Slowdown: info.Slowdown})
	}
	t.hearLimit(table, u, sent, info)
	return t.receive(response, info)
}

// hearLimit applies what a response to a request that was sent at the given time says about
// the limit of the upstream.
func (t *transfer) hearLimit(table *affinity.Table, u roster.Upstream, sent time.Time, info ResponseInfo) {
	fromUpstream := info.Signed || info.NotRun
	if info.WrongRequest || info.WrongUpstream || info.Limit.State == LimitNone && !fromUpstream {
		return
	}
	if info.Limit.State != LimitNone {
		event.LimitReceived.Info(t.f.settings.Log, "request", t.r.ID, "upstream", u.ID, "state", info.Limit.State, "perSecond", info.Limit.PerSecond)
	}
	if info.Limit.State == LimitUnreadable {
		return
	}
	news := allowance.News{Upstream: u.ID, Incarnation: u.Incarnation}
	if info.Limit.State == LimitNamed {
		news.Statement = allowance.Statement{Named: true, PerSecond: min(info.Limit.PerSecond, maxLimit)}
	}
	if told, tell := table.HearLimit(t.now(), sent, news); tell {
		news.Statement = told
		event.LimitChanged.Info(t.f.settings.Log, "upstream", u.ID, "named", news.Statement.Named, "perSecond", news.Statement.PerSecond)
		t.f.settings.OnLimit(news)
	}
}

// Process returns the process to which requests to an upstream are sent.
func Process(u roster.Upstream) exchange.Process {
	return exchange.Process{Address: u.Address, Owner: string(u.ID) + " " + u.Incarnation}
}

// send sends the request and returns the response once its headers were read.
func (t *transfer) send(ctx context.Context, u roster.Upstream) (*exchange.Response, error) {
	call := Call{Request: t.r, Upstream: u, Remaining: t.r.Deadline.Sub(t.now()), After: t.lastEventID, Resumes: t.r.Resumes || t.eventsSent > 0}
	p := t.prompt.Expected()
	event.ForwardSent.Info(t.f.settings.Log, "request", t.r.ID, "upstream", u.ID, "attempt", len(t.tried),
		"resumes", call.Resumes, "after", call.After, "left", call.Remaining, "predicted", p.FirstEvent, "unread", p.Unread, "work", p.Work)
	return t.f.settings.Pool.Do(ctx, exchange.Call{
		Address: u.Address,
		Owner:   Process(u).Owner,
		Method:  t.r.Method,
		URI:     t.r.URI,
		Host:    t.r.Host,
		Header:  t.f.settings.HeaderTranslator.RequestHeader(call),
		Body:    t.r.Body,
	})
}

// receive forwards the response unless the upstream rejected the request. It
// counts the attempt in t.runs if the request may have run.
func (t *transfer) receive(response *exchange.Response, info ResponseInfo) (out outcome, err error) {
	if info.NotRun && !info.WrongRequest {
		response.Drain(maxDrainBytes, drainTimeout)
		return outcomeRejected, merry.Prependf(errNotRun, "status %d", response.Status)
	}
	t.runs++
	switch err = t.forwardResponse(response, info); {
	case err == nil:
		return outcomeDelivered, nil
	case errors.Is(err, errServerError):
		return outcomeServerError, err
	}
	return outcomeLost, err
}

// forwardResponse forwards a response if it belongs to this request and carries
// the upstream's signature.
func (t *transfer) forwardResponse(response *exchange.Response, info ResponseInfo) error {
	switch {
	case info.WrongRequest:
		return errWrongRequest
	case t.headerWritten && !t.continues(response):
		return merry.Prependf(errNoContinuation, "status %d", response.Status)
	case !info.Signed:
		return merry.Prependf(errUnsigned, "status %d", response.Status)
	case t.r.Route.Stream && response.Status/100 == 2 && t.r.Method != http.MethodHead:
		return t.forwardStream(response)
	}
	return t.forwardBuffered(response)
}

// continues reports whether a response can continue the stream whose header the caller has.
func (t *transfer) continues(response *exchange.Response) bool {
	return response.Status == t.streamStatus && mediaType(response.Header) == mediaType(t.w.Header())
}

// mediaType returns the media type of a body without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// upstreamOutcome returns the outcome of an attempt that ended with err after the given time for load
// balancing. An attempt that ended because the caller left or does not read, because the request was
// quarantined, because this router has no memory, or with a 429 or 408, which may concern only its
// caller, is inconclusive. So is one that ended at the deadline after too short a time.
func (t *transfer) upstreamOutcome(out outcome, err error, took time.Duration) affinity.Outcome {
	switch {
	case out == outcomeDelivered:
		return affinity.Succeeded
	case out == outcomeRejected:
		return affinity.Rejected
	case errors.Is(err, errCallerWrite), errors.Is(err, errRefused), errors.Is(err, errNoMemory), errors.Is(err, frame.ErrNoMemory),
		errors.Is(t.ctx.Err(), context.DeadlineExceeded) && errors.Is(err, context.DeadlineExceeded) && took < t.conclusiveTime(),
		out != outcomeServerError && (errors.Is(err, errRevoked) || errors.Is(t.ctx.Err(), context.Canceled)):
		return affinity.Inconclusive
	}
	return affinity.Failed
}

// conclusiveTime returns the time that an upstream must have had for an attempt that ended at the
// deadline to count as its failure. Otherwise callers with little time could have all upstreams
// paused.
func (t *transfer) conclusiveTime() time.Duration {
	if t.r.Route.Timeout > 0 {
		return min(maxConclusiveTime, t.r.Route.Timeout/2)
	}
	return maxConclusiveTime
}
