package queue

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"example.org/lagoonfork/internal/admission"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/pkg/ident"
)

// logInterval is the time between two log lines on a queue that lasts.
const logInterval = 10 * time.Second

// minViewedHold is the least mean time that requests are in progress with which the requests of the
// other routers count. Views are at least 400 ms old: shorter requests have ended by then, and those
// that wait would wait for slots that are idle.
const minViewedHold = 500 * time.Millisecond

// viewLapse is how long the capacity stays the same after the requests of the other routers are no longer
// known. A router that admits nothing for a moment gets no reports; with four equal shares of the
// slots at once, it would fill the upstreams.
const viewLapse = 2 * time.Second

// reportAge is the mean age of the reports of upstreams that are used in place of a view.
const reportAge = 500 * time.Millisecond

// line is the queue of one service.
type line struct {
	queue   *Queue
	service ident.Service
	gate    *admission.Gate

	waited, refused, left atomic.Int64 // requests
	resizedAt             atomic.Int64 // in Unix nanoseconds, or 0

	mu     sync.Mutex
	view   *load.View // of the last calculation
	own    int        // requests in progress when view was new, or at ownAt without a view
	ownAt  time.Time
	viewed bool // whether the capacity takes account of the other routers
	// viewedAt is when the requests of the other routers were last known.
	viewedAt time.Time

	logged   time.Time // when the queue was logged, zero if it is not known to be there
	reported [3]int64  // waited, refused and left when it was logged
}

// age returns how long ago the capacity was calculated.
func (l *line) age(now time.Time) time.Duration {
	at := l.resizedAt.Load()
	if at == 0 {
		return maxAge
	}
	return now.Sub(time.Unix(0, at)).Abs() // a clock that was set back must not keep the capacity
}

// resize calculates the capacity. It does nothing if another goroutine has done so since the given
// age was read.
func (l *line) resize(now time.Time, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.age(now) < age {
		return
	}
	s := l.queue.settings
	gate := l.gate.State()
	var view *load.View
	if s.View != nil && gate.Hold >= minViewedHold {
		view = s.View(now)
	}
	running := int(gate.InFlight)
	if view != l.view || view == nil && now.Sub(l.ownAt) >= reportAge {
		l.view, l.own, l.ownAt = view, running, now
	}
	o := s.Occupancy(now, l.service, view, gate.Hold)
	l.resizedAt.Store(now.UnixNano())
	if o.Viewed {
		l.viewedAt = now
	} else if l.viewed && o.Upstreams > 0 && !o.Unstated && now.Sub(l.viewedAt) < viewLapse {
		return
	}
	l.viewed = o.Viewed
	l.gate.Resize(Capacity(o, l.own, running, s.RouterCount()))
}

// Refusal is the refusal of a request, with the state of the queue and of the estimate.
type Refusal struct {
	Cause *admission.Refusal
	// Wait is the expected time until the request would have been started.
	Wait time.Duration
	admission.State
	// Age is how long ago the capacity was calculated. Viewed reports whether the requests of the
	// other routers were known.
	Age    time.Duration
	Viewed bool
}

// Fields returns the fields of a log line.
func (r *Refusal) Fields() []any {
	return []any{
		"waiting", r.Waiting, "running", r.InFlight, "capacity", r.Capacity, "hold", r.Hold,
		"expected", r.Wait, "estimateAge", r.Age, "viewed", r.Viewed, "why", r.Cause.Reason,
	}
}

// refusal counts and describes a refusal by the gate.
func (l *line) refusal(now time.Time, err error) *Refusal {
	l.refused.Add(1)
	r := &Refusal{State: l.gate.State(), Age: l.age(now)}
	if errors.As(err, &r.Cause) {
		r.Wait = r.Cause.Wait
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Viewed = l.viewed
	return r
}

// log logs that requests wait, and that they no longer do. It holds no lock meanwhile, since requests
// must not wait for a slow log.
func (l *line) log(now time.Time) {
	switch waiting, args := l.report(now); {
	case args == nil:
	case waiting:
		event.QueueFormed.Warn(l.queue.settings.Log, args...)
	default:
		event.QueueEnded.Info(l.queue.settings.Log, args...)
	}
}

// report returns whether requests wait, and the fields of the log line that is due, or nil.
func (l *line) report(now time.Time) (waiting bool, args []any) {
	s := l.gate.State()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Waiting == 0 && l.logged.IsZero() || !l.logged.IsZero() && now.Sub(l.logged) < logInterval {
		return false, nil
	}
	counts := [3]int64{l.waited.Load(), l.refused.Load(), l.left.Load()}
	args = []any{
		"service", l.service, "waiting", s.Waiting, "running", s.InFlight, "capacity", s.Capacity, "hold", s.Hold, "viewed", l.viewed,
		"admitted", counts[0] - l.reported[0], "refused", counts[1] - l.reported[1], "left", counts[2] - l.reported[2],
	}
	l.reported, l.logged = counts, time.Time{}
	if s.Waiting > 0 {
		l.logged = now
	}
	return s.Waiting > 0, args
}

// isLogged reports whether it was logged that requests wait, but not yet that they no longer do.
func (l *line) isLogged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.logged.IsZero()
}

// State is the state of the queue of a service, for operators.
type State struct {
	Capacity int64 `json:"capacity"` // -1 if it is not limited
	Running  int64 `json:"running"`
	Waiting  int   `json:"waiting"`
	// Waited, Refused and Left count requests: those that were started after a wait, those that
	// were refused, and those whose callers left while they waited.
	Waited  int64 `json:"waited"`
	Refused int64 `json:"refused"`
	Left    int64 `json:"left"`
}

// State returns the state of the queues of all services.
func (q *Queue) State() map[ident.Service]State {
	q.mu.RLock()
	defer q.mu.RUnlock()
	all := make(map[ident.Service]State, len(q.lines))
	for service, l := range q.lines {
		s := l.gate.State()
		state := State{Capacity: int64(s.Capacity), Running: int64(s.InFlight), Waiting: s.Waiting, Waited: l.waited.Load(), Refused: l.refused.Load(), Left: l.left.Load()}
		if s.Capacity == admission.Unlimited {
			state.Capacity = -1
		}
		all[service] = state
	}
	return all
}
