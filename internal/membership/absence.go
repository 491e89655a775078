package membership

import (
	"maps"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/ident"
)

// retention is how long an absence is counted before it is forgotten.
const retention = 24 * time.Hour

// absences counts for how long holders were absent from the listings.
type absences struct {
	maxGap    time.Duration
	lastAsked time.Time // for the last listing
	holders   map[ident.Incarnation]*absence
}

// absence is what the listings tell about one holder.
type absence struct {
	added time.Time
	// since is when the first listing of the unbroken series that lacks the
	// holder was answered, zero if there is none.
	since time.Time
	// proved is the longest time over which an unbroken series lacked the
	// holder.
	proved time.Duration
}

func newAbsences(maxGap time.Duration) absences {
	return absences{
		maxGap:  maxGap,
		holders: make(map[ident.Incarnation]*absence),
	}
}

// add begins to count the absence of a holder with the next listing.
func (a *absences) add(now time.Time, holder ident.Incarnation) {
	if _, ok := a.holders[holder]; ok || holder == "" {
		return
	}
	a.holders[holder] = &absence{added: now}
}

// remove forgets a holder.
func (a *absences) remove(holder ident.Incarnation) {
	delete(a.holders, holder)
}

// observe takes a listing that lacks all the holders. The service may have
// read the records at any time from asked to answered, so that each span is
// counted at its shortest and each gap at its longest.
func (a *absences) observe(asked, answered time.Time) {
	broken := answered.Sub(a.lastAsked) > a.maxGap
	a.lastAsked = asked
	for holder, h := range a.holders {
		if answered.Sub(h.added) > retention {
			a.remove(holder)
			continue
		}
		if broken || h.since.IsZero() {
			h.since = answered
			continue
		}
		h.proved = max(h.proved, asked.Sub(h.since))
	}
}

// gone returns the holders whose absence over lifetime is proved.
func (a *absences) gone(lifetime time.Duration) []ident.Incarnation {
	var holders []ident.Incarnation
	for _, holder := range slices.Sorted(maps.Keys(a.holders)) {
		if a.holders[holder].proved >= lifetime {
			holders = append(holders, holder)
		}
	}
	return holders
}

// pending reports whether the absence of a holder over lifetime is still to be
// proved.
func (a *absences) pending(lifetime time.Duration) bool {
	for _, h := range a.holders {
		if h.proved < lifetime {
			return true
		}
	}
	return false
}
