package mirror

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/lagoonfork/internal/history"
	"example.org/lagoonfork/internal/outage"
	"example.org/lagoonfork/pkg/store"
)

// view holds the entries of the service as of a revision. Entries that disappeared
// while the service was unavailable are kept until their grace period ends.
type view struct {
	entries  map[string]store.Entry
	lapsed   map[string]time.Time // when a lapsed entry is dropped
	revision store.Revision

	// equivalent reports whether two values of a key are equivalent. older, unless it is
	// nil, reports whether the second one is older than the first.
	equivalent, older func(a, b []byte) bool
	// retained has the keys of entries whose value is newer than the one that the
	// service has at their revision; see set.
	retained map[string]bool
	// changedAt holds the revision at which each entry last changed to a value that is
	// not equivalent. tombstones holds recent deletions; those up to the revision
	// compacted may have been discarded.
	changedAt  map[string]store.Revision
	tombstones map[string]tombstone
	compacted  store.Revision

	history history.History // of large entries, for routers that read through this one
	recent  recentChanges   // of entries that were known

	lastRead      time.Time   // last successful read from the service or a relay
	serviceReadAt time.Time   // last read of the service itself, by this router or others
	outage        outage.Span // the last outage of the service
}

// tombstone records the deletion of one entry.
type tombstone struct {
	revision store.Revision
	at       time.Time
}

// tombstoneRetention is how long deletions are kept for routers that use this one as
// a relay.
const tombstoneRetention = 30 * time.Second

// newView returns an empty view. If equivalent is nil, bytes.Equal is used.
func newView(equivalent func(a, b []byte) bool) view {
	if equivalent == nil {
		equivalent = bytes.Equal
	}
	return view{
		retained:   make(map[string]bool),
		entries:    make(map[string]store.Entry),
		lapsed:     make(map[string]time.Time),
		equivalent: equivalent,
		changedAt:  make(map[string]store.Revision),
		tombstones: make(map[string]tombstone),
	}
}

// recordOutage records that the service was unavailable for a time that has ended. It must
// be called before the entries that were read after the outage are applied.
//
// An outage that was noticed before the service was last read, for this view, is not a new
// one. If it is the one that the view knows, the earlier end counts: the owners of lapsed
// entries have been able to write them again since then.
func (v *view) recordOutage(o outage.Span, gracePeriod time.Duration) {
	switch {
	case o.Ended.IsZero():
	case !o.Noticed.Before(v.serviceReadAt):
		if o.Ended.After(v.outage.Ended) {
			v.outage = o
		}
	case o.Ended.After(v.outage.Noticed) && o.Ended.Before(v.outage.Ended):
		v.outage.Ended = o.Ended
		for key, until := range v.lapsed {
			if earlier := o.Ended.Add(gracePeriod); earlier.Before(until) {
				v.lapsed[key] = earlier
			}
		}
	}
}

// recordEra records that the service was read at a revision. The first revision of an era
// ends an outage, however short: entries that were written after the copy from which the
// service was restored are missing until their owners write them again.
func (v *view) recordEra(now time.Time, r store.Revision) (restored bool) {
	restored = v.revision != 0 && r.Era() > v.revision.Era()
	if restored {
		v.outage = outage.Span{Noticed: v.lastRead, Ended: now}
	}
	return restored
}

// apply applies the changes that follow the view's revision. It reports whether any
// entry was deleted or changed to a value that is not equivalent.
func (v *view) apply(now time.Time, b store.Batch, gracePeriod time.Duration) (changed bool) {
	v.recordEra(now, b.Revision)
	for _, e := range b.Events {
		if !e.Deleted {
			changed = v.set(now, e.Entry) || changed
			continue
		}
		if v.entries[e.Entry.Key].Revision < e.Entry.Revision {
			v.remove(now, e.Entry.Key, e.Entry.Revision, gracePeriod)
			changed = true
		}
	}
	v.revision = max(v.revision, b.Revision)
	return changed
}

// replace replaces all entries by those of a later revision. If they are the first ones of
// an era, entries that had been deleted before stay deleted until they are written again:
// the service may have been restored from a copy that still has them.
func (v *view) replace(now time.Time, entries []store.Entry, r store.Revision, gracePeriod time.Duration) {
	if v.revision == 0 {
		v.compacted = r
	}
	restored := v.recordEra(now, r)
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		if d, deleted := v.tombstones[e.Key]; deleted && restored {
			v.tombstones[e.Key] = tombstone{revision: e.Revision, at: d.at}
		}
		v.set(now, e)
	}
	for key := range maps.Clone(v.entries) {
		if !present[key] {
			v.remove(now, key, r, gracePeriod)
		}
	}
	v.revision = max(v.revision, r)
}

// set stores an entry unless a newer one, or its deletion, is known. If the value is older
// than that of an earlier era, the entry keeps the latter until it is written again. set
// reports whether the entry is new, had lapsed, or has a value that is not equivalent to
// the old one.
func (v *view) set(now time.Time, e store.Entry) bool {
	old, known := v.entries[e.Key]
	if d, deleted := v.tombstones[e.Key]; old.Revision > e.Revision || deleted && d.revision >= e.Revision && !known {
		return false
	}
	_, lapsed := v.lapsed[e.Key]
	switch {
	case known && old.Revision == e.Revision:
		e = old
	case known && v.retains(old, e):
		e.Value = old.Value
		v.retained[e.Key] = true
	default:
		delete(v.retained, e.Key)
	}
	v.entries[e.Key] = e
	delete(v.lapsed, e.Key)
	if known && !lapsed && v.equivalent(old.Value, e.Value) {
		return false
	}
	if known && !lapsed {
		v.recent.add(now, e.Key, now)
	}
	v.changedAt[e.Key] = e.Revision
	delete(v.tombstones, e.Key)
	return true
}

// adoptDeletion records a deletion that another router knows of, unless the entry has been
// written again or a later deletion is known.
func (v *view) adoptDeletion(key string, d tombstone) {
	if _, present := v.entries[key]; !present && v.tombstones[key].revision < d.revision {
		v.tombstones[key] = d
	}
}

// retains reports whether the value of an entry stays although the service has another one
// at a later revision: that value is older, and the service was restored in between.
func (v *view) retains(held, read store.Entry) bool {
	if v.older == nil || !v.retained[held.Key] && read.Revision.Era() == held.Revision.Era() {
		return false
	}
	return v.older(held.Value, read.Value)
}

// remove deletes an entry, or marks it as lapsed if an outage of the service ended recently:
// its lease may have expired only because renewals failed, and its owner may be alive.
func (v *view) remove(now time.Time, key string, r store.Revision, gracePeriod time.Duration) {
	v.pruneTombstones(now)
	if v.outage.Ended.IsZero() {
		v.tombstones[key] = tombstone{revision: r, at: now}
		v.drop(key)
		return
	}
	v.lapse(now, key, r, v.outage.Ended.Add(gracePeriod))
}

// lapse marks an entry that was deleted at revision r as lapsed until the given time, or
// deletes it if that has passed.
func (v *view) lapse(now time.Time, key string, r store.Revision, until time.Time) {
	v.tombstones[key] = tombstone{revision: r, at: now}
	if !now.Before(until) {
		v.drop(key)
		return
	}
	if _, known := v.entries[key]; known {
		v.lapsed[key] = until
	}
}

// recordServiceRead records that the service itself was read at the given time.
func (v *view) recordServiceRead(at time.Time) {
	if at.After(v.serviceReadAt) {
		v.serviceReadAt = at
	}
}

// applyConfirmedDeletions drops lapsed entries whose deletion a relay has confirmed.
// The relay could reach the service when they were deleted, so their leases did not
// expire because of failed renewals.
func (v *view) applyConfirmedDeletions(deletions []store.Event) (changed bool) {
	for _, e := range deletions {
		if _, lapsed := v.lapsed[e.Entry.Key]; lapsed && v.entries[e.Entry.Key].Revision < e.Entry.Revision {
			v.drop(e.Entry.Key)
			changed = true
		}
	}
	return changed
}

// beforeUnconfirmedDeletions returns the revision before the first deletion of a
// lapsed entry.
func (v *view) beforeUnconfirmedDeletions() (r store.Revision, ok bool) {
	for key := range v.lapsed {
		if d := v.tombstones[key]; !ok || d.revision-1 < r {
			r, ok = d.revision-1, true
		}
	}
	return r, ok
}

func (v *view) drop(key string) {
	delete(v.entries, key)
	delete(v.lapsed, key)
	delete(v.changedAt, key)
	delete(v.retained, key)
	v.history.Drop(key)
}

// pruneTombstones discards the tombstones older than tombstoneRetention.
func (v *view) pruneTombstones(now time.Time) {
	for key, d := range v.tombstones {
		if now.Sub(d.at) > tombstoneRetention {
			delete(v.tombstones, key)
			v.compacted = max(v.compacted, d.revision)
		}
	}
}

// changes returns the changes to values that are not equivalent, and the deletions,
// after a revision, ordered by revision. It returns false if they are no longer known.
func (v *view) changes(after store.Revision) (events []store.Event, ok bool) {
	if after < v.compacted {
		return nil, false
	}
	for key, r := range v.changedAt {
		if _, lapsed := v.lapsed[key]; r > after && !lapsed {
			events = append(events, store.Event{Entry: v.entries[key]})
		}
	}
	for key, d := range v.tombstones {
		if d.revision > after {
			events = append(events, store.Event{Entry: store.Entry{Key: key, Revision: d.revision}, Deleted: true})
		}
	}
	slices.SortFunc(events, func(a, b store.Event) int { return cmp.Compare(a.Entry.Revision, b.Entry.Revision) })
	return events, true
}

// expireLapsed drops the lapsed entries whose grace period has ended.
func (v *view) expireLapsed(now time.Time) (changed bool) {
	for key, until := range v.lapsed {
		if !now.Before(until) {
			v.drop(key)
			changed = true
		}
	}
	return changed
}
