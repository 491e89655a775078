package keyvalue

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/store"
)

// expiryInterval is the interval at which a waiting watch checks for expired
// leases.
const expiryInterval = 20 * time.Millisecond

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Revision) (_ store.Watch, err error) {
	defer func() { err = merry.Prependf(err, "watching %s from revision %d", prefix, from) }()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := c.beginCall(func(counts *Counts) { counts.Watches++ }); err != nil {
		return nil, err
	}
	if err := c.waitDelay(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.unavailable() {
		return nil, store.ErrUnavailable
	}
	s.counts.OpenWatches++
	return &watch{client: c, prefix: prefix, seen: from, outageCount: c.outageCount()}, nil
}

// watch implements store.Watch.
type watch struct {
	client      *Client
	prefix      string
	seen        store.Revision // changes up to this revision have been returned
	outageCount int            // Client.outageCount when the watch was opened
	err         error          // returned by Next once the watch has ended
	closed      bool
}

// Next implements store.Watch.
func (w *watch) Next(ctx context.Context) (batch store.Batch, err error) {
	defer func() { err = merry.Prependf(err, "watching %s", w.prefix) }()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		batch, stateChanged, err := w.poll()
		if err != nil || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-stateChanged:
		case <-ticker.C:
		case <-ctx.Done():
			return store.Batch{}, w.fail(ctx.Err())
		}
	}
}

// Close implements store.Watch.
func (w *watch) Close() error {
	s := w.client.service
	s.mu.Lock()
	defer s.mu.Unlock()
	w.end(store.ErrUnavailable)
	return nil
}

// poll returns the changes since the last call, and a channel that is closed at
// the next change of the service's state.
func (w *watch) poll() (store.Batch, <-chan struct{}, error) {
	s := w.client.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case w.err != nil:
	case w.outageCount != w.client.outageCount():
		w.end(store.ErrUnavailable)
	case w.seen.Era() != s.revision.Era(), w.seen < s.compacted, w.seen > s.revision:
		w.end(store.ErrCompacted)
	}
	if w.err != nil {
		return store.Batch{}, nil, w.err
	}
	batch := store.Batch{Revision: s.revision}
	for _, e := range s.eventsAfter(w.seen) {
		if strings.HasPrefix(e.Entry.Key, w.prefix) {
			e.Entry.Value = bytes.Clone(e.Entry.Value)
			batch.Events = append(batch.Events, e)
		}
	}
	w.seen = s.revision
	return batch, s.stateChanged, nil
}

// eventsAfter returns the changes after revision r. The caller holds mu.
func (s *Service) eventsAfter(r store.Revision) []store.Event {
	i, _ := slices.BinarySearchFunc(s.events, r+1, func(e store.Event, r store.Revision) int {
		return cmp.Compare(e.Entry.Revision, r)
	})
	return s.events[i:]
}

// fail ends the watch with err and returns err.
func (w *watch) fail(err error) error {
	s := w.client.service
	s.mu.Lock()
	defer s.mu.Unlock()
	w.end(err)
	return err
}

// end closes the watch with err, unless it has ended before. The caller holds
// Service.mu.
func (w *watch) end(err error) {
	if w.err == nil {
		w.err = err
	}
	if !w.closed {
		w.closed = true
		w.client.service.counts.OpenWatches--
	}
}
