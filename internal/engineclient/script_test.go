package engineclient_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/engineclient"
	fake "example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
)

// newScriptedUpstream starts a server that responds to runs with answer and to
// resumptions with status 404, and returns it as an upstream.
func newScriptedUpstream(t *testing.T, answer http.HandlerFunc) configuration.Upstream {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{engine.HeaderRequest, engine.HeaderAttempt} {
			w.Header().Set(name, r.Header.Get(name))
		}
		if strings.HasPrefix(r.URL.Path, engine.PathStreams) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	return configuration.Upstream{ID: "scripted", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// TestMalformedStreams plays streams that break the protocol. What comes before
// the break is delivered, and the answer is never taken as whole.
func TestMalformedStreams(t *testing.T) {
	const (
		one    = "id: 1\n" + `data: {"id":"a-s","choices":[{"delta":{"content":"one "}}]}` + "\n\n"
		two    = "id: 2\n" + `data: {"id":"a-s","choices":[{"delta":{"content":"two "}}]}` + "\n\n"
		stop   = `data: {"id":"a-s","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
		done   = "data: [DONE]\n\n"
		usage1 = `data: {"id":"a-s","choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}` + "\n\n"
	)
	tests := []struct {
		name, script, text string
		want               error // nil for a complete answer
	}{
		{"whole", one + two + stop + done, "one two ", nil},
		{"whole, finish with the last token", strings.Replace(one, `"}}]`, `"},"finish_reason":"stop"}]`, 1) + done, "one ", nil},
		{"no token", stop + done, "", nil},
		{"nothing", "", "", engineclient.ErrResponseLost},
		{"no last event", one + stop, "one ", engineclient.ErrResponseLost},
		{"no finish reason", one + done, "one ", engineclient.ErrResponseLost},
		{"token after the finish", one + stop + two + done, "one ", engineclient.ErrResponseLost},
		{"text without a number", one + strings.TrimPrefix(two, "id: 2\n") + stop + done, "one ", engineclient.ErrResponseLost},
		{"number that is none", one + strings.Replace(two, "id: 2", "id: two", 1) + stop + done, "one ", engineclient.ErrResponseLost},
		{"too many tokens in the usage", stop + usage1 + done, "", engineclient.ErrResponseLost},
		{"second choice", one + strings.Replace(two, `{"delta"`, `{"index":1,"delta"`, 1) + stop + done, "one ", engineclient.ErrResponseLost},
		{"two choices", one + strings.Replace(two, `}]}`, `},{"delta":{"content":"2 "}}]}`, 1) + stop + done, "one ", engineclient.ErrResponseLost},
		{"error in the stream", one + `data: {"id":"a-s","error":{"message":"out of memory"}}` + "\n\n", "one ", engineclient.ErrResponseLost},
		{"not JSON", one + "data: {\n\n", "one ", engineclient.ErrResponseLost},
		{"no attempt", one + strings.Replace(two, `"id":"a-s",`, "", 1), "one ", engineclient.ErrWrongAttempt},
		{"another attempt at the end", one + strings.Replace(stop, "a-s", "a-t", 1) + done, "one ", engineclient.ErrWrongAttempt},
		{"another attempt, escaped", one + strings.Replace(two, "a-s", `a-\u0074`, 1), "one ", engineclient.ErrWrongAttempt},
	}
	b := newHarness(t, fake.Settings{})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b.upstream = newScriptedUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, test.script) })
			a := b.run(t, newRun("s", "p", 10))
			assert.Equal(t, test.text, a.text)
			if test.want == nil {
				require.NoError(t, a.err)
				assert.Equal(t, engine.FinishStop, a.finish)
				return
			}
			require.ErrorIs(t, a.err, test.want)
			require.NotErrorIs(t, a.err, engineclient.ErrCrashed)
			assert.Empty(t, a.finish)
		})
	}
}

func TestStatusOfARefusal(t *testing.T) {
	tests := []struct {
		status  int
		promise string
		foreign string // header with the wrong value
		want    error
	}{
		{http.StatusServiceUnavailable, "true", "", engineclient.ErrNotRun},
		{http.StatusTooManyRequests, "true", "", engineclient.ErrNotRun},
		{http.StatusServiceUnavailable, "", "", engineclient.ErrResponseLost},
		{http.StatusServiceUnavailable, "maybe", "", engineclient.ErrResponseLost},
		{http.StatusTooManyRequests, "", "", engineclient.ErrResponseLost},
		{http.StatusInternalServerError, "true", "", engineclient.ErrResponseLost},
		{http.StatusRequestTimeout, "", "", engineclient.ErrResponseLost},
		{http.StatusFound, "", "", engineclient.ErrResponseLost},
		{http.StatusBadRequest, "", "", engineclient.ErrRefused},
		{http.StatusUnprocessableEntity, "", "", engineclient.ErrRefused},
		{http.StatusServiceUnavailable, "true", engine.HeaderAttempt, engineclient.ErrWrongAttempt},
		{http.StatusServiceUnavailable, "true", engine.HeaderRequest, engineclient.ErrWrongAttempt},
		{http.StatusBadRequest, "", engine.HeaderAttempt, engineclient.ErrWrongAttempt},
		{http.StatusOK, "", engine.HeaderRequest, engineclient.ErrWrongAttempt},
	}
	b := newHarness(t, fake.Settings{})
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d %q %s", test.status, test.promise, test.foreign), func(t *testing.T) {
			b.upstream = newScriptedUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(engine.HeaderNotRun, test.promise)
				if test.foreign != "" {
					w.Header().Set(test.foreign, "other")
				}
				w.WriteHeader(test.status)
			})
			_, err := b.client.Start(t.Context(), b.upstream, newRun("s", "p", 10))
			require.ErrorIs(t, err, test.want)
			certain := test.want == engineclient.ErrNotRun || test.want == engineclient.ErrRefused
			assert.Equal(t, !certain, engineclient.MayHaveRun(err))
		})
	}
}

func TestResponseOfACallIsLimited(t *testing.T) {
	b := newHarness(t, fake.Settings{})
	b.upstream = newScriptedUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"slots":1}`, strings.Repeat(" ", 17<<20))
	})
	_, err := b.client.Load(t.Context(), b.upstream)
	require.ErrorIs(t, err, engineclient.ErrResponseLost)
}

// TestTakeOverIsNeverNotRun checks that a failed Resume reports that the request
// may have run, even if Resume sent nothing: another router has sent the run
// before.
func TestTakeOverIsNeverNotRun(t *testing.T) {
	b := newHarness(t, fake.Settings{})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := b.client.Resume(ended, b.upstream, newRun("s", "p", 10), 1)
	require.ErrorIs(t, err, engineclient.ErrResponseLost)
	assert.True(t, engineclient.MayHaveRun(err))
	require.NoError(t, b.client.Close())
	_, err = b.client.Resume(t.Context(), b.upstream, newRun("s", "p", 10), 1)
	require.ErrorIs(t, err, engineclient.ErrResponseLost)
	assert.True(t, engineclient.MayHaveRun(err))
}
