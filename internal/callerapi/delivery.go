package callerapi

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"example.org/lagoonfork/internal/buffered"
	"example.org/lagoonfork/internal/guard"
)

// writeBytes is the size of the pieces in which a large response is written, so that it is seen how much
// of it the caller reads.
const writeBytes = 8 << 10

// delivery writes a response to a caller, which may be given up if it does not read.
type delivery struct {
	w       http.ResponseWriter
	ctx     context.Context // of the caller's request
	written atomic.Int64
}

var _ buffered.Caller = (*delivery)(nil)

// write writes a part of the response. It stops if the caller has disconnected or is given up.
func (d *delivery) write(b []byte) {
	for len(b) > 0 {
		n, err := d.w.Write(b[:min(len(b), writeBytes)])
		d.written.Add(int64(n))
		if err != nil {
			return
		}
		b = b[n:]
	}
}

// BytesRead implements buffered.Caller.
func (d *delivery) BytesRead() int64 {
	unread, _ := guard.Unread(d.ctx)
	return d.written.Load() - unread
}

// GiveUp implements buffered.Caller. What the socket holds is discarded when the connection is closed,
// so that the caller sees that the response is incomplete.
func (d *delivery) GiveUp() {
	guard.Discard(d.ctx)
	_ = http.NewResponseController(d.w).SetWriteDeadline(time.Unix(1, 0)) // supported by net/http
}
