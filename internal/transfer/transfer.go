// Package transfer tracks how far the response to a call has arrived, and bounds how long
// it may take by what has arrived.
//
// A fixed time limit fails each time once responses have grown too large for the link,
// and each repeat starts anew. A Limit instead cuts off a response that does not begin,
// stalls or is too slow.
//
// The caller starts a Transfer and makes the call with its context. The client that
// reads the response reads its body through Reader, once it has the header. Transfers
// may be nested.
//
// # Usage
//
//	ctx, t, stop := transfer.Limit{Begin: time.Second}.Start(ctx, time.Now)
//	defer stop()
//	response, err := client.Do(request.WithContext(ctx))
//	...
//	data, err := io.ReadAll(transfer.Reader(ctx, response.Body))
//	if err != nil {
//		return t.Annotate(err)
//	}
package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Transfer is the progress of one response. Its methods are safe for concurrent use.
type Transfer struct {
	clock  func() time.Time
	start  time.Time
	parent *Transfer // of the calling function, or nil

	mu        sync.Mutex
	begun     time.Time // arrival of the header, or zero
	firstByte time.Time // arrival of the first byte of the body, or zero
	received  int64     // bytes of the body
	limit     Limit
	timer     *time.Timer // cancels the transfer; nil if there is no limit
	cancel    context.CancelCauseFunc
}

type contextKey struct{}

// maxReadSize is the most bytes read at a time. A body in chunks fills the buffer of a
// read before the read returns.
const maxReadSize = 4 << 10

// Start starts to track the response to a call that is made with the returned context.
func Start(ctx context.Context, clock func() time.Time) (context.Context, *Transfer) {
	parent, _ := ctx.Value(contextKey{}).(*Transfer)
	t := &Transfer{clock: clock, start: clock(), parent: parent}
	return context.WithValue(ctx, contextKey{}, t), t
}

// Reader returns a reader of the body r of a response whose header has arrived. It
// records the progress in the transfer of ctx, if there is one.
func Reader(ctx context.Context, r io.Reader) io.Reader {
	t, ok := ctx.Value(contextKey{}).(*Transfer)
	if !ok {
		return r
	}
	t.record(0)
	return &reader{transfer: t, body: r}
}

type reader struct {
	transfer *Transfer
	body     io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (n int, err error) {
	n, err = r.body.Read(b[:min(len(b), maxReadSize)])
	r.transfer.record(n)
	return n, err
}

// record records that the header and n more bytes of the body have arrived.
func (t *Transfer) record(n int) {
	if t == nil {
		return
	}
	t.parent.record(n)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	if t.begun.IsZero() {
		t.begun = now
	}
	if n > 0 && t.firstByte.IsZero() {
		t.firstByte = now
	}
	t.received += int64(n)
	switch {
	case t.timer == nil:
	case t.limit.MaxBytes > 0 && t.received > t.limit.MaxBytes:
		t.cancel(ErrTooLarge)
	case t.timer.Stop():
		t.timer.Reset(t.limit.left(now.Sub(t.start), t.received))
	}
}

// Received returns the number of bytes of the body that have arrived.
func (t *Transfer) Received() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received
}

// Begun reports whether the response has begun.
func (t *Transfer) Begun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.begun.IsZero()
}

// Empty reports whether the response has begun, but nothing of its body has arrived.
func (t *Transfer) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.begun.IsZero() && t.received == 0
}

// FirstByte returns when the first byte of the body arrived, or now if that is not known.
// The header may arrive earlier, before the server has the response.
func (t *Transfer) FirstByte(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstByte.IsZero() {
		return now
	}
	return t.firstByte
}

// Annotate prepends to err how far the response had arrived. It returns nil if err is
// nil.
func (t *Transfer) Annotate(err error) error {
	if err == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := t.clock().Sub(t.start)
	if t.begun.IsZero() {
		return merry.Prependf(err, "no response after %s", elapsed)
	}
	return merry.Prependf(err, "response began after %s, %d bytes received after %s", t.begun.Sub(t.start), t.received, elapsed)
}
