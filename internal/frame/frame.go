// Package frame splits a stream of server-sent events into its events and keeps
// their bytes unchanged.
//
// Routers use it to forward streams: an event is forwarded only after it was
// received completely, and its ID is the position from which an interrupted stream
// is resumed.
//
// # Usage
//
//	r := frame.NewReader(response.Body, nil)
//	for {
//		e, err := r.Next()
//		if err == io.EOF {
//			break // the stream ended between two events
//		}
//		if err != nil {
//			return err
//		}
//		w.Write(e.Bytes)
//	}
package frame

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxSize is the maximum size of an event in bytes.
const MaxSize = 1 << 20

// growthUnit is the number of bytes of an event after which Memory is asked again.
const growthUnit = 16 << 10

var (
	// ErrTooLarge reports an event that is larger than MaxSize.
	ErrTooLarge = errors.New("event too large")
	// ErrNoMemory reports an event that Memory refused.
	ErrNoMemory = errors.New("no memory for the event")
)

// Memory bounds the memory that the events of a Reader take.
type Memory interface {
	// Grow reports whether an event may hold size bytes.
	Grow(size int64) bool
}

// Event is one event, including the blank line that ends it.
type Event struct {
	Bytes []byte // valid until the next call of Next
	// ID is the value of the event's id field. It is valid if HasID is set, which
	// requires that the value is a number.
	ID    int64
	HasID bool
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	memory Memory
	buffer []byte
}

// NewReader returns a Reader that reads from source. If memory is not nil, it bounds the size of
// events.
func NewReader(source io.Reader, memory Memory) *Reader {
	return &Reader{source: bufio.NewReader(source), memory: memory}
}

// Next returns the next event. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends within an event.
func (r *Reader) Next() (e Event, err error) {
	r.buffer = r.buffer[:0]
	for {
		line, err := r.source.ReadSlice('\n')
		if !r.grow(len(line)) {
			return Event{}, ErrNoMemory
		}
		r.buffer = append(r.buffer, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(r.buffer) > MaxSize {
				return Event{}, ErrTooLarge
			}
			continue
		case err == io.EOF && len(r.buffer) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		case len(r.buffer) > MaxSize:
			return Event{}, ErrTooLarge
		}
		if r.atEventEnd() {
			e.Bytes = r.buffer
			e.ID, e.HasID = eventID(r.buffer)
			return e, nil
		}
	}
}

// Detach makes the bytes of the last event remain valid. The next event takes a new buffer.
func (r *Reader) Detach() { r.buffer = nil }

// grow reports whether the buffer may hold n more bytes.
func (r *Reader) grow(n int) bool {
	size := len(r.buffer) + n
	if r.memory == nil || size/growthUnit == len(r.buffer)/growthUnit {
		return true
	}
	return r.memory.Grow(int64(size/growthUnit+1) * growthUnit)
}

// atEventEnd reports whether the buffer ends with a blank line or consists of one.
func (r *Reader) atEventEnd() bool {
	b := bytes.TrimSuffix(bytes.TrimSuffix(r.buffer, []byte{'\n'}), []byte{'\r'})
	return len(b) == 0 || b[len(b)-1] == '\n'
}

// eventID returns the value of the event's first id field, and false if the event has
// no such field or its value is not a number.
func eventID(event []byte) (n int64, ok bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
