package plainclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/answermemory"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Call is an HTTP call by a caller of the router.
type Call struct {
	Request ident.Request
	Attempt ident.Attempt
	Method  string
	Path    string // including the query string
	Header  http.Header
	Body    []byte
	// Idempotent permits the use of a pooled connection.
	Idempotent bool
	// Memory is where the memory of the response is taken from. It may be nil.
	Memory *answermemory.Share
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Header http.Header // without hop-by-hop headers
	Body   Body
}

// Forward sends the call once and returns the complete response, whatever its
// status. A call that is not idempotent gets a new connection, so that it
// cannot be lost on a pooled connection that no longer works. If ctx ends, the
// call is cancelled.
func (c *Client) Forward(ctx context.Context, up configuration.Upstream, call Call) (response Response, err error) {
	defer func() { err = merry.Prependf(err, "forwarding attempt %s to %s", call.Attempt, up.ID) }()
	if !c.beginCall() {
		return Response{}, fmt.Errorf("%w: %w", ErrNotRun, errClosed)
	}
	defer c.calls.Done()
	response, err = c.forward(ctx, up, call)
	c.logError(up, call, err)
	return response, err
}

// forward implements Forward. It cancels the call when no data arrives for the idle
// timeout.
func (c *Client) forward(ctx context.Context, up configuration.Upstream, call Call) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(c.ctx, func() { cancel(errClosed) })()
	idleTimeout := c.settings.IdleTimeout()
	idleTimer := time.AfterFunc(idleTimeout, func() { cancel(errIdleTimeout) })
	defer idleTimer.Stop()

	request, err := call.request(ctx, up)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	t := c.transport(up)
	httpResponse, sent, err := t.Do(request, call.mode())
	if err != nil {
		t.DropIdle()
		return Response{}, sendError(sent, contextCause(ctx, err))
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if got := httpResponse.Header.Get(engine.HeaderAttempt); got != string(call.Attempt) {
		cancel(ErrWrongAttempt)
		return Response{}, fmt.Errorf("%w: %q", ErrWrongAttempt, got)
	}
	if rejectedNotRun(httpResponse) {
		return Response{}, fmt.Errorf("%w: service answered with status %d", ErrNotRun, httpResponse.StatusCode)
	}
	in := &responseReader{
		body: httpResponse.Body, memory: call.Memory, memoryTimeout: c.settings.MemoryTimeout,
		idleTimer: idleTimer, idleTimeout: idleTimeout,
	}
	body, err := c.readAll(ctx, in, httpResponse.ContentLength)
	if err != nil {
		return Response{}, err
	}
	return Response{Status: httpResponse.StatusCode, Header: endToEnd(httpResponse.Header), Body: body}, nil
}

// request returns the HTTP request that forwards the call to an upstream.
func (k Call) request(ctx context.Context, up configuration.Upstream) (*http.Request, error) {
	url := "http://" + up.Address.String() + k.Path
	request, err := http.NewRequestWithContext(ctx, k.Method, url, bytes.NewReader(k.Body))
	if err != nil {
		return nil, err
	}
	request.Header = endToEnd(k.Header)
	request.Header.Set(engine.HeaderRequest, string(k.Request))
	request.Header.Set(engine.HeaderAttempt, string(k.Attempt))
	return request, nil
}

// mode returns the kind of connection that the call uses.
func (k Call) mode() transport.Mode {
	if k.Idempotent {
		return transport.Pooled
	}
	return transport.Fresh
}

// sendError returns the error of a call that got no response. The call may have
// run if any byte of it was sent.
func sendError(sent bool, cause error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrResponseLost, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotRun, cause)
}

// contextCause returns the cause of the context's cancellation, or err if the
// context has not been cancelled.
func contextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// rejectedNotRun reports whether the service rejected the call and guarantees
// that it did not run it.
func rejectedNotRun(r *http.Response) bool {
	busy := r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable
	return busy && r.Header.Get(engine.HeaderNotRun) == "true"
}

// hopByHop lists the headers that apply to a single connection and must not be
// forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without the hop-by-hop headers and without the
// headers that its Connection header names.
func endToEnd(h http.Header) http.Header {
	endToEndHeader := h.Clone()
	if endToEndHeader == nil {
		endToEndHeader = make(http.Header)
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			endToEndHeader.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		endToEndHeader.Del(name)
	}
	return endToEndHeader
}

// logError logs calls that may have run and whose response was not returned.
func (c *Client) logError(up configuration.Upstream, call Call, err error) {
	args := []any{"request", call.Request, "attempt", call.Attempt, "upstream", up.ID}
	switch {
	case errors.Is(err, ErrWrongAttempt):
		event.ResponseMismatched.Error(c.settings.Log, args...)
	case errors.Is(err, ErrResponseLost), errors.Is(err, ErrTooLarge):
		event.CallLost.Warn(c.settings.Log, append(args, "cause", err.Error())...)
	}
}
