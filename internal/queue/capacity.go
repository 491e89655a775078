package queue

import (
	"math"
	"time"

	"example.org/lagoonfork/internal/admission"
	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// blindFactor is the number of equal shares of the slots that a router uses while it does not
	// know the requests of the others, because callers are distributed unevenly over a fleet: one
	// router of 58 gets 35% of the requests.
	blindFactor = 4
	// minShare is the number of requests that a router may have in progress in any case. With one,
	// the customers of a router would wait for each other while a burst at other routers has all
	// slots.
	minShare = 2

	// calm is the part of the slots of which fewer are busy if slots are idle for certain, so that each
	// router may use all that are left. In overload, some slots are idle because requests are not
	// spread evenly.
	calm = 0.8

	// minRetryAfter is the least Retry-After of callers that have time left, and shortRetryAfter
	// that of all.
	minRetryAfter   = time.Second
	shortRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is longer than callers honour. A longer estimate says only that nothing ends at
	// the moment: the first one for a service at which nothing ends is an hour.
	maxRetryAfter = 30 * time.Second
	// retriesLeft is the number of times that the Retry-After of a caller with little time left
	// fits into that time.
	retriesLeft = 3
)

// Capacity returns the number of requests that a router may have in progress at a service, of which
// it had own when the view of the other routers was new, and has now as many as running. It is
// admission.Unlimited if not all upstreams state their slots, or if the number of routers is not
// known and there is no view.
//
// All routers change their numbers by what they see, and each view is some hundred milliseconds to
// some seconds old. If each router used all that is left up to QueueFactor requests for each slot,
// all would use it at once, as many times over as there are routers. So only idle slots are used
// without regard to the others. Of the short queues at the upstreams a router uses the part that it
// has of all requests in progress, or an equal share if that is more. It gives up its part in the same
// way if there are too many.
func Capacity(o load.Occupancy, own, running, routers int) tokens.Count {
	if o.Upstreams == 0 || o.Unstated || routers <= 0 {
		return admission.Unlimited
	}
	slots, fleet := float64(o.Slots), float64(routers)
	if !o.Viewed {
		capacity := max(blindFactor*slots/fleet, slots/float64(o.Upstreams))
		if o.Idle > 0 {
			capacity = max(capacity, float64(running+o.Idle))
		}
		return count(capacity)
	}
	wanted := load.QueueFactor * slots
	total := float64(own + o.Others)
	part := max(float64(own)/max(total, 1), 1/fleet)
	capacity := max(float64(own)+part*(wanted-total), wanted/fleet, minShare)
	if busy := float64(o.Busy); busy < calm*slots {
		capacity = max(capacity, float64(running)+slots-busy)
	}
	return count(capacity)
}

func count(n float64) tokens.Count { return tokens.Count(math.Ceil(n)) }

// RetryAfter returns the Retry-After of a request that would have been started after the given wait
// and whose caller has the given time left. It is at most maxRetryAfter, less a part by chance so that
// callers that are refused together do not return together. The draw is uniform in [0, 1).
func RetryAfter(wait, left time.Duration, draw float64) time.Duration {
	if longest := left / retriesLeft; longest < minRetryAfter {
		return max(longest, shortRetryAfter)
	}
	after := max(wait+time.Duration(draw/2*float64(wait)), minRetryAfter)
	return min(after, maxRetryAfter-time.Duration(draw/3*float64(maxRetryAfter)))
}
