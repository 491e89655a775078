package engineclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"example.org/lagoonfork/pkg/engine"
)

// maxErrorMessage is the maximum number of bytes read from an error response of
// an engine.
const maxErrorMessage = 4 << 10

// checkRunResponse checks the response to a dispatched run.
func (s *Stream) checkRunResponse(response *http.Response) error {
	if err := s.checkEcho(response); err != nil {
		return s.logWrongAttempt(err)
	}
	s.peer.clearCrash()
	status := response.StatusCode
	switch {
	case status == http.StatusOK:
		return nil
	case reportsNotRun(response):
		return fmt.Errorf("%w: engine answered with status %d", ErrNotRun, status)
	case isRequestError(status):
		return newRefusalError(status, errorMessage(response))
	}
	return s.lostError(fmt.Errorf("engine answered with status %d", status))
}

// checkEcho checks that the response headers repeat the request and attempt of
// the stream.
func (s *Stream) checkEcho(response *http.Response) error {
	if got := response.Header.Get(engine.HeaderAttempt); got != string(s.run.Attempt) {
		return wrongAttemptError("response to attempt", got)
	}
	if got := response.Header.Get(engine.HeaderRequest); got != string(s.run.Request) {
		return wrongAttemptError("response to request", got)
	}
	return nil
}

// reportsNotRun reports whether the engine states that it did not run the request
// because it is overloaded or unavailable.
func reportsNotRun(response *http.Response) bool {
	status := response.StatusCode
	overloaded := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return overloaded && response.Header.Get(engine.HeaderNotRun) == "true"
}

// isRequestError reports whether the status means that the request itself is
// invalid.
func isRequestError(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status >= 400 && status < 500
}

// errorMessage returns the message in the body of an error response, or the body
// if it is not in the expected format.
func errorMessage(response *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorMessage))
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

func wrongAttemptError(what, got string) error {
	return fmt.Errorf("%w: %s %q", ErrWrongAttempt, what, got)
}

func newRefusalError(status int, message string) error {
	return &RefusalError{Status: status, Message: message}
}
