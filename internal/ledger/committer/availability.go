package committer

import (
	"errors"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/pkg/store"
)

// recordFailure counts and logs a failed call. Unavailability is logged only
// when it begins.
func (c *Committer) recordFailure(p *page, err error) {
	p.lastFailure.Store(c.settings.Clock().UnixNano())
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
// BackoffLimit ago, so that the next attempt may not have been made yet.
func (c *Committer) failedRecently(p *page) bool {
	at := p.lastFailure.Load()
	return at != 0 && c.settings.Clock().Sub(time.Unix(0, at)) < c.settings.BackoffLimit
}

// recordSuccess clears the failure state of p, and logs the end of
// unavailability.
func (c *Committer) recordSuccess(p *page) {
	p.lastFailure.Store(0)
	if p.unavailable {
		event.LedgerAvailable.Info(c.settings.Log, "page", p.number)
	}
	p.unavailable = false
}
