package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"goji.io"
	"goji.io/pat"

	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

const (
	maxBody          = 64 << 20 // bytes
	defaultMaxTokens = 256
)

// handler returns the handler of the engine's calls.
func (l *life) handler() http.Handler {
	mux := goji.NewMux()
	mux.Use(echo)
	mux.HandleFunc(pat.Post(wire.PathCompletions), l.complete)
	mux.HandleFunc(pat.Get(wire.PathStreams+"*"), l.resume)
	mux.HandleFunc(pat.Delete(wire.PathStreams+"*"), l.cancelRun)
	mux.HandleFunc(pat.Get(wire.PathModels), l.models)
	mux.HandleFunc(pat.Get(wire.PathLoad), l.load)
	mux.HandleFunc(pat.Get(wire.PathCacheEvents), l.cacheEvents)
	mux.HandleFunc(pat.Post(wire.PathCacheExport), l.exportCache)
	mux.HandleFunc(pat.Post(wire.PathCacheImport), l.importCache)
	mux.HandleFunc(pat.Post(wire.PathOrders), l.order)
	return mux
}

// echo repeats the identifiers of a call in its response.
func echo(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{wire.HeaderRequest, wire.HeaderAttempt} {
			if value := r.Header.Get(name); value != "" {
				w.Header().Set(name, value)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// complete serves a run.
func (l *life) complete(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model               ident.Model    `json:"model"`
		Messages            []wire.Message `json:"messages"`
		MaxTokens           *int           `json:"max_tokens"`
		MaxCompletionTokens *int           `json:"max_completion_tokens"`
		Stream              bool           `json:"stream"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if len(body.Messages) == 0 {
		fail(w, http.StatusBadRequest, "no messages")
		return
	}
	maxTokens := defaultMaxTokens
	for _, given := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if given != nil {
			maxTokens = *given
		}
	}
	if maxTokens < 1 {
		fail(w, http.StatusBadRequest, "token limit below 1")
		return
	}
	if !l.engine.offers(body.Model) {
		fail(w, http.StatusNotFound, "model not loaded")
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	u := &run{
		request:   ident.Request(r.Header.Get(wire.HeaderRequest)),
		attempt:   ident.Attempt(r.Header.Get(wire.HeaderAttempt)),
		model:     body.Model,
		prompt:    promptOf(body.Messages),
		maxTokens: maxTokens,
		priority:  priority,
		cacheKey:  r.Header.Get(wire.HeaderCacheKey),
	}
	switch err := l.start(u); {
	case errors.Is(err, errNotRun):
		w.Header().Set(wire.HeaderNotRun, "true")
		fail(w, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		fail(w, http.StatusInternalServerError, err.Error())
	case body.Stream:
		l.stream(w, r, u, u.attempt, 0, false)
	default:
		l.whole(w, r, u)
	}
}

// promptOf returns the prompt of a conversation.
func promptOf(messages []wire.Message) string {
	contents := make([]string, len(messages))
	for i, m := range messages {
		contents[i] = m.Content
	}
	return strings.Join(contents, "\n")
}

// offers reports whether a model is loaded. An engine that was given no models
// offers any.
func (e *Engine) offers(model ident.Model) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.settings.Models) == 0 && len(e.models) == 0 {
		return true
	}
	for _, m := range e.models {
		if m.Model == model {
			return true
		}
	}
	return false
}

// resume serves the rest of an answer.
func (l *life) resume(w http.ResponseWriter, r *http.Request) {
	attempt := ident.Attempt(r.Header.Get(wire.HeaderAttempt))
	u := l.find(requestOf(r), attempt)
	if u == nil {
		fail(w, http.StatusNotFound, "no such run")
		return
	}
	after, err := strconv.Atoi(r.Header.Get(wire.HeaderLastEventID))
	if err != nil || after < 0 {
		fail(w, http.StatusBadRequest, "bad "+wire.HeaderLastEventID)
		return
	}
	if l.isCancelled(u) {
		fail(w, http.StatusGone, "run cancelled")
		return
	}
	l.stream(w, r, u, attempt, after, true)
}

func (l *life) cancelRun(w http.ResponseWriter, r *http.Request) {
	if !l.cancel(requestOf(r), ident.Attempt(r.Header.Get(wire.HeaderAttempt))) {
		fail(w, http.StatusNotFound, "no such run")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// requestOf returns the request that the path names.
func requestOf(r *http.Request) ident.Request {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), wire.PathStreams)
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return ""
	}
	return ident.Request(name)
}

func (l *life) models(w http.ResponseWriter, _ *http.Request) {
	list := wire.ModelList{Object: "list", Data: []wire.ModelCard{}}
	for _, m := range l.engine.reportedLoad().LoadedModels {
		list.Data = append(list.Data, wire.ModelCard{ID: m.Model, Object: "model", OwnedBy: "platform"})
	}
	reply(w, list)
}

func (l *life) load(w http.ResponseWriter, _ *http.Request) {
	reply(w, l.engine.reportedLoad())
}

func (l *life) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "bad sequence number")
		return
	}
	e := l.engine
	e.mu.Lock()
	events := e.cache.since(after, e.settings.Clock().Add(-e.settings.CacheDelay))
	e.mu.Unlock()
	reply(w, wire.CacheEvents{Events: events})
}

func (l *life) exportCache(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	e := l.engine
	e.mu.Lock()
	i := e.cache.index(body.Key)
	var prompt string
	if i >= 0 {
		prompt = e.cache.entries[i].prompt
	}
	e.mu.Unlock()
	if i < 0 {
		fail(w, http.StatusNotFound, "not cached")
		return
	}
	reply(w, wire.CacheEntry{Key: body.Key, Tokens: PromptTokens(prompt), Data: []byte(prompt)})
}

func (l *life) importCache(w http.ResponseWriter, r *http.Request) {
	entry, err := wire.DecodeCacheEntry(io.LimitReader(r.Body, maxBody))
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	e := l.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.use(entry.Key, string(entry.Data), e.settings.Clock())
	w.WriteHeader(http.StatusNoContent)
}

func (l *life) order(w http.ResponseWriter, r *http.Request) {
	o, err := wire.DecodeOrder(io.LimitReader(r.Body, maxBody))
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	switch err := l.engine.carryOut(r.Context(), o); {
	case errors.Is(err, errStale):
		fail(w, http.StatusConflict, err.Error())
	case err != nil:
		w.Header().Set(wire.HeaderNotRun, "true")
		fail(w, http.StatusServiceUnavailable, err.Error())
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func fail(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	type problem struct {
		Message string `json:"message"`
	}
	_ = json.NewEncoder(w).Encode(struct {
		Error problem `json:"error"`
	}{problem{message}})
}
