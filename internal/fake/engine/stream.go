package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// foreignAttempt is the attempt identifier sent by the faults that respond as
// another attempt.
const foreignAttempt = "foreign"

// delivery sends the answer of one run on one connection.
type delivery struct {
	instance *instance
	run      *run
	attempt  ident.Attempt
	resumed  bool
	w        http.ResponseWriter
	r        *http.Request
	buffer   []byte // reused between events
}

// serveStream streams the answer from the token with number after+1.
func (inst *instance) serveStream(w http.ResponseWriter, r *http.Request, u *run, attempt ident.Attempt, after int, resumed bool) {
	d := &delivery{instance: inst, run: u, attempt: attempt, resumed: resumed, w: w, r: r}
	f := d.faults()
	if f.SilentAtStart {
		d.silence()
	}
	if f.WrongAttemptHeader {
		w.Header().Set(wire.HeaderAttempt, foreignAttempt)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	d.flush()
	for sent := after; ; {
		ready, ended := d.waitForTokens(sent)
		for ; sent < ready; sent++ {
			if !d.sendToken(sent + 1) {
				return
			}
		}
		if ended {
			d.sendEnd()
			return
		}
		if r.Context().Err() != nil {
			return
		}
	}
}

// waitForTokens waits until more than sent tokens are ready, the run has ended
// or the client is gone. Meanwhile it sends comments as heartbeats.
func (d *delivery) waitForTokens(sent int) (ready int, ended bool) {
	heartbeat := time.NewTicker(d.instance.engine.settings.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		ready, ended, changed := d.progress()
		if ready > sent || ended || d.r.Context().Err() != nil {
			return ready, ended
		}
		select {
		case <-changed:
		case <-d.r.Context().Done():
		case <-heartbeat.C:
			d.write([]byte(": waiting\n\n"))
			d.flush()
		}
	}
}

// progress returns the number of tokens ready, whether the run has ended, and a
// channel that is closed on the next change.
func (d *delivery) progress() (ready int, ended bool, changed <-chan struct{}) {
	d.instance.engine.mu.Lock()
	defer d.instance.engine.mu.Unlock()
	return d.run.generated, d.run.ended, d.run.changed
}

// faults returns the active faults that apply to this connection.
func (d *delivery) faults() Faults {
	f := d.instance.engine.currentFaults()
	if d.resumed && !f.Persistent {
		return Faults{}
	}
	return f
}

// sendToken sends token i, subject to the active faults. It reports whether to
// continue.
func (d *delivery) sendToken(i int) bool {
	f := d.faults()
	switch i {
	case f.SkipAt:
		return true
	case f.LateAt:
		d.sendChunk(i+1, d.attempt, tokenText(d.run.prompt, i+1))
		d.sendChunk(i, d.attempt, tokenText(d.run.prompt, i))
	case f.WrongAttemptAt:
		d.sendChunk(i, foreignAttempt, "another's token ")
	default:
		d.sendChunk(i, d.attempt, tokenText(d.run.prompt, i))
	}
	if i == f.RepeatAt {
		d.sendChunk(i, d.attempt, tokenText(d.run.prompt, i))
	}
	d.flush()
	switch i {
	case f.SilentAfter:
		d.silence()
	case f.ResetAt:
		connFromContext(d.r.Context()).reset()
		return false
	case f.CutAt:
		return false
	}
	return true
}

// sendChunk writes the event of token i with its id line.
func (d *delivery) sendChunk(i int, attempt ident.Attempt, text string) {
	c := d.newChunk(attempt)
	c.Choices = []wire.ChunkChoice{{Delta: wire.Delta{Content: text}}}
	d.buffer = append(d.buffer[:0], "id: "...)
	d.buffer = strconv.AppendInt(d.buffer, int64(i), 10)
	d.buffer = append(d.buffer, '\n')
	d.writeData(c)
}

// sendEnd sends the finish reason, the usage and [DONE]. For a cancelled run it
// sends nothing.
func (d *delivery) sendEnd() {
	e := d.instance.engine
	e.mu.Lock()
	cancelled, reason, usage := d.run.cancelled, d.run.finishReason(), d.run.usage()
	e.mu.Unlock()
	if cancelled {
		return
	}
	f := d.faults()
	if f.WrongUsage {
		usage.CompletionTokens--
		usage.TotalTokens--
	}
	last := d.newChunk(d.attempt)
	last.Choices = []wire.ChunkChoice{{FinishReason: &reason}}
	d.buffer = d.buffer[:0]
	d.writeData(last)
	counted := d.newChunk(d.attempt)
	counted.Usage = usage
	d.buffer = d.buffer[:0]
	d.writeData(counted)
	if !f.WithoutDone {
		d.write([]byte("data: " + wire.Done + "\n\n"))
	}
	d.flush()
}

// newChunk returns a chunk without choices.
func (d *delivery) newChunk(attempt ident.Attempt) wire.Chunk {
	return wire.Chunk{ID: string(attempt), Object: "chat.completion.chunk", Model: string(d.run.model), Choices: []wire.ChunkChoice{}}
}

// writeData appends the chunk to the buffer as a data line and writes the
// event.
func (d *delivery) writeData(c wire.Chunk) {
	encoded, err := json.Marshal(c)
	if err != nil {
		return
	}
	d.buffer = append(d.buffer, "data: "...)
	d.buffer = append(d.buffer, encoded...)
	d.buffer = append(d.buffer, "\n\n"...)
	d.write(d.buffer)
}

func (d *delivery) write(b []byte) { _, _ = d.w.Write(b) }

func (d *delivery) flush() { _ = http.NewResponseController(d.w).Flush() }

// silence permanently silences the connection.
func (d *delivery) silence() { connFromContext(d.r.Context()).silent.Store(true) }

// serveCompletion waits for the end of the run and sends the answer as one body.
func (inst *instance) serveCompletion(w http.ResponseWriter, r *http.Request, u *run) {
	d := &delivery{instance: inst, run: u, attempt: u.attempt, w: w, r: r}
	for ended := false; !ended; {
		var changed <-chan struct{}
		_, ended, changed = d.progress()
		if ended {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	inst.engine.mu.Lock()
	reason, usage, cancelled := u.finishReason(), u.usage(), u.cancelled
	inst.engine.mu.Unlock()
	if cancelled {
		writeError(w, http.StatusConflict, "run cancelled")
		return
	}
	text := ExpectedAnswer(u.prompt, u.generated)
	choice := wire.Choice{Message: wire.Message{Role: "assistant", Content: text}, FinishReason: reason}
	writeJSON(w, wire.Completion{
		ID:      string(u.attempt),
		Object:  "chat.completion",
		Model:   string(u.model),
		Choices: []wire.Choice{choice},
		Usage:   usage,
	})
}
