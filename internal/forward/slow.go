package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/buffered"
	"example.org/lagoonfork/internal/event"
)

const (
	// promptWrite is how long the write of an event may take before the stream is read ahead.
	promptWrite = 50 * time.Millisecond
	// readAheadBytes bounds what is read ahead of the caller of a stream, with eventOverhead
	// for each event. One more event may have been read that has no room.
	readAheadBytes = 256 << 10
	eventOverhead  = 128
	// stoppedTimeout is how long the caller of a stream may read nothing while that is full.
	// Upstreams cut off responses that remain unread for some seconds.
	stoppedTimeout = 5 * time.Second
	// memoryWait is how long a response waits in all for the memory of callers that do not read.
	// They are known after twice the time over which package buffered sees their pace.
	memoryWait = 2500 * time.Millisecond
	memoryPoll = 50 * time.Millisecond
	// slowLogInterval is the minimum time between two log lines about callers that were ended.
	slowLogInterval = 10 * time.Second
)

// slowCallers counts the callers of a Forwarder that do not read in time.
type slowCallers struct {
	memory    *buffered.Memory
	limit     int64
	readAhead atomic.Int64 // streams that are read ahead at the moment

	mu       sync.Mutex
	counts   ResponseCounts
	loggedAt time.Time
}

// ResponseCounts holds counts since the start.
type ResponseCounts struct {
	ReadAheadBegan int64 `json:"readAheadBegan"` // how often a stream began to be read ahead
	CallersStopped int64 `json:"callersStopped"` // callers of streams that were ended
	CallersSlow    int64 `json:"callersSlow"`    // callers that were ended because others needed the memory
	MemoryRefused  int64 `json:"memoryRefused"`  // responses that failed because there was no memory
}

// ResponseState tells what responses hold at the moment.
type ResponseState struct {
	ResponseCounts
	Held      int64 `json:"held"`      // bytes that are counted
	Limit     int64 `json:"limit"`     // for them
	ReadAhead int64 `json:"readAhead"` // streams that are read ahead
}

func newSlowCallers(m *buffered.Memory, limit int64) *slowCallers {
	return &slowCallers{memory: m, limit: limit}
}

func (s *slowCallers) state() ResponseState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ResponseState{ResponseCounts: s.counts, Held: s.memory.Used(), Limit: s.limit, ReadAhead: s.readAhead.Load()}
}

// beginReadAhead and endReadAhead count a stream that is read ahead.
func (s *slowCallers) beginReadAhead() {
	s.readAhead.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.ReadAheadBegan++
}

func (s *slowCallers) endReadAhead() { s.readAhead.Add(-1) }

// countRefused counts a response for which there was no memory, and logs the counts.
func (s *slowCallers) countRefused(now time.Time, log hclog.Logger) {
	s.mu.Lock()
	s.counts.MemoryRefused++
	s.mu.Unlock()
	s.log(now, log)
}

// countEnd counts a caller that was ended, and logs the counts.
func (s *slowCallers) countEnd(now time.Time, reason callerEnd, log hclog.Logger) {
	s.mu.Lock()
	if reason == endStopped {
		s.counts.CallersStopped++
	} else {
		s.counts.CallersSlow++
	}
	s.mu.Unlock()
	s.log(now, log)
}

// log logs the counts, unless that was done within slowLogInterval.
func (s *slowCallers) log(now time.Time, log hclog.Logger) {
	s.mu.Lock()
	recent := !s.loggedAt.IsZero() && now.Sub(s.loggedAt) < slowLogInterval
	if !recent {
		s.loggedAt = now
	}
	s.mu.Unlock()
	if recent {
		return
	}
	n := s.state()
	event.SlowCallersEnded.Warn(log, "callersStopped", n.CallersStopped, "callersSlow", n.CallersSlow,
		"memoryRefused", n.MemoryRefused, "held", n.Held, "limit", n.Limit, "readAhead", n.ReadAhead)
}

// growMemory counts a response that holds size bytes by now, and a kept one. If there is no room, it waits for
// some time while other responses wait for their callers, and then reports false.
func (t *transfer) growMemory(size int64) bool {
	size += t.keptBytes
	for !t.memory.Grow(t.now(), size) {
		if t.delivery.end() != endNone {
			return false
		}
		useful := t.f.buffered.Fits(size) && t.f.buffered.Waits()
		if !useful || t.ctx.Err() != nil || t.memoryWaits*memoryPoll >= memoryWait {
			t.f.slow.countRefused(t.now(), t.f.settings.Log)
			return false
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(memoryPoll):
		}
		t.memoryWaits++
	}
	return true
}
