package mirror

import (
	"time"

	"example.org/lagoonfork/internal/event"
)

// maxRecoveryTime is the time within which the service has to be read again after a failed call,
// if it can be.
const maxRecoveryTime = 3 * time.Second

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

// logOverdue logs if a read of the service that has just succeeded came too late. m.mu must be held.
func (m *Mirror) logOverdue(now time.Time) {
	by := m.readBy()
	if by.IsZero() || !now.After(by) {
		return
	}
	m.metrics.vars.Add("overdue", 1)
	event.CopyOverdue.Warn(m.settings.Log, "mirror", m.settings.Name, "age", now.Sub(m.view.serviceReadAt), "late", now.Sub(by), "waits", m.waits.describe(now))
}
