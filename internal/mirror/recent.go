package mirror

import (
	"context"
	"time"
)

const (
	// recentAttempts is how many others a starting router asks that refuse or have no copy. If
	// a fleet starts as a whole, nobody can tell.
	recentAttempts = 3
	// recentRetryInterval is the time between two requests. The addresses of the others are
	// read from the service at the same time as the list.
	recentRetryInterval = 10 * time.Millisecond
)

// copyToLearnFrom returns the copy of another router from which a starting router learns what was
// deleted or changed before its list of the service. It may be stale: nothing else is taken from
// it. It is empty if there is none.
func (m *Mirror) copyToLearnFrom(ctx context.Context) (s snapshot) {
	m.mu.Lock()
	initialized := m.initialized
	m.mu.Unlock()
	if initialized || m.settings.LearnRecent == 0 {
		return s
	}
	deadline := m.settings.Clock().Add(m.settings.LearnRecent)
	for attempts := 0; attempts < recentAttempts && m.settings.Clock().Before(deadline); {
		known := m.settings.PeersKnown == nil || m.settings.PeersKnown()
		peers := m.randomPeers()
		if known && len(peers) == 0 {
			return s
		}
		if len(peers) > 0 {
			// One at a time: on a slow link a copy takes as long as the list.
			if s, err := m.fetch(ctx, peers[0], m.settings.LearnRecent); err == nil && s.Revision > 0 {
				return s
			}
		}
		if known {
			attempts++
		}
		select {
		case <-time.After(recentRetryInterval):
		case <-ctx.Done():
			return s
		}
	}
	return s
}

// changeRetention is how long changes are kept for routers that start. The rate at which an
// upstream gets requests rises for 3 s after its record says that it is warm.
const changeRetention = 5 * time.Second

// recentChanges holds when entries changed, about the oldest first. The zero value is empty.
type recentChanges []recentChange

type recentChange struct {
	key string
	at  time.Time
}

// add adds a change and drops those that are too old.
func (c *recentChanges) add(now time.Time, key string, at time.Time) {
	for len(*c) > 0 && now.Sub((*c)[0].at) > changeRetention {
		*c = (*c)[1:]
	}
	*c = append(*c, recentChange{key: key, at: at})
}

// times returns the times of the last changes that are not too old, by key.
func (c recentChanges) times(now time.Time) map[string]time.Time {
	all := make(map[string]time.Time)
	for _, change := range c {
		if now.Sub(change.at) <= changeRetention && change.at.After(all[change.key]) {
			all[change.key] = change.at
		}
	}
	return all
}

// adoptRecent records the deletions and changes that the copy of another router lists.
func (v *view) adoptRecent(now time.Time, s snapshot) {
	for key, d := range s.Deleted {
		v.adoptDeletion(key, tombstone{revision: d.Revision, at: now.Add(-milliseconds(d.AgeMillis))})
	}
	for key, age := range s.Changed {
		if _, present := v.entries[key]; present {
			v.recent.add(now, key, now.Add(-milliseconds(age)))
		}
	}
}

// learnFrom records the deletions and changes that the copy of another router lists, and those
// that follow from it: those of its entries that have gone from this view or are newer in it. It
// takes now for the time of the latter.
func (v *view) learnFrom(now time.Time, s snapshot) {
	v.adoptRecent(now, s)
	for _, e := range s.Entries {
		held, present := v.entries[e.Key]
		_, deleted := v.tombstones[e.Key]
		switch {
		case e.Revision > v.revision:
		case present && held.Revision > e.Revision && !v.equivalent(e.Value, held.Value):
			v.recent.add(now, e.Key, now)
		case !present && !deleted:
			v.adoptDeletion(e.Key, tombstone{revision: v.revision, at: now})
		}
	}
}
