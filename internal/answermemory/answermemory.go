// Package answermemory bounds the memory of the answers that a router holds: those that upstreams are
// sending, those that callers have not read yet, and those that are kept for repetitions of requests.
//
// An answer that needs memory takes the place of those that are only kept for repetitions, oldest
// first. Large answers leave a part of the memory to small ones. If there is no memory, one answer at a
// time is held beside the limit, so that answers of which a part has been read do not all wait for each
// other; the others wait, and callers that do not read large answers are given up for them.
//
// # Usage
//
//	pool := answermemory.New(limit, time.Now)
//	share := pool.Open()
//	defer share.Done()
//	if err := share.Acquire(ctx, bytes); err != nil {
//		// do without
//	}
//	defer share.Deliver(now, caller)() // while the caller is written to
package answermemory

import (
	"container/list"
	"context"
	"math"
	"sync"
	"time"

	"example.org/lagoonfork/internal/buffered"
)

const (
	// smallAnswer is the memory up to which an answer may use all of the limit. Larger ones may use
	// largeFraction of it, so that they do not keep ordinary answers out.
	smallAnswer   = 160 << 10
	largeFraction = 0.5
	// pollInterval is the time between two searches for a caller that does not read, while an answer
	// waits for memory.
	pollInterval = 50 * time.Millisecond
)

// Pool is the memory of the answers of one router. Its methods are safe for concurrent use.
type Pool struct {
	limit   int64 // 0 means no limit
	clock   func() time.Time
	callers *buffered.Memory // to whom answers are written

	mu      sync.Mutex
	used    int64         // without that of beside
	beside  *Share        // held beside the limit; nil if there is none
	kept    *list.List    // of *Share, oldest first: those that may be dropped
	changed chan struct{} // closed when memory has become free
	counts  Counts
}

// Counts holds how often the limit has applied.
type Counts struct {
	Dropped int64 `json:"dropped"` // answers that were kept for repetitions
	Waited  int64 `json:"waited"`  // for memory
	Refused int64 `json:"refused"` // no memory became free in time
	// CallersSlow counts callers that were given up because others needed the memory.
	CallersSlow int64 `json:"callersSlow"`
}

// State is a snapshot of a Pool.
type State struct {
	Counts
	Memory int64 `json:"memory"` // bytes in use
	Kept   int   `json:"kept"`   // answers that may be dropped
	Limit  int64 `json:"limit"`  // bytes; 0 if there is none
}

// New returns a Pool of limit bytes, or without a limit if it is 0.
func New(limit int64, clock func() time.Time) *Pool {
	return &Pool{
		limit:   limit,
		clock:   clock,
		callers: buffered.New(buffered.Settings{Limit: math.MaxInt64}), // they are only compared
		kept:    list.New(),
		changed: make(chan struct{}),
	}
}

// State returns a snapshot.
func (p *Pool) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	memory := p.used
	if p.beside != nil {
		memory += p.beside.bytes
	}
	return State{Counts: p.counts, Memory: memory, Kept: p.kept.Len(), Limit: p.limit}
}

// Open returns the share of a new answer, which is in use once.
func (p *Pool) Open() *Share { return &Share{pool: p, uses: 1} }

// Share is the part of the memory that one answer takes. Its methods are safe for concurrent use, and
// do nothing on a nil Share.
type Share struct {
	pool *Pool

	// Guarded by pool.mu.
	bytes   int64
	uses    int
	drop    func() // nil unless the answer is to be kept for repetitions
	element *list.Element
	closed  bool
}

// Acquire adds n bytes to the share. It waits for them until ctx ends, whose cause it returns then.
func (s *Share) Acquire(ctx context.Context, n int64) error {
	if s == nil {
		return nil
	}
	for waited := false; ; waited = true {
		changed, ok := s.tryAcquire(n, waited)
		if ok {
			return nil
		}
		givenUp := s.pool.callers.GiveUpSlowest(s.pool.clock())
		s.pool.count(func(c *Counts) {
			if givenUp {
				c.CallersSlow++
			}
			if ctx.Err() != nil {
				c.Refused++
			}
		})
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		poll := time.NewTimer(pollInterval)
		select {
		case <-changed:
		case <-ctx.Done():
		case <-poll.C:
		}
		poll.Stop()
	}
}

func (p *Pool) count(change func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

// Deliver records that the answer is written to a caller from now on. The caller may be given up until
// end is called.
func (s *Share) Deliver(now time.Time, c buffered.Caller) (end func()) {
	if s == nil {
		return func() {}
	}
	held := s.pool.callers.FullShare()
	held.Grow(now, s.size())
	held.Hold(now, c)
	return held.Close
}

func (s *Share) size() int64 {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.bytes
}

// tryAcquire adds n bytes if there is memory, for which it drops answers. If there is none, it returns
// a channel that is closed when memory has become free.
func (s *Share) tryAcquire(n int64, waited bool) (changed <-chan struct{}, ok bool) {
	p := s.pool
	for {
		p.mu.Lock()
		if s.fits(n) {
			s.add(n)
			p.mu.Unlock()
			return nil, true
		}
		drop := p.dropOldest()
		if drop == nil && p.beside == nil {
			p.used -= s.bytes
			p.beside = s
			p.mu.Unlock()
			continue
		}
		if drop == nil {
			defer p.mu.Unlock()
			if !waited {
				p.counts.Waited++
			}
			return p.changed, false
		}
		p.mu.Unlock()
		drop()
	}
}

// Add adds n bytes that are held already, whether or not there is memory, and drops answers for them.
func (s *Share) Add(n int64) {
	if s == nil {
		return
	}
	p := s.pool
	p.mu.Lock()
	s.add(n)
	var drops []func()
	for p.limit > 0 && p.used > p.limit {
		drop := p.dropOldest()
		if drop == nil {
			break
		}
		drops = append(drops, drop)
	}
	p.mu.Unlock()
	for _, drop := range drops {
		drop()
	}
}

// Release takes n bytes off the share.
func (s *Share) Release(n int64) {
	if s == nil {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.release(n)
}

// Keep has the answer kept for repetitions once it is no longer in use, until drop is called, which
// must not block.
func (s *Share) Keep(drop func()) {
	if s == nil {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.drop = drop
}

// Use records that the answer is in use once more.
func (s *Share) Use() {
	if s == nil {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.uses++
	s.unlist()
}

// Done records that the answer is in use once less. An answer that is not in use is kept for
// repetitions or gives its memory back.
func (s *Share) Done() {
	if s == nil {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.uses--
	switch {
	case s.uses > 0:
	case s.drop == nil || s.closed:
		s.close()
	default:
		s.element = s.pool.kept.PushBack(s)
		s.pool.notify()
	}
}

// Close records that the answer is no longer kept for repetitions.
func (s *Share) Close() {
	if s == nil {
		return
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.drop = nil
	if s.uses <= 0 {
		s.close()
	}
}

// The functions below must be called with pool.mu held.

// dropOldest gives the memory of the oldest kept answer back and returns the function that drops it,
// or nil if none is kept.
func (p *Pool) dropOldest() (drop func()) {
	oldest := p.kept.Front()
	if oldest == nil {
		return nil
	}
	s := oldest.Value.(*Share)
	drop = s.drop
	p.counts.Dropped++
	s.close()
	return drop
}

// fits reports whether n more bytes may be added to the share.
func (s *Share) fits(n int64) bool {
	p := s.pool
	return p.limit == 0 || s == p.beside || p.used+n <= p.limitOf(s.bytes+n)
}

// limitOf returns the limit for an answer of n bytes.
func (p *Pool) limitOf(n int64) int64 {
	if n > smallAnswer {
		return int64(float64(p.limit) * largeFraction)
	}
	return p.limit
}

func (s *Share) add(n int64) {
	if s.closed {
		return
	}
	s.bytes += n
	if s != s.pool.beside {
		s.pool.used += n
	}
}

func (s *Share) release(n int64) {
	n = min(n, s.bytes)
	s.bytes -= n
	if s != s.pool.beside {
		s.pool.used -= n
	}
	s.pool.notify()
}

// close gives the memory back for good.
func (s *Share) close() {
	s.unlist()
	s.closed = true
	s.release(s.bytes)
}

func (s *Share) unlist() {
	if s.element != nil {
		s.pool.kept.Remove(s.element)
		s.element = nil
	}
}

// notify wakes those that wait for memory. The answer beside the limit is counted as the others once
// there is memory for it.
func (p *Pool) notify() {
	if s := p.beside; s != nil && p.used+s.bytes <= p.limitOf(s.bytes) {
		p.used += s.bytes
		p.beside = nil
	}
	close(p.changed)
	p.changed = make(chan struct{})
}
