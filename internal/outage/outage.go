// Package outage tracks whether the key-value service is unavailable and limits how
// often a router calls it. All callers within a router share one Outage, since each
// call costs money, even one that the service refuses.
//
// # Usage
//
//	var o outage.Outage
//	if !o.Allow(now, outage.Intervals{Normal: 500 * time.Millisecond, Failing: 2 * time.Second}) {
//		return // call again after the interval, or once o.Recovered() is closed
//	}
//	err := call()
//	o.Record(now, err)
package outage

import (
	"sync"
	"time"
)

// Outage records the availability of the key-value service. The zero value assumes
// that the service is available. Its methods are safe for concurrent use.
type Outage struct {
	mu          sync.Mutex
	failing     bool
	lastCall    time.Time // time of the last call to the service
	recoveredAt time.Time // end of the last outage
	recovered   chan struct{}
}

// Intervals sets the minimum time between two calls.
type Intervals struct {
	// Normal applies while calls succeed, Failing after a failed call.
	Normal, Failing time.Duration
	// AfterRecovery is how long no call is made after the end of an outage.
	AfterRecovery time.Duration
}

// Allow reports whether the service may be called at now. If so, it records the call.
func (o *Outage) Allow(now time.Time, intervals Intervals) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	interval := intervals.Normal
	if o.failing {
		interval = intervals.Failing
	}
	if within(now, o.lastCall, interval) || !o.failing && within(now, o.recoveredAt, intervals.AfterRecovery) {
		return false
	}
	o.lastCall = now
	return true
}

// within reports whether less than d has passed since then. If the clock was set
// back, it returns false.
func within(now, then time.Time, d time.Duration) bool {
	age := now.Sub(then)
	return !then.IsZero() && age >= 0 && age < d
}

// Record records the result of a call that ended at now.
func (o *Outage) Record(now time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.failing, o.lastCall = true, now
		return
	}
	if !o.failing {
		return
	}
	o.failing, o.recoveredAt = false, now
	if o.recovered != nil {
		close(o.recovered)
		o.recovered = nil
	}
}

// Recovered returns a channel that is closed once a call succeeds after a failed one.
func (o *Outage) Recovered() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recovered == nil {
		o.recovered = make(chan struct{})
	}
	return o.recovered
}
