// Package enginetest is the conformance test suite for model engines.
//
// The suite calls an engine at an address over plain HTTP, so that it can test
// any implementation. The fault cases run only if the target can inject faults.
//
// # Usage
//
//	func TestEngine(t *testing.T) {
//		enginetest.Run(t, enginetest.Target{Address: address, Model: "model"})
//	}
package enginetest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/eventstream"
	"example.org/lagoonfork/pkg/ident"
)

// callTimeout is the timeout of each HTTP call of the suite.
const callTimeout = 30 * time.Second

// Fault is a fault that a target can inject into its engine.
type Fault string

// Faults that the suite uses.
const (
	// FaultNotRun makes the engine refuse requests, with HeaderNotRun, without
	// running them.
	FaultNotRun Fault = "not run"
	// FaultSilence stops all traffic on the open connections permanently,
	// without closing them. New connections work.
	FaultSilence Fault = "silence"
	// FaultCrash makes the engine crash. Ending the fault restarts it.
	FaultCrash Fault = "crash"
)

// Target describes an engine under test.
type Target struct {
	Address netip.AddrPort
	Model   ident.Model
	// ChecksFencing is set if the engine refuses outdated fencing numbers.
	ChecksFencing bool
	// Prompt returns a prompt whose answer has at least n tokens. If nil, a
	// default prompt is used.
	Prompt func(n int) string
	// Inject injects a fault and returns a function that ends it. If nil, the
	// fault cases are skipped.
	Inject func(t *testing.T, f Fault) (end func())
}

// Run runs the suite against the target.
func Run(t *testing.T, target Target) {
	s := &suite{Target: target, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	if s.Prompt == nil {
		s.Prompt = func(n int) string { return fmt.Sprintf("Count from 1 to %d in words.", n) }
	}
	t.Run("answers", s.answers)
	t.Run("resumption", s.resumption)
	t.Run("cancellation", s.cancellation)
	t.Run("refusals", s.refusals)
	t.Run("reports", s.reports)
	t.Run("cache", s.cache)
	t.Run("orders", s.orders)
	if target.Inject != nil {
		t.Run("faults", s.faults)
	}
}

// suite holds the target and the state that the cases share.
type suite struct {
	Target
	client  *http.Client
	counter atomic.Int64
}

// dispatch is one request sent to the engine under one attempt.
type dispatch struct {
	request, attempt string
	prompt           string
	maxTokens        int
	stream           bool
	cacheKey         string
}

func (s *suite) dispatch(prompt string, maxTokens int) dispatch {
	n := s.counter.Add(1)
	return dispatch{
		request:   fmt.Sprintf("request/%d", n), // contains a character that must be escaped in a path
		attempt:   fmt.Sprintf("attempt-%d", n),
		prompt:    prompt,
		maxTokens: maxTokens,
		stream:    true,
	}
}

func (d dispatch) header() http.Header {
	h := http.Header{}
	h.Set(engine.HeaderRequest, d.request)
	h.Set(engine.HeaderAttempt, d.attempt)
	h.Set(engine.HeaderPriority, "1")
	if d.cacheKey != "" {
		h.Set(engine.HeaderCacheKey, d.cacheKey)
	}
	return h
}

func (s *suite) body(d dispatch) []byte {
	type options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	body := struct {
		Model     ident.Model      `json:"model"`
		Messages  []engine.Message `json:"messages"`
		MaxTokens int              `json:"max_tokens"`
		Stream    bool             `json:"stream"`
		Options   *options         `json:"stream_options,omitempty"`
	}{s.Model, []engine.Message{{Role: "user", Content: d.prompt}}, d.maxTokens, d.stream, nil}
	if d.stream {
		body.Options = &options{IncludeUsage: true}
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: a struct of strings and numbers
	}
	return data
}

func (s *suite) call(t *testing.T, method, path string, header http.Header, body []byte) *http.Response {
	t.Helper()
	response, err := s.tryCall(t, method, path, header, body)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func (s *suite) tryCall(t *testing.T, method, path string, header http.Header, body []byte) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address.String()+path, bytes.NewReader(body))
	require.NoError(t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	return s.client.Do(request)
}

func (s *suite) start(t *testing.T, d dispatch) *http.Response {
	t.Helper()
	response := s.call(t, http.MethodPost, engine.PathCompletions, d.header(), s.body(d))
	requireEcho(t, response, d)
	return response
}

func (s *suite) resume(t *testing.T, d dispatch, after int) *http.Response {
	t.Helper()
	h := d.header()
	h.Set(engine.HeaderLastEventID, strconv.Itoa(after))
	response := s.call(t, http.MethodGet, streamPath(d), h, nil)
	requireEcho(t, response, d)
	return response
}

func streamPath(d dispatch) string { return engine.PathStreams + url.PathEscape(d.request) }

func requireEcho(t *testing.T, r *http.Response, d dispatch) {
	t.Helper()
	require.Equal(t, d.request, r.Header.Get(engine.HeaderRequest), "request in the response")
	require.Equal(t, d.attempt, r.Header.Get(engine.HeaderAttempt), "attempt in the response")
}

// stream is the part of a streamed answer that was received.
type stream struct {
	tokens []string
	finish string
	usage  *engine.Usage
	done   bool
}

func (s stream) text() string { return strings.Join(s.tokens, "") }

// read reads a stream to its end, or up to maxTokens tokens if maxTokens is
// positive. It checks that the token numbers continue from after and that every
// chunk belongs to the attempt.
func read(t *testing.T, response *http.Response, d dispatch, after, maxTokens int) (s stream) {
	t.Helper()
	require.Equal(t, http.StatusOK, response.StatusCode)
	r := eventstream.NewReader(response.Body)
	for maxTokens <= 0 || len(s.tokens) < maxTokens {
		e, err := r.Next()
		if err == io.EOF {
			return s
		}
		require.NoError(t, err)
		require.False(t, s.done, "event after the last one")
		if string(e.Data) == engine.Done {
			s.done = true
			continue
		}
		var c engine.Chunk
		require.NoError(t, engine.DecodeChunk(e.Data, &c))
		require.Equal(t, d.attempt, c.ID, "attempt in a chunk")
		s.add(t, e, c, after)
	}
	return s
}

func (s *stream) add(t *testing.T, e eventstream.Event, c engine.Chunk, after int) {
	t.Helper()
	if c.Usage != nil {
		s.usage = c.Usage
	}
	text := ""
	for _, choice := range c.Choices {
		text += choice.Delta.Content
		if choice.FinishReason != nil {
			s.finish = *choice.FinishReason
		}
	}
	if e.ID == nil {
		require.Empty(t, text, "text without a token number")
		return
	}
	require.Equal(t, strconv.Itoa(after+len(s.tokens)+1), string(e.ID), "token number")
	s.tokens = append(s.tokens, text)
}

// requireComplete checks that the stream has reached its last event, with a
// finish reason and with a usage that counts all tokens from the first.
func (s stream) requireComplete(t *testing.T, after int) {
	t.Helper()
	require.True(t, s.done, "last event")
	require.Contains(t, []string{engine.FinishStop, engine.FinishLength}, s.finish)
	require.NotNil(t, s.usage, "usage")
	require.EqualValues(t, after+len(s.tokens), s.usage.CompletionTokens)
	require.Equal(t, s.usage.PromptTokens+s.usage.CompletionTokens, s.usage.TotalTokens)
}
