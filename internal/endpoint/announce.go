package endpoint

import "net/http"

// announceEnd returns a handler whose responses tell callers that the connection ends after them, if
// that is known when they begin. The next request would cross the end of the connection.
func announceEnd(h http.Handler, draining func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &announcer{ResponseWriter: w, draining: draining}
		h.ServeHTTP(a, r)
		a.begin()
	})
}

// announcer is a response of announceEnd.
type announcer struct {
	http.ResponseWriter
	draining func() bool
	begun    bool
}

// begin must be called before the header is written.
func (a *announcer) begin() {
	if !a.begun && a.draining() {
		a.Header().Set("Connection", "close")
	}
	a.begun = true
}

// Unwrap is for http.ResponseController.
func (a *announcer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (a *announcer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.begin()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *announcer) Write(b []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(b)
}

// FlushError is for http.ResponseController.
func (a *announcer) FlushError() error {
	a.begin()
	return http.NewResponseController(a.ResponseWriter).Flush()
}
