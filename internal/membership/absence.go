package membership

import (
	"maps"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/ident"
)

// maxTrackingTime bounds how long the absence of a holder is tracked, counted from
// the call of add.
const maxTrackingTime = 24 * time.Hour

// absenceTracker measures for how long holders have been missing from the
// listings of the records. A holder is an incarnation that may hold shares.
type absenceTracker struct {
	maxGap        time.Duration
	lastRequested time.Time // request time of the last listing
	holders       map[ident.Incarnation]*holderAbsence
}

// holderAbsence holds what the listings show about one holder.
type holderAbsence struct {
	added time.Time
	// firstMissing is when the first listing of the current unbroken series that
	// lacks the holder was answered. It is zero if there is none.
	firstMissing time.Time
	// longest is the longest time over which an unbroken series lacked the
	// holder.
	longest time.Duration
}

func newAbsenceTracker(maxGap time.Duration) absenceTracker {
	return absenceTracker{
		maxGap:  maxGap,
		holders: make(map[ident.Incarnation]*holderAbsence),
	}
}

// add starts tracking the absence of a holder, unless it is tracked already or
// empty. The next listing is the first one that counts.
func (a *absenceTracker) add(now time.Time, holder ident.Incarnation) {
	if _, ok := a.holders[holder]; ok || holder == "" {
		return
	}
	a.holders[holder] = &holderAbsence{added: now}
}

// remove stops tracking a holder.
func (a *absenceTracker) remove(holder ident.Incarnation) {
	delete(a.holders, holder)
}

// recordListing records a listing that lacks all tracked holders. The service may
// have read the records at any time from requestedAt to answeredAt, so each
// absence is computed at its shortest and each gap at its longest.
func (a *absenceTracker) recordListing(requestedAt, answeredAt time.Time) {
	gapTooLong := answeredAt.Sub(a.lastRequested) > a.maxGap
	a.lastRequested = requestedAt
	for holder, h := range a.holders {
		if answeredAt.Sub(h.added) > maxTrackingTime {
			a.remove(holder)
			continue
		}
		if gapTooLong || h.firstMissing.IsZero() {
			h.firstMissing = answeredAt
			continue
		}
		h.longest = max(h.longest, requestedAt.Sub(h.firstMissing))
	}
}

// absentFor returns the holders that listings show to have been absent for at
// least lifetime, in sorted order.
func (a *absenceTracker) absentFor(lifetime time.Duration) []ident.Incarnation {
	var holders []ident.Incarnation
	for _, holder := range slices.Sorted(maps.Keys(a.holders)) {
		if a.holders[holder].longest >= lifetime {
			holders = append(holders, holder)
		}
	}
	return holders
}

// hasAbsenceShorterThan reports whether any tracked holder has not yet been shown to be
// absent for lifetime.
func (a *absenceTracker) hasAbsenceShorterThan(lifetime time.Duration) bool {
	for _, h := range a.holders {
		if h.longest < lifetime {
			return true
		}
	}
	return false
}
