package guard

import (
	"log"
	"strings"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/event"
)

// LogUnanswered returns an OnUnanswered that logs the requests of the named endpoint.
func LogUnanswered(l hclog.Logger, endpoint string) func(Unanswered) {
	return func(u Unanswered) {
		event.RequestUnanswered.Warn(l, "endpoint", endpoint, "caller", u.Caller, "since", u.Since, "givenUp", u.GivenUp)
	}
}

// ErrorLog returns an http.Server.ErrorLog that logs events with the name of the endpoint.
func ErrorLog(l hclog.Logger, endpoint string) *log.Logger {
	return log.New(eventWriter{l, endpoint}, "", 0)
}

// eventWriter logs each write as an event.
type eventWriter struct {
	log      hclog.Logger
	endpoint string
}

// Write implements io.Writer.
func (w eventWriter) Write(b []byte) (n int, err error) {
	event.EndpointError.Error(w.log, "endpoint", w.endpoint, "message", strings.TrimSpace(string(b)))
	return len(b), nil
}
