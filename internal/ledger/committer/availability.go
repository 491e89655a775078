package committer

import (
	"errors"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/pkg/store"
)

// failed counts and logs a call that did not succeed.
func (c *Committer) failed(p *page, err error) {
	p.refused.Store(c.settings.Clock().UnixNano())
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

// refusedLately reports whether the last call for p did not succeed and the next
// may not have been made yet.
func (c *Committer) refusedLately(p *page) bool {
	at := p.refused.Load()
	return at != 0 && c.settings.Clock().Sub(time.Unix(0, at)) < c.settings.BackoffLimit
}

func (c *Committer) available(p *page) {
	p.refused.Store(0)
	if p.unavailable {
		event.LedgerAvailable.Info(c.settings.Log, "page", p.number)
	}
	p.unavailable = false
}
