package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pauseAt is a writer of a log that returns from the first line with the given text at the given time.
type pauseAt struct {
	text  string
	until time.Time
	ended atomic.Bool
}

// Write implements io.Writer.
func (p *pauseAt) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(p.text)) {
		time.Sleep(time.Until(p.until))
		p.ended.Store(true)
	}
	return len(line), nil
}

// TestErrorResponseIsWrittenLate guards against a whole request that gets no byte because its error
// response is written more than writeGrace after its end, as on a VM that was not run for a while.
func TestErrorResponseIsWrittenLate(t *testing.T) {
	tests := []struct {
		name   string
		serve  upstream
		pause  string
		closed bool
		status int
	}{
		{"502", func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }, "request ended", false, http.StatusBadGateway},
		{"503", reject, "request ended", false, http.StatusServiceUnavailable},
		{"504", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "request ended", false, http.StatusGatewayTimeout},
		{"refusal", succeed, "request not forwarded", true, http.StatusServiceUnavailable},
		{"error of the upstream", answer(http.StatusInternalServerError, nil), "attempt failed", false, http.StatusInternalServerError},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, nonIdempotent, tt.serve)
			if tt.closed {
				f.close("")
			}
			pause := &pauseAt{text: tt.pause}
			f.forwarder.settings.Log = hclog.New(&hclog.LoggerOptions{Output: pause})
			request := f.request
			f.request = func(h *http.Request) *Request {
				r := request(h)
				r.Deadline = r.Arrived.Add(100 * time.Millisecond)
				pause.until = r.Deadline.Add(writeGrace + 100*time.Millisecond)
				return r
			}
			response, err := f.get(t.Context())
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, tt.status, response.StatusCode)
			assert.True(t, pause.ended.Load())
		})
	}
}

// TestWriteOfErrorResponseIsBounded guards against a caller that does not read and holds its request
// until the end of a long deadline, although the response is an error.
func TestWriteOfErrorResponseIsBounded(t *testing.T) {
	for name, serve := range map[string]upstream{
		"failed":  func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) },
		"refused": nil,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nonIdempotent, serve)
			if serve == nil {
				f.close("")
			}
			w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			h := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
			r := f.request(h)
			r.Deadline = r.Arrived.Add(time.Hour)
			f.forwarder.Serve(w, h, r)
			assert.GreaterOrEqual(t, w.Code, http.StatusBadGateway)
			assert.WithinRange(t, w.deadline, r.Arrived, time.Now().Add(errorWriteTimeout))
		})
	}
}
