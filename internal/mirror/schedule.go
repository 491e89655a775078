package mirror

import (
	"errors"
	"math/rand/v2"
	"time"

	"example.org/lagoonfork/internal/outage"
)

const (
	// followerRetryInterval is the minimum time between two calls to a failing
	// service by a router that uses a relay. The relay reports the recovery at least
	// as early, unless the router itself was disconnected.
	followerRetryInterval = 1500 * time.Millisecond
	// followerRecoveryDelay is how long after an outage such a router makes no call,
	// so that the relay can report the recovery first.
	followerRecoveryDelay = time.Second
)

// errCallSkipped reports that the minimum interval between calls has not elapsed.
var errCallSkipped = errors.New("call skipped: the minimum interval since the last call or outage has not elapsed")

// usesRelay reports whether the router reads through a relay.
func (m *Mirror) usesRelay() bool {
	return m.settings.Relays != nil && len(m.settings.Relays()) > 0
}

// callIntervals returns the minimum intervals between two calls to the service. There are none if
// the copy would become too old meanwhile.
func (m *Mirror) callIntervals() outage.Intervals {
	switch {
	case m.callDue():
		return outage.Intervals{}
	case m.usesRelay():
		return outage.Intervals{Normal: m.settings.MinCallInterval, Failing: followerRetryInterval, AfterRecovery: followerRecoveryDelay}
	}
	return outage.Intervals{Failing: m.settings.Interval}
}

// pollWait returns how long a read of the service waits for changes. A router that
// uses a relay only catches up and does not wait. Neither does one for which the service is
// failing, since the response ends the outage for all mirrors of the router.
func (m *Mirror) pollWait() time.Duration {
	if m.usesRelay() || m.settings.Outage.Failing() {
		return 0
	}
	return m.settings.PollWait
}

// nextDelay returns the time until the next read, given the duration and the result
// of the last one and whether it was relayed. After a call that failed, the next one is
// not made at once, even if it is due.
func (m *Mirror) nextDelay(relayed bool, elapsed time.Duration, err error) time.Duration {
	delay := m.interval(relayed, elapsed, err)
	if err != nil && !errors.Is(err, errCallSkipped) && m.callDue() {
		return delay
	}
	return m.cut(delay)
}

// interval returns the time until the next read if the service does not have to be called
// before. It is jittered so that routers started at the same time do not read in step.
func (m *Mirror) interval(relayed bool, elapsed time.Duration, err error) time.Duration {
	interval := m.settings.Interval
	switch {
	case err != nil:
		interval /= 2
	case relayed:
		return 0
	case m.settings.PollWait > 0:
		return min(max(interval-elapsed, 0), interval)
	}
	return interval*3/4 + rand.N(interval/2)
}
