// Package callerapi implements the endpoint for callers: chat completions in the
// OpenAI format, complete or streamed, the list of models, calls of plain services,
// and health checks for the platform's load balancer.
//
// Every request is validated before tokens are reserved or it is dispatched. Errors
// have the format of package refusal.
//
// # Usage
//
//	h := callerapi.New(callerapi.Settings{Dispatcher: d, Index: watcher.Index, ...})
//	http.Serve(listener, h)
package callerapi

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"goji.io"
	"goji.io/pat"
	"golang.org/x/sync/semaphore"

	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/internal/replay"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Request and response headers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline-Millis" // time allowed for the request
	HeaderIdempotent     = "X-Idempotent"      // "false" for a request that must not run twice
	HeaderRequestID      = "X-Request-Id"      // of the response
	HeaderBilledTokens   = "X-Billed-Tokens"   // of the response
)

const (
	// defaultDeadline is the time allowed for a request without HeaderDeadline, and
	// maxDeadline the longest that the header can set.
	defaultDeadline = 5 * time.Minute
	maxDeadline     = 15 * time.Minute
	// requestIDBytes is the number of random bytes in a request identifier.
	requestIDBytes = 12
)

// Settings configures the endpoint. All fields are required.
type Settings struct {
	Dispatcher *dispatch.Dispatcher
	// Index returns the index of the configuration in force, or nil before the first
	// one.
	Index func() *configuration.Index
	// Ready reports whether the load balancer should send callers to this router.
	Ready func() bool
	// Accepting reports whether new requests are accepted. It stays true for a while
	// after the router is no longer ready.
	Accepting func() bool
	MaxBody   int64 // in bytes
	// MaxRequests limits the requests in progress.
	MaxRequests int
	// WriteTimeout bounds the write of each part of a response.
	WriteTimeout time.Duration
	Clock        func() time.Time
	Log          hclog.Logger
}

// Handler serves the endpoint.
type Handler struct {
	Settings
	mux   *goji.Mux
	slots *semaphore.Weighted
}

// New returns a Handler.
func New(s Settings) *Handler {
	h := &Handler{Settings: s, mux: goji.NewMux(), slots: semaphore.NewWeighted(int64(s.MaxRequests))}
	h.mux.HandleFunc(pat.Get("/healthz"), h.health)
	h.mux.HandleFunc(pat.Get("/readyz"), h.ready)
	h.mux.HandleFunc(pat.Get("/v1/models"), h.models)
	h.mux.HandleFunc(pat.Post("/v1/chat/completions"), h.limitConcurrency(h.chat))
	h.mux.HandleFunc(pat.New("/services/:service/*"), h.limitConcurrency(h.plain))
	h.mux.HandleFunc(pat.New("/*"), h.notFound)
	return h
}

// ServeHTTP serves a request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// limitConcurrency wraps a handler so that it refuses requests while MaxRequests are
// in progress.
func (h *Handler) limitConcurrency(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.slots.TryAcquire(1) {
			refused := refusal.New(refusal.Overloaded, "the router has too many requests in progress").WithRetryAfter(time.Second)
			h.unread(w, r, refused).Write(w, "")
			return
		}
		defer h.slots.Release(1)
		serve(w, r)
	}
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Healthy bool `json:"healthy"`
	}{true})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusServiceUnavailable
	if h.Ready() {
		status = http.StatusOK
	}
	writeJSON(w, status, struct {
		Ready bool `json:"ready"`
	}{h.Ready()})
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.unread(w, r, refusal.New(refusal.NotFound, "no such path: %s", r.URL.Path)).Write(w, "")
}

// caller is an authenticated application.
type caller struct {
	index       *configuration.Index
	application *configuration.Application
	customer    *configuration.Customer
}

// authenticate returns the application whose bearer key the request carries, or the
// refusal of the request.
func (h *Handler) authenticate(r *http.Request) (c caller, err *refusal.Refusal) {
	index := h.Index()
	if index == nil || !h.Accepting() {
		return c, refusal.New(refusal.NotReady, "the router is starting or stopping").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return c, refusal.New(refusal.Unauthorized, "Authorization: a bearer key is required")
	}
	sum := sha256.Sum256([]byte(key))
	application, customer, ok := index.ApplicationByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return c, refusal.New(refusal.Unauthorized, "Authorization: unknown key")
	}
	guard.Accept(r.Context())
	return caller{index, application, customer}, nil
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	c, refused := h.authenticate(r)
	if refused != nil {
		refused.Write(w, "")
		return
	}
	list := engine.ModelList{Object: "list", Data: []engine.ModelCard{}}
	for _, id := range c.application.Services {
		service, ok := c.index.Service(id)
		if !ok {
			continue
		}
		for _, m := range service.Models {
			list.Data = append(list.Data, engine.ModelCard{ID: m.ID, Object: "model", OwnedBy: string(id)})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// newRequest sets the fields that chat completions and plain calls have in common.
func (h *Handler) newRequest(r *http.Request, c caller, service ident.Service, body []byte) (*dispatch.Request, *refusal.Refusal) {
	budget, ok := c.index.Budget(c.application.Budget)
	if !ok {
		return nil, refusal.New(refusal.Forbidden, "application %s has no budget", c.application.ID)
	}
	deadline, refused := h.deadline(r)
	if refused != nil {
		return nil, refused
	}
	request := &dispatch.Request{
		ID:          newRequestID(),
		Idempotent:  r.Header.Get(HeaderIdempotent) != "false",
		Customer:    c.customer.ID,
		Weight:      c.customer.Weight,
		Application: c.application.ID,
		Budget:      *budget,
		Service:     service,
		Deadline:    deadline,
	}
	return request, setIdempotencyKey(request, r, body)
}

// setIdempotencyKey identifies the request by its idempotency key, if it has one.
func setIdempotencyKey(request *dispatch.Request, r *http.Request, body []byte) *refusal.Refusal {
	keys := r.Header.Values(HeaderIdempotencyKey)
	if len(keys) == 0 {
		return nil
	}
	if len(keys) > 1 || !ident.Valid(keys[0]) {
		return refusal.New(refusal.BadRequest,
			"%s: 1 to 128 letters, digits, dots, underscores and hyphens are required", HeaderIdempotencyKey)
	}
	request.Keyed = true
	request.ID = ident.Request("k." + string(request.Application) + "." + keys[0])
	digest := sha256.New()
	_, _ = io.WriteString(digest, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = digest.Write(body)
	request.Digest = hex.EncodeToString(digest.Sum(nil)[:16])
	return nil
}

// deadline returns the deadline that the request's header sets, or the default.
func (h *Handler) deadline(r *http.Request) (time.Time, *refusal.Refusal) {
	allowed := defaultDeadline
	if text := r.Header.Get(HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
			return time.Time{}, refusal.New(refusal.BadRequest, "%s: 1 to %d is required", HeaderDeadline, maxDeadline.Milliseconds())
		}
		allowed = time.Duration(millis) * time.Millisecond
	}
	return h.Clock().Add(allowed), nil
}

func newRequestID() ident.Request {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return ident.Request("r." + hex.EncodeToString(b[:]))
}

// readBody reads the request's body up to the size limit.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Refusal) {
	pieces, err := guard.ReadBody(r, h.MaxBody)
	if err != nil {
		guard.Abandon(w, h.Clock())
	}
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		return nil, refusal.New(refusal.BodyTooLarge, "the body is larger than %d bytes", h.MaxBody)
	case errors.Is(err, guard.ErrNoMemory):
		return nil, memoryRefusal(r)
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the body could not be read")
	}
	size := 0
	for _, piece := range pieces {
		size += len(piece)
	}
	if refused := reserve(r, int64(size)*(plainFactor-1)); refused != nil {
		return nil, refused
	}
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	return bytes.Join(pieces, nil), nil
}

// serve submits an accepted request and calls deliver with a context that ends at
// the request's deadline. If the request was refused, it writes the refusal.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, request *dispatch.Request, refused *refusal.Refusal,
	deliver func(ctx context.Context, s *dispatch.Submission),
) {
	if refused != nil {
		refused.Write(w, "")
		return
	}
	w.Header().Set(HeaderRequestID, string(request.ID))
	s, refused := h.submit(request)
	if refused != nil {
		refused.Write(w, request.ID)
		return
	}
	defer h.keepMemory(r, s)
	defer s.Abandon()
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	deliver(ctx, s)
}

// keepMemory keeps the memory of a request until its run has ended, if its caller has left or its
// deadline has passed before.
func (h *Handler) keepMemory(r *http.Request, s *dispatch.Submission) {
	if s.Joined || s.Answer.Ended() {
		return
	}
	release := guard.Detach(r.Context())
	go func() { // ends with the run
		defer release()
		for read := 0; ; {
			pieces, end, _ := s.Answer.Read(context.Background(), read)
			if end != nil {
				return
			}
			read += len(pieces)
		}
	}()
}

// submit starts the request or joins the one with the same idempotency key.
func (h *Handler) submit(request *dispatch.Request) (*dispatch.Submission, *refusal.Refusal) {
	s, err := h.Dispatcher.Submit(h.Clock(), request)
	switch {
	case errors.Is(err, replay.ErrKeyReused):
		return nil, refusal.New(refusal.IdempotencyKeyReused, "%s: the key was used for another request", HeaderIdempotencyKey)
	case err != nil:
		return nil, refusal.New(refusal.NotReady, "the router is stopping").WithRetryAfter(time.Second)
	}
	return s, nil
}

// extendWriteDeadline allows the write timeout for the next part of the response.
func (h *Handler) extendWriteDeadline(w http.ResponseWriter) {
	deadline := h.Clock().Add(h.WriteTimeout)
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // supported by net/http
}

// unfinishedRefusal returns the refusal of a request whose answer was not complete when ctx ended,
// by its deadline or because the caller closed its side of the connection. Whether the caller has
// left or only finished sending is not known.
func unfinishedRefusal(ctx context.Context, request *dispatch.Request) *refusal.Refusal {
	code, message := refusal.DeadlineExceeded, "the deadline has passed"
	if errors.Is(ctx.Err(), context.Canceled) {
		code, message = refusal.CallerLeft, "the caller closed its side of the connection before the answer was complete"
	}
	if request.Keyed {
		message += "; the request goes on, and its answer can be fetched with the same key"
	}
	return refusal.NewMayHaveRun(code, "%s", message).WithRetryAfter(time.Second)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
