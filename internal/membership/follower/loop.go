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
		err := f.listAndWatch(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil || errors.Is(err, store.ErrCompacted) {
			continue
		}
		event.RecordsUnavailable.Warn(f.settings.Log, "err", err)
		f.sleep(f.settings.RetryInterval)
	}
}

// listAndWatch lists the records and watches them until the next listing is due.
func (f *Follower) listAndWatch(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "following the membership records") }()
	revision, err := f.list(ctx)
	if err != nil {
		return err
	}
	listingCtx, cancel := f.nextListingContext(ctx)
	defer cancel()
	return f.watch(listingCtx, revision)
}

// nextListingContext returns a context that is done when the next listing is due.
func (f *Follower) nextListingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	interval := f.settings.ListInterval
	if f.absencePending() {
		interval = f.settings.AbsenceInterval
	}
	listingCtx, cancel := context.WithTimeout(ctx, interval)
	f.cancelWatch = cancel
	return listingCtx, cancel
}

// list lists the records and applies them to the view. It returns the revision of
// the listing.
func (f *Follower) list(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.settings.Timeout)
	defer cancel()
	requestedAt := f.settings.Clock()
	entries, revision, err := f.settings.Store.List(ctx, membership.KeyPrefix)
	if err != nil {
		return 0, err
	}
	answeredAt := f.settings.Clock()
	var records []membership.Record
	for _, entry := range entries {
		if r, ok := f.decode(entry); ok {
			records = append(records, r)
		}
	}
	f.update(func(v *membership.View) []membership.Transition {
		return v.ApplyListing(requestedAt, answeredAt, records)
	})
	f.setReady()
	return revision, nil
}

// watch applies changes after revision from until ctx is done, which is not an
// error.
func (f *Follower) watch(ctx context.Context, from store.Revision) error {
	w, err := f.settings.Store.Watch(ctx, membership.KeyPrefix, from)
	if err != nil {
		return ignoreContextEnd(ctx, err)
	}
	// Next has already returned an error, so that of Close adds nothing.
	defer func() { _ = w.Close() }()
	for {
		batch, err := w.Next(ctx)
		if err != nil {
			return ignoreContextEnd(ctx, err)
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
		return v.ApplyChanges(now, changes)
	})
}

// change converts an event to a change. It returns false if the record or the key
// is invalid.
func (f *Follower) change(e store.Event) (c membership.Change, ok bool) {
	if !e.Deleted {
		c.Record, ok = f.decode(e.Entry)
		return c, ok
	}
	c.Removed = true
	c.Record.VM, ok = membership.VMFromKey(e.Entry.Key)
	return c, ok
}

// decode decodes a record. It logs records that are malformed and returns false.
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
		if err := f.updateVMList(ctx); err != nil && ctx.Err() == nil {
			event.VMListUnavailable.Warn(f.settings.Log, "err", err)
		}
		f.sleep(f.settings.VMListInterval)
	}
	return nil
}

func (f *Follower) updateVMList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.settings.Timeout)
	defer cancel()
	vms, err := f.settings.VMs.List(ctx)
	if err != nil {
		return err
	}
	now := f.settings.Clock()
	f.update(func(v *membership.View) []membership.Transition {
		return v.ApplyVMList(now, vms)
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

// ignoreContextEnd returns nil if ctx is done, and err otherwise.
func ignoreContextEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
