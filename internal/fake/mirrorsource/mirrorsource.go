// Package mirrorsource provides a source for mirrors that can be made unavailable to one of them,
// while others read the same service.
//
// # Usage
//
//	source := mirrorsource.New(service.Client())
//	m := mirror.New(mirror.Settings{Source: source, ...})
//	source.Unavailable.Store(true)
package mirrorsource

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
)

// minWait is the least time that a read of changes waits for them.
const minWait = 5 * time.Millisecond

// reader is mirror.Source, whose tests import this package.
type reader interface {
	List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
	Changes(ctx context.Context, prefix string, from store.Revision, wait time.Duration) (store.Batch, error)
}

// Source is a mirror.Source. Its methods are safe for concurrent use.
type Source struct {
	// Unavailable makes reads fail with store.ErrUnavailable from now on.
	Unavailable atomic.Bool

	reader reader
}

// New returns a Source that reads a fake service.
func New(c *keyvalue.Client) *Source { return Wrap(watcher{c}) }

// Wrap returns a Source that reads another one.
func Wrap(r reader) *Source { return &Source{reader: r} }

// List implements mirror.Source.
func (s *Source) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if s.Unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.reader.List(ctx, prefix)
}

// Changes implements mirror.Source.
func (s *Source) Changes(ctx context.Context, prefix string, from store.Revision, wait time.Duration) (store.Batch, error) {
	if s.Unavailable.Load() {
		return store.Batch{}, store.ErrUnavailable
	}
	return s.reader.Changes(ctx, prefix, from, wait)
}

// watcher reads changes from a watch.
type watcher struct{ *keyvalue.Client }

// Changes returns the first changes after a revision, or an empty batch after wait.
func (w watcher) Changes(ctx context.Context, prefix string, from store.Revision, wait time.Duration) (store.Batch, error) {
	watch, err := w.Watch(ctx, prefix, from)
	if err != nil {
		return store.Batch{}, err
	}
	defer func() { _ = watch.Close() }()
	ctx, cancel := context.WithTimeout(ctx, max(wait, minWait))
	defer cancel()
	b, err := watch.Next(ctx)
	if ctx.Err() != nil {
		return store.Batch{Revision: from}, nil
	}
	return b, err
}
