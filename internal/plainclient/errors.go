package plainclient

import "errors"

// Errors of a Client. Each error of Forward wraps exactly one of them.
var (
	// ErrNotRun reports that no byte of the call was sent, or that the service
	// refused it with the promise that it was not run.
	ErrNotRun = errors.New("not run")
	// ErrLost reports that the response is out of reach. The call may have run.
	ErrLost = errors.New("response lost")
	// ErrCrossed reports the response of another attempt. Nothing of it was
	// delivered. The call may have run.
	ErrCrossed = errors.New("response of another attempt")
	// ErrTooLarge reports a response over the limit. The call may have run.
	ErrTooLarge = errors.New("response too large")
)

// Reasons of errors.
var (
	errSilent = errors.New("connection silent")
	errClosed = errors.New("client closed")
)
