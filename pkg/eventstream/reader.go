// Package eventstream reads server-sent events.
//
// Lines end with LF or CRLF. Events without data are skipped. Comments, event
// names and retry times are ignored.
//
// # Usage
//
//	r := eventstream.NewReader(response.Body)
//	for {
//		e, err := r.Next()
//		if err == io.EOF {
//			break // the stream ended between two events
//		}
//		...
//	}
package eventstream

import (
	"bytes"
	"errors"
	"io"
)

// MaxSize is the maximum size in bytes of the data of an event. A line that
// does not fit into a buffer of twice this size is rejected as well.
const MaxSize = 1 << 20

// initialSize is the initial buffer size in bytes.
const initialSize = 1 << 10

// ErrTooLarge reports an event or a line that exceeds the limits of MaxSize.
var ErrTooLarge = errors.New("event too large")

// Event is a server-sent event. Its slices are valid until the next call of
// Next.
type Event struct {
	ID   []byte // nil if the event has no id line
	Data []byte // data lines joined by LF
}

// Reader reads events. It must not be used by more than one goroutine at a
// time.
type Reader struct {
	source     io.Reader
	buffer     []byte
	start, end int // bounds of the unread part of buffer
	id, data   []byte
	hasID      bool
	hasData    bool
	readErr    error // first error of source
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader) *Reader {
	r := new(Reader)
	r.Reset(source)
	return r
}

// Reset makes the reader read from source. It keeps the allocated buffers and
// discards their contents.
func (r *Reader) Reset(source io.Reader) {
	r.source = source
	r.start, r.end = 0, 0
	r.readErr = nil
	r.clear()
}

// Next returns the next event. It returns io.EOF if the stream ended between
// two events, and io.ErrUnexpectedEOF if it ended within one. After an error of
// the source, later calls do not read from it again until Reset.
func (r *Reader) Next() (Event, error) {
	r.clear()
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if len(line) > 0 {
			r.parseField(line)
			if len(r.data) > MaxSize {
				return Event{}, ErrTooLarge
			}
			continue
		}
		if r.hasData {
			return r.event(), nil
		}
		r.clear()
	}
}

func (r *Reader) clear() {
	r.id, r.data = r.id[:0], r.data[:0]
	r.hasID, r.hasData = false, false
}

func (r *Reader) event() Event {
	e := Event{Data: r.data}
	if r.hasID {
		e.ID = r.id
	}
	return e
}

// endError replaces io.EOF within an event by io.ErrUnexpectedEOF.
func (r *Reader) endError(err error) error {
	if err == io.EOF && (r.hasData || r.hasID || r.start < r.end) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseField adds the field on the line to the current event. Comments and
// unknown fields are ignored.
func (r *Reader) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.hasData = true
	case "id":
		r.id = append(r.id[:0], value...)
		r.hasID = true
	}
}

// readLine returns the next line without its terminator. The line is valid
// until the next call.
func (r *Reader) readLine() ([]byte, error) {
	searched := 0
	for {
		unread := r.buffer[r.start:r.end]
		if i := bytes.IndexByte(unread[searched:], '\n'); i >= 0 {
			line := unread[:searched+i]
			r.start += len(line) + 1
			return bytes.TrimSuffix(line, []byte{'\r'}), nil
		}
		searched = len(unread)
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads more data into the buffer. It reports an error that came with data
// on the next call.
func (r *Reader) fill() error {
	if r.readErr != nil {
		return r.readErr
	}
	if err := r.ensureSpace(); err != nil {
		return err
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.readErr = err
	if n > 0 {
		return nil
	}
	return err
}

// ensureSpace frees space behind the unread part of the buffer, by moving that
// part to the front or by doubling the buffer.
func (r *Reader) ensureSpace() error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.end < len(r.buffer) {
		return nil
	}
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
		return nil
	}
	if len(r.buffer) > MaxSize {
		return ErrTooLarge
	}
	larger := make([]byte, max(initialSize, 2*len(r.buffer)))
	r.end = copy(larger, r.buffer[:r.end])
	r.buffer = larger
	return nil
}
