// Package replay buffers the answers to requests while they are produced and for some
// time after, so that a caller that lost its connection can get the same answer without
// a second execution.
//
// One goroutine produces an Answer; any number of goroutines read it, each from the
// first piece. A Registry finds an answer by idempotency key.
//
// # Usage
//
//	a, started, err := registry.Begin(now, key, digest)
//	if started {
//		go produce(a) // a.Append(piece) ... a.End(end)
//	}
//	for i := 0; ; i += len(pieces) {
//		pieces, end, err := a.Read(ctx, i)
//		...
//	}
package replay

import (
	"context"
	"sync"

	"example.org/lagoonfork/internal/answermemory"
)

// Answer is a sequence of pieces of type P followed by an end value of type E. The zero
// value is an empty, incomplete answer. Its methods are safe for concurrent use.
type Answer[P, E any] struct {
	// Memory is what the answer takes of the router's memory. It may be nil and is set by the producer
	// before others can find the answer.
	Memory *answermemory.Share

	mu      sync.Mutex
	pieces  []P
	end     *E
	changed chan struct{}
}

// Append adds a piece. It must not be called after End.
func (a *Answer[P, E]) Append(piece P) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pieces = append(a.pieces, piece)
	a.notify()
}

// End completes the answer. Further calls have no effect.
func (a *Answer[P, E]) End(end E) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = &end
	a.notify()
}

func (a *Answer[P, E]) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Read waits until there are pieces from index from on, or the answer is complete. It
// returns these pieces, and the end value if the answer is complete. The error is that of
// ctx. The caller must not modify the pieces.
func (a *Answer[P, E]) Read(ctx context.Context, from int) (pieces []P, end *E, err error) {
	for {
		pieces, end, changed := a.poll(from)
		if changed == nil {
			return pieces, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// poll returns the pieces from index from on, or a channel that is closed at the next
// change if there are none and the answer is incomplete.
func (a *Answer[P, E]) poll(from int) (pieces []P, end *E, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pieces) > from || a.end != nil {
		return a.pieces[from:len(a.pieces):len(a.pieces)], a.end, nil
	}
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return nil, nil, a.changed
}

// Len returns the number of pieces appended so far.
func (a *Answer[P, E]) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pieces)
}

// Ended reports whether the answer is complete.
func (a *Answer[P, E]) Ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end != nil
}
