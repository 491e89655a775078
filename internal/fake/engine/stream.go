package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// foreignAttempt is the attempt that crossed answers belong to.
const foreignAttempt = "foreign"

// delivery sends one run's answer on one connection.
type delivery struct {
	life    *life
	run     *run
	attempt ident.Attempt
	resumed bool
	w       http.ResponseWriter
	r       *http.Request
	buffer  []byte
}

// stream sends the answer from the token that follows after.
func (l *life) stream(w http.ResponseWriter, r *http.Request, u *run, attempt ident.Attempt, after int, resumed bool) {
	d := &delivery{life: l, run: u, attempt: attempt, resumed: resumed, w: w, r: r}
	f := d.faults()
	if f.SilentAtStart {
		d.mute()
	}
	if f.CrossedHeader {
		w.Header().Set(wire.HeaderAttempt, foreignAttempt)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	d.flush()
	for sent := after; ; {
		ready, ended := d.await(sent)
		for ; sent < ready; sent++ {
			if !d.token(sent + 1) {
				return
			}
		}
		if ended {
			d.finish()
			return
		}
		if r.Context().Err() != nil {
			return
		}
	}
}

// await waits until more tokens than sent are ready or the run has ended, and
// sends comments meanwhile.
func (d *delivery) await(sent int) (ready int, ended bool) {
	heartbeat := time.NewTicker(d.life.engine.settings.HeartbeatEvery)
	defer heartbeat.Stop()
	for {
		ready, ended, changed := d.state()
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

func (d *delivery) state() (ready int, ended bool, changed <-chan struct{}) {
	d.life.engine.mu.Lock()
	defer d.life.engine.mu.Unlock()
	return d.run.produced, d.run.ended, d.run.changed
}

// faults returns the faults that hit this connection.
func (d *delivery) faults() Faults {
	f := d.life.engine.faultsInForce()
	if d.resumed && !f.Persistent {
		return Faults{}
	}
	return f
}

// token sends token i, with the faults in force. It reports whether to go on.
func (d *delivery) token(i int) bool {
	f := d.faults()
	switch i {
	case f.SkipAt:
		return true
	case f.LateAt:
		d.chunk(i+1, d.attempt, tokenText(d.run.prompt, i+1))
		d.chunk(i, d.attempt, tokenText(d.run.prompt, i))
	case f.CrossedAt:
		d.chunk(i, foreignAttempt, "another's token ")
	default:
		d.chunk(i, d.attempt, tokenText(d.run.prompt, i))
	}
	if i == f.RepeatAt {
		d.chunk(i, d.attempt, tokenText(d.run.prompt, i))
	}
	d.flush()
	switch i {
	case f.SilentAfter:
		d.mute()
	case f.ResetAt:
		connOf(d.r.Context()).reset()
		return false
	case f.CutAt:
		return false
	}
	return true
}

func (d *delivery) chunk(i int, attempt ident.Attempt, text string) {
	c := d.blank(attempt)
	c.Choices = []wire.ChunkChoice{{Delta: wire.Delta{Content: text}}}
	d.buffer = append(d.buffer[:0], "id: "...)
	d.buffer = strconv.AppendInt(d.buffer, int64(i), 10)
	d.buffer = append(d.buffer, '\n')
	d.data(c)
}

// finish sends the end of the answer. A cancelled run has none.
func (d *delivery) finish() {
	e := d.life.engine
	e.mu.Lock()
	cancelled, reason, usage := d.run.cancelled, d.run.finish(), d.run.usage()
	e.mu.Unlock()
	if cancelled {
		return
	}
	f := d.faults()
	if f.WrongUsage {
		usage.CompletionTokens--
		usage.TotalTokens--
	}
	last := d.blank(d.attempt)
	last.Choices = []wire.ChunkChoice{{FinishReason: &reason}}
	d.buffer = d.buffer[:0]
	d.data(last)
	counted := d.blank(d.attempt)
	counted.Usage = usage
	d.buffer = d.buffer[:0]
	d.data(counted)
	if !f.WithoutDone {
		d.write([]byte("data: " + wire.Done + "\n\n"))
	}
	d.flush()
}

func (d *delivery) blank(attempt ident.Attempt) wire.Chunk {
	return wire.Chunk{ID: string(attempt), Object: "chat.completion.chunk", Model: string(d.run.model), Choices: []wire.ChunkChoice{}}
}

// data sends what is in the buffer with the chunk behind it.
func (d *delivery) data(c wire.Chunk) {
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

// mute makes the connection silent for good.
func (d *delivery) mute() { connOf(d.r.Context()).muted.Store(true) }

// whole sends the answer in one piece.
func (l *life) whole(w http.ResponseWriter, r *http.Request, u *run) {
	d := &delivery{life: l, run: u, attempt: u.attempt, w: w, r: r}
	for ended := false; !ended; {
		var changed <-chan struct{}
		_, ended, changed = d.state()
		if ended {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	l.engine.mu.Lock()
	reason, usage, cancelled := u.finish(), u.usage(), u.cancelled
	l.engine.mu.Unlock()
	if cancelled {
		fail(w, http.StatusConflict, "run cancelled")
		return
	}
	text := ExpectedAnswer(u.prompt, u.produced)
	choice := wire.Choice{Message: wire.Message{Role: "assistant", Content: text}, FinishReason: reason}
	reply(w, wire.Completion{
		ID:      string(u.attempt),
		Object:  "chat.completion",
		Model:   string(u.model),
		Choices: []wire.Choice{choice},
		Usage:   usage,
	})
}
