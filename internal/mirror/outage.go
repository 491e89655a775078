package mirror

import (
	"time"

	"example.org/lagoonfork/internal/outage"
)

// outageAge is the wire form of an outage of the service.
type outageAge struct {
	// NoticedMillis is the time since a call failed, and EndedMillis the time since the
	// service was first read again.
	NoticedMillis int64 `json:"noticedMillis"`
	EndedMillis   int64 `json:"endedMillis"`
}

// newOutageAge returns the wire form of an outage, or nil if there was none.
func newOutageAge(o outage.Span, now time.Time) *outageAge {
	if o.Ended.IsZero() {
		return nil
	}
	return &outageAge{NoticedMillis: now.Sub(o.Noticed).Milliseconds(), EndedMillis: now.Sub(o.Ended).Milliseconds()}
}

// span returns the outage, given the earliest time at which the other router can have sent
// it and the time now at which it arrived. The end is not dated too late, so that no entry is
// kept for too long. The beginning is not dated too early, so that a read of the service
// before the outage is not taken for one during it.
func (a *outageAge) span(answered, now time.Time) outage.Span {
	if a == nil {
		return outage.Span{}
	}
	ended := answered.Add(-milliseconds(a.EndedMillis))
	noticed := now.Add(-milliseconds(a.NoticedMillis))
	if noticed.After(ended) {
		noticed = ended
	}
	return outage.Span{Noticed: noticed, Ended: ended}
}

// milliseconds returns a duration of n milliseconds, or 0 if n is negative.
func milliseconds(n int64) time.Duration {
	return time.Duration(max(n, 0)) * time.Millisecond
}

// recordOutage records an outage of the service that has ended.
func (m *Mirror) recordOutage(o outage.Span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.recordOutage(o, m.settings.GracePeriod)
}
