package engineclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/silence"
	"example.org/lagoonfork/internal/transport"
)

// recover replaces the connection that failed with cause, retrying as often as
// the resume limit allows. It returns nil once a new connection delivers the rest
// of the answer, and otherwise the error with which the stream ends.
func (s *Stream) recover(cause error) error {
	broken := false
	for {
		if errors.Is(cause, ErrWrongAttempt) {
			return s.logWrongAttempt(cause)
		}
		if errors.Is(cause, ErrUnknownRun) || s.closedLocally() {
			return s.lostError(cause)
		}
		if err := s.awaitResumption(cause); err != nil {
			return err
		}
		s.peer.transport.DropIdle()
		err := s.reopen()
		if err == nil || isFinal(err) {
			return err
		}
		broken = broken || closedByEngine(cause)
		if s.isCrash(broken, err) {
			return s.crashError()
		}
		cause = err
	}
}

// awaitResumption waits until the stream may be resumed. It returns the error
// with which the stream ends if it may not be.
func (s *Stream) awaitResumption(cause error) error {
	decision := s.nextResumption()
	if !decision.Resume {
		return s.lostError(cause)
	}
	if err := s.waitUntil(decision.At); err != nil {
		return s.lostError(err)
	}
	event.StreamResumed.Info(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
		"upstream", s.upstream.ID, "after", s.received, "count", decision.Count, "cause", cause.Error())
	return nil
}

// reopen requests the rest of the answer over a connection that is not from the
// pool.
func (s *Stream) reopen() error {
	response, _, err := s.openConnection(transport.Fresh, s.newResumeRequest)
	if err != nil {
		return err
	}
	if err := s.checkEcho(response); err != nil {
		return s.logWrongAttempt(err)
	}
	s.peer.clearCrash()
	s.dispatched.Store(true)
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrUnknownRun
	case isRequestError(status):
		return s.lostError(fmt.Errorf("engine answered with status %d: %s", status, errorMessage(response)))
	default:
		return fmt.Errorf("engine answered with status %d", status)
	}
}

// isCrash reports whether the engine crashed during the run: err shows that the
// engine refuses connections, or that it no longer knows the run after having
// closed its connection (broken), as after a restart.
func (s *Stream) isCrash(broken bool, err error) bool {
	if !s.dispatched.Load() {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || broken && errors.Is(err, ErrUnknownRun)
}

// closedByEngine reports whether cause means that the engine's side closed the
// connection.
func closedByEngine(cause error) bool {
	return errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE) ||
		errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF)
}

// isFinal reports whether err is an error that ends a stream without another
// resumption.
func isFinal(err error) bool {
	return errors.Is(err, ErrResponseLost) || errors.Is(err, ErrWrongAttempt) || errors.Is(err, ErrCrashed)
}

// closedLocally reports whether the stream was interrupted or the client closed.
func (s *Stream) closedLocally() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interruptCause != nil || s.client.ctx.Err() != nil
}

// nextResumption decides whether and when the stream is resumed.
func (s *Stream) nextResumption() silence.Decision {
	c := s.client
	now := c.settings.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.resumptions.Decide(s.received, c.settings.ResumeLimit, c.random, now)
}

// waitUntil waits until the given time. It returns an error if the bound context
// or the client ends first.
func (s *Stream) waitUntil(at time.Time) error {
	wait := at.Sub(s.client.settings.Clock())
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.boundContext.Done():
		return context.Cause(s.boundContext)
	case <-s.client.ctx.Done():
		return errClientClosed
	}
}

// lostError logs the end of the stream and returns an ErrResponseLost that wraps cause.
func (s *Stream) lostError(cause error) error {
	args := []any{"request", s.run.Request, "attempt", s.run.Attempt, "upstream", s.upstream.ID,
		"received", s.received, "cause", cause.Error()}
	if s.closedLocally() {
		event.StreamAbandoned.Info(s.client.settings.Log, args...)
	} else {
		event.StreamLost.Warn(s.client.settings.Log, args...)
	}
	return fmt.Errorf("%w: %w", ErrResponseLost, cause)
}

// logWrongAttempt logs cause, an ErrWrongAttempt, and returns it.
func (s *Stream) logWrongAttempt(cause error) error {
	event.AnswerMismatched.Error(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
		"upstream", s.upstream.ID, "cause", cause.Error())
	return cause
}

// crashError records the crash of the engine, logs it if it is new, and returns
// its error.
func (s *Stream) crashError() error {
	crash, isNew := s.peer.recordCrash(&s.client.crashCount)
	if isNew {
		event.UpstreamCrashed.Error(s.client.settings.Log, "upstream", s.upstream.ID,
			"crash", crash.Number, "inFlight", len(crash.InFlight))
	}
	return crash
}
