package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/route"
)

// endUpstream stops the server that handles a call, as the crash of its process does.
func (f *fixture) endUpstream(w http.ResponseWriter, r *http.Request) {
	for _, s := range f.servers {
		if s.Listener.Addr().String() == fmt.Sprint(r.Context().Value(http.LocalAddrContextKey)) {
			_ = s.Listener.Close()
		}
	}
	resetConnection(w)
}

// withParts makes the following requests carry the parts that their query lists.
func (f *fixture) withParts() {
	without := f.request
	f.request = func(h *http.Request) *Request {
		r := without(h)
		for _, id := range strings.Split(h.URL.Query().Get("parts"), ",") {
			r.Parts = append(r.Parts, Part{ID: id, Tokens: 100})
		}
		r.Customer = &route.Customer{ID: "parish"}
		return r
	}
}

// getParts sends a request with the parts, the last of which differs between requests.
func (f *fixture) getParts(parts string) (status int, header http.Header, body string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.server.URL+"/x?parts="+parts, nil)
	require.NoError(f.t, err)
	response, err := f.server.Client().Do(r)
	require.NoError(f.t, err)
	data, _ := io.ReadAll(response.Body) // fails if the response was cut off
	require.NoError(f.t, response.Body.Close())
	return response.StatusCode, response.Header, string(data)
}

// beginAnswer writes the beginning of a stream.
func beginAnswer(w http.ResponseWriter, r *http.Request) {
	sign(w, r)
	_, _ = io.WriteString(w, "id: 1\ndata: pi")
	_ = http.NewResponseController(w).Flush()
}

// TestPromptPartThatCrashesUpstreamsIsStopped guards against requests that crash one upstream after the other because they share a part of their prompts.
func TestPromptPartThatCrashesUpstreamsIsStopped(t *testing.T) {
	const upstreamCount = 30
	var mu sync.Mutex
	ran := make(map[string]int) // by URI
	var f *fixture
	run := func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.RequestURI, "poison") {
			events(3, nil)(w, r)
			return
		}
		mu.Lock()
		ran[r.RequestURI]++
		mu.Unlock()
		beginAnswer(w, r)
		f.endUpstream(w, r)
	}
	f = newFixture(t, resumable, slices.Repeat([]upstream{run}, upstreamCount)...)
	f.withParts()
	for i := range 20 {
		parts := fmt.Sprintf("shared,poison,own%d", i)
		status, header, _ := f.getParts(parts)
		if ran["/x?parts="+parts] > 0 {
			assert.Equal(t, http.StatusBadGateway, status, "a request that has run")
		} else {
			assert.Equal(t, http.StatusServiceUnavailable, status, "a request that has not run")
			assert.NotEmpty(t, header.Get("Retry-After"))
		}
		status, _, body := f.getParts(fmt.Sprintf("shared,other,own-sound%d", i))
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, completeStream(3), body)
	}
	crashes := 0
	for _, n := range ran {
		crashes += n
	}
	assert.LessOrEqual(t, crashes, crashLimit+1)
	status, _, _ := f.getParts("shared,poison,last")
	assert.Equal(t, http.StatusServiceUnavailable, status)
}

// TestLostAnswersConvictNoPart guards against the refusal of a part because connections are lost to upstreams that run on.
func TestLostAnswersConvictNoPart(t *testing.T) {
	var runs atomic.Int64
	f := newFixture(t, resumable, slices.Repeat([]upstream{func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		beginAnswer(w, r)
		resetConnection(w)
	}}, 12)...)
	f.withParts()
	for i := range 20 {
		status, _, _ := f.getParts(fmt.Sprintf("shared,unlucky,own%d", i))
		assert.Equal(t, http.StatusBadGateway, status)
	}
	assert.GreaterOrEqual(t, runs.Load(), int64(20))
}

// TestWaitingRequestIsCancelledOnceItsPartIsQuarantined guards against requests that crash upstreams although they were known to when these had not begun to answer.
func TestWaitingRequestIsCancelledOnceItsPartIsQuarantined(t *testing.T) {
	waiting, cancelled := make(chan struct{}), make(chan struct{})
	var f *fixture
	f = newFixture(t, resumable, slices.Repeat([]upstream{func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.RequestURI, "waits") {
			close(waiting)
			<-r.Context().Done()
			close(cancelled)
			return
		}
		beginAnswer(w, r)
		f.endUpstream(w, r)
	}}, 12)...)
	f.withParts()
	result := make(chan int, 1)
	go func() {
		status, _, _ := f.getParts("shared,poison,waits")
		result <- status
	}()
	<-waiting
	for i := range crashLimit {
		f.getParts(fmt.Sprintf("shared,poison,own%d", i))
	}
	<-cancelled
	assert.Equal(t, http.StatusBadGateway, <-result)
}

// endWithConnection returns an upstream whose response has neither a length nor chunks and ends with its connection.
func endWithConnection(body string) upstream {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSignature: seal\r\nRequest: "+r.Header.Get("Request")+"\r\n\r\n"+body)
		_ = c.Close()
	}
}

// TestAnswersThatEndWithTheirConnection guards against a truncated answer that looks complete, and against the loss of a complete one.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	tests := []struct {
		name   string
		route  route.Route
		body   string
		status int
		whole  bool
	}{
		{"answer", idempotent, "whole answer", http.StatusOK, true},
		{"stream", resumable, completeStream(3), http.StatusOK, true},
		{"stream that ends inside an event", resumable, completeStream(2) + "id: 3\ndata: pi", http.StatusOK, false},
		{"stream without an event", resumable, "", http.StatusBadGateway, true},
		{"stream that ends inside its first event", resumable, "id: 1\nda", http.StatusBadGateway, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.route.MaxAttempts = 1
			f := newFixture(t, tt.route, endWithConnection(tt.body))
			response, err := f.get(t.Context())
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, tt.status, response.StatusCode)
			assert.Equal(t, tt.whole, err == nil, "%v", err)
			if tt.whole && tt.status == http.StatusOK {
				assert.Equal(t, tt.body, string(body))
			}
		})
	}
}
