package committer

import "time"

// linger waits until Settings.Linger has passed since the last batch of p was
// started, an op that is not deferrable is queued, or Close is called.
func (c *Committer) linger(p *page) {
	left := c.settings.Linger - c.settings.Clock().Sub(p.lastWriteStart)
	urgent := p.direct.awaitUrgent()
	if left <= 0 || urgent == nil {
		return
	}
	timer := time.NewTimer(min(left, c.settings.Linger))
	defer timer.Stop()
	select {
	case <-urgent:
	case <-timer.C:
	case <-c.closing:
	}
}
