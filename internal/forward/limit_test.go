package forward

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/allowance"
)

// TestLimitIsObeyedAndLifted checks which responses of the only upstream, which names a limit,
// have the next request refused at once and with a Retry-After of that limit.
func TestLimitIsObeyedAndLifted(t *testing.T) {
	tests := []struct {
		name    string
		limit   string
		answer  upstream
		refused bool
	}{
		{"none", "", succeed, false},
		{"named", "0.5", succeed, true},
		{"named by an upstream that rejects", "0.5", reject, true},
		{"zero", "0", succeed, true},
		{"infinite", "Inf", succeed, false},
		{"unreadable", "some", succeed, false},
		{"of another upstream", "0.5", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Wrong-Upstream", "1")
			reject(w, r)
		}, false},
		{"of another request", "0.5", func(w http.ResponseWriter, r *http.Request) {
			sign(w, r)
			w.Header().Set("Request", "another")
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs atomic.Int64
			f := newFixture(t, idempotent, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				if tt.limit != "" {
					w.Header().Set("Limit", tt.limit)
				}
				tt.answer(w, r)
			})
			get := func() *http.Response {
				response, err := f.get(t.Context())
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, response.Body)
				require.NoError(t, response.Body.Close())
				return response
			}
			get()
			second := get()
			if !tt.refused {
				assert.EqualValues(t, 2, runs.Load())
				return
			}
			assert.EqualValues(t, 1, runs.Load())
			assert.Equal(t, http.StatusServiceUnavailable, second.StatusCode)
			seconds, err := strconv.ParseFloat(second.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			assert.GreaterOrEqual(t, seconds, 1.5, "the next request is allowed after 2 s or later")
			require.Len(t, f.limits, 1)
			assert.True(t, f.limits[0].Statement.Named)
		})
	}
}

// TestLimitIsLiftedByTheUpstreamOnly guards against a limit that is lifted by a response that
// does not come from the upstream.
func TestLimitIsLiftedByTheUpstreamOnly(t *testing.T) {
	var calls atomic.Int64
	f := newFixture(t, idempotent, func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			w.Header().Set("Limit", "1000")
			succeed(w, r)
		case 2:
			w.Header().Set("Request", r.Header.Get("Request"))
			w.WriteHeader(http.StatusBadGateway)
		default:
			succeed(w, r)
		}
	})
	for calls.Load() < 2 {
		response, err := f.get(t.Context())
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	assert.Equal(t, allowance.Statement{Named: true, PerSecond: 1000}, f.limits[0].Statement)
	assert.Len(t, f.limits, 1)
	for calls.Load() < 3 {
		response, err := f.get(t.Context())
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.Len(t, f.limits, 2)
	assert.False(t, f.limits[1].Statement.Named)
}
