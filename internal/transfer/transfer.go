// Package transfer tracks how far the response to a call has arrived.
//
// The caller starts a Transfer and makes the call with its context. The client that
// reads the response reads its body through Reader, once it has the header.
//
// # Usage
//
//	ctx, t := transfer.Start(ctx, time.Now)
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
	clock func() time.Time
	start time.Time

	mu       sync.Mutex
	begun    time.Time // arrival of the header, or zero
	received int64     // bytes of the body
}

type contextKey struct{}

// Start starts to track the response to a call that is made with the returned context.
func Start(ctx context.Context, clock func() time.Time) (context.Context, *Transfer) {
	t := &Transfer{clock: clock, start: clock()}
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
	n, err = r.body.Read(b)
	r.transfer.record(n)
	return n, err
}

// record records that the header and n more bytes of the body have arrived.
func (t *Transfer) record(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun.IsZero() {
		t.begun = t.clock()
	}
	t.received += int64(n)
}

// Received returns the number of bytes of the body that have arrived.
func (t *Transfer) Received() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received
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
