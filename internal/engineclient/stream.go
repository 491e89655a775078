package engineclient

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/silence"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/eventstream"
)

// maxDrainBytes is the maximum number of bytes read after the end of an answer.
const maxDrainBytes = 4 << 10

// Reasons for abandoning a connection. The stream may be resumed after any of
// them.
var (
	errSilent     = errors.New("connection silent")
	errTruncated  = errors.New("stream ended early")
	errOutOfOrder = errors.New("tokens out of order")
	// errMultipleChoices is returned for an answer with several choices, whose
	// tokens cannot be numbered in one sequence.
	errMultipleChoices = errors.New("more than one choice")
)

// Reasons for ending a stream.
var (
	errStreamClosed = errors.New("stream closed")
	errClientClosed = errors.New("client closed during the run")
)

// Stream reads the answer of one run. Only Close may be called concurrently with
// other methods.
type Stream struct {
	client   *Client
	peer     *peer
	upstream configuration.Upstream
	run      Run

	activity   atomic.Uint64        // a silence.Activity, odd during a read
	watch      silence.IdleDetector // guarded by peer.mu
	dispatched atomic.Bool          // whether the engine may have received the run

	resumptions  silence.Resumptions
	reader       *eventstream.Reader
	decoder      engine.ChunkDecoder
	received     int           // number of tokens delivered or skipped so far
	finishReason string        // received over the current connection
	usage        *engine.Usage // received over the current connection
	endErr       error         // returned by Next once the stream has ended

	boundContext  context.Context // its end interrupts the stream
	stopInterrupt func() bool

	mu             sync.Mutex
	connection     *connection
	interruptCause error
}

// connection is a stream's current connection.
type connection struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	body   io.ReadCloser
}

func (c *Client) newStream(p *peer, up configuration.Upstream, run Run, received int) *Stream {
	s := &Stream{client: c, peer: p, upstream: up, run: run, received: received}
	s.reader = eventstream.NewReader(nil)
	p.addStream(s)
	return s
}

// Next waits for the next event and returns it: one event for each token, then
// one with the finish reason and the usage, then io.EOF. The event with the
// finish reason is returned only once the answer is known to be complete, or was
// cut off at its token limit; the usage is nil if the engine did not send it. Any
// error ends the stream. If ctx ends, the error wraps ErrResponseLost and the cause.
func (s *Stream) Next(ctx context.Context) (e engine.Event, err error) {
	if s.endErr != nil {
		return engine.Event{}, s.endErr
	}
	s.bindContext(ctx)
	for {
		e, err = s.readEvent()
		if err == nil {
			return e, nil
		}
		if err := s.recover(err); err != nil {
			return engine.Event{}, s.terminate(err)
		}
	}
}

// Received returns the number of the last token received, after which another
// reader may resume.
func (s *Stream) Received() int { return s.received }

// Close closes the stream's connection. It does not cancel the run.
func (s *Stream) Close() error {
	s.interrupt(errStreamClosed)
	s.peer.removeStream(s)
	return nil
}

// terminate ends the stream with err, which Next returns from then on.
func (s *Stream) terminate(err error) error {
	if err != io.EOF {
		err = merry.Prependf(err, "reading the answer of attempt %s from %s", s.run.Attempt, s.upstream.ID)
	}
	s.endErr = err
	s.unbindContext()
	if err == io.EOF {
		s.releaseConnection()
	} else {
		s.interrupt(err)
	}
	s.peer.removeStream(s)
	return err
}

// readEvent returns the next event received over the current connection.
func (s *Stream) readEvent() (engine.Event, error) {
	for {
		raw, err := s.reader.Next()
		if err != nil {
			return engine.Event{}, s.readError(err)
		}
		if string(raw.Data) == engine.Done {
			return s.complete()
		}
		e, err := s.decode(raw)
		if err != nil {
			return engine.Event{}, err
		}
		if s.run.MaxOutput > 0 && e.Index > int(s.run.MaxOutput) {
			return s.stopAtLimit(), nil
		}
		if e.Index > 0 {
			s.received = e.Index
			return e, nil
		}
	}
}

// decode decodes an event and checks that it belongs to the attempt and is in
// order. It stores the finish reason and the usage for the last event.
func (s *Stream) decode(raw eventstream.Event) (engine.Event, error) {
	chunk, err := s.decoder.Decode(raw.Data)
	if err != nil {
		return engine.Event{}, err
	}
	if chunk.ID != string(s.run.Attempt) {
		return engine.Event{}, wrongAttemptError("chunk", chunk.ID)
	}
	e := engine.Event{Raw: raw.Data}
	finished := s.finishReason != ""
	if len(chunk.Choices) > 0 {
		choice := &chunk.Choices[0]
		if len(chunk.Choices) > 1 || choice.Index != 0 {
			return engine.Event{}, errMultipleChoices
		}
		e.Text = choice.Delta.Content
		if choice.FinishReason != nil {
			s.finishReason = *choice.FinishReason
		}
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	index, err := s.tokenIndex(raw.ID, e.Text)
	if index > 0 && finished {
		return engine.Event{}, errOutOfOrder
	}
	e.Index = index
	return e, err
}

// tokenIndex returns the number of the token in an event, or 0 if it contains
// none. It returns an error unless the token follows the last one received.
func (s *Stream) tokenIndex(id []byte, text string) (int, error) {
	if id == nil && text == "" {
		return 0, nil
	}
	index, err := strconv.Atoi(string(id))
	if err != nil || index != s.received+1 {
		return 0, errOutOfOrder
	}
	return index, nil
}

// complete ends a stream whose last event was received, and returns the event
// with the finish reason. It returns an error if part of the answer is missing.
func (s *Stream) complete() (engine.Event, error) {
	if s.finishReason == "" {
		return engine.Event{}, errTruncated
	}
	if s.usage != nil && int(s.usage.CompletionTokens) != s.received {
		return engine.Event{}, errTruncated
	}
	_ = s.terminate(io.EOF)
	return engine.Event{FinishReason: s.finishReason, Usage: s.usage}, nil
}

// stopAtLimit ends a stream whose answer exceeds its token limit and cancels the
// run on the engine.
func (s *Stream) stopAtLimit() engine.Event {
	event.AnswerTruncated.Warn(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
		"upstream", s.upstream.ID, "maxOutput", s.run.MaxOutput)
	s.interrupt(errStreamClosed)
	s.client.runInBackground(s.cancelRun)
	_ = s.terminate(io.EOF)
	return engine.Event{FinishReason: engine.FinishLength}
}

// readError returns the cause of a read error.
func (s *Stream) readError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interruptCause != nil {
		return s.interruptCause
	}
	if cause := context.Cause(s.connection.ctx); cause != nil {
		return cause
	}
	if err == io.EOF {
		return errTruncated
	}
	return err
}

// bodyReader reads a response body and counts the stream's activity.
type bodyReader struct {
	stream *Stream
	body   io.Reader
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	b.stream.activity.Add(1)
	defer b.stream.activity.Add(1)
	return b.body.Read(p)
}

// bindContext makes the end of ctx interrupt the stream.
func (s *Stream) bindContext(ctx context.Context) {
	if s.boundContext == ctx {
		return
	}
	s.unbindContext()
	s.boundContext = ctx
	s.stopInterrupt = context.AfterFunc(ctx, func() { s.interrupt(context.Cause(ctx)) })
}

func (s *Stream) unbindContext() {
	if s.boundContext != nil {
		s.stopInterrupt()
		s.boundContext = nil
	}
}

// interrupt closes the stream's connection and prevents the opening of another
// one. Only the first cause is kept.
func (s *Stream) interrupt(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interruptCause == nil {
		s.interruptCause = cause
	}
	if s.connection != nil {
		s.connection.cancel(cause)
	}
}

// closeIfSilent closes the current connection if the stream's activity is still
// a.
func (s *Stream) closeIfSilent(a silence.Activity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connection != nil && s.activity.Load() == uint64(a) {
		s.connection.cancel(errSilent)
	}
}

// attachConnection makes c the current connection and closes the previous one.
// If the stream was interrupted, it closes c and returns the cause.
func (s *Stream) attachConnection(c *connection) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connection != nil {
		s.connection.cancel(errStreamClosed)
	}
	if s.interruptCause != nil {
		c.cancel(s.interruptCause)
		return s.interruptCause
	}
	s.connection = c
	return nil
}

// setBody makes body the source of the stream's reader and resets the state that
// belongs to the previous connection, except for the received tokens.
func (s *Stream) setBody(c *connection, body io.ReadCloser) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.body = body
	s.finishReason, s.usage = "", nil
	s.reader.Reset(&bodyReader{stream: s, body: body})
}

// releaseConnection returns the connection of a complete answer to the pool, in
// the background.
func (s *Stream) releaseConnection() {
	c := s.detachConnection()
	if c != nil && c.body != nil {
		s.client.runInBackground(func() { c.drain(s.client.settings.CallTimeout) })
	}
}

// detachConnection removes the current connection from the stream and returns it.
func (s *Stream) detachConnection() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connection
	s.connection = nil
	return c
}

// drain reads to the end of the response body, so that the connection can be
// reused.
func (c *connection) drain(limit time.Duration) {
	timer := time.AfterFunc(limit, func() { c.cancel(errStreamClosed) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, c.body, maxDrainBytes)
	c.cancel(errStreamClosed)
}
