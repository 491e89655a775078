package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
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

// TestPromptPartThatCrashesUpstreamsIsStopped guards against requests that crash one upstream after the other because they share a part of their prompts.
func TestPromptPartThatCrashesUpstreamsIsStopped(t *testing.T) {
	const upstreamCount = 30
	var crashes atomic.Int64
	var f *fixture
	run := func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.RequestURI, "poison") {
			events(3, nil)(w, r)
			return
		}
		crashes.Add(1)
		sign(w, r)
		_, _ = io.WriteString(w, "id: 1\ndata: pi")
		_ = http.NewResponseController(w).Flush()
		f.endUpstream(w, r)
	}
	upstreams := make([]upstream, upstreamCount)
	for i := range upstreams {
		upstreams[i] = run
	}
	f = newFixture(t, resumable, upstreams...)
	f.withParts()
	get := func(parts string) (status int, body string) {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.server.URL+"/x?parts="+parts, nil)
		require.NoError(t, err)
		response, err := f.server.Client().Do(r)
		require.NoError(t, err)
		data, _ := io.ReadAll(response.Body) // fails if the response was cut off
		require.NoError(t, response.Body.Close())
		return response.StatusCode, string(data)
	}
	for i := range 20 {
		get(fmt.Sprintf("shared,poison,own%d", i))
		status, body := get(fmt.Sprintf("shared,other,own-sound%d", i))
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, completeStream(3), body)
	}
	assert.LessOrEqual(t, crashes.Load(), int64(crashLimit+1))
	status, _ := get("shared,poison,last")
	assert.Equal(t, http.StatusServiceUnavailable, status)
}
