package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// chat serves a chat completion.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	request, p, refused := h.acceptChat(w, r)
	// The function must not refer to p, whose fields and texts would be held until the response ends.
	responder := chatResponder{handler: h, request: request, model: p.model, created: h.Clock().Unix(), includeUsage: p.includeUsage}
	stream := p.stream
	h.serve(w, r, request, refused, func(ctx context.Context, s *dispatch.Submission) {
		if stream {
			responder.stream(ctx, w, s)
			return
		}
		responder.writeCompletionWhenDone(ctx, w, s)
	})
}

// acceptChat validates a chat request.
func (h *Handler) acceptChat(w http.ResponseWriter, r *http.Request) (*dispatch.Request, prompt, *refusal.Refusal) {
	c, refused := h.authenticate(r)
	if refused != nil {
		return nil, prompt{}, h.unread(w, r, refused)
	}
	body, refused := h.readBody(w, r)
	if refused != nil {
		return nil, prompt{}, refused
	}
	if refused := reserve(r, chatMemory(body)-int64(len(body))*plainFactor); refused != nil {
		return nil, prompt{}, refused
	}
	p, refused := parsePrompt(body)
	if refused != nil {
		return nil, p, refused
	}
	model, service, refused := findModel(c, p)
	if refused != nil {
		return nil, p, refused
	}
	request, refused := h.newRequest(r, c, service.ID, body)
	if refused != nil {
		return nil, p, refused
	}
	request.Chat, refused = p.newChat(c, model)
	if refused != nil {
		return nil, p, refused
	}
	request.MaxCost = p.promptBound + p.outputLimit
	return request, p, nil
}

// findModel returns the model if it belongs to a service that the application may
// use.
func findModel(c caller, p prompt) (*configuration.Model, *configuration.Service, *refusal.Refusal) {
	model, service, ok := c.index.Model(p.model)
	if !ok || !slices.Contains(c.application.Services, service.ID) {
		return nil, nil, refusal.New(refusal.UnknownModel, "model: %q is not offered to this application", p.model)
	}
	return model, service, nil
}

// chatResponder writes an answer in the OpenAI format.
type chatResponder struct {
	handler      *Handler
	request      *dispatch.Request
	model        ident.Model
	created      int64
	includeUsage bool
}

// writeCompletionWhenDone waits for the end of the answer and writes it as one
// completion.
func (r *chatResponder) writeCompletionWhenDone(ctx context.Context, w http.ResponseWriter, s *dispatch.Submission) {
	var text strings.Builder
	for read := 0; ; {
		pieces, end, err := s.Answer.Read(ctx, read)
		if err != nil {
			r.handler.extendWriteDeadline(w)
			unfinishedRefusal(ctx, r.request).Write(w, r.request.ID)
			return
		}
		for _, piece := range pieces {
			text.WriteString(piece)
		}
		read += len(pieces)
		if end != nil {
			r.writeCompletion(w, text.String(), end)
			return
		}
	}
}

func (r *chatResponder) writeCompletion(w http.ResponseWriter, text string, end *dispatch.End) {
	if end.Refusal != nil {
		end.Refusal.Write(w, r.request.ID)
		return
	}
	setBilledTokensHeader(w, end)
	r.handler.extendWriteDeadline(w)
	writeJSON(w, http.StatusOK, engine.Completion{
		ID:      string(end.Attempt),
		Object:  "chat.completion",
		Created: r.created,
		Model:   string(r.model),
		Choices: []engine.Choice{{
			Message:      engine.Message{Role: "assistant", Content: text},
			FinishReason: end.FinishReason,
		}},
		Usage: end.Usage,
	})
}

// stream writes the pieces of the answer as they arrive, and the end once the
// request is billed. A stream that fails ends without the closing event.
func (r *chatResponder) stream(ctx context.Context, w http.ResponseWriter, s *dispatch.Submission) {
	out := newEventWriter(w, r.handler)
	for read := 0; ; {
		pieces, end, err := s.Answer.Read(ctx, read)
		if err != nil {
			r.handler.extendWriteDeadline(w)
			out.writeError(unfinishedRefusal(ctx, r.request), r.request.ID)
			return
		}
		for i, piece := range pieces {
			out.writeChunk(r.contentChunk(read+i == 0, piece))
		}
		read += len(pieces)
		if end != nil {
			r.finishStream(out, end)
			return
		}
		out.flush()
	}
}

func (r *chatResponder) contentChunk(first bool, piece string) engine.Chunk {
	delta := engine.Delta{Content: piece}
	if first {
		delta.Role = "assistant"
	}
	return r.newChunk(engine.ChunkChoice{Delta: delta})
}

func (r *chatResponder) newChunk(choices ...engine.ChunkChoice) engine.Chunk {
	return engine.Chunk{
		ID:      string(r.request.ID),
		Object:  "chat.completion.chunk",
		Created: r.created,
		Model:   string(r.model),
		Choices: choices,
	}
}

// finishStream writes the last events of a stream.
func (r *chatResponder) finishStream(out *eventWriter, end *dispatch.End) {
	if end.Refusal != nil {
		out.writeError(end.Refusal, r.request.ID)
		return
	}
	reason := end.FinishReason
	out.writeChunk(r.newChunk(engine.ChunkChoice{FinishReason: &reason}))
	if r.includeUsage {
		last := r.newChunk()
		last.Choices = []engine.ChunkChoice{}
		last.Usage = end.Usage
		out.writeChunk(last)
	}
	out.writeDone()
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	handler *Handler
	started bool
}

func newEventWriter(w http.ResponseWriter, h *Handler) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), handler: h}
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) writeChunk(c engine.Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // not reached: the chunk holds only strings and numbers
	}
	e.writeData(data)
}

func (e *eventWriter) writeData(data []byte) {
	e.start()
	e.handler.extendWriteDeadline(e.w)
	_, _ = e.w.Write(append(append([]byte("data: "), data...), '\n', '\n')) // the caller may have disconnected
}

func (e *eventWriter) flush() {
	if e.started {
		_ = e.control.Flush() // the caller may have disconnected
	}
}

func (e *eventWriter) writeDone() {
	e.writeData([]byte(engine.Done))
	e.flush()
}

// writeError writes a refusal as the response or, if the stream has started, as its
// last event.
func (e *eventWriter) writeError(r *refusal.Refusal, request ident.Request) {
	if !e.started {
		r.Write(e.w, request)
		return
	}
	_, _ = e.w.Write([]byte("event: error\n")) // the caller may have disconnected
	e.writeData(r.Encode(request))
	e.flush()
}

// setBilledTokensHeader sets the header that holds the billed cost of the request.
func setBilledTokensHeader(w http.ResponseWriter, end *dispatch.End) {
	w.Header().Set(HeaderBilledTokens, strconv.FormatInt(int64(end.Cost), 10))
}
