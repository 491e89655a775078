// Package silence decides when a stream has gone silent and whether a broken
// stream is resumed.
//
// A connection can go silent for good while new ones to the same upstream
// work. A Watch therefore observes the activity of a stream's connection; past
// the limit the connection is given up. The stream is then resumed on a new
// connection, a bounded number of times without a new token.
//
// # Usage
//
//	if watch.Observe(activity, limit, now) {
//		// give the connection up
//	}
//	...
//	decision := resumptions.Broken(received, resumeLimit, random, now)
//	if !decision.Resume {
//		// the answer is lost
//	}
package silence

import (
	"math/rand/v2"
	"time"
)

// Delays of the second and later resumptions without a new token.
const (
	firstDelay = 50 * time.Millisecond
	maxDelay   = 2 * time.Second
)

// Activity counts the steps of the reader of a stream. It is odd while the
// reader waits for the upstream.
type Activity uint64

// Waiting reports whether the reader waits for the upstream.
func (a Activity) Waiting() bool { return a%2 == 1 }

// Watch follows the activity of one stream. The zero value is a new stream.
type Watch struct {
	seen  Activity
	since time.Time // when seen was first observed
}

// Observe reports whether the stream is silent at now: whether the reader has
// waited without any byte for limit or longer. Time counts only from the first
// observation of a wait, so that a reader that was itself busy or paused is
// never taken for a silent upstream.
func (w *Watch) Observe(a Activity, limit time.Duration, now time.Time) bool {
	if a != w.seen || w.since.IsZero() {
		w.seen = a
		w.since = now
		return false
	}
	return a.Waiting() && now.Sub(w.since) >= limit
}

// Decision tells what becomes of a broken stream.
type Decision struct {
	Resume bool
	At     time.Time // when to resume
	Count  int       // resumptions since the last new token, this one included
}

// Resumptions counts how often one stream was resumed. The zero value is a new
// stream.
type Resumptions struct {
	received int // tokens received at the last break
	count    int // resumptions since the last new token
}

// Broken decides what becomes of a stream whose connection broke or was given
// up after so many received tokens. The first resumption after a new token is
// immediate; later ones are delayed and jittered. After limit resumptions
// without a new token the stream is not resumed.
func (r *Resumptions) Broken(received, limit int, random *rand.Rand, now time.Time) Decision {
	if received > r.received {
		r.count = 0
	}
	r.received = received
	if r.count >= limit {
		return Decision{Count: r.count}
	}
	r.count++
	return Decision{Resume: true, At: now.Add(delay(r.count, random)), Count: r.count}
}

// delay returns the delay of the n-th resumption without a new token.
func delay(n int, random *rand.Rand) time.Duration {
	if n <= 1 {
		return 0
	}
	d := min(firstDelay<<min(n-2, 8), maxDelay)
	return d/2 + time.Duration(random.Int64N(int64(d)))
}
