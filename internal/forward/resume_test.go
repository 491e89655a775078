package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCallerThatResumesMissesNoEvent guards against a stream that lacks the events between the last one
// that the caller has and the first one of the upstream.
func TestCallerThatResumesMissesNoEvent(t *testing.T) {
	var calls atomic.Int64
	either := func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		assert.Equal(t, "2", r.Header.Get("After"))
		if calls.Add(1) == 1 {
			_, _ = io.WriteString(w, "id: 4\ndata: piece 4\n\n")
			return
		}
		_, _ = io.WriteString(w, completeStream(4))
	}
	f := newFixture(t, resumable, either, either)
	first := f.request
	f.request = func(h *http.Request) *Request {
		r := first(h)
		r.After, r.Resumes = 2, true
		return r
	}
	response, err := f.get(t.Context())
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", string(body))
}

// TestCallerThatResumesAndGetsNoEventGetsAnError guards against a whole request that gets no byte because
// no event that its caller lacks was received. It is charged, as the upstream has run it.
func TestCallerThatResumesAndGetsNoEventGetsAnError(t *testing.T) {
	lost := func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) }
	late := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	send := func(stream string, end upstream) upstream {
		return func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, stream)
			_ = http.NewResponseController(w).Flush()
			end(w, r)
		}
	}
	const had, gap = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", "id: 4\ndata: piece 4\n\n"
	for _, tt := range []struct {
		name      string
		upstreams []upstream
		status    int
	}{
		{"lost after events that the caller has", []upstream{send(had, lost)}, http.StatusBadGateway},
		{"a gap before the first event", []upstream{send(gap, lost)}, http.StatusBadGateway},
		{"a gap after events that the caller has", []upstream{send(had+gap, lost)}, http.StatusBadGateway},
		{"lost twice", []upstream{send(had, lost), send(gap, lost)}, http.StatusBadGateway},
		{"silent until the deadline", []upstream{send(had, late)}, http.StatusGatewayTimeout},
		{"an error of the next upstream", []upstream{
			send(had, lost), answer(http.StatusInternalServerError, nil),
		}, http.StatusInternalServerError},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			next := func(w http.ResponseWriter, r *http.Request) {
				tt.upstreams[calls.Add(1)-1](w, r)
			}
			once := resumable
			once.MaxAttempts, once.Timeout = len(tt.upstreams), time.Second
			f := newFixture(t, once, next, next)
			f.metered(1000, 100, 100, 4)
			first := f.request
			f.request = func(h *http.Request) *Request {
				r := first(h)
				r.After, r.Resumes = 2, true
				return r
			}
			response, err := f.get(t.Context())
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, tt.status, response.StatusCode)
			assert.NotEqual(t, "text/event-stream", response.Header.Get("Content-Type"))
			assert.EqualValues(t, len(tt.upstreams), calls.Load())
			require.NoError(t, f.wallet.Close(context.Background()))
			assert.EqualValues(t, 100, f.ledger.budget("parish").Settled)
		})
	}
}
