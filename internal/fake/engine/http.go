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
	maxBodyBytes     = 64 << 20 // bytes
	defaultMaxTokens = 256
)

// handler returns the HTTP handler of the engine's protocol.
func (inst *instance) handler() http.Handler {
	mux := goji.NewMux()
	mux.Use(echoIdentifiers)
	mux.HandleFunc(pat.Post(wire.PathCompletions), inst.handleCompletions)
	mux.HandleFunc(pat.Get(wire.PathStreams+"*"), inst.handleResume)
	mux.HandleFunc(pat.Delete(wire.PathStreams+"*"), inst.handleCancel)
	mux.HandleFunc(pat.Get(wire.PathModels), inst.handleModels)
	mux.HandleFunc(pat.Get(wire.PathLoad), inst.handleLoad)
	mux.HandleFunc(pat.Get(wire.PathCacheEvents), inst.handleCacheEvents)
	mux.HandleFunc(pat.Post(wire.PathCacheExport), inst.handleCacheExport)
	mux.HandleFunc(pat.Post(wire.PathCacheImport), inst.handleCacheImport)
	mux.HandleFunc(pat.Post(wire.PathOrders), inst.handleOrder)
	return mux
}

// echoIdentifiers copies the request and attempt headers to the response.
func echoIdentifiers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{wire.HeaderRequest, wire.HeaderAttempt} {
			if value := r.Header.Get(name); value != "" {
				w.Header().Set(name, value)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// handleCompletions starts a run and sends its answer, streamed or as one body.
func (inst *instance) handleCompletions(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model               ident.Model    `json:"model"`
		Messages            []wire.Message `json:"messages"`
		MaxTokens           *int           `json:"max_tokens"`
		MaxCompletionTokens *int           `json:"max_completion_tokens"`
		Stream              bool           `json:"stream"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if len(body.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "no messages")
		return
	}
	maxTokens := defaultMaxTokens
	for _, given := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if given != nil {
			maxTokens = *given
		}
	}
	if maxTokens < 1 {
		writeError(w, http.StatusBadRequest, "token limit below 1")
		return
	}
	if !inst.engine.isLoaded(body.Model) {
		writeError(w, http.StatusNotFound, "model not loaded")
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	u := &run{
		request:   ident.Request(r.Header.Get(wire.HeaderRequest)),
		attempt:   ident.Attempt(r.Header.Get(wire.HeaderAttempt)),
		model:     body.Model,
		prompt:    joinMessages(body.Messages),
		maxTokens: maxTokens,
		priority:  priority,
		cacheKey:  r.Header.Get(wire.HeaderCacheKey),
	}
	switch err := inst.start(u); {
	case errors.Is(err, errNotRun):
		w.Header().Set(wire.HeaderNotRun, "true")
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		writeError(w, http.StatusInternalServerError, err.Error())
	case body.Stream:
		inst.serveStream(w, r, u, u.attempt, 0, false)
	default:
		inst.serveCompletion(w, r, u)
	}
}

// joinMessages returns the prompt of a conversation: the contents of its
// messages, joined by LF.
func joinMessages(messages []wire.Message) string {
	contents := make([]string, len(messages))
	for i, m := range messages {
		contents[i] = m.Content
	}
	return strings.Join(contents, "\n")
}

// isLoaded reports whether a model is loaded. While no models are configured or
// loaded, every model counts as loaded.
func (e *Engine) isLoaded(model ident.Model) bool {
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

// handleResume streams the part of an answer that follows Last-Event-ID.
func (inst *instance) handleResume(w http.ResponseWriter, r *http.Request) {
	attempt := ident.Attempt(r.Header.Get(wire.HeaderAttempt))
	u := inst.findRun(requestFromPath(r), attempt)
	if u == nil {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	after, err := strconv.Atoi(r.Header.Get(wire.HeaderLastEventID))
	if err != nil || after < 0 {
		writeError(w, http.StatusBadRequest, "bad "+wire.HeaderLastEventID)
		return
	}
	if inst.isCancelled(u) {
		writeError(w, http.StatusGone, "run cancelled")
		return
	}
	inst.serveStream(w, r, u, attempt, after, true)
}

// handleCancel cancels the runs of a request, or only that of the given
// attempt.
func (inst *instance) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !inst.cancelRuns(requestFromPath(r), ident.Attempt(r.Header.Get(wire.HeaderAttempt))) {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// requestFromPath returns the request identifier in the path, or "" if it is
// malformed.
func requestFromPath(r *http.Request) ident.Request {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), wire.PathStreams)
	name, err := url.PathUnescape(escaped)
	if err != nil {
		return ""
	}
	return ident.Request(name)
}

func (inst *instance) handleModels(w http.ResponseWriter, _ *http.Request) {
	list := wire.ModelList{Object: "list", Data: []wire.ModelCard{}}
	for _, m := range inst.engine.reportedLoad().LoadedModels {
		list.Data = append(list.Data, wire.ModelCard{ID: m.Model, Object: "model", OwnedBy: "platform"})
	}
	writeJSON(w, list)
}

func (inst *instance) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, inst.engine.reportedLoad())
}

func (inst *instance) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad sequence number")
		return
	}
	e := inst.engine
	e.mu.Lock()
	events := e.cache.since(after, e.settings.Clock().Add(-e.settings.CacheEventDelay))
	e.mu.Unlock()
	writeJSON(w, wire.CacheEvents{Events: events})
}

func (inst *instance) handleCacheExport(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e := inst.engine
	e.mu.Lock()
	i := e.cache.index(body.Key)
	var prompt string
	if i >= 0 {
		prompt = e.cache.entries[i].prompt
	}
	e.mu.Unlock()
	if i < 0 {
		writeError(w, http.StatusNotFound, "not cached")
		return
	}
	writeJSON(w, wire.CacheEntry{Key: body.Key, Tokens: PromptTokens(prompt), Data: []byte(prompt)})
}

func (inst *instance) handleCacheImport(w http.ResponseWriter, r *http.Request) {
	entry, err := wire.DecodeCacheEntry(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e := inst.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.lookupAndStore(entry.Key, string(entry.Data), e.settings.Clock())
	w.WriteHeader(http.StatusNoContent)
}

func (inst *instance) handleOrder(w http.ResponseWriter, r *http.Request) {
	o, err := wire.DecodeOrder(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	switch err := inst.engine.executeOrder(r.Context(), o); {
	case errors.Is(err, errStale):
		writeError(w, http.StatusConflict, err.Error())
	case err != nil:
		w.Header().Set(wire.HeaderNotRun, "true")
		writeError(w, http.StatusServiceUnavailable, err.Error())
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	type errorDetail struct {
		Message string `json:"message"`
	}
	_ = json.NewEncoder(w).Encode(struct {
		Error errorDetail `json:"error"`
	}{errorDetail{message}})
}
