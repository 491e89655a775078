package engine

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// runsKept is the number of ended runs that can still be resumed.
const runsKept = 4096

var (
	errNotRun      = errors.New("engine takes no runs")
	errUnavailable = errors.New("engine failed")
)

// run is one run of a request. Fields after the line are guarded by Engine.mu.
type run struct {
	request   ident.Request
	attempt   ident.Attempt
	model     ident.Model
	prompt    string
	maxTokens int
	priority  int
	cacheKey  string
	ctx       context.Context
	cancel    context.CancelFunc

	// produced is the number of tokens ready, and changed is closed when it
	// grows or the run ends.
	produced  int
	cached    tokens.Count
	ended     bool
	cancelled bool
	admitted  chan struct{}
	changed   chan struct{}
}

// length returns the number of tokens that the run produces.
func (r *run) length(f Faults) int {
	n := answerLength(r.prompt)
	if !f.IgnoresMaxTokens {
		n = min(n, r.maxTokens)
	}
	return n
}

func (r *run) finish() string {
	if r.produced < answerLength(r.prompt) {
		return wire.FinishLength
	}
	return wire.FinishStop
}

func (r *run) usage() *wire.Usage {
	prompt := PromptTokens(r.prompt)
	output := tokens.Count(r.produced)
	return &wire.Usage{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		Details:          &wire.PromptDetails{CachedTokens: r.cached},
	}
}

// start accepts a run and lets it go on without its caller.
func (l *life) start(r *run) error {
	e := l.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case l.ctx.Err() != nil || e.faults.Unavailable:
		return errUnavailable
	case e.faults.NotRun:
		return errNotRun
	}
	r.ctx, r.cancel = context.WithCancel(l.ctx)
	r.admitted = make(chan struct{})
	r.changed = make(chan struct{})
	e.started[r.request]++
	l.keep(r)
	l.queue = append(l.queue, r)
	l.queuedTokens += PromptTokens(r.prompt)
	l.admit()
	e.t.Go(func() error {
		l.work(r)
		return nil
	})
	return nil
}

// keep makes the run known, and forgets old ones that have ended.
func (l *life) keep(r *run) {
	l.runs[r.attempt] = r
	l.latest[r.request] = r
	l.kept = append(l.kept, r)
	for len(l.kept) > runsKept && l.kept[0].ended {
		old := l.kept[0]
		l.kept = l.kept[1:]
		if l.runs[old.attempt] == old {
			delete(l.runs, old.attempt)
		}
		if l.latest[old.request] == old {
			delete(l.latest, old.request)
		}
	}
}

// admit gives free slots to the queued runs with the highest priority.
func (l *life) admit() {
	for l.running < l.engine.settings.Slots && len(l.queue) > 0 {
		first := 0
		for i, r := range l.queue {
			if r.priority > l.queue[first].priority {
				first = i
			}
		}
		r := l.unqueue(first)
		l.running++
		l.runningTokens += PromptTokens(r.prompt)
		close(r.admitted)
	}
	l.engine.recordLoad()
}

// unqueue takes the i-th run out of the queue.
func (l *life) unqueue(i int) *run {
	r := l.queue[i]
	l.queue = slices.Delete(l.queue, i, i+1)
	l.queuedTokens -= PromptTokens(r.prompt)
	return r
}

// work carries a run out.
func (l *life) work(r *run) {
	defer l.finish(r)
	select {
	case <-r.admitted:
	case <-r.ctx.Done():
		return
	}
	e := l.engine
	if on := e.faultsInForce().CrashOn; on != "" && strings.Contains(r.prompt, on) {
		e.Crash()
		return
	}
	if !pause(r.ctx, e.prefill(r)) {
		return
	}
	for l.produce(r) {
		if !pause(r.ctx, e.settings.TokenPace+e.faultsInForce().Slow) {
			return
		}
	}
}

// prefill returns the time that the run's prompt takes, and caches it.
func (e *Engine) prefill(r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cached = e.cache.use(r.cacheKey, r.prompt, e.settings.Clock())
	return time.Duration(PromptTokens(r.prompt)-r.cached) * e.settings.PrefillPace
}

// produce makes the next token ready. It reports whether there are more.
func (l *life) produce(r *run) bool {
	e := l.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	length := r.length(e.faults)
	if r.ctx.Err() != nil || r.produced >= length {
		return false
	}
	r.produced++
	l.runningTokens++
	e.generated++
	r.notify()
	return r.produced < length
}

// finish ends a run and frees its slot.
func (l *life) finish(r *run) {
	e := l.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r.ended = true
	r.cancelled = r.ctx.Err() != nil
	r.cancel()
	r.notify()
	if i := slices.Index(l.queue, r); i >= 0 {
		l.unqueue(i)
	} else {
		l.running--
		l.runningTokens -= PromptTokens(r.prompt) + tokens.Count(r.produced)
	}
	l.admit()
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// find returns the run that a resumption reads, or nil.
func (l *life) find(request ident.Request, attempt ident.Attempt) *run {
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	if r := l.runs[attempt]; r != nil && r.request == request {
		return r
	}
	return l.latest[request]
}

func (l *life) isCancelled(r *run) bool {
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	return r.cancelled
}

// cancel stops the runs of a request, or only the one of attempt.
func (l *life) cancel(request ident.Request, attempt ident.Attempt) (found bool) {
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	for _, r := range l.runs {
		if r.request != request || attempt != "" && r.attempt != attempt {
			continue
		}
		found = true
		if !l.engine.faults.IgnoresCancel {
			r.cancel()
		}
	}
	return found
}

// pause waits for d. It reports whether ctx is still in force.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
