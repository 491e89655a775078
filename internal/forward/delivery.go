package forward

import (
	"net/http"
	"sync/atomic"
	"time"

	"example.org/lagoonfork/internal/buffered"
)

// pieceSize is the size of the pieces in which a response is written. What the caller reads during the
// write of a piece to a full socket is seen only at its end: with 32 KiB, callers that read up to
// three times as fast as package buffered asks could look as if they had stopped.
const pieceSize = 8 << 10

// callerEnd is why a caller was ended that does not read its response. It is the outcome of the
// request.
type callerEnd string

const (
	endNone callerEnd = ""
	// endStopped means that the caller of a stream has read nothing for stoppedTimeout while
	// the buffer for it was full.
	endStopped callerEnd = "callerStopped"
	// endSlow means that the response was given up because others needed its memory.
	endSlow callerEnd = "callerSlow"
)

// delivery writes a response to the caller and knows how much of it the caller has read. Its
// methods other than write are safe for concurrent use.
type delivery struct {
	control *http.ResponseController
	w       http.ResponseWriter
	unread  func() (n int64, known bool)
	discard func()
	chunks  bool // whether the caller understands a response in chunks

	written atomic.Int64
	ended   atomic.Pointer[callerEnd]
}

var _ buffered.Caller = (*delivery)(nil)

// newDelivery returns the delivery of the response to a request.
func newDelivery(h *http.Request, w http.ResponseWriter, s Settings) *delivery {
	ctx := h.Context()
	d := &delivery{chunks: h.ProtoAtLeast(1, 1), control: http.NewResponseController(w), w: w, unread: func() (int64, bool) { return 0, false }, discard: func() {}}
	if s.Unread != nil {
		d.unread = func() (int64, bool) { return s.Unread(ctx) }
	}
	if s.Discard != nil {
		d.discard = func() { s.Discard(ctx) }
	}
	return d
}

// write writes a part of the response in pieces, so that progress within it is seen.
func (d *delivery) write(b []byte) error {
	for len(b) > 0 {
		n, err := d.w.Write(b[:min(len(b), pieceSize)])
		d.written.Add(int64(n))
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// BytesRead implements buffered.Caller. The result includes bytes that are not of the body, such
// as the header, and may decrease by a piece while that is being written.
func (d *delivery) BytesRead() int64 {
	n, _ := d.unread()
	return d.written.Load() - n
}

// GiveUp implements buffered.Caller.
func (d *delivery) GiveUp() { d.abort(endSlow) }

// abort makes the writes fail from now on, unless that has been done. What the socket holds is
// discarded when the connection is closed, so that the caller sees that the response is incomplete
// even if it has no length.
func (d *delivery) abort(reason callerEnd) {
	if d.ended.CompareAndSwap(nil, &reason) {
		d.discard()
		_ = d.control.SetWriteDeadline(time.Unix(1, 0)) // not every writer supports deadlines
	}
}

// cutOff has the connection reset when it is closed, if the end of the connection would otherwise end
// the response for the caller.
func (d *delivery) cutOff() {
	if !d.chunks {
		d.discard()
	}
}

// end returns why the writes were made to fail, or endNone.
func (d *delivery) end() callerEnd {
	if reason := d.ended.Load(); reason != nil {
		return *reason
	}
	return endNone
}
