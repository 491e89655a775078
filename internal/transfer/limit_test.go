package transfer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimitGrowsWithWhatHasArrived(t *testing.T) {
	limit := Limit{Begin: 600 * time.Millisecond}
	for _, c := range []struct {
		elapsed  time.Duration
		received int64
		left     time.Duration
	}{
		{0, 0, 600 * time.Millisecond},
		{500 * time.Millisecond, 0, 100 * time.Millisecond},
		{time.Second, 0, 0},
		{time.Second, 1, 0},
		{time.Second, minRate, 600 * time.Millisecond},
		{1500 * time.Millisecond, minRate, 100 * time.Millisecond},
		{maxDuration - time.Millisecond, 1 << 30, time.Millisecond},
		{maxDuration, 1 << 30, 0},
	} {
		assert.Equal(t, c.left, limit.left(c.elapsed, c.received), "%d bytes after %s", c.received, c.elapsed)
	}
}

// respond makes a call that write responds to and returns the error of reading the body.
func respond(t *testing.T, limit Limit, write func(w http.ResponseWriter, r *http.Request)) error {
	server := httptest.NewServer(http.HandlerFunc(write))
	defer server.Close()
	outer, total := Start(t.Context(), time.Now)
	ctx, transfer, stop := limit.Start(outer, time.Now)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	response, err := server.Client().Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(Reader(ctx, response.Body))
	assert.Equal(t, total.Received(), transfer.Received(), "a transfer reports to the one that contains it")
	return err
}

func TestLargeBodyMayTakeLongerThanBegin(t *testing.T) {
	limit := Limit{Begin: 300 * time.Millisecond}
	assert.NoError(t, respond(t, limit, func(w http.ResponseWriter, _ *http.Request) {
		for range 10 {
			_, _ = w.Write(make([]byte, minRate))
			w.(http.Flusher).Flush()
			time.Sleep(limit.Begin / 5)
		}
	}))
}

func TestResponseThatIsTooSlowIsCutOff(t *testing.T) {
	limit := Limit{Begin: 100 * time.Millisecond}
	for name, write := range map[string]func(w http.ResponseWriter, r *http.Request){
		"no header": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"stalled body": func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(make([]byte, 4*minRate))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
		"dripping body": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				_, _ = w.Write([]byte{0})
				w.(http.Flusher).Flush()
				time.Sleep(time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, respond(t, limit, write), errTooSlow)
		})
	}
}

func TestCanceledCallEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	limited, _, stop := Limit{Begin: time.Hour}.Start(ctx, time.Now)
	defer stop()
	cancel()
	<-limited.Done()
	assert.ErrorIs(t, limited.Err(), context.Canceled)
}
