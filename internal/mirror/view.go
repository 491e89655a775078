package mirror

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// view is the entries of a store as they were at a revision. Entries that went
// missing while the store was out of reach stay until their grace has ended.
type view struct {
	entries  map[string]store.Entry
	missing  map[string]time.Time // when an entry that is missing is given up
	revision store.Revision

	// same reports whether two values of a key mean the same.
	same func(a, b []byte) bool
	// since holds the revision from which each entry means what it does, deleted
	// the latest deletions. Deletions up to the revision forgotten are not known.
	since     map[string]store.Revision
	deleted   map[string]deletion
	forgotten store.Revision

	confirmed time.Time // when the store last told the revision
	regained  time.Time // when it was last reached after a loss
}

// deletion is that of one entry.
type deletion struct {
	revision store.Revision
	at       time.Time
}

// deletionMemory is how long a deletion is remembered for routers that read
// through this one.
const deletionMemory = 30 * time.Second

// newView returns an empty view. Without same, equal values mean the same.
func newView(same func(a, b []byte) bool) view {
	if same == nil {
		same = bytes.Equal
	}
	return view{
		entries: make(map[string]store.Entry),
		missing: make(map[string]time.Time),
		same:    same,
		since:   make(map[string]store.Revision),
		deleted: make(map[string]deletion),
	}
}

// limits on how the loss of the store is dealt with.
type limits struct {
	lostAfter time.Duration // without a confirmation
	grace     time.Duration // for entries that lapsed during a loss
}

// confirm notes that the store was heard of, and reports whether it had been
// lost before.
func (v *view) confirm(now time.Time, l limits) (regained bool) {
	regained = !v.confirmed.IsZero() && now.Sub(v.confirmed) > l.lostAfter
	if regained {
		v.regained = now
	}
	v.confirmed = now
	return regained
}

// apply takes in the changes that follow the view's revision, and reports
// whether any of them has a meaning.
func (v *view) apply(now time.Time, b store.Batch, l limits) (changed bool) {
	for _, e := range b.Events {
		if !e.Deleted {
			changed = v.set(e.Entry) || changed
			continue
		}
		if v.entries[e.Entry.Key].Revision < e.Entry.Revision {
			v.remove(now, e.Entry.Key, e.Entry.Revision, l)
			changed = true
		}
	}
	v.revision = max(v.revision, b.Revision)
	return changed
}

// replace takes in all entries of a later revision.
func (v *view) replace(now time.Time, entries []store.Entry, r store.Revision, l limits) {
	if v.revision == 0 {
		v.forgotten = r
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		v.set(e)
	}
	for key := range maps.Clone(v.entries) {
		if !present[key] {
			v.remove(now, key, r, l)
		}
	}
	v.revision = max(v.revision, r)
}

// set takes in an entry, and reports whether it means something new.
func (v *view) set(e store.Entry) bool {
	old, known := v.entries[e.Key]
	if old.Revision > e.Revision {
		return false
	}
	_, missing := v.missing[e.Key]
	v.entries[e.Key] = e
	delete(v.missing, e.Key)
	if known && !missing && v.same(old.Value, e.Value) {
		return false
	}
	v.since[e.Key] = e.Revision
	delete(v.deleted, e.Key)
	return true
}

// remove drops an entry, or notes when to, if the store was regained lately:
// its lease may have ended for want of renewals, and its owner may be alive.
func (v *view) remove(now time.Time, key string, r store.Revision, l limits) {
	v.forget(now)
	v.deleted[key] = deletion{revision: r, at: now}
	until := v.regained.Add(l.grace)
	if v.regained.IsZero() || !now.Before(until) {
		v.drop(key)
		return
	}
	if _, known := v.entries[key]; known {
		v.missing[key] = until
	}
}

// settle drops the entries of deletions that another router vouches for: it was
// in touch with the store when they happened, so their leases have not ended for
// want of renewals.
func (v *view) settle(deletions []store.Event) (changed bool) {
	for _, e := range deletions {
		if _, missing := v.missing[e.Entry.Key]; missing && v.entries[e.Entry.Key].Revision < e.Entry.Revision {
			v.drop(e.Entry.Key)
			changed = true
		}
	}
	return changed
}

// doubtful returns the revision before the first deletion that has a grace.
func (v *view) doubtful() (r store.Revision, ok bool) {
	for key := range v.missing {
		if d := v.deleted[key]; !ok || d.revision-1 < r {
			r, ok = d.revision-1, true
		}
	}
	return r, ok
}

func (v *view) drop(key string) {
	delete(v.entries, key)
	delete(v.missing, key)
	delete(v.since, key)
}

// forget drops the deletions that were remembered for long enough.
func (v *view) forget(now time.Time) {
	for key, d := range v.deleted {
		if now.Sub(d.at) > deletionMemory {
			delete(v.deleted, key)
			v.forgotten = max(v.forgotten, d.revision)
		}
	}
}

// changes returns what has changed its meaning after a revision, in order of
// revision. It is not ok if that is no longer known.
func (v *view) changes(after store.Revision) (events []store.Event, ok bool) {
	if after < v.forgotten {
		return nil, false
	}
	for key, r := range v.since {
		if _, missing := v.missing[key]; r > after && !missing {
			events = append(events, store.Event{Entry: v.entries[key]})
		}
	}
	for key, d := range v.deleted {
		if d.revision > after {
			events = append(events, store.Event{Entry: store.Entry{Key: key, Revision: d.revision}, Deleted: true})
		}
	}
	slices.SortFunc(events, func(a, b store.Event) int { return cmp.Compare(a.Entry.Revision, b.Entry.Revision) })
	return events, true
}

// expire drops the missing entries whose grace has ended.
func (v *view) expire(now time.Time) (changed bool) {
	for key, until := range v.missing {
		if !now.Before(until) {
			v.drop(key)
			changed = true
		}
	}
	return changed
}
