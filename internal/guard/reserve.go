package guard

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// RetryAfter returns when a refused request should be sent again. By then stalled requests have
// become recognizable, and have made room.
func RetryAfter() time.Duration { return time.Second + rand.N(time.Second) }

var (
	// ErrNoMemory reports that there is no memory for a body.
	ErrNoMemory = errors.New("no memory for the body of the request")
	// ErrTooLarge reports a body above the limit.
	ErrTooLarge = errors.New("body of the request too large")
)

// Accept records that the request with the given context has been accepted, so that its
// connection is kept longer than others while it is idle.
func Accept(ctx context.Context) {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		c.entry.Accept()
	}
}

// Reserve reserves n more bytes for the request with the given context, for example to decode its
// body. The error is ErrTooLarge if there would be no memory even without other requests, and
// otherwise ErrNoMemory. It succeeds if the connection is not guarded.
func Reserve(ctx context.Context, n int64) error {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok && !c.entry.Holds(n) {
		return ErrTooLarge
	}
	if !reserve(ctx, n) {
		return ErrNoMemory
	}
	return nil
}

// Detach keeps the memory that has been reserved for the request with the given context until the
// returned function is called, which must be done once. It is for requests that go on after the
// response has been written or the caller has left.
func Detach(ctx context.Context) (release func()) {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		return c.entry.Detach()
	}
	return func() {}
}

// reserve reserves memory for the request with the given context. It succeeds if the connection
// is not guarded.
func reserve(ctx context.Context, n int64) bool {
	c, ok := ctx.Value(contextKey{}).(*conn)
	return !ok || c.entry.Reserve(c.guard.settings.Clock(), n)
}

// unreserve releases n bytes that have been reserved for the request with the given context.
func unreserve(ctx context.Context, n int64) {
	if c, ok := ctx.Value(contextKey{}).(*conn); ok {
		c.entry.Return(n)
	}
}
