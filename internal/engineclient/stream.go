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

// maxDrain is the number of bytes after the end of an answer that are read.
const maxDrain = 4 << 10

// Reasons why a connection is given up. The stream may be resumed after any
// of them.
var (
	errSilent    = errors.New("connection silent")
	errTruncated = errors.New("stream ended early")
	errDisorder  = errors.New("tokens out of order")
	// errAlternative reports an answer with several choices, whose tokens
	// cannot be numbered.
	errAlternative = errors.New("more than one choice")
)

// Reasons why a stream is given up.
var (
	errStreamClosed = errors.New("stream closed")
	errClientClosed = errors.New("client closed during the run")
)

// Stream is the answer of one run. It is used by one goroutine at a time,
// except for Close.
type Stream struct {
	client   *Client
	peer     *peer
	upstream configuration.Upstream
	run      Run

	activity   atomic.Uint64 // a silence.Activity
	watch      silence.Watch // guarded by the lock of the peer
	dispatched atomic.Bool   // whether the run may be at the engine

	resumptions silence.Resumptions
	reader      *eventstream.Reader
	decoder     engine.ChunkDecoder
	received    int           // tokens
	finish      string        // as the current connection gave it
	usage       *engine.Usage // as the current connection gave it
	end         error         // of Next, once it has ended

	bound  context.Context // whose end interrupts the stream
	unbind func() bool

	mu          sync.Mutex
	connection  *connection
	interrupted error
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
	p.add(s)
	return s
}

// Next waits for the next event: the tokens one by one, then one event with the
// reason to finish and the usage, then io.EOF. The event with the reason to
// finish comes only once the answer is known to be whole, or was cut at its
// token limit; the usage is nil if the engine did not give it. After an error
// the stream has ended; this includes the error of ctx, which comes as ErrLost.
func (s *Stream) Next(ctx context.Context) (e engine.Event, err error) {
	if s.end != nil {
		return engine.Event{}, s.end
	}
	s.bind(ctx)
	for {
		e, err = s.read()
		if err == nil {
			return e, nil
		}
		if err := s.recover(err); err != nil {
			return engine.Event{}, s.ended(err)
		}
	}
}

// Received returns the number of tokens received, which is the token after
// which another reader may resume.
func (s *Stream) Received() int { return s.received }

// Close releases the stream's connection. It does not cancel the run.
func (s *Stream) Close() error {
	s.interrupt(errStreamClosed)
	s.peer.remove(s)
	return nil
}

// ended makes err the stream's last word.
func (s *Stream) ended(err error) error {
	if err != io.EOF {
		err = merry.Prependf(err, "reading the answer of attempt %s from %s", s.run.Attempt, s.upstream.ID)
	}
	s.end = err
	s.unbindContext()
	if err == io.EOF {
		s.release()
	} else {
		s.interrupt(err)
	}
	s.peer.remove(s)
	return err
}

// read returns the next event of the current connection.
func (s *Stream) read() (engine.Event, error) {
	for {
		raw, err := s.reader.Next()
		if err != nil {
			return engine.Event{}, s.readError(err)
		}
		if string(raw.Data) == engine.Done {
			return s.whole()
		}
		e, err := s.decode(raw)
		if err != nil {
			return engine.Event{}, err
		}
		if s.run.MaxOutput > 0 && e.Index > int(s.run.MaxOutput) {
			return s.cut(), nil
		}
		if e.Index > 0 {
			s.received = e.Index
			return e, nil
		}
	}
}

// decode decodes an event and checks that it belongs to the attempt and comes
// in order. It keeps the reason to finish and the usage for the end.
func (s *Stream) decode(raw eventstream.Event) (engine.Event, error) {
	chunk, err := s.decoder.Decode(raw.Data)
	if err != nil {
		return engine.Event{}, err
	}
	if chunk.ID != string(s.run.Attempt) {
		return engine.Event{}, crossed("chunk", chunk.ID)
	}
	e := engine.Event{Raw: raw.Data}
	finished := s.finish != ""
	if len(chunk.Choices) > 0 {
		choice := &chunk.Choices[0]
		if len(chunk.Choices) > 1 || choice.Index != 0 {
			return engine.Event{}, errAlternative
		}
		e.Text = choice.Delta.Content
		if choice.FinishReason != nil {
			s.finish = *choice.FinishReason
		}
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	index, err := s.index(raw.ID, e.Text)
	if index > 0 && finished {
		return engine.Event{}, errDisorder
	}
	e.Index = index
	return e, err
}

// index returns the number of the token that an event carries, or 0 if it
// carries none. Every token follows the one received before.
func (s *Stream) index(id []byte, text string) (int, error) {
	if id == nil && text == "" {
		return 0, nil
	}
	index, err := strconv.Atoi(string(id))
	if err != nil || index != s.received+1 {
		return 0, errDisorder
	}
	return index, nil
}

// whole ends a stream that came to its last event, if nothing is missing.
func (s *Stream) whole() (engine.Event, error) {
	if s.finish == "" {
		return engine.Event{}, errTruncated
	}
	if s.usage != nil && int(s.usage.CompletionTokens) != s.received {
		return engine.Event{}, errTruncated
	}
	_ = s.ended(io.EOF)
	return engine.Event{FinishReason: s.finish, Usage: s.usage}, nil
}

// cut ends an answer that goes past its limit and stops the engine.
func (s *Stream) cut() engine.Event {
	event.AnswerCut.Warn(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
		"upstream", s.upstream.ID, "maxOutput", s.run.MaxOutput)
	s.interrupt(errStreamClosed)
	s.client.background(s.cancelRun)
	_ = s.ended(io.EOF)
	return engine.Event{FinishReason: engine.FinishLength}
}

// readError turns the error of a read into its cause.
func (s *Stream) readError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupted != nil {
		return s.interrupted
	}
	if cause := context.Cause(s.connection.ctx); cause != nil {
		return cause
	}
	if err == io.EOF {
		return errTruncated
	}
	return err
}

// bodyReader reads the body of a response and records the stream's activity.
type bodyReader struct {
	stream *Stream
	body   io.Reader
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	b.stream.activity.Add(1)
	defer b.stream.activity.Add(1)
	return b.body.Read(p)
}

// bind makes the end of ctx interrupt the stream.
func (s *Stream) bind(ctx context.Context) {
	if s.bound == ctx {
		return
	}
	s.unbindContext()
	s.bound = ctx
	s.unbind = context.AfterFunc(ctx, func() { s.interrupt(context.Cause(ctx)) })
}

func (s *Stream) unbindContext() {
	if s.bound != nil {
		s.unbind()
		s.bound = nil
	}
}

// interrupt gives the stream up: its connection is closed and no other is
// opened.
func (s *Stream) interrupt(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupted == nil {
		s.interrupted = cause
	}
	if s.connection != nil {
		s.connection.cancel(cause)
	}
}

// giveUp closes the current connection if the stream has not moved since its
// activity was a.
func (s *Stream) giveUp(a silence.Activity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connection != nil && s.activity.Load() == uint64(a) {
		s.connection.cancel(errSilent)
	}
}

// attach makes c the current connection, in place of the one before.
func (s *Stream) attach(c *connection) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connection != nil {
		s.connection.cancel(errStreamClosed)
	}
	if s.interrupted != nil {
		c.cancel(s.interrupted)
		return s.interrupted
	}
	s.connection = c
	return nil
}

// receive makes body the source of the stream's reader. Of the connection
// before only the received tokens stay.
func (s *Stream) receive(c *connection, body io.ReadCloser) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.body = body
	s.finish, s.usage = "", nil
	s.reader.Reset(&bodyReader{stream: s, body: body})
}

// release lets the connection of a whole answer go back to the pool.
func (s *Stream) release() {
	c := s.detach()
	if c != nil && c.body != nil {
		s.client.background(func() { c.drain(s.client.settings.CallTimeout) })
	}
}

// detach takes the current connection away from the stream.
func (s *Stream) detach() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connection
	s.connection = nil
	return c
}

// drain reads the end of a whole answer, so that the connection can be pooled.
func (c *connection) drain(limit time.Duration) {
	timer := time.AfterFunc(limit, func() { c.cancel(errStreamClosed) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, c.body, maxDrain)
	c.cancel(errStreamClosed)
}
