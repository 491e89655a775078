package affinity

import (
	"time"

	"example.org/lagoonfork/internal/load"
)

// maxSlots is the largest number of slots that an upstream is believed to have.
const maxSlots = 10_000

// minReporting is the part of the upstreams of which the load has to be known by recent reports for
// the load of the others to be taken as the same.
const minReporting = 0.25

// Occupancy returns the occupancy of the upstreams that requests are sent to: those that are not
// closed, and not paused after a failure unless all are. The view is that of the other routers, or nil. Without
// one, the requests of the other routers are estimated from reports that are not older than the given
// time, and not older than a second, if there are enough: a router of a small fleet sees responses of
// most upstreams in that time.
func (t *Table) Occupancy(now time.Time, view *load.View, fresh time.Duration) (o load.Occupancy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, includePaused := range []bool{false, true} {
		if o = t.occupancy(now, view, fresh, includePaused); o.Upstreams > 0 {
			break
		}
	}
	return o
}

// occupancy implements Occupancy for all upstreams, or for those that are not paused. The caller must
// hold t.mu.
func (t *Table) occupancy(now time.Time, view *load.View, fresh time.Duration, includePaused bool) (o load.Occupancy) {
	var reported load.Occupancy
	for _, m := range t.members {
		if m.Closed || !includePaused && m.consecutiveFailures > 0 && now.Before(m.pausedUntil) {
			continue
		}
		o.Upstreams++
		if m.Slots < 1 || m.Slots > maxSlots {
			o.Unstated = true
			continue
		}
		o.Slots += m.Slots
		if age := now.Sub(m.reportedAt); age < reportValidity {
			others := max(int(m.reported)-m.ownAtReport, 0)
			if age <= fresh {
				reported.Upstreams++
				reported.Add(others, m.inFlight, m.Slots)
			}
			o.Idle += max(m.Slots-others-m.inFlight, 0)
		}
		if view != nil {
			others, _ := view.Of(m.ID, m.Incarnation)
			o.Add(others.InFlight, m.inFlight, m.Slots)
		}
	}
	o.Viewed = view != nil
	if known := float64(reported.Upstreams) / float64(max(o.Upstreams, 1)); !o.Viewed && known >= minReporting {
		o.Viewed = true
		o.Others, o.Busy = int(float64(reported.Others)/known), int(float64(reported.Busy)/known)
	}
	return o
}
