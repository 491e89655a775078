package engineclient

import (
	"errors"
	"fmt"

	"example.org/lagoonfork/pkg/ident"
)

// Errors returned by a Client and its streams. ErrNotRun, ErrResponseLost,
// ErrWrongAttempt, ErrCrashed, ErrRefused and ErrClosed classify the end of a
// run: its error wraps exactly one of them.
var (
	// ErrNotRun means that the engine certainly did not run the request.
	ErrNotRun = errors.New("not run")
	// ErrResponseLost means that the response, or the rest of it, could not be
	// received. The request may have run.
	ErrResponseLost = errors.New("answer lost")
	// ErrWrongAttempt means that the engine sent data of another attempt. None
	// of it was delivered. The request may have run.
	ErrWrongAttempt = errors.New("answer of another attempt")
	// ErrCrashed means that the engine crashed during the run.
	ErrCrashed = errors.New("engine crashed")
	// ErrRefused means that the engine rejected the request as such and did not
	// run it.
	ErrRefused = errors.New("refused by the engine")
	// ErrUnknownRun accompanies ErrResponseLost if the engine does not know the run.
	ErrUnknownRun = errors.New("run not known to the engine")
	// ErrStaleOrder means that the engine rejected the fencing number of an
	// order as outdated.
	ErrStaleOrder = errors.New("order has an old fencing number")
	// ErrClosed means that the client was closed before the call. Nothing was
	// sent.
	ErrClosed = errors.New("client closed")
)

// InFlightRun identifies a run that may have been on an engine when it crashed.
type InFlightRun struct {
	Request ident.Request
	Attempt ident.Attempt
}

// CrashError is an ErrCrashed with the runs that this client had in flight on
// the engine.
type CrashError struct {
	Upstream ident.Upstream
	// Number is the sequence number of the crash among those that the client
	// has detected. All runs that one crash ended have the same number, so that
	// the crash can be counted once.
	Number   uint64
	InFlight []InFlightRun
}

// Error implements error.
func (e *CrashError) Error() string {
	return fmt.Sprintf("%v: %s with %d runs in flight", ErrCrashed, e.Upstream, len(e.InFlight))
}

// Unwrap returns ErrCrashed.
func (e *CrashError) Unwrap() error { return ErrCrashed }

// RefusalError is an ErrRefused with the status and message of the engine.
type RefusalError struct {
	Status  int
	Message string
}

// Error implements error.
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
