// Package replay holds the answers of requests while they are produced and for
// a while after, so that a caller that lost its connection gets the same answer
// without a second run.
//
// One goroutine produces an Answer; any number read it, each from its first
// piece on. A Book finds the answer of an idempotency key.
//
// # Usage
//
//	a, began, err := book.Begin(now, key, digest)
//	if began {
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
)

// Answer is a sequence of pieces followed by an end. The zero value has no
// pieces yet. Its methods are safe for concurrent use.
type Answer[P, E any] struct {
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
	a.wake()
}

// End completes the answer. Only the first end counts.
func (a *Answer[P, E]) End(end E) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = &end
	a.wake()
}

func (a *Answer[P, E]) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Read waits until there is something past the first from pieces, and returns
// those pieces and the end if it has been reached.
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

// poll returns what there is past from, or a channel that is closed when there
// is more.
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

// Len returns the number of pieces so far.
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
