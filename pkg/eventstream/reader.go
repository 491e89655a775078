// Package eventstream reads server-sent events.
//
// Lines end with LF or CRLF. Events without data are skipped, as are comments,
// names of events and retry times.
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

// MaxSize is the greatest size in bytes of the data of an event and of a line.
const MaxSize = 1 << 20

// initialSize is the size in bytes of the buffer of a new reader.
const initialSize = 1 << 10

// ErrTooLarge reports an event or a line over MaxSize.
var ErrTooLarge = errors.New("event too large")

// Event is a server-sent event. Its slices are valid until the next call of
// Next.
type Event struct {
	ID   []byte // nil if the event has no id line
	Data []byte // lines joined by LF
}

// Reader reads events. It is used by one goroutine at a time.
type Reader struct {
	source     io.Reader
	buffer     []byte
	start, end int // the unread part of buffer
	id, data   []byte
	hasID      bool
	hasData    bool
	failed     error
}

// NewReader returns a reader of source.
func NewReader(source io.Reader) *Reader {
	r := new(Reader)
	r.Reset(source)
	return r
}

// Reset makes the reader read from source. It keeps its buffers and drops what
// it has not yet given out.
func (r *Reader) Reset(source io.Reader) {
	r.source = source
	r.start, r.end = 0, 0
	r.failed = nil
	r.clear()
}

// Next returns the next event. It returns io.EOF if the stream ended between
// two events, and io.ErrUnexpectedEOF if it ended within one. Errors last.
func (r *Reader) Next() (Event, error) {
	r.clear()
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, r.ending(err)
		}
		if len(line) > 0 {
			r.field(line)
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

// ending turns the end of the source within an event into an unexpected one.
func (r *Reader) ending(err error) error {
	if err == io.EOF && (r.hasData || r.hasID || r.start < r.end) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) field(line []byte) {
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

// line returns the next line without its end. It is valid until the next call.
func (r *Reader) line() ([]byte, error) {
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

// fill reads more into the buffer.
func (r *Reader) fill() error {
	if r.failed != nil {
		return r.failed
	}
	if err := r.makeRoom(); err != nil {
		return err
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.failed = err
	if n > 0 {
		return nil
	}
	return err
}

// makeRoom makes the buffer have a free part behind its unread part.
func (r *Reader) makeRoom() error {
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
