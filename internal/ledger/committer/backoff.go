package committer

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// jitter randomizes delays. It is safe for concurrent use.
type jitter struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (j *jitter) seed(s uint64) {
	j.rand = rand.New(rand.NewPCG(s, 0))
}

// randomize returns a random delay between d/2 and d.
func (j *jitter) randomize(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return d/2 + time.Duration(j.rand.Int64N(int64(d/2)+1))
}

// immediateConflictRetries is the number of first attempts of a batch whose
// conflicts are retried without a delay. Retries after later conflicts are delayed.
const immediateConflictRetries = 3

// backOff waits after the given attempt, counted from 0, has failed with err. It
// returns early if Wake is called, or was called since the attempt began after
// wakeCount wakes, and returns false if the committer is stopping.
func (c *Committer) backOff(attempt, wakeCount int, err error) bool {
	if errors.Is(err, store.ErrConflict) && attempt < immediateConflictRetries {
		return c.tomb.Alive()
	}
	if errors.Is(err, store.ErrNoResponse) && attempt == 0 {
		return c.tomb.Alive() // the next call uses a new connection
	}
	d := c.settings.Backoff
	for ; attempt > 0 && d < c.settings.BackoffLimit; attempt-- {
		d *= 2
	}
	timer := time.NewTimer(c.jitter.randomize(min(d, c.settings.BackoffLimit)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.wakeups.wait(wakeCount):
	case <-c.tomb.Dying():
	}
	return c.tomb.Alive()
}

// Wake ends the current backoff delays and lets ops be forwarded again. It is
// called when the key-value service becomes reachable again, so that pending
// ops are retried immediately. A call that is in progress and fails later causes
// no delay, because it may have failed before the service was reachable.
func (c *Committer) Wake() {
	c.wakeups.wake()
}

// broadcast wakes all waiting goroutines. The zero value is ready for use. It is
// safe for concurrent use.
type broadcast struct {
	mu        sync.Mutex
	nextWake  chan struct{}
	wakeCount int
}

// wait returns a channel that is closed once wake has been called more than count
// times.
func (b *broadcast) wait(count int) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wakeCount > count {
		woken := make(chan struct{})
		close(woken)
		return woken
	}
	if b.nextWake == nil {
		b.nextWake = make(chan struct{})
	}
	return b.nextWake
}

// wake wakes all goroutines that receive from the channel of wait.
func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wakeCount++
	if b.nextWake != nil {
		close(b.nextWake)
		b.nextWake = nil
	}
}

// wakes returns how often wake has been called.
func (b *broadcast) wakes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wakeCount
}

// sleep waits for d. It returns false if the committer is stopping.
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
