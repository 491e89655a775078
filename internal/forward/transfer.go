package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"example.org/lagoonfork/internal/affinity"
	"example.org/lagoonfork/internal/buffered"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/exchange"
	"example.org/lagoonfork/internal/frame"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/internal/queue"
	"example.org/lagoonfork/internal/roster"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxBodyBytes is the maximum size of the body of a response that is not a
	// stream.
	maxBodyBytes = 4 << 20
	// freeBufferedBytes is what each response may hold in memory in any case, and
	// maxBufferedBytes what all responses may hold together beyond it.
	freeBufferedBytes = 64 << 10
	maxBufferedBytes  = 24 << 20
	// firstPartSize and partSize are the sizes of the parts in which a body is kept. Most
	// bodies fit into the first.
	firstPartSize = 4 << 10
	partSize      = 32 << 10
	// maxDrainBytes and drainTimeout bound how far the body of a rejection is read.
	maxDrainBytes = 64 << 10
	drainTimeout  = 100 * time.Millisecond
	// minAttemptTime is the minimum time before the deadline for another attempt.
	minAttemptTime = 20 * time.Millisecond
)

// transfer holds the state of one request while it is forwarded. It is used by a
// single goroutine, except that another one reads ahead of a slow caller (see stream).
type transfer struct {
	f   *Forwarder
	r   *Request
	w   http.ResponseWriter
	ctx context.Context // done at the request's deadline or when the caller disconnects

	reservation *wallet.Reservation // nil if the request costs nothing
	place       queue.Place         // before the upstreams, kept until the request ends
	memory      *buffered.Share     // for what has to be held of the response
	delivery    *delivery           // to the caller
	memoryWaits time.Duration       // number of times that it has waited for memory

	subject   quarantine.Subject
	admission *keeper.Attempt // by the quarantine, of the current attempt

	tried []ident.Upstream // in the order of the attempts
	runs  int              // attempts that may have run the request

	answerBegan   bool             // whether the current attempt received the header of a response
	attemptEvents int              // events with an ID that the current attempt received
	prompt        *affinity.Prompt // of the current attempt, nil if it has none

	headerWritten bool  // whether the response header was written to the caller
	streamBegan   bool  // whether the first event or the end of a stream was received
	streamStatus  int   // status of the stream of which the header was written
	lastEventID   int64 // of the last event sent to the caller
	eventsSent    int   // to the caller
	eventsUnsent  int   // read ahead, but not sent because the caller has stopped reading

	firstEvent, longestGap time.Duration // time to the first event and longest time between two, as seen by the caller
	lastWrite              time.Time     // when the last event was sent

	serverError *bufferedResponse // 5xx response of an upstream other than 503, forwarded if no attempt succeeds
	undelivered bool              // whether the request failed without any part of a response or of a stream, not because of its caller
	keptBytes   int64             // that serverError takes beside the response of the current attempt
}

// bufferedResponse is a complete response that is not a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   [][]byte // in parts
}

// run attempts the request on one upstream after the other until a response was
// delivered or no further attempt is possible.
func (t *transfer) run() {
	for {
		q := t.query()
		u, ok := t.f.settings.Roster.Choose(t.now(), t.r.Service.ID, q)
		if !ok {
			t.finishNoUpstream(q)
			return
		}
		t.tried = append(t.tried, u.ID)
		out, err := t.attempt(u, q)
		if out == outcomeDelivered {
			t.recordEnd(http.StatusOK, "delivered", u.ID)
			return
		}
		event.ForwardFailed.Info(t.f.settings.Log, "request", t.r.ID, "upstream", u.ID, "reason", err,
			"run", out == outcomeLost || out == outcomeServerError, "took", t.now().Sub(t.r.Arrived), "events", t.eventsSent,
			"answerBegan", t.answerBegan, "parts", t.r.partIDs())
		if errors.Is(err, errRevoked) {
			t.finishRevoked()
			return
		}
		if t.ctx.Err() == nil && connectionLost(err) {
			if out == outcomeLost || out == outcomeNotSent {
				t.noticeRestart(u, err)
			}
			if out == outcomeLost {
				t.recordLoss(u)
			}
		}
		if t.ctx.Err() != nil || errors.Is(err, errCallerWrite) || !t.shouldRetry(out) {
			t.finishFailed("failed")
			return
		}
		if refused := t.begin(); refused != nil {
			t.finishRefused(*refused)
			return
		}
	}
}

// query returns the query for the upstream of the next attempt.
func (t *transfer) query() affinity.Query {
	q := affinity.Query{
		Key:         t.r.affinityKey(),
		Exclude:     t.tried,
		RouterCount: t.f.settings.RouterCount(),
		Fleet:       t.f.settings.Fleet(),
		Target:      t.r.Route.LatencyGoal,
		Plain:       !t.r.Service.Engine,
	}
	if t.r.Service.Engine {
		q.Tokens, q.Shared = t.r.PromptTokens, t.r.sharedTokens()
	}
	if t.f.settings.View != nil {
		q.View = t.f.settings.View(t.now())
	}
	return q
}

// begin has the quarantine decide on the next attempt. It returns the refusal of the
// request if it may not run. The attempt before has then ended, too.
func (t *transfer) begin() *refusal {
	if t.admission != nil {
		t.admission.End()
	}
	t.admission = t.f.settings.Begin(t.now(), t.subject, crashLimit)
	switch t.admission.Verdict {
	case keeper.Refused:
		return &refusal{status: http.StatusServiceUnavailable, reason: "quarantined", retryAfter: t.admission.RetryAfter}
	case keeper.Busy:
		return &refusal{status: http.StatusServiceUnavailable, reason: "suspectIsRunning", retryAfter: jitter(suspectRetryAfter)}
	}
	return nil
}

// finishRevoked ends a request that was quarantined during an attempt.
func (t *transfer) finishRevoked() {
	if refused := t.begin(); refused != nil {
		t.finishRefused(*refused)
		return
	}
	t.finishFailed("quarantined")
}

// recordLoss reports the loss of the connection to an upstream to the quarantine. It finds
// out whether the upstream has ended if that counts, which is before the answer begins.
func (t *transfer) recordLoss(u roster.Upstream) {
	loss := keeper.Loss{Upstream: u.ID, AnswerBegan: t.answerBegan}
	if len(t.subject.Parts) > 0 && t.attemptEvents == 0 {
		var err error
		loss.Ended, err = t.f.settings.Pool.Refuses(t.ctx, u.Address)
		event.UpstreamEnded.Info(t.f.settings.Log, "request", t.r.ID, "upstream", u.ID, "ended", loss.Ended, "error", err,
			"parts", t.r.partIDs(), "digests", t.subject.Parts)
	}
	t.admission.RecordLoss(t.now(), loss)
}

// noticeRestart has the upstream treated as cold if its service has a warm-up, since the
// connection to it was refused or lost.
func (t *transfer) noticeRestart(u roster.Upstream, err error) {
	table := t.f.settings.Roster.Service(t.r.Service.ID)
	if table != nil && table.MayHaveRestarted(t.now(), u.ID) {
		event.UpstreamMayBeCold.Info(t.f.settings.Log, "request", t.r.ID, "upstream", u.ID, "error", err)
	}
}

// connectionLost reports whether an attempt that ended with err is considered to have
// lost the connection to the upstream, rather than to have received an unusable response
// or failed to write to the caller. All errors except those listed count as such a loss.
func connectionLost(err error) bool {
	for _, target := range []error{errWrongRequest, errUnsigned, errMissingEvents, errRefused, errServiceGone, errNoContinuation, exchange.ErrStatus, errTooLarge, errNoMemory, frame.ErrTooLarge, frame.ErrNoMemory, errCallerWrite} {
		if errors.Is(err, target) {
			return false
		}
	}
	return true
}

func (t *transfer) now() time.Time { return t.f.settings.Clock() }

// shouldRetry reports whether the request may be sent to another upstream.
func (t *transfer) shouldRetry(out outcome) bool {
	if len(t.tried) >= maxUpstreams || t.r.Expires().Sub(t.now()) < minAttemptTime {
		return false
	}
	if out == outcomeNotSent {
		return true
	}
	if out != outcomeRejected && (!t.r.Route.Retryable() || t.runs >= max(t.r.Route.MaxAttempts, 1)) {
		return false
	}
	if !t.f.retryBudget(t.now(), t.r.Service.ID).TryRetry(t.now(), t.f.settings.RouterCount()) {
		t.f.settings.Metrics.Count("repeatsRefused")
		event.RetryRefused.Info(t.f.settings.Log, "request", t.r.ID, "service", t.r.Service.ID)
		return false
	}
	t.f.settings.Metrics.Count("sendsRepeated")
	return true
}

// settle charges the cost of the request, or releases the reservation if it is not charged.
func (t *transfer) settle() {
	if t.reservation == nil {
		return
	}
	if !t.charged() {
		t.reservation.Release()
		return
	}
	t.reservation.Spend(t.cost())
}

// charged reports whether the request may have run and is charged. One that failed without any part
// of a response is not: its caller got nothing, and would be charged twice for sending it again,
// possibly to another router. Once a stream has begun, the request is charged although its caller may
// have all events that were received.
func (t *transfer) charged() bool { return t.runs > 0 && !t.undelivered }

// cost returns the cost of the request so far.
func (t *transfer) cost() tokens.Count {
	if t.reservation == nil || !t.charged() {
		return 0
	}
	return t.r.cost(t.eventsSent + t.eventsUnsent)
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// copyHeader copies the end-to-end headers of a response. Hop-by-hop headers that the
// router has set for its own connection to the caller are kept.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}
