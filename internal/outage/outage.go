// Package outage tracks whether the key-value service is unavailable and limits how
// often a router calls it. All callers within a router share one Outage, since each
// call costs money, even one that the service refuses.
//
// Only a call that failed shows an outage. A time without calls shows nothing: the caller
// may have waited for something else, or its process may have been paused.
//
// # Usage
//
//	var o outage.Outage
//	if !o.Allow(now, outage.Intervals{Normal: 500 * time.Millisecond, Failing: 2 * time.Second}) {
//		return // call again after the interval, or once o.Recovered() is closed
//	}
//	err := call()
//	o.Record(now, time.Now(), err)
package outage

import (
	"sync"
	"time"
)

// Outage records the availability of the key-value service. The zero value assumes
// that the service is available. Its methods are safe for concurrent use.
type Outage struct {
	mu           sync.Mutex
	failing      bool
	failedAt     time.Time // time of the first failure, while failing
	lastFailed   time.Time // beginning of the last call that failed
	lastCall     time.Time // time of the last call to the service
	lastResponse time.Time // time of the last response of the service
	last         Span      // the last outage that has ended
	recovered    chan struct{}
}

// Span is the time of an outage. The zero value stands for no outage.
type Span struct {
	// Noticed is when the first call failed. The outage may have begun earlier.
	Noticed time.Time
	// Ended is when the service first responded again.
	Ended time.Time
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
	if o.refusal(now, intervals) != "" {
		return false
	}
	o.lastCall = now
	return true
}

// Refusal returns why Allow refuses a call at now, or "" if it does not.
func (o *Outage) Refusal(now time.Time, intervals Intervals) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refusal(now, intervals)
}

// refusal implements Refusal. o.mu must be held.
func (o *Outage) refusal(now time.Time, intervals Intervals) string {
	switch {
	case o.failing && within(now, o.lastCall, intervals.Failing):
		return "the service was failing"
	case !o.failing && within(now, o.lastCall, intervals.Normal):
		return "the service was called just before"
	case !o.failing && within(now, o.last.Ended, intervals.AfterRecovery):
		return "an outage ended just before"
	}
	return ""
}

// within reports whether less than d has passed since then. If the clock was set
// back, it returns false.
func within(now, then time.Time, d time.Duration) bool {
	age := now.Sub(then)
	return !then.IsZero() && age >= 0 && age < d
}

// Record records the result of a call that was made at the time started and ended at now.
// A failure counts only if the service has not responded to another call in between.
func (o *Outage) Record(started, now time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lastCall = now
		if o.lastResponse.After(started) {
			return
		}
		if started.After(o.lastFailed) {
			o.lastFailed = started
		}
		if !o.failing {
			o.failing, o.failedAt = true, now
		}
		return
	}
	o.lastResponse = now
	if !o.failing {
		return
	}
	o.failing, o.last = false, Span{Noticed: o.failedAt, Ended: now}
	if o.recovered != nil {
		close(o.recovered)
		o.recovered = nil
	}
}

// Failing reports whether the last call failed, so that the service counts as unavailable.
func (o *Outage) Failing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failing
}

// LastFailed returns when the last call began that failed, unless the service responded to
// another call in between. The service was unavailable at some time after that.
func (o *Outage) LastFailed() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastFailed
}

// Last returns the last outage that has ended.
func (o *Outage) Last() Span {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
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
