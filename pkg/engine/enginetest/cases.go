package enginetest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/engine"
)

// Limits of polling for reports, which lag behind the state they describe.
const (
	reportDelay = 10 * time.Second     // time within which a change must be reported
	reportPoll  = 5 * time.Millisecond // polling interval
)

func (s *suite) answers(t *testing.T) {
	for _, maxTokens := range []int{1, 2, 30} {
		t.Run("streamed up to "+strconv.Itoa(maxTokens), func(t *testing.T) {
			d := s.dispatch(s.Prompt(maxTokens), maxTokens)
			got := read(t, s.start(t, d), d, 0, 0)
			got.requireComplete(t, 0)
			assert.LessOrEqual(t, len(got.tokens), maxTokens)
			assert.LessOrEqual(t, int(got.usage.PromptTokens), len(s.body(d)), "a token has a byte or more")
		})
	}
	t.Run("whole", func(t *testing.T) {
		d := s.dispatch(s.Prompt(5), 5)
		d.stream = false
		response := s.start(t, d)
		var c engine.Completion
		require.NoError(t, json.NewDecoder(response.Body).Decode(&c))
		assert.Equal(t, d.attempt, c.ID)
		require.Len(t, c.Choices, 1)
		assert.NotEmpty(t, c.Choices[0].Message.Content)
		require.NotNil(t, c.Usage)
		assert.LessOrEqual(t, int(c.Usage.CompletionTokens), 5)
	})
}

func (s *suite) resumption(t *testing.T) {
	const length = 12
	d := s.dispatch(s.Prompt(length), length)
	full := read(t, s.start(t, d), d, 0, 0)
	full.requireComplete(t, 0)
	for _, after := range []int{0, 1, len(full.tokens) - 1, len(full.tokens)} {
		t.Run("ended run after "+strconv.Itoa(after), func(t *testing.T) {
			rest := read(t, s.resume(t, d, after), d, after, 0)
			rest.requireComplete(t, after)
			assert.Equal(t, full.tokens[after:], append([]string{}, rest.tokens...))
			assert.Equal(t, full.finish, rest.finish)
		})
	}
	t.Run("run whose reader is gone", func(t *testing.T) {
		d := s.dispatch(s.Prompt(length), length)
		response := s.start(t, d)
		head := read(t, response, d, 0, 2)
		require.NoError(t, response.Body.Close())
		rest := read(t, s.resume(t, d, 2), d, 2, 0)
		rest.requireComplete(t, 2)
		again := read(t, s.resume(t, d, 0), d, 0, 0)
		assert.Equal(t, again.text(), head.text()+rest.text())
	})
	t.Run("run with two readers", func(t *testing.T) {
		d := s.dispatch(s.Prompt(length), length)
		first := s.start(t, d)
		second := read(t, s.resume(t, d, 0), d, 0, 0)
		assert.Equal(t, second.text(), read(t, first, d, 0, 0).text())
	})
	t.Run("by another attempt", func(t *testing.T) {
		other := d
		other.attempt = "taking-over-" + d.attempt
		rest := read(t, s.resume(t, other, 3), other, 3, 0)
		assert.Equal(t, full.tokens[3:], rest.tokens)
	})
	t.Run("unknown run", func(t *testing.T) {
		unknown := s.dispatch("", 1)
		assert.Equal(t, http.StatusNotFound, s.resume(t, unknown, 0).StatusCode)
	})
	for _, bad := range []string{"", "-1", "x"} {
		t.Run("bad token number "+strconv.Quote(bad), func(t *testing.T) {
			h := d.header()
			h.Set(engine.HeaderLastEventID, bad)
			assert.Equal(t, http.StatusBadRequest, s.call(t, http.MethodGet, streamPath(d), h, nil).StatusCode)
		})
	}
}

func (s *suite) cancellation(t *testing.T) {
	const length = 100_000
	d := s.dispatch(s.Prompt(length), length)
	response := s.start(t, d)
	read(t, response, d, 0, 1)
	status := s.call(t, http.MethodDelete, streamPath(d), nil, nil).StatusCode
	require.Equal(t, http.StatusNoContent, status)
	_, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err, "a cancelled answer ends")
	require.EventuallyWithT(t, func(c *assert.CollectT) {
		assert.Equal(c, http.StatusGone, s.resume(t, d, 1).StatusCode)
	}, reportDelay, reportPoll)
	unknown := s.call(t, http.MethodDelete, streamPath(s.dispatch("", 1)), nil, nil).StatusCode
	assert.Equal(t, http.StatusNotFound, unknown)
}

func (s *suite) refusals(t *testing.T) {
	model, err := json.Marshal(s.Model)
	require.NoError(t, err)
	tests := []struct {
		name, body string
		status     int
	}{
		{"empty", ``, http.StatusBadRequest},
		{"not JSON", `{"model":`, http.StatusBadRequest},
		{"no messages", `{"model":` + string(model) + `,"max_tokens":1}`, http.StatusBadRequest},
		{"no tokens", `{"model":` + string(model) + `,"max_tokens":0,"messages":[{"role":"user","content":"x"}]}`, http.StatusBadRequest},
		{"negative tokens", `{"model":` + string(model) + `,"max_tokens":-5,"messages":[{"role":"user","content":"x"}]}`, http.StatusBadRequest},
		{"unknown model", `{"model":"no such model","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`, http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := s.dispatch("", 1)
			response := s.call(t, http.MethodPost, engine.PathCompletions, d.header(), []byte(test.body))
			requireEcho(t, response, d)
			assert.Equal(t, test.status, response.StatusCode)
			var body struct {
				Error struct{ Message string }
			}
			require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
			assert.NotEmpty(t, body.Error.Message)
			assert.Equal(t, http.StatusNotFound, s.resume(t, d, 0).StatusCode, "a refused request has no run")
		})
	}
}

func (s *suite) reports(t *testing.T) {
	t.Run("load", func(t *testing.T) {
		l := s.load(t)
		assert.Positive(t, l.Slots)
		assert.False(t, l.AsOf.IsZero())
		assert.False(t, l.Leaving)
	})
	t.Run("load follows the runs", func(t *testing.T) {
		const length = 100_000
		d := s.dispatch(s.Prompt(length), length)
		read(t, s.start(t, d), d, 0, 1)
		assert.EventuallyWithT(t, func(c *assert.CollectT) {
			l := s.load(t)
			assert.Equal(c, 1, l.Running)
			assert.Positive(c, l.RunningTokens)
		}, reportDelay, reportPoll)
		s.call(t, http.MethodDelete, streamPath(d), nil, nil)
		assert.EventuallyWithT(t, func(c *assert.CollectT) {
			assert.Zero(c, s.load(t).Running)
		}, reportDelay, reportPoll)
	})
	t.Run("models", func(t *testing.T) {
		l, err := engine.DecodeModels(s.call(t, http.MethodGet, engine.PathModels, nil, nil).Body)
		require.NoError(t, err)
		names := make([]string, len(l.Data))
		for i, m := range l.Data {
			names[i] = string(m.ID)
		}
		assert.Contains(t, names, string(s.Model))
	})
}

func (s *suite) load(t *testing.T) engine.Load {
	t.Helper()
	l, err := engine.DecodeLoad(s.call(t, http.MethodGet, engine.PathLoad, nil, nil).Body)
	require.NoError(t, err)
	return l
}

func (s *suite) cache(t *testing.T) {
	d := s.dispatch(s.Prompt(1), 1)
	d.cacheKey = "contract-" + d.attempt
	read(t, s.start(t, d), d, 0, 0)
	second := s.dispatch(d.prompt, 1)
	second.cacheKey = d.cacheKey
	got := read(t, s.start(t, second), second, 0, 0)
	require.NotNil(t, got.usage.Details)
	assert.Equal(t, got.usage.PromptTokens, got.usage.Details.CachedTokens)

	t.Run("events", func(t *testing.T) {
		var known []engine.CacheEvent
		require.EventuallyWithT(t, func(c *assert.CollectT) {
			known = s.events(t, 0)
			assert.True(c, slices.ContainsFunc(known, func(e engine.CacheEvent) bool {
				return e.Key == d.cacheKey && e.Kind == engine.CacheStored
			}))
		}, reportDelay, reportPoll)
		// The event of the second run may be reported later than that of the
		// first.
		known = append(known, s.events(t, known[len(known)-1].Sequence)...)
		all := s.events(t, 0)
		require.GreaterOrEqual(t, len(all), len(known))
		assert.Equal(t, known, all[:len(known)])
		assert.EventuallyWithT(t, func(c *assert.CollectT) {
			all = s.events(t, 0)
			assert.Empty(c, s.events(t, all[len(all)-1].Sequence))
		}, reportDelay, reportPoll)
		for i, e := range all[1:] {
			assert.Greater(t, e.Sequence, all[i].Sequence)
		}
		bad := s.call(t, http.MethodGet, engine.PathCacheEvents+"?after=x", nil, nil)
		assert.Equal(t, http.StatusBadRequest, bad.StatusCode)
	})
	t.Run("export and import", func(t *testing.T) {
		response := s.call(t, http.MethodPost, engine.PathCacheExport, nil, []byte(`{"key":"`+d.cacheKey+`"}`))
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		entry, err := engine.DecodeCacheEntry(bytes.NewReader(data))
		require.NoError(t, err)
		assert.Equal(t, got.usage.PromptTokens, entry.Tokens)
		assert.Equal(t, http.StatusNoContent, s.call(t, http.MethodPost, engine.PathCacheImport, nil, data).StatusCode)
		unknown := s.call(t, http.MethodPost, engine.PathCacheExport, nil, []byte(`{"key":"unknown"}`))
		assert.Equal(t, http.StatusNotFound, unknown.StatusCode)
		bad := s.call(t, http.MethodPost, engine.PathCacheImport, nil, []byte(`{}`))
		assert.Equal(t, http.StatusBadRequest, bad.StatusCode)
	})
}

func (s *suite) events(t *testing.T, after uint64) []engine.CacheEvent {
	t.Helper()
	path := engine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	events, err := engine.DecodeCacheEvents(s.call(t, http.MethodGet, path, nil, nil).Body)
	require.NoError(t, err)
	return events
}

func (s *suite) orders(t *testing.T) {
	stale := http.StatusNoContent
	if s.ChecksFencing {
		stale = http.StatusConflict
	}
	tests := []struct {
		name, body string
		status     int
	}{
		{"load a model", `{"fencingNumber":7,"kind":"loadModel","model":"ordered","version":"2"}`, http.StatusNoContent},
		{"the same again", `{"fencingNumber":7,"kind":"loadModel","model":"ordered","version":"2"}`, http.StatusNoContent},
		{"load an adapter", `{"fencingNumber":7,"kind":"loadAdapter","model":"ordered","version":"2","adapter":"a"}`, http.StatusNoContent},
		{"change role", `{"fencingNumber":8,"kind":"changeRole","role":"decode"}`, http.StatusNoContent},
		{"old number", `{"fencingNumber":7,"kind":"changeRole","role":"prefill"}`, stale},
		{"change role back", `{"fencingNumber":8,"kind":"changeRole","role":"mixed"}`, http.StatusNoContent},
		{"unload a model", `{"fencingNumber":9,"kind":"unloadModel","model":"ordered"}`, http.StatusNoContent},
		{"unknown kind", `{"fencingNumber":9,"kind":"explode"}`, http.StatusBadRequest},
		{"no model", `{"fencingNumber":9,"kind":"loadModel"}`, http.StatusBadRequest},
		{"no adapter", `{"fencingNumber":9,"kind":"loadAdapter","model":"m"}`, http.StatusBadRequest},
		{"unknown role", `{"fencingNumber":9,"kind":"changeRole","role":"x"}`, http.StatusBadRequest},
		{"not JSON", `{`, http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response := s.call(t, http.MethodPost, engine.PathOrders, nil, []byte(test.body))
			assert.Equal(t, test.status, response.StatusCode)
		})
	}
}

func (s *suite) faults(t *testing.T) {
	t.Run("not run", func(t *testing.T) {
		end := s.Inject(t, FaultNotRun)
		d := s.dispatch(s.Prompt(2), 2)
		response := s.start(t, d)
		assert.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, response.StatusCode)
		assert.Equal(t, "true", response.Header.Get(engine.HeaderNotRun))
		assert.Equal(t, http.StatusNotFound, s.resume(t, d, 0).StatusCode)
		end()
		read(t, s.start(t, d), d, 0, 0).requireComplete(t, 0)
	})
	t.Run("silence", func(t *testing.T) {
		const length = 20
		d := s.dispatch(s.Prompt(length), length)
		read(t, s.start(t, d), d, 0, 1)
		end := s.Inject(t, FaultSilence)
		defer end()
		rest := read(t, s.resume(t, d, 1), d, 1, 0)
		rest.requireComplete(t, 1)
	})
	t.Run("crash", func(t *testing.T) {
		const length = 100_000
		d := s.dispatch(s.Prompt(length), length)
		response := s.start(t, d)
		read(t, response, d, 0, 1)
		end := s.Inject(t, FaultCrash)
		_, err := io.Copy(io.Discard, response.Body)
		require.Error(t, err, "the connection does not end as if the answer were whole")
		_, err = s.tryCall(t, http.MethodGet, engine.PathLoad, nil, nil)
		require.Error(t, err, "a crashed engine accepts no connection")
		end()
		assert.Equal(t, http.StatusNotFound, s.resume(t, d, 1).StatusCode)
		next := s.dispatch(s.Prompt(2), 2)
		read(t, s.start(t, next), next, 0, 0).requireComplete(t, 0)
	})
}
