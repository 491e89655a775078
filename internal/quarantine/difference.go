package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Since returns the changes that lead from an earlier list to l: the crashes that the
// earlier one lacks, in order of time, and excuses of those that l lacks.
func (l *List) Since(now time.Time, earlier List) (changes []Change) {
	for d, r := range l.Records {
		for _, c := range r.Crashes {
			change := Change{At: c.At, Digest: d, Part: r.Part, Upstream: c.Upstream, Customer: c.Customer, Prior: math.MaxInt32}
			if c.Concurrent {
				change.Prior = 0
			}
			if !earlier.hasCrash(change.CrashID()) {
				changes = append(changes, change)
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.Upstream, b.Upstream))
	})
	for d, r := range earlier.Records {
		for _, c := range r.Crashes {
			if id := (Change{Digest: d, Upstream: c.Upstream}).CrashID(); !l.hasCrash(id) {
				changes = append(changes, id.Excuse(now))
			}
		}
	}
	return changes
}
