package mirror

import (
	"math"
	"time"

	"example.org/lagoonfork/internal/event"
)

const (
	// maxRecoveryTime is the time within which the service has to be read again after a failed
	// call, if it can be.
	maxRecoveryTime = 3 * time.Second
	// callMargin is how long before that time, or before the copy is too old, the service itself
	// is called at the latest. It covers the call and the time to apply what it returns.
	callMargin = 250 * time.Millisecond
	// minWait is the least to which cut reduces a wait, and the least for which a relay is asked to
	// wait. Zero would mean no limit to a transfer, and requests to the relay without a pause.
	minWait = time.Millisecond
)

// readBy returns the time by which the service itself has to be read again, or the zero value if
// there is no limit. m.mu must be held.
func (m *Mirror) readBy() (t time.Time) {
	if m.settings.MaxAge == 0 || m.view.serviceReadAt.IsZero() {
		return t
	}
	t = m.view.serviceReadAt.Add(m.settings.MaxAge)
	if failed := m.settings.Outage.LastFailed(); !failed.IsZero() {
		if after := failed.Add(max(m.settings.MaxAge, maxRecoveryTime)); after.After(t) {
			return after
		}
	}
	return t
}

// untilCall returns how long the mirror may wait before it has to call the service itself.
func (m *Mirror) untilCall() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	by := m.readBy()
	if by.IsZero() {
		return math.MaxInt64
	}
	return by.Sub(m.settings.Clock()) - callMargin
}

// callDue reports whether the service itself has to be called now.
func (m *Mirror) callDue() bool { return m.untilCall() <= 0 }

// cut returns the wait, or the part of it after which the service itself has to be called.
func (m *Mirror) cut(wait time.Duration) time.Duration {
	return min(wait, max(m.untilCall(), minWait))
}

// logOverdue logs if a read of the service that has just succeeded came too late. m.mu must be held.
func (m *Mirror) logOverdue(now time.Time) {
	by := m.readBy()
	if by.IsZero() || !now.After(by) {
		return
	}
	m.metrics.vars.Add("overdue", 1)
	event.CopyOverdue.Warn(m.settings.Log, "mirror", m.settings.Name, "age", now.Sub(m.view.serviceReadAt), "late", now.Sub(by), "waits", m.waits.describe(now))
}
