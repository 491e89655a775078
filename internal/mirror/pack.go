package mirror

import (
	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/delta"
	"example.org/lagoonfork/pkg/store"
)

const (
	// minLargeValue is the size in bytes from which routers send each other a value as
	// deltas. A smaller value fits into a few packets.
	minLargeValue = 4 << 10
	// maxHeld is how many large entries a request names. The others are sent whole.
	maxHeld = 8
)

// largeEntries returns the large entries that this router holds, by key, which are the
// bases of the deltas that it can apply.
func (m *Mirror) largeEntries() map[string]store.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	bases := make(map[string]store.Entry)
	for key, e := range m.view.entries {
		if len(e.Value) >= minLargeValue && len(bases) < maxHeld {
			bases[key] = e
		}
	}
	return bases
}

// revisions returns the revisions of entries, by key. It is not nil.
func revisions(entries map[string]store.Entry) map[string]store.Revision {
	all := make(map[string]store.Revision, len(entries))
	for key, e := range entries {
		all[key] = e.Revision
	}
	return all
}

// addDeltas adds the versions of large entries that were read from the service to the
// history, if other routers read through this one. The versions of an entry are in order
// of revision. It must be called before the versions are applied.
func (m *Mirror) addDeltas(versions []store.Entry) {
	if !m.relaying.Load() {
		return
	}
	newest := make(map[string]store.Entry)
	for _, e := range versions {
		if len(e.Value) < minLargeValue {
			continue
		}
		before, ok := newest[e.Key]
		if !ok {
			before, ok = m.Get(e.Key)
		}
		newest[e.Key] = e
		if !ok || e.Revision <= before.Revision {
			continue
		}
		d, err := delta.New(before, e)
		if err != nil {
			continue // the value is sent whole
		}
		m.keepDeltas(e.Key, []delta.Delta{d})
	}
}

// changedEntries returns the entries of a batch that were not deleted.
func changedEntries(b store.Batch) (entries []store.Entry) {
	for _, e := range b.Events {
		if !e.Deleted {
			entries = append(entries, e.Entry)
		}
	}
	return entries
}

// packChanges replaces the large values of events by the deltas that it returns.
// The caller holds m.mu.
func (m *Mirror) packChanges(events []store.Event, held map[string]store.Revision) map[string][]delta.Delta {
	entries := make([]*store.Entry, 0, len(events))
	for i := range events {
		entries = append(entries, &events[i].Entry)
	}
	return m.pack(entries, held)
}

// pack replaces the large values of entries by the deltas that it returns, by key. They
// lead from the versions that the requester holds, which is nil if it cannot apply deltas.
// The caller holds m.mu.
func (m *Mirror) pack(entries []*store.Entry, held map[string]store.Revision) map[string][]delta.Delta {
	if held == nil {
		return nil
	}
	packed := make(map[string][]delta.Delta)
	for _, e := range entries {
		if len(e.Value) < minLargeValue {
			continue
		}
		deltas, err := m.view.history.Since(*e, held[e.Key])
		if err != nil {
			continue // the value is sent whole
		}
		packed[e.Key], e.Value = deltas, nil
	}
	return packed
}

// unpackChanges sets the values of the events of a response that come as deltas.
func (m *Mirror) unpackChanges(r changesResponse, bases map[string]store.Entry) error {
	entries := make([]*store.Entry, 0, len(r.Changes))
	for i := range r.Changes {
		if !r.Changes[i].Deleted {
			entries = append(entries, &r.Changes[i].Entry)
		}
	}
	return m.unpack(entries, r.Deltas, bases)
}

// unpack sets the values of the entries that come as deltas from bases, and keeps the
// deltas for the routers that read through this one.
func (m *Mirror) unpack(entries []*store.Entry, packed map[string][]delta.Delta, bases map[string]store.Entry) error {
	for _, e := range entries {
		deltas, ok := packed[e.Key]
		if !ok {
			continue
		}
		version := store.Entry{Key: e.Key}
		if base, ok := bases[e.Key]; ok && len(deltas) > 0 && deltas[0].From != 0 {
			version = base
		}
		for _, d := range deltas {
			var err error
			if version, err = d.Apply(version); err != nil {
				return err
			}
		}
		if version.Revision != e.Revision {
			return merry.Errorf("deltas of %s: they lead to revision %d, not %d", e.Key, version.Revision, e.Revision)
		}
		e.Value = version.Value
		m.keepDeltas(e.Key, deltas)
	}
	return nil
}

// keepDeltas adds deltas to the history, unless they begin at nothing.
func (m *Mirror) keepDeltas(key string, deltas []delta.Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range deltas {
		if d.From != 0 {
			m.view.history.Add(key, d)
		}
	}
}

// pointers returns pointers to the elements of entries.
func pointers(entries []store.Entry) (all []*store.Entry) {
	for i := range entries {
		all = append(all, &entries[i])
	}
	return all
}
