// Package intake prepares the requests of callers for forwarding. It matches the
// route, checks the key, reads the body and passes the request to the forwarder.
//
// # Usage
//
//	h := intake.New(intake.Settings{Translator: t, Forwarder: f, Table: table, Clock: time.Now, Log: log})
//	server := &http.Server{Handler: h}
package intake

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/forward"
	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/internal/route"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// bodyTimeout bounds the time to read the body of a request.
	bodyTimeout = 10 * time.Second
	// defaultDeadline is the time allowed for requests whose headers set no timeout.
	defaultDeadline = 30 * time.Second
	// noConfigurationRetryAfter is the delay after which callers should retry a
	// request that reached a router without a configuration.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the same for a request that reached a stopping router. The caller
	// need not wait, since its next connection leads to another router.
	stoppingRetryAfter = 50 * time.Millisecond
	// maxPriority is the priority of the least urgent requests.
	maxPriority = 9
)

// Incoming is the information in the headers of a request.
type Incoming struct {
	ID  ident.Request
	Key string // the application's key, empty if there is none
	// Timeout is how long the caller waits for the response, 0 if no header says so.
	Timeout time.Duration
	// PromptTokens, MaxOutputTokens, Parts, After and Resumes have the meaning of the
	// fields of the same names of forward.Request.
	PromptTokens, MaxOutputTokens tokens.Count
	Parts                         []forward.Part
	After                         int64
	Resumes                       bool
	// Header holds the headers to pass on.
	Header http.Header
}

// Translator parses the headers of requests.
type Translator interface {
	// Incoming parses the headers of a request. On an error, only the ID is valid; it
	// is empty if the headers have none.
	Incoming(h http.Header) (Incoming, error)
}

// Settings configures an Intake. All fields are required.
type Settings struct {
	Translator Translator
	Forwarder  *forward.Forwarder
	// Table returns the routes in force, or nil before the first configuration.
	Table func() *route.Table
	// Stopping reports whether callers should use other routers.
	Stopping func() bool
	// Accepts reports whether a request that arrives now and may take until end is accepted.
	Accepts func(now, end time.Time) bool
	Clock   func() time.Time
	Log     hclog.Logger
}

// Intake is the HTTP handler for requests of callers.
type Intake struct {
	settings Settings
	inFlight atomic.Int64
}

// New returns an Intake.
func New(s Settings) *Intake { return &Intake{settings: s} }

// InFlight returns the number of requests in progress.
func (i *Intake) InFlight() int64 { return i.inFlight.Load() }

// Responses tells what the responses to them hold.
func (i *Intake) Responses() forward.ResponseState { return i.settings.Forwarder.Responses() }

// ServeHTTP forwards one request or refuses it.
func (i *Intake) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	i.inFlight.Add(1)
	defer i.inFlight.Add(-1)
	if i.settings.Stopping() {
		w.Header().Set("Connection", "close")
	}
	now := i.settings.Clock()
	r, refused := i.newRequest(w, h, now)
	if refused == nil && !i.settings.Accepts(now, r.Expires()) {
		refused = &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stoppingRetryAfter, id: r.ID, revision: r.Revision}
	}
	if refused != nil {
		if refused.bodyUnread { // the server reads the rest of a short body before it responds
			_ = http.NewResponseController(w).SetReadDeadline(now.Add(bodyTimeout)) // ignore writers that do not support deadlines
		}
		event.ForwardRefused.Info(i.settings.Log, "request", refused.id, "status", refused.status, "reason", refused.reason,
			"host", h.Host, "path", h.URL.Path, "revision", refused.revision)
		forward.WriteError(w, refused.status, refused.reason, refused.retryAfter)
		return
	}
	i.settings.Forwarder.Serve(w, h, r)
}

// refusal describes why a request is not forwarded.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	id         ident.Request
	revision   int64
	bodyUnread bool
}

// newRequest returns the request to forward, or the reason to refuse it.
func (i *Intake) newRequest(w http.ResponseWriter, h *http.Request, now time.Time) (*forward.Request, *refusal) {
	in, err := i.settings.Translator.Incoming(h.Header)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: "malformedHeader", id: in.ID, bodyUnread: true}
	}
	table := i.settings.Table()
	if table == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "noConfiguration", retryAfter: noConfigurationRetryAfter, id: in.ID, bodyUnread: true}
	}
	rejection := refusal{id: in.ID, revision: int64(table.Revision), bodyUnread: true}
	path, _, _ := strings.Cut(h.RequestURI, "?")
	matched, ok := table.Match(h.Host, path)
	if !ok {
		rejection.status, rejection.reason = http.StatusNotFound, "noRoute"
		return nil, &rejection
	}
	customer, ok := table.CustomerByKey(in.Key)
	if !ok && !matched.Public && len(table.Customers) > 0 {
		rejection.status, rejection.reason = http.StatusUnauthorized, "unknownKey"
		return nil, &rejection
	}
	rejection.bodyUnread = false
	guard.Accept(h.Context())
	timeout := in.Timeout
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	r := &forward.Request{
		ID:              in.ID,
		Route:           matched,
		Service:         table.Services[matched.SelectService(rand.Float64())],
		Customer:        customer,
		Revision:        int64(table.Revision),
		Priority:        priority(matched, customer),
		Method:          h.Method,
		URI:             h.RequestURI,
		Host:            h.Host,
		Header:          in.Header,
		PromptTokens:    in.PromptTokens,
		MaxOutputTokens: in.MaxOutputTokens,
		Parts:           in.Parts,
		After:           in.After,
		Resumes:         in.Resumes,
		Arrived:         now,
		Deadline:        now.Add(timeout),
	}
	deadline := now.Add(bodyTimeout)
	if r.Expires().Before(deadline) {
		deadline = r.Expires() // there would be no time to run it
	}
	if r.Body, err = readBody(w, h, table.Limits.BodyBytes, deadline); err != nil {
		guard.Abandon(w, i.settings.Clock())
		switch {
		case errors.Is(err, guard.ErrNoMemory):
			rejection.status, rejection.reason, rejection.retryAfter = http.StatusServiceUnavailable, "memory", guard.RetryAfter()
		case errors.Is(err, guard.ErrTooLarge):
			rejection.status, rejection.reason = http.StatusRequestEntityTooLarge, "body"
		case errors.Is(err, os.ErrDeadlineExceeded):
			rejection.status, rejection.reason = http.StatusRequestTimeout, "body"
		default:
			rejection.status, rejection.reason = http.StatusBadRequest, "body"
		}
		return nil, &rejection
	}
	return r, nil
}

// priority returns the customer's priority if it has one, and the route's otherwise,
// limited to the range from 0 to maxPriority.
func priority(r *route.Route, c *route.Customer) int {
	p := r.Priority
	if c != nil && c.HasPriority {
		p = c.Priority
	}
	return min(max(p, 0), maxPriority)
}

// readBody reads the whole body until the deadline. A limit of 0 means no limit.
func readBody(w http.ResponseWriter, h *http.Request, limit int64, deadline time.Time) (body [][]byte, err error) {
	if h.Body == nil || h.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // ignore writers that do not support deadlines
	body, err = guard.ReadBody(h, limit)
	_ = control.SetReadDeadline(time.Time{})
	return body, err
}
