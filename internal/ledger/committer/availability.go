package committer

import (
	"errors"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/pkg/store"
)

// failure is a failed attempt that began after wakeCount wakes.
type failure struct {
	at        time.Time
	wakeCount int
}

// recordFailure counts and logs a failed attempt that began after wakeCount wakes.
// Unavailability is logged only when it begins.
func (c *Committer) recordFailure(p *page, err error, wakeCount int) {
	p.lastFailure.Store(&failure{at: c.settings.Clock(), wakeCount: wakeCount})
	if errors.Is(err, store.ErrUnknown) {
		c.counters.Unknown.Add(1)
		event.LedgerWriteUnknown.Warn(c.settings.Log, "page", p.number, "error", err)
		return
	}
	c.counters.Unavailable.Add(1)
	if !p.unavailable {
		event.LedgerUnavailable.Warn(c.settings.Log, "page", p.number, "error", err)
	}
	p.unavailable = true
}

// failedRecently reports whether the last call for p failed less than
// BackoffLimit ago, so that the next attempt may not have been made yet. A call
// that began before the last Wake does not count, even if it failed afterwards.
func (c *Committer) failedRecently(p *page) bool {
	f := p.lastFailure.Load()
	return f != nil && f.wakeCount == c.wakeups.wakes() && c.settings.Clock().Sub(f.at) < c.settings.BackoffLimit
}

// recordSuccess clears the failure state of p, and logs the end of
// unavailability.
func (c *Committer) recordSuccess(p *page) {
	p.lastFailure.Store(nil)
	if p.unavailable {
		event.LedgerAvailable.Info(c.settings.Log, "page", p.number)
	}
	p.unavailable = false
}
