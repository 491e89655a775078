// Package forward is a reverse proxy that forwards requests to upstreams and
// copies their responses back without interpreting the bodies.
//
// A Forwarder reserves the maximum cost of a request from the customer's
// budget, waits until the upstreams have room, chooses one and sends the request to it. If the upstream
// fails, the request is retried on another one where that is safe: always if it
// has not run, up to the route's number of attempts if it is idempotent, and
// from the last event that the caller received if it is a resumable stream. A
// fleet-wide retry budget bounds the retries. The caller receives either a
// complete response or one that is recognizably incomplete.
//
// The statuses 429 and 503 are used only for requests that have not run and
// will not run; after 502 and 504, the request may have run.
//
// # Usage
//
//	f := forward.New(forward.Settings{Pool: pool, Roster: roster, Wallet: wallet, HeaderTranslator: translator, ...})
//	f.Serve(w, httpRequest, request)
package forward

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/allowance"
	"example.org/lagoonfork/internal/buffered"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/exchange"
	"example.org/lagoonfork/internal/figures"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/internal/queue"
	"example.org/lagoonfork/internal/repeats"
	"example.org/lagoonfork/internal/roster"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxUpstreams is the maximum number of upstreams that one request is sent
	// to, including those that reject it.
	maxUpstreams = 4
	// budgetWait is how long a request waits for its tokens to be reserved.
	budgetWait = time.Second
	// crashLimit is the number of crashes of upstreams after which requests with the
	// same content, or with the same part of their prompts, are quarantined.
	crashLimit = 3
	// suspectRetryAfter is the Retry-After of a request while another one with the same
	// suspect part is running.
	suspectRetryAfter = 250 * time.Millisecond
	// outageRetryAfter is the Retry-After, before jitter, of a request without a deadline whose
	// tokens are out of reach while the ledger is unreachable. Retries after 50 to 100 ms met the
	// same outage many times.
	outageRetryAfter = time.Second
	// maxOutageRetryAfter bounds the Retry-After of such a request with a deadline. Outages that
	// last longer than 12 s are not expected, so on average half of that is left.
	maxOutageRetryAfter = 6 * time.Second
	// otherRouterRetryAfter is the Retry-After, before jitter, of a request that
	// another router may be able to serve, and the minimum that retryDelay uses.
	// It is short because the caller need not wait; the jitter spreads the retries.
	otherRouterRetryAfter = 50 * time.Millisecond
	// closedRetryAfter is the Retry-After, before jitter, of a request to a service whose
	// upstreams are all in closed failure domains. No router can serve it.
	closedRetryAfter = time.Second
	// writeGrace is how long after its deadline a response may still be written.
	writeGrace = time.Second
)

// ErrStopping is the cause with which the context of a request is canceled if the router stops
// before the request has finished.
var ErrStopping = errors.New("the router stops")

// Wallet reserves tokens from customers' budgets.
type Wallet interface {
	// Reserve reserves r.Tokens. The error wraps wallet.ErrExhausted if the budget
	// has too few tokens left.
	Reserve(ctx context.Context, now time.Time, r wallet.Request) (*wallet.Reservation, error)
}

// Quarantine decides which requests may run, and tracks those that crash the upstreams
// that run them. See package keeper.
type Quarantine interface {
	Begin(now time.Time, s quarantine.Subject, limit int) *keeper.Attempt
}

// Settings configures a Forwarder. All fields but ResponseMemory, Unread,
// Discard, View and Queue are required.
type Settings struct {
	Pool             *exchange.Pool
	Roster           *roster.Roster
	Wallet           Wallet
	HeaderTranslator HeaderTranslator
	Quarantine
	// RetryLimits bounds the retries of each service's requests by all routers
	// together.
	RetryLimits repeats.Limits
	// RouterCount returns the number of routers in the fleet, or 0 if it is unknown.
	RouterCount func() int
	// Fleet returns the routers that share the limits of upstreams.
	Fleet func() *allowance.Fleet
	// View returns what the other routers say about the load of upstreams. Without it, or if
	// it returns nil, upstreams are chosen by this router's own requests.
	View func(now time.Time) *load.View
	// Queue holds requests while the upstreams have all that they can run. Without it, each request
	// is sent as soon as an upstream is chosen.
	Queue *queue.Queue
	// OnLimit is called when an upstream names another limit, or none any more.
	OnLimit func(allowance.News)
	// ResponseMemory is the memory in bytes that all responses together may take beyond a
	// small part of each, if that is less than the default. Zero means the default.
	ResponseMemory int64

	// Unread returns how many bytes that were written to the connection of the request with the
	// given context have not reached the caller, and false if that is not known. Without it,
	// what was written counts as read.
	Unread func(ctx context.Context) (n int64, known bool)
	// Discard has the connection of the request with the given context reset when it is closed.
	// Without it, the system may keep what the caller has not read.
	Discard func(ctx context.Context)
	Metrics *figures.Metrics
	Clock   func() time.Time
	Log     hclog.Logger
}

// Forwarder forwards requests. Its methods are safe for concurrent use.
type Forwarder struct {
	settings Settings

	buffered       *buffered.Memory
	slow           *slowCallers
	stoppedTimeout time.Duration

	mu           sync.Mutex
	retryBudgets map[ident.Service]*retryBudget
}

// retryBudget is the retry budget of a service.
type retryBudget struct {
	*repeats.Budget
	usedAt time.Time
}

// New returns a Forwarder with the given settings.
func New(s Settings) *Forwarder {
	f := &Forwarder{
		settings:       s,
		buffered:       buffered.New(buffered.Settings{Free: freeBufferedBytes, Limit: bufferedBytes(s.ResponseMemory)}),
		stoppedTimeout: stoppedTimeout,
		retryBudgets:   make(map[ident.Service]*retryBudget),
	}
	f.slow = newSlowCallers(f.buffered, bufferedBytes(s.ResponseMemory))
	return f
}

// Responses tells what responses hold at the moment, and which callers were ended because they do
// not read.
func (f *Forwarder) Responses() ResponseState { return f.slow.state() }

// bufferedBytes returns the limit on what all responses hold together.
func bufferedBytes(memory int64) int64 {
	if memory == 0 {
		return maxBufferedBytes
	}
	return min(memory, maxBufferedBytes)
}

// retryBudget returns the retry budget of a service and creates it if needed. It then deletes those
// that were not used within their window, of which nothing counts any more: their services may be gone.
func (f *Forwarder) retryBudget(now time.Time, service ident.Service) *repeats.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.retryBudgets[service]
	if b == nil {
		maps.DeleteFunc(f.retryBudgets, func(_ ident.Service, other *retryBudget) bool {
			return now.Sub(other.usedAt) > f.settings.RetryLimits.Window
		})
		b = &retryBudget{Budget: repeats.New(f.settings.RetryLimits)}
		f.retryBudgets[service] = b
	}
	b.usedAt = now
	return b.Budget
}

// Serve forwards the request and writes the response. If the caller closes its side of the
// connection, the run ends. If a partly written response cannot be completed, Serve panics with
// http.ErrAbortHandler, so that the server closes the connection.
func (f *Forwarder) Serve(w http.ResponseWriter, h *http.Request, r *Request) {
	ctx, cancel := context.WithDeadline(h.Context(), r.Expires())
	defer cancel()
	// Abort writing to a caller that does not read soon after the deadline.
	setWriteDeadline(w, r.Expires().Add(writeGrace))
	event.ForwardReceived.Info(f.settings.Log, "request", r.ID, "route", r.Route.Name, "service", r.Service.ID,
		"customer", r.customerID(), "left", r.Expires().Sub(r.Arrived), "revision", r.Revision)
	t := &transfer{f: f, r: r, w: w, ctx: ctx, subject: r.subject(), lastEventID: r.After}
	t.delivery = newDelivery(h, w, f.settings)
	t.memory = f.buffered.Share()
	defer t.memory.Close()
	if f.settings.Roster.AllClosed(r.Service.ID) {
		f.refuse(w, r, domainsClosed())
		return
	}
	if refused := t.begin(); refused != nil {
		f.refuse(w, r, *refused)
		return
	}
	defer func() { t.admission.End() }()
	reservation, refused := f.reserve(ctx, r)
	if refused != nil {
		f.refuse(w, r, *refused)
		return
	}
	t.reservation = reservation
	defer t.settle()
	defer func() { t.place.Leave(t.now()) }()
	if !t.enter() {
		return
	}
	f.retryBudget(f.settings.Clock(), r.Service.ID).CountRequest(r.Arrived)
	t.run()
}

// customerID returns the ID of the customer, which is empty on public routes.
func (r *Request) customerID() ident.Customer {
	if r.Customer == nil {
		return ""
	}
	return r.Customer.ID
}

// refusal is an error response to a request that was not sent to any upstream.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	cause      error
	details    []any // further fields of the log line
}

// domainsClosed returns the refusal of a request to a service whose upstreams are all in failure
// domains that the operator has closed.
func domainsClosed() refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: "domainsClosed", retryAfter: jitter(closedRetryAfter)}
}

// reserve reserves the maximum cost of a metered request to an engine. It returns
// neither a reservation nor a refusal if the request costs nothing.
func (f *Forwarder) reserve(ctx context.Context, r *Request) (*wallet.Reservation, *refusal) {
	if !r.Service.Engine || r.Customer == nil || !r.Customer.Metered {
		return nil, nil
	}
	now := f.settings.Clock()
	reservation, err := f.settings.Wallet.Reserve(ctx, now, wallet.Request{
		Budget:   ident.Budget(r.Customer.ID),
		Funding:  ledger.Funding{Customer: r.Customer.ID, Prepaid: r.Customer.Prepaid, Revision: r.Revision},
		Tokens:   r.maxCost(),
		Urgency:  share.UrgencyOf(r.Priority),
		Deadline: now.Add(budgetWait),
	})
	switch {
	case err == nil:
		return reservation, nil
	case errors.Is(err, wallet.ErrExhausted):
		return nil, &refusal{status: http.StatusPaymentRequired, reason: "budgetExhausted", cause: err}
	}
	retryAfter := jitter(otherRouterRetryAfter)
	if errors.Is(err, wallet.ErrLedgerUnreachable) {
		retryAfter = r.outageDelay(f.settings.Clock())
	}
	return nil, &refusal{status: http.StatusServiceUnavailable, reason: "budgetOutOfReach", retryAfter: retryAfter, cause: err}
}

// outageDelay returns the Retry-After of a request whose tokens are out of reach while the
// ledger is unreachable. Callers wait for a third of the time that they have left at most, and
// many return only once. As the outage may last for some seconds more, the delay is two thirds to
// all of that third, so that its end is more likely to come first.
func (r *Request) outageDelay(now time.Time) time.Duration {
	const resolution = 10 * time.Millisecond // of a Retry-After
	delay := jitter(outageRetryAfter)
	if expires := r.Expires(); !expires.IsZero() {
		delay = min(max(expires.Sub(now)/3, resolution), maxOutageRetryAfter)
		delay -= rand.N(delay / 3)
	}
	return max(delay.Truncate(resolution), resolution)
}

// refuse logs, counts and writes the error response to a request that was not sent
// to any upstream.
func (f *Forwarder) refuse(w http.ResponseWriter, r *Request, refused refusal) {
	args := []any{"request", r.ID, "status", refused.status, "reason", refused.reason, "retryAfter", refused.retryAfter,
		"customer", r.customerID(), "tokens", r.maxCost(), "error", refused.cause, "took", f.settings.Clock().Sub(r.Arrived)}
	event.ForwardRefused.Info(f.settings.Log, append(args, refused.details...)...)
	f.settings.Metrics.RecordRequest(r.Route.Name, refused.reason, f.settings.Clock().Sub(r.Arrived), 0)
	writeError(f.settings.Clock(), w, refused.status, refused.reason, refused.retryAfter)
}

// writeError writes an error response to a request whose deadline for writes may have passed, as on a
// VM that was not run for a while: net writes nothing after it.
func writeError(now time.Time, w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	setWriteDeadline(w, now.Add(errorWriteTimeout))
	WriteError(w, status, reason, retryAfter)
}

func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // not every writer supports deadlines
}

// WriteError writes an error response that originates from the router itself.
func WriteError(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(`{"error":{"code":"` + reason + `"}}` + "\n")) // fails if the caller has disconnected
}

// cost returns the cost in tokens of a request that may have run, after the given
// number of events was sent to the caller: the tokens of the prompt and the maximum
// number of tokens of each event, up to maxCost.
func (r *Request) cost(events int) tokens.Count {
	perEvent := max(r.Service.MaxEventTokens, 1)
	return min(r.PromptTokens+tokens.Count(events)*perEvent, r.maxCost())
}
