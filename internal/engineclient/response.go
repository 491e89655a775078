package engineclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"example.org/lagoonfork/pkg/engine"
)

// maxMessage is the number of bytes of an engine's error message that are read.
const maxMessage = 4 << 10

// accept checks the response to a dispatch.
func (s *Stream) accept(response *http.Response) error {
	if err := s.checkEcho(response); err != nil {
		return s.crossing(err)
	}
	s.peer.alive()
	status := response.StatusCode
	switch {
	case status == http.StatusOK:
		return nil
	case notRun(response):
		return fmt.Errorf("%w: engine answered with status %d", ErrNotRun, status)
	case ownFault(status):
		return refusal(status, message(response))
	}
	return s.lost(fmt.Errorf("engine answered with status %d", status))
}

// checkEcho checks that a response names the stream's request and attempt.
func (s *Stream) checkEcho(response *http.Response) error {
	if got := response.Header.Get(engine.HeaderAttempt); got != string(s.run.Attempt) {
		return crossed("response to attempt", got)
	}
	if got := response.Header.Get(engine.HeaderRequest); got != string(s.run.Request) {
		return crossed("response to request", got)
	}
	return nil
}

func notRun(response *http.Response) bool {
	status := response.StatusCode
	busy := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	return busy && response.Header.Get(engine.HeaderNotRun) == "true"
}

// ownFault reports whether the status blames the request itself.
func ownFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return status >= 400 && status < 500
}

// message returns the engine's words on an error.
func message(response *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxMessage))
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

func crossed(what, got string) error {
	return fmt.Errorf("%w: %s %q", ErrCrossed, what, got)
}

func refusal(status int, message string) error {
	return &RefusalError{Status: status, Message: message}
}
