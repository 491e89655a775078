package engineclient

import (
	"errors"
	"fmt"

	"example.org/lagoonfork/pkg/ident"
)

// Errors of a Client. Each error that a run ends with wraps exactly one of
// them, except for the error of a context that ended before anything was sent.
var (
	// ErrNotRun reports that the engine certainly did not run the request.
	ErrNotRun = errors.New("not run")
	// ErrLost reports that the rest of the answer is out of reach. The request
	// may have run.
	ErrLost = errors.New("answer lost")
	// ErrCrossed reports an answer of another attempt. Nothing of it was
	// delivered. The request may have run.
	ErrCrossed = errors.New("answer of another attempt")
	// ErrCrashed reports that the engine died during the run.
	ErrCrashed = errors.New("engine crashed")
	// ErrRefused reports that the engine did not run the request because of
	// the request itself.
	ErrRefused = errors.New("refused by the engine")
	// ErrUnknownRun comes with ErrLost if the engine does not know the run.
	ErrUnknownRun = errors.New("run not known to the engine")
	// ErrStaleOrder reports an order with an old fencing number.
	ErrStaleOrder = errors.New("order has an old fencing number")
	// ErrClosed reports a call of a closed client. Nothing was sent.
	ErrClosed = errors.New("client closed")
)

// Flight is a run that was at an engine when it crashed.
type Flight struct {
	Request ident.Request
	Attempt ident.Attempt
}

// CrashError is an ErrCrashed with what was in flight from this client.
type CrashError struct {
	Upstream ident.Upstream
	// Crash numbers the crashes that the client has seen, so that the errors
	// of all the runs that it ended can be counted once.
	Crash    uint64
	InFlight []Flight
}

// Error describes the crash.
func (e *CrashError) Error() string {
	return fmt.Sprintf("%v: %s with %d runs in flight", ErrCrashed, e.Upstream, len(e.InFlight))
}

// Unwrap returns ErrCrashed.
func (e *CrashError) Unwrap() error { return ErrCrashed }

// RefusalError is an ErrRefused with the engine's words.
type RefusalError struct {
	Status  int
	Message string
}

// Error describes the refusal.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%v: status %d: %s", ErrRefused, e.Status, e.Message)
}

// Unwrap returns ErrRefused.
func (e *RefusalError) Unwrap() error { return ErrRefused }

// MayHaveRun reports whether the request of a run that ended with err may have
// been run by the engine.
func MayHaveRun(err error) bool {
	for _, certain := range []error{ErrNotRun, ErrRefused, ErrClosed} {
		if errors.Is(err, certain) {
			return false
		}
	}
	return true
}
