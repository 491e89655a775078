package plainclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Call is an HTTP call of a caller.
type Call struct {
	Request ident.Request
	Attempt ident.Attempt
	Method  string
	Path    string // with the query
	Header  http.Header
	Body    []byte
	// Idempotent permits the use of a pooled connection.
	Idempotent bool
}

// Response is the whole response of a plain service.
type Response struct {
	Status int
	Header http.Header // without the headers of the connection
	Body   []byte
}

// Forward sends the call once and returns the whole response, whatever its
// status. A call that is not idempotent gets a connection of its own, so that
// it cannot be lost on a pooled connection that has gone silent. The end of ctx
// ends the call.
func (c *Client) Forward(ctx context.Context, up configuration.Upstream, call Call) (response Response, err error) {
	defer func() { err = merry.Prependf(err, "forwarding attempt %s to %s", call.Attempt, up.ID) }()
	if !c.begin() {
		return Response{}, fmt.Errorf("%w: %w", ErrNotRun, errClosed)
	}
	defer c.calls.Done()
	response, err = c.forward(ctx, up, call)
	c.log(up, call, err)
	return response, err
}

func (c *Client) forward(ctx context.Context, up configuration.Upstream, call Call) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(c.ctx, func() { cancel(errClosed) })()
	limit := c.settings.SilenceLimit()
	silence := time.AfterFunc(limit, func() { cancel(errSilent) })
	defer silence.Stop()

	request, err := call.request(ctx, up)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	t := c.transport(up)
	answer, sent, err := t.Do(request, call.mode())
	if err != nil {
		t.DropIdle()
		return Response{}, outcome(sent, because(ctx, err))
	}
	defer func() { _ = answer.Body.Close() }()
	if got := answer.Header.Get(engine.HeaderAttempt); got != string(call.Attempt) {
		cancel(ErrCrossed)
		return Response{}, fmt.Errorf("%w: %q", ErrCrossed, got)
	}
	if refusedUnrun(answer) {
		return Response{}, fmt.Errorf("%w: service answered with status %d", ErrNotRun, answer.StatusCode)
	}
	body, err := c.readAll(ctx, &heardReader{body: answer.Body, silence: silence, limit: limit})
	if err != nil {
		return Response{}, err
	}
	return Response{Status: answer.StatusCode, Header: endToEnd(answer.Header), Body: body}, nil
}

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

func (k Call) mode() transport.Mode {
	if k.Idempotent {
		return transport.Pooled
	}
	return transport.Fresh
}

// outcome returns what is known of a call that got no response.
func outcome(sent bool, cause error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrLost, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotRun, cause)
}

// because returns why the context ended, or else err.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// refusedUnrun reports whether the service promises that it ran nothing.
func refusedUnrun(r *http.Response) bool {
	busy := r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable
	return busy && r.Header.Get(engine.HeaderNotRun) == "true"
}

// readAll reads a body within the size limit.
func (c *Client) readAll(ctx context.Context, body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, c.settings.MaxResponse+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLost, because(ctx, err))
	}
	if int64(len(data)) > c.settings.MaxResponse {
		return nil, ErrTooLarge
	}
	return data, nil
}

// heardReader restarts the silence limit with every part that comes in.
type heardReader struct {
	body    io.Reader
	silence *time.Timer
	limit   time.Duration
}

// Read reads from the body.
func (r *heardReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.silence.Reset(r.limit)
	}
	return n, err
}

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns the headers that concern the caller and the service.
func endToEnd(h http.Header) http.Header {
	kept := h.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

func (c *Client) log(up configuration.Upstream, call Call, err error) {
	args := []any{"request", call.Request, "attempt", call.Attempt, "upstream", up.ID}
	switch {
	case errors.Is(err, ErrCrossed):
		event.ResponseCrossed.Error(c.settings.Log, args...)
	case errors.Is(err, ErrLost), errors.Is(err, ErrTooLarge):
		event.CallLost.Warn(c.settings.Log, append(args, "cause", err.Error())...)
	}
}
