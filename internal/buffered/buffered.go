// Package buffered bounds the memory that a router takes for parts of responses which it has to
// hold before it can pass them on.
//
// Each response has some bytes free, so that small ones are never refused. Beyond these all
// responses share one limit. It addresses the load of callers that stop reading large responses:
// where the memory is short, the response whose caller has read the least lately is given up in
// favour of the one that needs it. Responses whose callers read are never given up.
//
// # Usage
//
//	m := buffered.New(buffered.Settings{Free: 64 << 10, Limit: 24 << 20})
//	share := m.Share()
//	defer share.Close()
//	if !share.Grow(now, len(buffer)) {
//		return errNoMemory
//	}
//	share.Hold(now, caller) // while the caller is written to
//	defer share.EndHold()
package buffered

import (
	"sync"
	"time"
)

const (
	// paceWindow is the time over which the pace of a caller is seen at least. A caller is not
	// given up sooner after the beginning of a response. A sample older than maxPaceWindow says
	// nothing of a caller that has read since: it may have paused before.
	paceWindow, maxPaceWindow = time.Second, 2 * time.Second
	// A caller is slow if it reads less in a second than slowBytes, or than one part in slowParts
	// of what its response holds. slowBytes is a 75th of what a link of 10 Mbit/s carries. A
	// response that takes more than 40 s does not end before the default deadline of 30 s.
	slowBytes = 16 << 10
	slowParts = 40
	// searchInterval is the time after a search for a slow caller that found none in which there is no
	// other. A search looks at the sockets of all callers, which takes 0.44 ms for 1,000 of them, and
	// each response without memory asks 20 times a second.
	searchInterval = 20 * time.Millisecond
)

// Settings configures a Memory.
type Settings struct {
	// Free is the number of bytes of each response that are not counted. Limit is the maximum
	// number of bytes that are counted for all responses together.
	Free, Limit int64
}

// Caller is the caller for which a response is held. Its methods must neither block nor call the
// Memory.
type Caller interface {
	// BytesRead returns how many bytes of the response the caller has read.
	BytesRead() int64
	// GiveUp ends the response. It is called at most once.
	GiveUp()
}

// Memory counts the bytes that responses hold. Its methods are safe for concurrent use.
type Memory struct {
	settings Settings

	mu    sync.Mutex
	used  int64
	holds map[*Share]struct{} // shares that wait for their callers
	// foundNone is when no share was found to be given up.
	foundNone time.Time
}

// New returns a Memory that is not used.
func New(s Settings) *Memory { return &Memory{settings: s, holds: make(map[*Share]struct{})} }

// Used returns the number of bytes that are counted.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Fits reports whether a response of the given size is within the limit if there is no other.
func (m *Memory) Fits(size int64) bool { return size-m.settings.Free <= m.settings.Limit }

// Waits reports whether responses wait for their callers, so that memory may become free soon.
func (m *Memory) Waits() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.holds {
		if s.counted > 0 {
			return true
		}
	}
	return false
}

// GiveUpSlowest gives up the response whose caller has read the least lately, or reports false if no
// caller is slow.
func (m *Memory) GiveUpSlowest(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if since := now.Sub(m.foundNone); since >= 0 && since < searchInterval {
		return false
	}
	victim := m.slowest(now, nil)
	if victim == nil {
		m.foundNone = now
		return false
	}
	victim.giveUp()
	return true
}

// Share returns the share of one response.
func (m *Memory) Share() *Share { return &Share{memory: m, free: m.settings.Free} }

// FullShare returns a share of which no bytes are free, for what a response can do without.
func (m *Memory) FullShare() *Share { return &Share{memory: m} }

// Share is the part of a Memory that one response holds. Its methods are safe for concurrent use.
type Share struct {
	memory *Memory
	free   int64

	// Guarded by memory.mu.
	counted      int64
	givenUp      bool
	caller       Caller // nil while the response does not wait for it
	before, last sample // at least paceWindow apart, except at the beginning
}

// sample is what a caller had read at a time.
type sample struct {
	at   time.Time
	read int64
}

// Grow counts a response that holds size bytes by now. To make room it gives up responses whose
// callers are slow. It reports false, and counts nothing more, if there is no room or if the
// response itself has been given up.
func (s *Share) Grow(now time.Time, size int64) bool {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for !s.tryGrow(size) {
		if since := now.Sub(m.foundNone); s.givenUp || !m.Fits(size) || since >= 0 && since < searchInterval {
			return false
		}
		victim := m.slowest(now, s)
		if victim == nil {
			m.foundNone = now
			return false
		}
		victim.giveUp()
	}
	return true
}

// TryGrow is like Grow, but gives up nothing.
func (s *Share) TryGrow(size int64) bool {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return s.tryGrow(size)
}

// tryGrow implements TryGrow. memory.mu must be held.
func (s *Share) tryGrow(size int64) bool {
	more := size - s.free - s.counted
	if s.givenUp || more > 0 && s.memory.used+more > s.memory.settings.Limit {
		return false
	}
	more = max(more, 0)
	s.counted += more
	s.memory.used += more
	return true
}

// Shrink counts a response that holds only size bytes any more.
func (s *Share) Shrink(size int64) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.shrink(size)
}

// shrink implements Shrink. memory.mu must be held.
func (s *Share) shrink(size int64) {
	less := s.counted - max(size-s.free, 0)
	if less > 0 {
		s.counted -= less
		s.memory.used -= less
	}
}

// Hold records that the response waits for its caller from now on.
func (s *Share) Hold(now time.Time, c Caller) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.caller = c
	s.before = sample{now, c.BytesRead()}
	s.last = s.before
	s.memory.holds[s] = struct{}{}
}

// EndHold records that the response no longer waits for its caller. The caller is not given up
// after that.
func (s *Share) EndHold() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.endHold()
}

// endHold implements EndHold. memory.mu must be held.
func (s *Share) endHold() {
	s.caller = nil
	delete(s.memory.holds, s)
}

// Close releases the share.
func (s *Share) Close() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.endHold()
	s.shrink(0)
}

// giveUp ends the response and releases the share. memory.mu must be held.
func (s *Share) giveUp() {
	c := s.caller
	s.endHold()
	s.shrink(0)
	s.givenUp = true
	c.GiveUp()
}

// slowest returns the share, except the given one, whose caller is slow and has read the least
// lately, or nil if there is none. m.mu must be held.
func (m *Memory) slowest(now time.Time, except *Share) (victim *Share) {
	least := 0.0
	for s := range m.holds {
		if s == except || s.counted == 0 {
			continue
		}
		pace, known := s.pace(now)
		slow := known && pace < float64(max(slowBytes, s.counted/slowParts))
		if slow && (victim == nil || pace < least || pace == least && s.before.at.Before(victim.before.at)) {
			victim, least = s, pace
		}
	}
	return victim
}

// pace returns how many bytes the caller has read per second lately, and false if that is not
// known yet. memory.mu must be held.
func (s *Share) pace(now time.Time) (bytesPerSecond float64, known bool) {
	read := s.caller.BytesRead()
	age := now.Sub(s.last.at)
	if age > maxPaceWindow && read > s.last.read { // when it has read that is not known
		s.last = sample{now, read}
		s.before = s.last
	} else if age >= paceWindow {
		s.before, s.last = s.last, sample{now, read}
	}
	elapsed := now.Sub(s.before.at)
	return float64(read-s.before.read) / elapsed.Seconds(), elapsed >= paceWindow
}
