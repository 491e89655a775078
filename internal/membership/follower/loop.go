package follower

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/store"
)

// follow lists and watches the records until the follower is closed.
func (f *Follower) follow() error {
	ctx := f.tomb.Context(context.Background())
	for {
		err := f.round(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil || errors.Is(err, store.ErrCompacted) {
			continue
		}
		event.RecordsUnavailable.Warn(f.settings.Log, "err", err)
		f.sleep(f.settings.Retry)
	}
}

// round lists the records and watches them until the next listing is due.
func (f *Follower) round(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "following the records") }()
	revision, err := f.list(ctx)
	if err != nil {
		return err
	}
	due, cancel := f.untilDue(ctx)
	defer cancel()
	return f.watch(due, revision)
}

// untilDue returns a context that ends when the next listing is due.
func (f *Follower) untilDue(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	interval := f.settings.Resync
	if f.pending() {
		interval = f.settings.Count
	}
	due, cancel := context.WithTimeout(ctx, interval)
	f.interrupt = cancel
	return due, cancel
}

func (f *Follower) list(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.settings.Timeout)
	defer cancel()
	asked := f.settings.Clock()
	entries, revision, err := f.settings.Store.List(ctx, membership.KeyPrefix)
	if err != nil {
		return 0, err
	}
	answered := f.settings.Clock()
	var records []membership.Record
	for _, entry := range entries {
		if r, ok := f.decode(entry); ok {
			records = append(records, r)
		}
	}
	f.update(func(v *membership.View) []membership.Transition {
		return v.Observe(asked, answered, records)
	})
	f.setReady()
	return revision, nil
}

// watch applies changes until ctx ends, which is no error.
func (f *Follower) watch(ctx context.Context, from store.Revision) error {
	w, err := f.settings.Store.Watch(ctx, membership.KeyPrefix, from)
	if err != nil {
		return ignoreEnd(ctx, err)
	}
	// A watch that was read to its end has nothing left to fail.
	defer func() { _ = w.Close() }()
	for {
		batch, err := w.Next(ctx)
		if err != nil {
			return ignoreEnd(ctx, err)
		}
		f.apply(batch)
	}
}

func (f *Follower) apply(batch store.Batch) {
	var changes []membership.Change
	for _, e := range batch.Events {
		if c, ok := f.change(e); ok {
			changes = append(changes, c)
		}
	}
	now := f.settings.Clock()
	f.update(func(v *membership.View) []membership.Transition {
		return v.Apply(now, changes)
	})
}

func (f *Follower) change(e store.Event) (c membership.Change, ok bool) {
	if !e.Deleted {
		c.Record, ok = f.decode(e.Entry)
		return c, ok
	}
	c.Removed = true
	c.Record.VM, ok = membership.VMOf(e.Entry.Key)
	return c, ok
}

func (f *Follower) decode(entry store.Entry) (membership.Record, bool) {
	r, err := membership.Decode(entry.Key, entry.Value)
	if err != nil {
		event.RecordMalformed.Warn(f.settings.Log, "key", entry.Key, "err", err)
		return membership.Record{}, false
	}
	return r, true
}

// pollVMs reads the platform's list until the follower is closed.
func (f *Follower) pollVMs() error {
	ctx := f.tomb.Context(context.Background())
	for ctx.Err() == nil {
		if err := f.readVMs(ctx); err != nil && ctx.Err() == nil {
			event.VMListUnavailable.Warn(f.settings.Log, "err", err)
		}
		f.sleep(f.settings.Poll)
	}
	return nil
}

func (f *Follower) readVMs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.Timeout)
	defer cancel()
	vms, err := f.settings.VMs.List(ctx)
	if err != nil {
		return err
	}
	now := f.settings.Clock()
	f.update(func(v *membership.View) []membership.Transition {
		return v.List(now, vms)
	})
	return nil
}

func (f *Follower) setReady() {
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

// sleep waits for d or until the follower is closed.
func (f *Follower) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.tomb.Dying():
	}
}

// ignoreEnd drops the error of a call that ended with its context.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
