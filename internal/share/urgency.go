package share

import (
	"time"

	"example.org/lagoonfork/pkg/tokens"
)

// Urgency tells how urgent a request is, from 1, the least urgent, to MaxUrgency. It is 0 if
// it is not known, as in messages of earlier releases; such requests are treated like the
// most urgent ones.
type Urgency int

// MaxUrgency is the urgency of the most urgent requests.
const MaxUrgency Urgency = 10

// UrgencyOf returns the urgency of a request with the given priority, of which 0 is the most
// urgent.
func UrgencyOf(priority int) Urgency {
	return min(max(MaxUrgency-Urgency(priority), 1), MaxUrgency)
}

// MoreUrgentThan reports whether u is more urgent than o. One that is not known is more urgent
// than all that are.
func (u Urgency) MoreUrgentThan(o Urgency) bool { return u.rank() > o.rank() }

// rank returns the urgency within the known range, or a higher value if it is not known.
func (u Urgency) rank() Urgency {
	if u <= 0 {
		return MaxUrgency + 1
	}
	return min(u, MaxUrgency)
}

// maxOutageLevel and outageLevelRise give the levels of OutageFloor: 0.10, 0.15 and 0.18 for
// the priorities 1, 2 and 3, and 0.25 for 9. They are such that urgent requests are refused less
// often than all: in a cut of 12 s of budgets that last 15 s, at 58 routers, 43% of the urgent
// requests and 34% of all are refused without levels, 37% and 41% with them. Higher levels refuse
// more requests in all.
const (
	maxOutageLevel  = 0.3
	outageLevelRise = 2
)

// OutageFloor returns how many tokens of a share are kept for more urgent requests while the
// ledger is unreachable: if the share has fewer, a request of urgency u is refused. It is a
// level, which rises as the urgency falls, of the size of the share when the outage began.
// The most urgent requests and those of unknown urgency have none.
func OutageFloor(u Urgency, sizeAtStart tokens.Count) tokens.Count {
	priority := float64(MaxUrgency - min(u.rank(), MaxUrgency))
	return tokens.Count(maxOutageLevel * priority / (priority + outageLevelRise) * float64(max(sizeAtStart, 0)))
}

// recentWindow is how long an urgency counts as seen recently, at least. It counts for twice
// that time at most.
const recentWindow = 15 * time.Second

// RecentUrgencies records the urgencies of the requests that were seen recently. The zero
// value is ready to use. It is not safe for concurrent use.
type RecentUrgencies struct {
	current, previous uint16 // a bit for each urgency seen in this window and the one before
	since             int64  // start of the current window, in Unix nanoseconds
}

// Record records a request of urgency u. It ignores one that is not known.
func (r *RecentUrgencies) Record(now time.Time, u Urgency) {
	r.advance(now)
	if u > 0 {
		r.current |= 1 << u.rank()
	}
}

// MoreUrgentThan reports whether a request that is more urgent than u was seen recently.
func (r *RecentUrgencies) MoreUrgentThan(now time.Time, u Urgency) bool {
	r.advance(now)
	return (r.current|r.previous)>>(u.rank()+1) != 0
}

func (r *RecentUrgencies) advance(now time.Time) {
	switch age := time.Duration(now.UnixNano() - r.since); {
	case age < recentWindow:
	case age < 2*recentWindow:
		r.previous, r.current, r.since = r.current, 0, now.UnixNano()
	default:
		r.previous, r.current, r.since = 0, 0, now.UnixNano()
	}
}
