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

// givenUp reports whether the stream ends from this side.
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
	args := []any{"request", s.run.Request, "attempt", s.run.Attempt, "upstream", s.upstream.ID,
		"received", s.received, "cause", cause.Error()}
	if s.givenUp() {
		event.StreamLeft.Info(s.client.settings.Log, args...)
	} else {
		event.StreamLost.Warn(s.client.settings.Log, args...)
	}
	return fmt.Errorf("%w: %w", ErrLost, cause)
}

func (s *Stream) crossing(cause error) error {
	event.AnswerCrossed.Error(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
		"upstream", s.upstream.ID, "cause", cause.Error())
	return cause
}

func (s *Stream) crash() error {
	crash, isNew := s.peer.crashed(&s.client.crashes)
	if isNew {
		event.UpstreamCrashed.Error(s.client.settings.Log, "upstream", s.upstream.ID,
			"crash", crash.Crash, "inFlight", len(crash.InFlight))
	}
	return crash
}
