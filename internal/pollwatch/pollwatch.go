// Package pollwatch watches a store that returns the changes after a revision by long polling.
//
// # Usage
//
//	func (c *Client) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
//		return pollwatch.Open(ctx, c, prefix, from, 5*time.Second)
//	}
package pollwatch

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/store"
)

// Source reads changes.
type Source interface {
	// Changes returns the changes after the revision from, as soon as there are any, or an empty
	// batch after wait.
	Changes(ctx context.Context, prefix string, from store.Revision, wait time.Duration) (store.Batch, error)
}

// errWatchClosed reports a call of Next on a watch that was closed or has failed.
var errWatchClosed = merry.Prepend(store.ErrUnavailable, "watch closed")

// watch implements store.Watch by long polling.
type watch struct {
	source Source
	wait   time.Duration // of one call
	prefix string
	from   store.Revision // changes up to this revision have been read
	ctx    context.Context
	cancel context.CancelFunc
	first  store.Batch // result of the call that opened the watch, until Next returns it
}

// Open opens a watch of the changes after the revision from. Each call waits for changes for the
// given time.
func Open(ctx context.Context, s Source, prefix string, from store.Revision, wait time.Duration) (store.Watch, error) {
	first, err := s.Changes(ctx, prefix, from, 0)
	if err != nil {
		return nil, err
	}
	w := &watch{source: s, wait: wait, prefix: prefix, from: first.Revision, first: first}
	w.ctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return w, nil
}

// Next implements store.Watch.
func (w *watch) Next(ctx context.Context) (store.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(w.ctx, cancel)()
	for {
		if w.ctx.Err() != nil {
			return store.Batch{}, errWatchClosed
		}
		if first := w.first; len(first.Events) > 0 {
			w.first = store.Batch{}
			return first, nil
		}
		b, err := w.source.Changes(ctx, w.prefix, w.from, w.wait)
		if err != nil {
			w.cancel()
			return store.Batch{}, err
		}
		w.from = b.Revision
		if len(b.Events) > 0 {
			return b, nil
		}
	}
}

// Close implements store.Watch.
func (w *watch) Close() error {
	w.cancel()
	return nil
}
