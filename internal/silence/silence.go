// Package silence detects idle streams and decides whether a broken stream is
// resumed.
//
// A connection can stop delivering data for good while new connections to the same
// upstream work. An IdleDetector therefore tracks the activity of a stream's reader. The
// caller closes the connection once it has been idle for the limit. The stream is then
// resumed on a new connection, up to a maximum number of times without a new token.
//
// # Usage
//
//	if detector.Observe(activity, limit, now) {
//		// close the connection
//	}
//	...
//	decision := resumptions.Decide(received, resumeLimit, random, now)
//	if !decision.Resume {
//		// the rest of the response is lost
//	}
package silence

import (
	"math/rand/v2"
	"time"
)

// Delays of the second and later resumptions without a new token.
const (
	baseResumeDelay = 50 * time.Millisecond
	maxResumeDelay  = 2 * time.Second
)

// Activity counts the state changes of a stream's reader. It is odd while the reader
// waits for the upstream.
type Activity uint64

// Waiting reports whether the reader waits for the upstream.
func (a Activity) Waiting() bool { return a%2 == 1 }

// IdleDetector tracks the activity of one stream. The zero value is ready for a new stream.
type IdleDetector struct {
	lastActivity Activity
	since        time.Time // when lastActivity was first observed
}

// Observe reports whether the stream is idle at now: whether the reader has waited
// for limit or longer without receiving any byte. Time counts only from the first
// observation of a wait, so that a stream is not considered idle because its reader
// or the observer was busy or paused.
func (w *IdleDetector) Observe(a Activity, limit time.Duration, now time.Time) bool {
	if a != w.lastActivity || w.since.IsZero() {
		w.lastActivity = a
		w.since = now
		return false
	}
	return a.Waiting() && now.Sub(w.since) >= limit
}

// Decision reports whether and when a broken stream is resumed.
type Decision struct {
	Resume bool
	At     time.Time // when to resume
	Count  int       // resumptions since the last new token, this one included
}

// Resumptions counts the resumptions of one stream. The zero value is ready for a new
// stream.
type Resumptions struct {
	received int // tokens received before the last break
	count    int // resumptions since the last new token
}

// Decide decides whether to resume a stream whose connection broke or was closed as
// idle after the given number of received tokens. The first resumption after a new
// token is immediate; later ones are delayed with jitter. After limit resumptions
// without a new token the stream is not resumed.
func (r *Resumptions) Decide(received, limit int, random *rand.Rand, now time.Time) Decision {
	if received > r.received {
		r.count = 0
	}
	r.received = received
	if r.count >= limit {
		return Decision{Count: r.count}
	}
	r.count++
	return Decision{Resume: true, At: now.Add(resumeDelay(r.count, random)), Count: r.count}
}

// resumeDelay returns the delay of the n-th resumption without a new token.
func resumeDelay(n int, random *rand.Rand) time.Duration {
	if n <= 1 {
		return 0
	}
	d := min(baseResumeDelay<<min(n-2, 8), maxResumeDelay)
	return d/2 + time.Duration(random.Int64N(int64(d)))
}
