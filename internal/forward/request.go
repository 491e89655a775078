package forward

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

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
	Priority int

	Method, URI, Host string
	// Header holds the end-to-end headers to forward.
	Header http.Header
	Body   []byte

	// Prompt is the length of the prompt and Output the maximum length of the
	// output. Both are 0 for a request that uses no model.
	Prompt, Output tokens.Count
	// Parts lists the parts of the prompt, shared parts first.
	Parts []Part
	// After is the ID of the last event that the caller received. It is valid
	// if Resumes is set.
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
func (r *Request) maxCost() tokens.Count { return r.Prompt + r.Output }

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

// expires returns the earlier of the caller's deadline and the route's timeout.
func (r *Request) expires() time.Time {
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
	// Left is the time that remains until the caller's deadline.
	Left time.Duration
	// After is the ID of the event after which the stream resumes. It is valid if
	// Resumes is set.
	After   int64
	Resumes bool
}

// Verdict holds what the status and the headers of a response tell about the
// request and the upstream.
type Verdict struct {
	// Foreign reports that the response belongs to another request.
	Foreign bool
	// NotRun reports that the upstream has not run and will not run the request.
	NotRun bool
	// Genuine reports that the response carries the upstream's signature.
	Genuine bool
	// Load is the number of running and waiting requests on the upstream. It is
	// valid if Reported is set.
	Load     int
	Reported bool
}

// Dialect translates between requests and the headers that upstreams use.
type Dialect interface {
	// Outgoing returns the request headers of a call.
	Outgoing(c Call) http.Header
	// Read parses the status and the headers of the response to request id.
	Read(id ident.Request, status int, h http.Header) Verdict
}
