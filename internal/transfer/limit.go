package transfer

import (
	"context"
	"errors"
	"time"
)

const (
	// minRate is the least rate in bytes per second at which a body has to arrive. A
	// router whose callers nearly fill a link of 10 Mbit/s still gets that much of it.
	minRate = 32 << 10
	// maxDuration bounds a transfer, however much of it arrives.
	maxDuration = 15 * time.Second
)

// Causes of the end of a transfer's context.
var (
	errTooSlow = errors.New("response too slow")
	// ErrTooLarge reports that a body has more than Limit.MaxBytes.
	ErrTooLarge = errors.New("response too large")
)

// Limit bounds how long a response may take. A response has to begin within the time
// Begin, and its body may not stall for longer. Each byte that arrives extends the time
// for the rest, so that a large response may take longer than a small one, but one that
// drips or has no end is cut off.
type Limit struct {
	Begin time.Duration
	// Header is how long the response may take to begin, if that is less than Begin. Zero means
	// Begin.
	Header time.Duration
	// MaxBytes is the maximum size of the body. Zero means no limit.
	MaxBytes int64
}

// Start starts to track the response to a call that is made with the returned context,
// which ends when the limit is exceeded. The caller must call stop once the call is over.
func (l Limit) Start(ctx context.Context, clock func() time.Time) (limited context.Context, t *Transfer, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, t = Start(ctx, clock)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.cancel = l, cancel
	begin := l.Begin
	if l.Header > 0 {
		begin = min(begin, l.Header)
	}
	t.timer = time.AfterFunc(begin, func() { cancel(errTooSlow) })
	return ctx, t, func() {
		t.timer.Stop()
		cancel(nil)
	}
}

// left returns how long a transfer may wait for the next byte, given the time since its
// start and the number of bytes received.
func (l Limit) left(elapsed time.Duration, received int64) time.Duration {
	allowed := min(l.Begin+time.Duration(received)*time.Second/minRate, maxDuration)
	return max(min(allowed-elapsed, l.Begin), 0)
}
