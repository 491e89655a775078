package forward

import (
	"sync"
	"time"

	"example.org/lagoonfork/internal/buffered"
	"example.org/lagoonfork/internal/exchange"
	"example.org/lagoonfork/internal/frame"
)

// stream reads the events of a response. While the caller reads in time, the goroutine of the
// request reads each event itself. If a write takes longer than promptWrite, another goroutine
// reads the following events into a queue, so that the upstream is not held up. Once the caller has
// read all of them, that goroutine passes the next event on and ends.
//
// The upstream's response and the frame.Reader belong to the other goroutine from the moment at
// which the timer fires until finished is set.
type stream struct {
	t        *transfer
	response *exchange.Response
	events   *frame.Reader
	memory   *buffered.Share // for the queue
	timer    *time.Timer     // starts the other goroutine
	room     chan struct{}   // tells the other goroutine that the queue has changed

	// Used by the goroutine of the request only.
	ahead   bool  // the other goroutine has been started, and its result has not been taken
	current int64 // size of the event that next has returned
	large   bool  // an event took more memory than each response has free

	mu       sync.Mutex
	changed  *sync.Cond // signals the goroutine of the request
	queue    []queuedEvent
	pending  int64 // size of the queue and of the event that next has returned
	idle     bool  // the goroutine of the request waits for an event
	finished bool  // the other goroutine has ended
	err      error // with which reading ahead ended, or nil
	closed   bool
}

// queuedEvent is an event that has arrived.
type queuedEvent struct {
	frame.Event
	at time.Time
}

// size returns the memory that a queued event takes.
func (e queuedEvent) size() int64 { return int64(len(e.Bytes)) + eventOverhead }

// newStream returns the stream of a response.
func newStream(t *transfer, response *exchange.Response) *stream {
	s := &stream{t: t, response: response, memory: t.f.buffered.FullShare(), room: make(chan struct{}, 1)}
	s.changed = sync.NewCond(&s.mu)
	s.events = frame.NewReader(response, eventMemory{t})
	return s
}

// eventMemory is the frame.Memory of a response.
type eventMemory struct{ t *transfer }

// Grow implements frame.Memory.
func (m eventMemory) Grow(size int64) bool { return m.t.growMemory(size) }

// next returns the next event, whose bytes are valid until the next call. After a read error it
// returns the events that were read before it first.
func (s *stream) next() (queuedEvent, error) {
	if !s.ahead {
		if s.large { // the next one may come late, and needs less in general
			s.events.Detach()
			s.t.memory.Shrink(0)
		}
		e, err := s.events.Next()
		s.large = len(e.Bytes) > freeBufferedBytes
		return queuedEvent{e, s.t.now()}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release()
	for len(s.queue) == 0 && !s.finished {
		s.idle = true
		s.endHold() // the caller has read everything
		s.changed.Wait()
	}
	s.idle = false
	if len(s.queue) == 0 {
		return queuedEvent{}, s.err
	}
	e := s.queue[0]
	s.queue[0] = queuedEvent{}
	s.queue = s.queue[1:]
	s.current = e.size()
	s.large = s.large || len(e.Bytes) > freeBufferedBytes
	if s.finished && s.err == nil && len(s.queue) == 0 { // passed on, and valid until the next read
		s.endReadAhead()
	}
	return e, nil
}

// release releases the memory of the event that next has returned. s.mu must be held.
func (s *stream) release() {
	s.pending -= s.current
	s.current = 0
	s.memory.Shrink(s.pending)
	select {
	case s.room <- struct{}{}:
	default:
	}
}

// write writes the event that next has returned to the caller.
func (s *stream) write(b []byte) error {
	if !s.ahead {
		s.mu.Lock()
		s.current = int64(len(b))
		s.pending = s.current
		s.mu.Unlock()
		if s.timer == nil {
			s.timer = time.AfterFunc(promptWrite, s.readAhead)
		} else {
			s.timer.Reset(promptWrite)
		}
		defer func() { s.ahead = !s.timer.Stop() }()
	}
	if err := s.t.delivery.write(b); err != nil {
		return err
	}
	return s.t.delivery.control.Flush()
}

// readAhead reads events into the queue until the caller has read all of them, the response ends or
// the stream is closed.
func (s *stream) readAhead() {
	s.t.f.slow.beginReadAhead()
	s.mu.Lock()
	if !s.idle {
		now := s.t.now()
		s.memory.Hold(now, s.t.delivery)
		s.t.memory.Hold(now, s.t.delivery)
	}
	s.mu.Unlock()
	s.events.Detach() // the last event is still being written
	for {
		e, err := s.events.Next()
		passedOn := false
		if err == nil {
			passedOn = s.queueEvent(queuedEvent{e, s.t.now()})
		}
		s.mu.Lock()
		if err != nil || passedOn || s.closed {
			s.finished, s.err = true, err
			s.changed.Signal()
			s.mu.Unlock()
			return
		}
		s.changed.Signal()
		s.mu.Unlock()
	}
}

// queueEvent appends an event to the queue and waits until there is room for that, unless the
// stream is closed. It reports whether the caller has read all others, so that the goroutine of
// the request reads the following events itself. Otherwise the bytes of the event are copied.
func (s *stream) queueEvent(e queuedEvent) (passedOn bool) {
	if done, passedOn := s.tryQueue(e); done {
		return passedOn
	}
	ticker := time.NewTicker(s.t.f.stoppedTimeout / 10)
	defer ticker.Stop()
	read, since := s.t.delivery.BytesRead(), s.t.now()
	for {
		select {
		case <-s.room:
		case <-ticker.C:
		}
		if done, passedOn := s.tryQueue(e); done {
			return passedOn
		}
		now := s.t.now()
		if n := s.t.delivery.BytesRead(); n > read {
			read, since = n, now
		} else if now.Sub(since) >= s.t.f.stoppedTimeout {
			s.t.delivery.abort(endStopped)
		}
	}
}

// tryQueue appends an event to the queue, or reports that there is no room. It does nothing if the
// stream is closed.
func (s *stream) tryQueue(e queuedEvent) (done, passedOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	alone := len(s.queue) == 0 && s.idle
	switch {
	case s.closed:
		s.queue = append(s.queue, e) // counts as unsent
		return true, false
	case !alone && s.pending+e.size() > readAheadBytes, !alone && !s.memory.TryGrow(s.pending+e.size()):
		return false, false
	case !alone:
		e.Bytes = append([]byte(nil), e.Bytes...)
	}
	s.queue = append(s.queue, e)
	s.pending += e.size()
	return true, alone
}

// endReadAhead takes the result of the other goroutine, which has ended. s.mu must be held.
func (s *stream) endReadAhead() {
	s.ahead, s.finished = false, false
	s.endHold()
	s.t.f.slow.endReadAhead()
}

// endHold records that the response no longer waits for its caller.
func (s *stream) endHold() {
	s.memory.EndHold()
	s.t.memory.EndHold()
}

// close ends the stream and waits for the other goroutine. It returns the number of events that
// were read but not sent.
func (s *stream) close() (unsent int) {
	defer s.memory.Close()
	if !s.ahead {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.release() // wakes the other goroutine
	if !s.finished {
		s.response.Abort()
	}
	for !s.finished {
		s.changed.Wait()
	}
	s.endReadAhead()
	for _, e := range s.queue {
		if e.HasID && e.ID > s.t.lastEventID || !e.HasID && !isComment(e.Bytes) {
			unsent++
		}
	}
	return unsent
}
