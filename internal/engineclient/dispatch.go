package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/silence"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// maxMessage is the number of bytes of an engine's error message that are read.
const maxMessage = 4 << 10

// Start sends a run to an engine and waits until the engine has accepted it.
// The stream does not depend on ctx afterwards.
func (c *Client) Start(ctx context.Context, up configuration.Upstream, run Run) (s *Stream, err error) {
	defer func() { err = merry.Prependf(err, "starting attempt %s on %s", run.Attempt, up.ID) }()
	body, err := streamed(run.Body)
	if err != nil {
		return nil, refusal(http.StatusBadRequest, err.Error())
	}
	return c.begin(ctx, up, run, 0, func(s *Stream) error { return s.dispatch(body) })
}

// Resume reads the answer of a run that is at the engine already, from the
// token that follows after. It serves a router that takes over a request.
func (c *Client) Resume(ctx context.Context, up configuration.Upstream, run Run, after int) (s *Stream, err error) {
	defer func() { err = merry.Prependf(err, "resuming attempt %s on %s", run.Attempt, up.ID) }()
	s, err = c.begin(ctx, up, run, after, (*Stream).takeOver)
	if err != nil && !final(err) {
		err = fmt.Errorf("%w: %v", ErrLost, err) // the run may be at the engine whatever happened here
	}
	return s, err
}

func (c *Client) begin(ctx context.Context, up configuration.Upstream, run Run, after int, open func(*Stream) error) (*Stream, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	p, err := c.peer(up)
	if err != nil {
		return nil, err
	}
	s := c.newStream(p, up, run, after)
	s.bind(ctx)
	defer s.unbindContext()
	if err := open(s); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// streamed returns the caller's body with the answer asked for as a stream.
func streamed(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errors.New("body is not an object")
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// dispatch sends the run. It is called once.
func (s *Stream) dispatch(body []byte) error {
	s.dispatched.Store(true)
	response, sent, err := s.open(transport.Pooled, func(ctx context.Context) (*http.Request, error) {
		return s.runRequest(ctx, body)
	})
	if err != nil && !sent {
		s.dispatched.Store(false)
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	if err != nil {
		return s.recover(err)
	}
	return s.accept(response)
}

// takeOver fetches an answer that another client began to read.
func (s *Stream) takeOver() error {
	err := s.reopen()
	if err == nil || final(err) {
		return err
	}
	return s.recover(err)
}

func (s *Stream) runRequest(ctx context.Context, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.peer.url(engine.PathCompletions), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	s.mark(request)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engine.HeaderPriority, strconv.Itoa(s.run.Priority))
	if s.run.CacheKey != "" {
		request.Header.Set(engine.HeaderCacheKey, s.run.CacheKey)
	}
	return request, nil
}

func (s *Stream) resumeRequest(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.peer.url(streamPath(s.run.Request)), nil)
	if err != nil {
		return nil, err
	}
	s.mark(request)
	request.Header.Set(engine.HeaderLastEventID, strconv.Itoa(s.received))
	return request, nil
}

func (s *Stream) mark(request *http.Request) {
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(engine.HeaderRequest, string(s.run.Request))
	request.Header.Set(engine.HeaderAttempt, string(s.run.Attempt))
}

func streamPath(r ident.Request) string {
	return engine.PathStreams + url.PathEscape(string(r))
}

// open sends a request on a new connection of the stream. After an error, sent
// reports whether the engine may have seen any of it.
func (s *Stream) open(mode transport.Mode, build func(context.Context) (*http.Request, error)) (response *http.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(s.client.ctx)
	conn := &connection{ctx: ctx, cancel: cancel}
	if err := s.attach(conn); err != nil {
		return nil, false, err
	}
	request, err := build(ctx)
	if err != nil {
		return nil, false, err
	}
	s.activity.Add(1)
	response, sent, err = s.peer.transport.Do(request, mode)
	s.activity.Add(1)
	if err != nil {
		return nil, sent, s.cause(conn, err)
	}
	s.receive(conn, response.Body)
	return response, true, nil
}

// cause returns why a call on the connection ended with err.
func (s *Stream) cause(c *connection, err error) error {
	if s.client.ctx.Err() != nil {
		return errClientClosed
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return cause
	}
	return err
}

// accept checks the response to a dispatch.
func (s *Stream) accept(response *http.Response) error {
	if err := s.checkEcho(response); err != nil {
		return s.crossing(err)
	}
	s.peer.alive()
	status := response.StatusCode
	switch {
	case status == http.StatusOK:
		return nil
	case notRun(response):
		return fmt.Errorf("%w: engine answered with status %d", ErrNotRun, status)
	case ownFault(status):
		return refusal(status, message(response))
	}
	return s.lost(fmt.Errorf("engine answered with status %d", status))
}

// checkEcho checks that a response names the stream's request and attempt.
func (s *Stream) checkEcho(response *http.Response) error {
	if got := response.Header.Get(engine.HeaderAttempt); got != string(s.run.Attempt) {
		return crossed("response to attempt", got)
	}
	if got := response.Header.Get(engine.HeaderRequest); got != string(s.run.Request) {
		return crossed("response to request", got)
	}
	return nil
}

func notRun(response *http.Response) bool {
	status := response.StatusCode
	busy := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return busy && response.Header.Get(engine.HeaderNotRun) == "true"
}

// ownFault reports whether the status blames the request itself.
func ownFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status >= 400 && status < 500
}

// message returns the engine's words on an error.
func message(response *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	var body struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &body) == nil && body.Error.Message != "" {
		return body.Error.Message
	}
	return string(data)
}

// recover reads the answer on over a new connection after the current one
// failed with cause. It returns nil once there is one.
func (s *Stream) recover(cause error) error {
	broken := false
	for {
		if errors.Is(cause, ErrCrossed) {
			return s.crossing(cause)
		}
		if errors.Is(cause, ErrUnknownRun) || s.givenUp() {
			return s.lost(cause)
		}
		if err := s.awaitResumption(cause); err != nil {
			return err
		}
		s.peer.transport.DropIdle()
		err := s.reopen()
		if err == nil || final(err) {
			return err
		}
		broken = broken || isBroken(cause)
		if s.isCrash(broken, err) {
			return s.crash()
		}
		cause = err
	}
}

// awaitResumption waits until the stream may be resumed, or returns the error
// that it ends with.
func (s *Stream) awaitResumption(cause error) error {
	decision := s.decide()
	if !decision.Resume {
		return s.lost(cause)
	}
	if err := s.pauseUntil(decision.At); err != nil {
		return s.lost(err)
	}
	event.StreamResumed.Info(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
		"upstream", s.upstream.ID, "after", s.received, "count", decision.Count, "cause", cause.Error())
	return nil
}

// reopen asks for the rest of the answer on a fresh connection.
func (s *Stream) reopen() error {
	response, _, err := s.open(transport.Fresh, s.resumeRequest)
	if err != nil {
		return err
	}
	if err := s.checkEcho(response); err != nil {
		return s.crossing(err)
	}
	s.peer.alive()
	s.dispatched.Store(true)
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrUnknownRun
	case ownFault(status):
		return s.lost(fmt.Errorf("engine answered with status %d: %s", status, message(response)))
	default:
		return fmt.Errorf("engine answered with status %d", status)
	}
}

// isCrash reports whether the engine died during the run: err shows that it
// listens no longer, or that it is back without the run whose connection was
// broken.
func (s *Stream) isCrash(broken bool, err error) bool {
	if !s.dispatched.Load() {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || broken && errors.Is(err, ErrUnknownRun)
}

// isBroken reports whether a connection was ended from the engine's side.
func isBroken(cause error) bool {
	return errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE) ||
		errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF)
}

// final reports whether err is one that a stream may end with.
func final(err error) bool {
	return errors.Is(err, ErrLost) || errors.Is(err, ErrCrossed) || errors.Is(err, ErrCrashed)
}

func (s *Stream) givenUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interrupted != nil || s.client.ctx.Err() != nil
}

func (s *Stream) decide() silence.Decision {
	c := s.client
	now := c.settings.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.resumptions.Broken(s.received, c.settings.ResumeLimit, c.random, now)
}

// pauseUntil waits until a time unless the stream is given up.
func (s *Stream) pauseUntil(at time.Time) error {
	wait := at.Sub(s.client.settings.Clock())
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.bound.Done():
		return context.Cause(s.bound)
	case <-s.client.ctx.Done():
		return errClientClosed
	}
}

func (s *Stream) lost(cause error) error {
	event.StreamLost.Warn(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
		"upstream", s.upstream.ID, "received", s.received, "cause", cause.Error())
	return fmt.Errorf("%w: %w", ErrLost, cause)
}

func (s *Stream) crossing(cause error) error {
	event.AnswerCrossed.Error(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
		"upstream", s.upstream.ID, "cause", cause.Error())
	return cause
}

func (s *Stream) crash() error {
	crash, isNew := s.peer.crashed(s.client.nextCrash)
	if isNew {
		event.UpstreamCrashed.Error(s.client.settings.Log, "upstream", s.upstream.ID,
			"crash", crash.Crash, "inFlight", len(crash.InFlight))
	}
	return crash
}

func crossed(what, got string) error {
	return fmt.Errorf("%w: %s %q", ErrCrossed, what, got)
}

func refusal(status int, message string) error {
	return &RefusalError{Status: status, Message: message}
}
