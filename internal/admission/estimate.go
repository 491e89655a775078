package admission

import "time"

const (
	// defaultHold is how long requests are assumed to be in flight before one has finished.
	defaultHold = 200 * time.Millisecond
	// holdSmoothing is the weight of a new measurement in the exponential moving average of the
	// time that requests are in flight.
	holdSmoothing = 1.0 / 16
	// stallFactor is how many times as long as the usual time between two ends the last one must
	// be ago for the drain rate to count as lower. By chance, one time in twenty is longer.
	stallFactor = 3
	// reviewMargin is the time that a request must have left to wait. It is longer than the time
	// between reviews, so that no request waits until its deadline.
	reviewMargin = 150 * time.Millisecond
	// maxExpectedWait is the longest wait that is told apart.
	maxExpectedWait = time.Hour
)

// pace measures how fast requests finish. The time that a request is in flight is used rather than
// the number of requests that finish in a second, since that number is as low as the rate of
// arrivals while the gate is not full.
type pace struct {
	hold    float64 // mean time that a request is in flight, in seconds
	ends    int     // measurements of hold, up to the number that the average covers
	lastEnd time.Time
}

func newPace() pace { return pace{hold: defaultHold.Seconds()} }

// begin records that the first request is in flight.
func (p *pace) begin(now time.Time) { p.lastEnd = now }

// end records the end of a request that was in flight for the given time.
func (p *pace) end(now time.Time, held time.Duration) {
	p.lastEnd = now
	if weight := 1 / float64(p.ends+1); weight > holdSmoothing {
		p.ends++
		p.hold += weight * (held.Seconds() - p.hold)
	} else {
		p.hold += holdSmoothing * (held.Seconds() - p.hold)
	}
}

// drainRate returns the tokens per second that finish.
func (g *Gate) drainRate(now time.Time) float64 {
	rate := float64(g.inFlight) / max(g.pace.hold, 1e-6)
	if quiet := now.Sub(g.pace.lastEnd).Seconds(); quiet > 0 && g.running > 0 {
		rate = min(rate, stallFactor*float64(g.inFlight)/float64(g.running)/quiet)
	}
	return rate
}

// waitFor returns the time until the given number of tokens has been admitted, which are those of
// a waiting request and of all before it.
func (g *Gate) waitFor(now time.Time, n float64) time.Duration {
	return waitAt(g.drainRate(now), n+float64(g.inFlight-g.capacity))
}

// waitAt returns the time in which the given number of tokens finishes at the given rate.
func waitAt(rate, n float64) time.Duration {
	if n <= 0 {
		return 0
	}
	seconds := n / max(rate, 1e-9)
	return time.Duration(min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}

// expectedWait estimates how long a new request of the customer of q will wait. While it waits, the
// other customers are admitted in proportion to their weights.
func (g *Gate) expectedWait(now time.Time, q *queue, r Request) time.Duration {
	own := float64(q.ahead(r.priority()) + r.Tokens)
	sum := own
	for _, other := range g.customers {
		if other != q && other.waiting > 0 {
			sum += min(float64(other.total), own/q.weight*other.weight)
		}
	}
	return g.waitFor(now, sum)
}

// Review refuses the waiting requests that are no longer expected to be admitted before their
// deadlines. It goes through them in the order in which they would be admitted, so that those that it
// refuses do not count for the others. It takes time in proportion to the number of waiting requests.
func (g *Gate) Review(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
	if g.waiting == 0 {
		return
	}
	type late struct {
		queue   *queue
		ticket  *Ticket
		refusal *Refusal
	}
	var refused []late
	before, rate := float64(g.inFlight-g.capacity), g.drainRate(now)
	g.turns.walk(g.customers, func(q *queue, t *Ticket) bool {
		after := before + float64(t.request.Tokens)
		if !t.request.Deadline.IsZero() {
			if wait := waitAt(rate, after); tooLate(now, wait, t.request.Deadline) {
				refused = append(refused, late{q, t, refuse(ReasonDeadline, wait)})
				return false
			}
		}
		before = after
		return true
	})
	for _, r := range refused {
		g.withdraw(r.queue, r.ticket, r.refusal)
	}
	for c := range g.customers {
		g.deleteIfIdle(c)
	}
	g.admit(now)
}

// tooLate reports whether a request that is expected to wait for the given time must not wait. A zero
// deadline is none.
func tooLate(now time.Time, wait time.Duration, deadline time.Time) bool {
	return !deadline.IsZero() && now.Add(max(wait, reviewMargin)).After(deadline)
}
