// Package repeats implements a retry budget that limits how often the fleet sends
// requests again.
//
// Within a sliding window, all routers together may retry a fraction of the requests of
// a service, plus a fixed number of retries. Each router enforces its part without
// coordination: the ratio applies to its own requests, and the fixed number is divided
// equally among the routers. When many upstreams fail, retries therefore stop before
// they add to the load.
//
// # Usage
//
//	b := repeats.New(repeats.Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
//	b.CountRequest(now)
//	if b.TryRepeat(now, routers) {
//		// send the request again
//	}
package repeats

import (
	"sync"
	"time"
)

// slotCount is the number of slots that divide the window.
const slotCount = 10

// Limits bounds the retries of all routers together.
type Limits struct {
	Ratio  float64 // retries per request in the window
	Slack  float64 // retries permitted in addition to the ratio
	Window time.Duration
}

// Budget counts the requests and retries of one service at one router. Its
// methods are safe for concurrent use.
type Budget struct {
	limits Limits

	mu         sync.Mutex
	start      time.Time // time of the first call
	newestSlot int64     // number of the newest slot since start
	requests   [slotCount]float64
	retries    [slotCount]float64
}

// New returns an empty budget.
func New(l Limits) *Budget {
	return &Budget{limits: l}
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// TryRetry counts a retry and returns true if the budget permits it, given the number of
// routers that share the fixed part. If that is 0, it is unknown, and the fixed part is not
// used.
func (b *Budget) TryRetry(now time.Time, routers int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.advance(now)
	allowed := b.limits.Ratio * sum(b.requests)
	if routers > 0 {
		allowed += b.limits.Slack / float64(routers)
	}
	if sum(b.retries)+1 > allowed {
		return false
	}
	b.retries[slot]++
	return true
}

// advance clears the slots that have left the window and returns the index of the
// current slot.
func (b *Budget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	slot := int64(now.Sub(b.start) / max(b.limits.Window/slotCount, 1))
	for next := max(b.newestSlot+1, slot-slotCount+1); next <= slot; next++ {
		b.requests[next%slotCount], b.retries[next%slotCount] = 0, 0
	}
	b.newestSlot = max(b.newestSlot, slot)
	return int(b.newestSlot % slotCount)
}

func sum(values [slotCount]float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}
