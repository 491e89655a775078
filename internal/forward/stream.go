package forward

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/exchange"
)

// forwardStream forwards the events of a response as they arrive. It skips events
// that the caller already has. It fails with errMissingEvents if the ID of an event does
// not follow that of the last event that the caller has, with errNoContinuation if a resumed stream begins
// with an event without an ID, and with io.ErrUnexpectedEOF if the connection
// ends before the first event and nothing else shows that the stream is complete. Comments are
// passed on, but are not events: they have no tokens, and no position that the caller must keep.
// The header is written with the first part that is passed on: until then, an error response or the
// response of another upstream is possible.
func (t *transfer) forwardStream(response *exchange.Response) (err error) {
	s := newStream(t, response)
	defer func() {
		unsent := s.close()
		if t.delivery.end() != endNone {
			err = merry.Prepend(errCallerWrite, string(t.delivery.end()))
		}
		if errors.Is(err, errCallerWrite) {
			t.eventsUnsent = unsent
		}
	}()
	for empty := true; ; {
		e, err := s.next()
		if err != nil && err != io.EOF {
			return err
		}
		if err == io.EOF && empty && response.EndsWithConnection {
			return io.ErrUnexpectedEOF
		}
		t.streamBegan = true
		if err == io.EOF {
			t.writeStreamHeader(response, 0)
			t.admission.RecordCompletion(t.now())
			return nil
		}
		if !e.HasID && isComment(e.Bytes) {
			t.writeStreamHeader(response, len(e.Bytes))
			if err := s.write(e.Bytes); err != nil {
				return merry.Prepend(errCallerWrite, err.Error())
			}
			continue
		}
		empty = false
		t.recordPromptEvent(e.at)
		if e.HasID {
			if t.attemptEvents++; t.attemptEvents == 1 {
				t.admission.RecordAnswer(t.now())
			}
			if e.ID <= t.lastEventID {
				continue
			}
			if (t.eventsSent > 0 || t.r.Resumes) && e.ID != t.lastEventID+1 {
				return merry.Prependf(errMissingEvents, "event %d after %d", e.ID, t.lastEventID)
			}
			t.lastEventID = e.ID
		} else if t.eventsSent > 0 && t.attemptEvents == 0 {
			return merry.Prepend(errNoContinuation, "event without an ID after the resumption")
		}
		t.writeStreamHeader(response, len(e.Bytes))
		t.recordEvent(t.now())
		if err := s.write(e.Bytes); err != nil {
			return merry.Prepend(errCallerWrite, err.Error())
		}
	}
}

// writeStreamHeader writes the header of a stream that begins with an event of the given size,
// unless the caller has it.
func (t *transfer) writeStreamHeader(response *exchange.Response, size int) {
	if t.headerWritten {
		return
	}
	copyHeader(t.w.Header(), response.Header)
	t.w.Header().Del("Content-Length")
	t.w.WriteHeader(response.Status)
	t.headerWritten, t.streamStatus = true, response.Status
	t.releaseServerError(size)
}

// releaseServerError releases the memory of a kept response, which is no longer needed once a
// stream with an event of the given size has begun.
func (t *transfer) releaseServerError(size int) {
	if t.serverError != nil {
		t.serverError, t.keptBytes = nil, 0
		t.memory.Shrink(int64(size) + partSize)
	}
}

// isComment reports whether an event consists of comments or of nothing. An engine may send
// comments while it prefills a prompt.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// recordPromptEvent records that an event of the current attempt has arrived.
func (t *transfer) recordPromptEvent(now time.Time) {
	seen := t.prompt.Event(now)
	if seen > 0 && t.prompt.FirstEvent > 0 {
		t.f.settings.Metrics.RecordPrediction(t.prompt.FirstEvent, seen)
	}
}

// recordEvent updates the counters and timings for an event that is forwarded.
func (t *transfer) recordEvent(now time.Time) {
	t.eventsSent++
	if t.eventsSent == 1 {
		t.firstEvent = now.Sub(t.r.Arrived)
	} else {
		t.longestGap = max(t.longestGap, now.Sub(t.lastWrite))
	}
	t.lastWrite = now
}
