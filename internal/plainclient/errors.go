package plainclient

import "errors"

// Errors of a Client. Each error of Forward wraps exactly one of them.
var (
	// ErrNotRun reports that no byte of the call was sent, or that the service
	// rejected the call and guarantees that it did not run it.
	ErrNotRun = errors.New("not run")
	// ErrResponseLost reports that the response could not be read completely.
	// The call may have run.
	ErrResponseLost = errors.New("response lost")
	// ErrWrongAttempt reports that the response belongs to another attempt and
	// was discarded. The call may have run.
	ErrWrongAttempt = errors.New("response of another attempt")
	// ErrTooLarge reports that the response exceeds the size limit. The call
	// may have run.
	ErrTooLarge = errors.New("response too large")
)

// ErrNoMemory is the cause of ErrResponseLost if there was no memory for the response.
var ErrNoMemory = errors.New("no memory for the response")

// Causes wrapped by the errors of Forward.
var (
	errIdleTimeout = errors.New("connection silent")
	errClosed      = errors.New("client closed")
)
