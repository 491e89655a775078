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

// expiryInterval is how often a waiting watch looks for lapsed leases.
const expiryInterval = 20 * time.Millisecond

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Revision) (_ store.Watch, err error) {
	defer func() { err = merry.Prependf(err, "watching %s from revision %d", prefix, from) }()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := c.enter(func(n *Counts) { n.Watches++ }); err != nil {
		return nil, err
	}
	if err := c.pause(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.out() {
		return nil, store.ErrUnavailable
	}
	s.counts.Waiting++
	return &watch{client: c, prefix: prefix, seen: from, outages: c.outages()}, nil
}

// watch implements store.Watch.
type watch struct {
	client  *Client
	prefix  string
	seen    store.Revision
	outages int // Client.outages when the watch began
	err     error
	closed  bool
}

// Next implements store.Watch.
func (w *watch) Next(ctx context.Context) (batch store.Batch, err error) {
	defer func() { err = merry.Prependf(err, "watching %s", w.prefix) }()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		batch, changed, err := w.poll()
		if err != nil || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-changed:
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

// poll returns the changes not yet seen, and a channel that is closed at the
// next change of state.
func (w *watch) poll() (store.Batch, <-chan struct{}, error) {
	s := w.client.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case w.err != nil:
	case w.outages != w.client.outages():
		w.end(store.ErrUnavailable)
	case w.seen < s.compacted:
		w.end(store.ErrCompacted)
	}
	if w.err != nil {
		return store.Batch{}, nil, w.err
	}
	batch := store.Batch{Revision: s.revision}
	for _, e := range s.after(w.seen) {
		if strings.HasPrefix(e.Entry.Key, w.prefix) {
			e.Entry.Value = bytes.Clone(e.Entry.Value)
			batch.Events = append(batch.Events, e)
		}
	}
	w.seen = s.revision
	return batch, s.changed, nil
}

// after returns the changes after revision r. The caller holds mu.
func (s *Service) after(r store.Revision) []store.Event {
	i, _ := slices.BinarySearchFunc(s.changes, r+1, func(e store.Event, r store.Revision) int {
		return cmp.Compare(e.Entry.Revision, r)
	})
	return s.changes[i:]
}

func (w *watch) fail(err error) error {
	s := w.client.service
	s.mu.Lock()
	defer s.mu.Unlock()
	w.end(err)
	return err
}

// end ends the watch once. The caller holds Service.mu.
func (w *watch) end(err error) {
	if w.err == nil {
		w.err = err
	}
	if !w.closed {
		w.closed = true
		w.client.service.counts.Waiting--
	}
}
