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

// chat answers a chat completion.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	request, p, refused := h.acceptChat(w, r)
	h.serve(w, r, request, refused, func(ctx context.Context, s *dispatch.Submission) {
		d := delivery{handler: h, request: request, model: p.model, created: h.Clock().Unix(), usage: p.usage}
		if p.stream {
			d.stream(ctx, w, s)
			return
		}
		d.whole(ctx, w, s)
	})
}

// acceptChat checks a chat request.
func (h *Handler) acceptChat(w http.ResponseWriter, r *http.Request) (*dispatch.Request, prompt, *refusal.Refusal) {
	c, refused := h.authenticate(r)
	if refused != nil {
		return nil, prompt{}, refused
	}
	body, refused := h.body(w, r)
	if refused != nil {
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
	request, refused := h.common(r, c, service.ID, body)
	if refused != nil {
		return nil, p, refused
	}
	request.Chat, refused = p.chat(c, model)
	if refused != nil {
		return nil, p, refused
	}
	request.Bound = p.bound + p.output
	return request, p, nil
}

// findModel finds the model among the services that the application may use.
func findModel(c caller, p prompt) (*configuration.Model, *configuration.Service, *refusal.Refusal) {
	model, service, ok := c.index.Model(p.model)
	if !ok || !slices.Contains(c.application.Services, service.ID) {
		return nil, nil, refusal.New(refusal.UnknownModel, "model: %q is not offered to this application", p.model)
	}
	return model, service, nil
}

// delivery gives an answer to a caller in the OpenAI format.
type delivery struct {
	handler *Handler
	request *dispatch.Request
	model   ident.Model
	created int64
	usage   bool
}

// whole waits for the answer's end and sends one completion.
func (d *delivery) whole(ctx context.Context, w http.ResponseWriter, s *dispatch.Submission) {
	var text strings.Builder
	for read := 0; ; {
		pieces, end, err := s.Answer.Read(ctx, read)
		if err != nil {
			late(d.request).Write(w, d.request.ID)
			return
		}
		for _, piece := range pieces {
			text.WriteString(piece)
		}
		read += len(pieces)
		if end != nil {
			d.complete(w, text.String(), end)
			return
		}
	}
}

func (d *delivery) complete(w http.ResponseWriter, text string, end *dispatch.End) {
	if end.Refusal != nil {
		end.Refusal.Write(w, d.request.ID)
		return
	}
	setCost(w, end)
	d.handler.limitWrite(w)
	writeJSON(w, http.StatusOK, engine.Completion{
		ID:      string(end.Attempt),
		Object:  "chat.completion",
		Created: d.created,
		Model:   string(d.model),
		Choices: []engine.Choice{{
			Message:      engine.Message{Role: "assistant", Content: text},
			FinishReason: end.FinishReason,
		}},
		Usage: end.Usage,
	})
}

// stream sends the pieces of the answer as they come, and its end once it is
// billed. An answer that breaks off ends without the closing event.
func (d *delivery) stream(ctx context.Context, w http.ResponseWriter, s *dispatch.Submission) {
	out := newEventWriter(w, d.handler)
	for read := 0; ; {
		pieces, end, err := s.Answer.Read(ctx, read)
		if err != nil {
			out.refuse(late(d.request), d.request.ID)
			return
		}
		for i, piece := range pieces {
			out.chunk(d.chunk(read+i == 0, piece))
		}
		read += len(pieces)
		if end != nil {
			d.finish(out, end)
			return
		}
		out.flush()
	}
}

func (d *delivery) chunk(first bool, piece string) engine.Chunk {
	delta := engine.Delta{Content: piece}
	if first {
		delta.Role = "assistant"
	}
	return d.wrap(engine.ChunkChoice{Delta: delta})
}

func (d *delivery) wrap(choices ...engine.ChunkChoice) engine.Chunk {
	return engine.Chunk{
		ID:      string(d.request.ID),
		Object:  "chat.completion.chunk",
		Created: d.created,
		Model:   string(d.model),
		Choices: choices,
	}
}

// finish sends the end of a stream.
func (d *delivery) finish(out *eventWriter, end *dispatch.End) {
	if end.Refusal != nil {
		out.refuse(end.Refusal, d.request.ID)
		return
	}
	reason := end.FinishReason
	out.chunk(d.wrap(engine.ChunkChoice{FinishReason: &reason}))
	if d.usage {
		last := d.wrap()
		last.Choices = []engine.ChunkChoice{}
		last.Usage = end.Usage
		out.chunk(last)
	}
	out.done()
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	handler *Handler
	begun   bool
}

func newEventWriter(w http.ResponseWriter, h *Handler) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), handler: h}
}

func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) chunk(c engine.Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers only
	}
	e.data(data)
}

func (e *eventWriter) data(data []byte) {
	e.begin()
	e.handler.limitWrite(e.w)
	_, _ = e.w.Write(append(append([]byte("data: "), data...), '\n', '\n')) // the caller may have gone
}

func (e *eventWriter) flush() {
	if e.begun {
		_ = e.control.Flush() // the caller may have gone
	}
}

func (e *eventWriter) done() {
	e.data([]byte(engine.Done))
	e.flush()
}

// refuse reports an error: as the response, or within a stream that has begun
// as its last event.
func (e *eventWriter) refuse(r *refusal.Refusal, request ident.Request) {
	if !e.begun {
		r.Write(e.w, request)
		return
	}
	_, _ = e.w.Write([]byte("event: error\n")) // the caller may have gone
	e.data(r.Encode(request))
	e.flush()
}

// setCost tells the caller what the request was billed.
func setCost(w http.ResponseWriter, end *dispatch.End) {
	w.Header().Set(HeaderCost, strconv.FormatInt(int64(end.Cost), 10))
}
