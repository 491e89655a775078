package committer

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// jitter is a source of random delays. It is safe for concurrent use.
type jitter struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (j *jitter) seed(s uint64) {
	j.rand = rand.New(rand.NewPCG(s, 0))
}

// spread returns a delay between half of d and d.
func (j *jitter) spread(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return d/2 + time.Duration(j.rand.Int64N(int64(d/2)+1))
}

// conflictRetries is the number of conflicts after which a write is repeated
// at once.
const conflictRetries = 3

// pause waits before the attempt after a failed one. It reports false if the
// committer stops.
func (c *Committer) pause(attempt int, err error) bool {
	if errors.Is(err, store.ErrConflict) && attempt < conflictRetries {
		return c.tomb.Alive()
	}
	d := c.settings.Backoff
	for ; attempt > 0 && d < c.settings.BackoffLimit; attempt-- {
		d *= 2
	}
	timer := time.NewTimer(c.jitter.spread(min(d, c.settings.BackoffLimit)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.woken.wait():
	case <-c.tomb.Dying():
	}
	return c.tomb.Alive()
}

// Wake ends the pauses after failed calls. It is called once the key-value
// service is heard of again, so that ops which waited for it go on at once.
func (c *Committer) Wake() {
	for i := range c.pages {
		c.pages[i].refused.Store(0)
	}
	c.woken.wake()
}

// signal wakes all who wait for it. The zero value is ready for use. It is safe for
// concurrent use.
type signal struct {
	mu    sync.Mutex
	next  chan struct{}
	times int
}

// wait returns a channel that is closed at the next wake.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

func (s *signal) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times++
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// count returns how often the signal was given.
func (s *signal) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times
}

// sleep waits for d. It reports false if the committer stops.
func (c *Committer) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return c.tomb.Alive()
	case <-c.tomb.Dying():
		return false
	}
}
