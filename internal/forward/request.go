package forward

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/internal/roster"
	"example.org/lagoonfork/internal/route"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Request is a request to be forwarded. Its body and its path are not
// interpreted.
type Request struct {
	ID       ident.Request
	Route    *route.Route
	Service  route.Service
	Customer *route.Customer // nil on public routes
	// Revision is the revision of the configuration that applies to the request.
	Revision int64
	Priority int // from 0, the most urgent, to 9

	Method, URI, Host string
	// Header holds the end-to-end headers to forward.
	Header http.Header
	Body   [][]byte // in pieces

	// PromptTokens is the length of the prompt and MaxOutputTokens the maximum length
	// of the output. Both are 0 for a request that uses no model.
	PromptTokens, MaxOutputTokens tokens.Count
	// Parts lists the parts of the prompt, shared parts first.
	Parts []Part
	// After is the ID of the last event that the caller received. It is valid if
	// Resumes is set, which reports that the caller resumes a stream.
	After   int64
	Resumes bool

	Arrived  time.Time
	Deadline time.Time // set by the caller
}

// Part is a part of a prompt. Requests whose prompts are equal up to and including
// a part can share the prefix that an engine has cached.
type Part struct {
	ID     string
	Tokens tokens.Count
}

// maxCost returns the maximum number of tokens that the request can cost.
func (r *Request) maxCost() tokens.Count { return r.PromptTokens + r.MaxOutputTokens }

// subject describes the request to the quarantine.
func (r *Request) subject() quarantine.Subject {
	return quarantine.NewSubject(r.customerID(), r.Service.ID, append([][]byte{[]byte(r.URI + " ")}, r.Body...), r.partIDs())
}

// partIDs returns the identifiers of the parts of the prompt.
func (r *Request) partIDs() []string {
	ids := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		ids[i] = p.ID
	}
	return ids
}

// affinityKey returns the hash of the parts that other requests may share, which
// are all but the last one, or 0 if there are none.
func (r *Request) affinityKey() uint64 {
	if len(r.Parts) < 2 {
		return 0
	}
	d := xxhash.New()
	for _, p := range r.Parts[:len(r.Parts)-1] {
		_, _ = d.WriteString(p.ID) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// sharedTokens returns the number of prompt tokens that affinityKey covers.
func (r *Request) sharedTokens() (n tokens.Count) {
	if len(r.Parts) < 2 {
		return 0
	}
	for _, p := range r.Parts[:len(r.Parts)-1] {
		n += p.Tokens
	}
	return min(n, r.PromptTokens)
}

// Expires returns the time at which the request expires: the caller's deadline, or the
// end of the route's timeout, counted from the arrival, if that is earlier.
func (r *Request) Expires() time.Time {
	if r.Route.Timeout <= 0 {
		return r.Deadline
	}
	limit := r.Arrived.Add(r.Route.Timeout)
	if r.Deadline.IsZero() || limit.Before(r.Deadline) {
		return limit
	}
	return r.Deadline
}

// Call is one attempt to run a request on an upstream.
type Call struct {
	Request  *Request
	Upstream roster.Upstream
	// Remaining is the time that remains until the caller's deadline.
	Remaining time.Duration
	// After is the ID of the event after which the stream resumes. It is valid if
	// Resumes is set, which reports that the call resumes a stream.
	After   int64
	Resumes bool
}

// ResponseInfo holds what the status and the headers of a response tell about the
// request and the upstream.
type ResponseInfo struct {
	// WrongRequest reports that the response belongs to another request.
	WrongRequest bool
	// Unidentified reports that the response does not say to which request it belongs. It
	// may be a late one to an earlier request on the same connection.
	Unidentified bool
	// WrongUpstream reports that another upstream than the intended one has responded, as
	// one does that has taken over its address. What the headers say is not of the
	// intended one.
	WrongUpstream bool
	// NotRun reports that the upstream has not run and will not run the request.
	NotRun bool
	// Signed reports that the response carries the upstream's signature.
	Signed bool
	// Running and Waiting are the numbers of requests on the upstream. They are valid if
	// HasLoad is set. Slowdown is how long work takes on it at the moment as a multiple of
	// the usual time, or 0 if it does not say.
	Running, Waiting int
	HasLoad          bool
	Slowdown         float64
	// Limit is the limit that the upstream names.
	Limit Limit
}

// LimitState tells what a response says about the limit of an upstream.
type LimitState int

const (
	LimitNone       LimitState = iota // the upstream names no limit
	LimitNamed                        // PerSecond is the limit
	LimitUnreadable                   // the upstream names a limit that cannot be read
)

// Limit is the number of requests per second that an upstream accepts from all routers
// together. The zero value is that of an upstream that names none.
type Limit struct {
	State     LimitState
	PerSecond float64 // not negative; may be infinite
}

// HeaderTranslator translates between requests and the headers that upstreams use.
type HeaderTranslator interface {
	// RequestHeader returns the request headers of a call.
	RequestHeader(c Call) http.Header
	// ParseResponse parses the status and the headers of the response to request id.
	ParseResponse(id ident.Request, status int, h http.Header) ResponseInfo
}
