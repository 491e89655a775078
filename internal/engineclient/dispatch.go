package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/jsonvalue"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Start sends a run to an engine and waits until the engine has accepted it.
// The returned stream does not depend on ctx.
func (c *Client) Start(ctx context.Context, up configuration.Upstream, run Run) (s *Stream, err error) {
	defer func() { err = merry.Prependf(err, "starting attempt %s on %s", run.Attempt, up.ID) }()
	body, err := withStreaming(run.Body)
	if err != nil {
		return nil, newRefusalError(http.StatusBadRequest, err.Error())
	}
	return c.openStream(ctx, up, run, 0, func(s *Stream) error { return s.dispatch(body) })
}

// Resume reads the answer of a run that the engine has already received, starting
// with token number after+1. A router that takes over a request from another router
// uses it.
func (c *Client) Resume(ctx context.Context, up configuration.Upstream, run Run, after int) (s *Stream, err error) {
	defer func() { err = merry.Prependf(err, "resuming attempt %s on %s", run.Attempt, up.ID) }()
	s, err = c.openStream(ctx, up, run, after, (*Stream).takeOver)
	if err != nil && !isFinal(err) {
		err = fmt.Errorf("%w: %v", ErrResponseLost, err) // the engine may have the run even if nothing was sent here
	}
	return s, err
}

func (c *Client) openStream(ctx context.Context, up configuration.Upstream, run Run, after int, open func(*Stream) error) (*Stream, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	p, err := c.peer(up)
	if err != nil {
		return nil, err
	}
	s := c.newStream(p, up, run, after)
	s.bindContext(ctx)
	defer s.unbindContext()
	if err := open(s); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// withStreaming returns the request body with the fields set that ask for a
// streamed answer with usage.
func withStreaming(body []byte) ([]byte, error) {
	if !json.Valid(body) {
		return nil, errors.New("body is not valid JSON")
	}
	object := jsonvalue.Of(body)
	if !object.IsObject() {
		return nil, errors.New("body is not an object")
	}
	const added = `"stream":true,"stream_options":{"include_usage":true}`
	b := append(make([]byte, 0, len(body)+len(added)+len("{}")), '{')
	for f := range object.Fields() {
		if name := string(f.Name); name == "stream" || name == "stream_options" {
			continue
		}
		b = append(append(append(append(b, f.RawName...), ':'), f.Value...), ',')
	}
	return append(append(b, added...), '}'), nil
}

// dispatch sends the run to the engine. It must be called at most once.
func (s *Stream) dispatch(body []byte) error {
	s.dispatched.Store(true)
	response, sent, err := s.openConnection(transport.Pooled, func(ctx context.Context) (*http.Request, error) {
		return s.newRunRequest(ctx, body)
	})
	if err != nil && !sent {
		s.dispatched.Store(false)
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	if err != nil {
		return s.recover(err)
	}
	return s.checkRunResponse(response)
}

// takeOver connects to a run whose answer another client has started to read.
func (s *Stream) takeOver() error {
	err := s.reopen()
	if err == nil || isFinal(err) {
		return err
	}
	return s.recover(err)
}

func (s *Stream) newRunRequest(ctx context.Context, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.peer.url(engine.PathCompletions), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	s.setHeaders(request)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(engine.HeaderPriority, strconv.Itoa(s.run.Priority))
	if s.run.CacheKey != "" {
		request.Header.Set(engine.HeaderCacheKey, s.run.CacheKey)
	}
	return request, nil
}

func (s *Stream) newResumeRequest(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.peer.url(streamPath(s.run.Request)), nil)
	if err != nil {
		return nil, err
	}
	s.setHeaders(request)
	request.Header.Set(engine.HeaderLastEventID, strconv.Itoa(s.received))
	return request, nil
}

func (s *Stream) setHeaders(request *http.Request) {
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(engine.HeaderRequest, string(s.run.Request))
	request.Header.Set(engine.HeaderAttempt, string(s.run.Attempt))
}

func streamPath(r ident.Request) string {
	return engine.PathStreams + url.PathEscape(string(r))
}

// openConnection sends a request and makes its connection the current one of the
// stream. After an error, sent reports whether the engine may have received any
// part of the request.
func (s *Stream) openConnection(mode transport.Mode, build func(context.Context) (*http.Request, error)) (response *http.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(s.client.ctx)
	conn := &connection{ctx: ctx, cancel: cancel}
	if err := s.attachConnection(conn); err != nil {
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
		return nil, sent, s.connectionError(conn, err)
	}
	s.setBody(conn, response.Body)
	return response, true, nil
}

// connectionError returns the reason for which a request on the connection
// failed with err: the closing of the client, the cause of the connection's
// cancellation, or err itself.
func (s *Stream) connectionError(c *connection, err error) error {
	if s.client.ctx.Err() != nil {
		return errClientClosed
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return cause
	}
	return err
}
