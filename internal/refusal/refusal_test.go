package refusal

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWrite(t *testing.T) {
	w := httptest.NewRecorder()
	New(Overloaded, "queue of %s is full", "a").WithRetryAfter(1500*time.Millisecond).Write(w, "r1")
	assert.Equal(t, 429, w.Code)
	assert.Equal(t, "2", w.Header().Get("Retry-After"))
	var body struct {
		Error map[string]any `json:"error"`
	}
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	assert.Equal(t, map[string]any{
		"code": "overloaded", "message": "queue of a is full", "requestId": "r1",
		"notRun": true, "retryAfterMillis": 1500.0,
	}, body.Error)
}

func TestRanDoesNotClaimNotRun(t *testing.T) {
	assert.False(t, NewMayHaveRun(OutcomeUnknown, "connection lost").NotRun)
}
