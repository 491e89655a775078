package mirror

import (
	"context"
	"encoding/base64"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/outage"
	"example.org/lagoonfork/internal/transfer"
	"example.org/lagoonfork/pkg/store"
)

const (
	// entryOverhead is about the size in bytes of an entry on the wire without its key
	// and value.
	entryOverhead = 100
	// maxChangesRatio is how many times as large as a list changes may be. Up to then
	// reading them is not slower than starting with a list.
	maxChangesRatio = 2
	// minChangesLimit is the size in bytes up to which changes are read in any case.
	minChangesLimit = 32 << 10
)

// readService reads the changes after a revision from the service. A read that got no
// response on an open connection is repeated at once on a new one. Only that shows whether the
// service is available.
func (m *Mirror) readService(ctx context.Context, from store.Revision, initialized bool) (err error) {
	started := m.settings.Clock()
	defer func() {
		if err == nil || ctx.Err() != nil {
			return
		}
		err = merry.Prepend(err, "reading the key-value service")
		m.recordWait("the service", started)
		m.settings.Outage.Record(started, m.settings.Clock(), err)
		m.suspendRelay()
	}()
	err = m.readServiceOnce(ctx, from, initialized, m.pollWait())
	if !errors.Is(err, store.ErrNoResponse) || ctx.Err() != nil {
		return err
	}
	event.ConnectionSilent.Info(m.settings.Log, "mirror", m.settings.Name, "error", err)
	started = m.settings.Clock()
	if err = m.readServiceOnce(ctx, from, initialized, 0); err == nil && m.settings.OnRecovery != nil {
		m.settings.OnRecovery()
	}
	return err
}

// callWhenDue reads the changes after a revision from the service each time that it has to be
// called, beside a request to a relay. The returned function ends that and reports whether the
// service was read.
func (m *Mirror) callWhenDue(ctx context.Context, from store.Revision) (stop func() (called bool)) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	called := false
	timer := time.AfterFunc(m.untilCall(), func() {
		defer close(done)
		for ctx.Err() == nil {
			m.settings.Outage.Allow(m.settings.Clock(), outage.Intervals{}) // records the call
			called = m.readService(ctx, from, true) == nil || called
			select {
			case <-time.After(max(m.untilCall(), m.settings.Interval/2)):
			case <-ctx.Done():
			}
		}
	})
	return func() bool {
		cancel()
		if !timer.Stop() {
			<-done
		}
		return called
	}
}

// readServiceOnce reads the changes after a revision from the service, and waits for changes if
// there are none. It lists all entries if the mirror is not initialized, the changes were
// compacted, or they are larger than the list.
func (m *Mirror) readServiceOnce(ctx context.Context, from store.Revision, initialized bool, wait time.Duration) error {
	if initialized {
		err := m.readChanges(ctx, from, wait)
		if !errors.Is(err, store.ErrCompacted) && !errors.Is(err, transfer.ErrTooLarge) {
			return err
		}
	}
	return m.listEntries(ctx)
}

// readChanges reads the changes after a revision from the service. The error wraps
// transfer.ErrTooLarge if a list is smaller.
func (m *Mirror) readChanges(ctx context.Context, from store.Revision, wait time.Duration) (err error) {
	limit := transfer.Limit{Begin: m.settings.Timeout + wait, MaxBytes: m.maxChangesSize()}
	ctx, t, stop := limit.Start(ctx, m.settings.Clock)
	defer stop()
	defer func() { err = m.metrics.record(sourceService, t, err) }()
	b, err := m.settings.Source.Changes(ctx, m.settings.Prefix, from, wait)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, transfer.ErrTooLarge) {
			return cause
		}
		return err
	}
	m.recordRead(m.recordResponse(t))
	m.addDeltas(changedEntries(b))
	m.applyBatch(b)
	return nil
}

// listEntries reads all entries from the service.
func (m *Mirror) listEntries(ctx context.Context) error {
	entries, r, t, err := m.list(ctx)
	if err != nil {
		return err
	}
	readAt := m.recordResponse(t)
	before := m.copyToLearnFrom(ctx)
	m.recordRead(readAt)
	m.addDeltas(entries)
	m.replaceAll(entries, r, before)
	return nil
}

// list returns all entries that the service has, a revision that is not above theirs, and the
// transfer.
func (m *Mirror) list(ctx context.Context) (entries []store.Entry, r store.Revision, t *transfer.Transfer, err error) {
	ctx, t, stop := transfer.Limit{Begin: m.settings.Timeout}.Start(ctx, m.settings.Clock)
	defer stop()
	defer func() { err = m.metrics.record(sourceService, t, err) }()
	entries, r, err = m.settings.Source.List(ctx, m.settings.Prefix)
	return entries, r, t, err
}

// recordResponse records that the service has responded. It returns when it was read.
func (m *Mirror) recordResponse(t *transfer.Transfer) (readAt time.Time) {
	now := m.settings.Clock()
	m.settings.Outage.Record(now, now, nil)
	return t.FirstByte(now)
}

// recordRead records a read of the service, before what was read is applied.
func (m *Mirror) recordRead(at time.Time) {
	m.recordOutage(m.settings.Outage.Last())
	m.recordServiceRead(at)
}

// maxChangesSize returns the size in bytes from which changes are not read: they hold each
// version of an entry, a list only the newest.
func (m *Mirror) maxChangesSize() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := 0
	for key, e := range m.view.entries {
		list += base64.StdEncoding.EncodedLen(len(e.Value)) + len(key) + entryOverhead
	}
	return int64(max(maxChangesRatio*list, minChangesLimit))
}

// suspendRelay stops relaying the copy after a failed read, until the next successful
// one: downstream routers may still be able to reach the service.
func (m *Mirror) suspendRelay() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.serviceReadAt.IsZero() {
		m.serviceReadAt = time.Time{}
		m.notify()
	}
}

// recordServiceRead records that the service itself was read at the given time, by
// this router or by a router from which it got the data. It reports whether that is later
// than known.
func (m *Mirror) recordServiceRead(at time.Time) (later bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.serviceReadAt) {
		m.serviceReadAt = at
	}
	if later = at.After(m.view.serviceReadAt); later {
		m.logOverdue(m.settings.Clock())
		m.waits = nil
	}
	m.view.recordServiceRead(at)
	return later
}
