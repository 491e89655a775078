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

// maxRetainedRuns is the number of runs retained for resumption. Only ended
// runs are removed, so that more are retained while the oldest has not ended.
const maxRetainedRuns = 4096

var (
	errNotRun      = errors.New("engine takes no runs")
	errUnavailable = errors.New("engine failed")
)

// run is one execution of a request. The fields after the blank line are
// guarded by Engine.mu.
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

	// generated is the number of tokens ready to send. changed is closed and
	// replaced when generated grows or the run ends.
	generated int
	cached    tokens.Count // prompt tokens found in the cache
	ended     bool
	cancelled bool
	admitted  chan struct{} // closed when the run gets a slot
	changed   chan struct{}
}

// targetLength returns the number of tokens that the run generates unless it is
// cancelled.
func (r *run) targetLength(f Faults) int {
	n := answerLength(r.prompt)
	if !f.IgnoresMaxTokens {
		n = min(n, r.maxTokens)
	}
	return n
}

// finishReason returns FinishLength if the token limit cut the answer short, or
// else FinishStop.
func (r *run) finishReason() string {
	if r.generated < answerLength(r.prompt) {
		return wire.FinishLength
	}
	return wire.FinishStop
}

func (r *run) usage() *wire.Usage {
	prompt := PromptTokens(r.prompt)
	output := tokens.Count(r.generated)
	return &wire.Usage{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		Details:          &wire.PromptDetails{CachedTokens: r.cached},
	}
}

// start queues a run. The run does not depend on its caller's connection.
func (inst *instance) start(r *run) error {
	e := inst.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case inst.ctx.Err() != nil || e.faults.Unavailable:
		return errUnavailable
	case e.faults.NotRun:
		return errNotRun
	}
	r.ctx, r.cancel = context.WithCancel(inst.ctx)
	r.admitted = make(chan struct{})
	r.changed = make(chan struct{})
	e.runCounts[r.request]++
	inst.retain(r)
	inst.queue = append(inst.queue, r)
	inst.queuedTokens += PromptTokens(r.prompt)
	inst.admit()
	e.t.Go(func() error {
		inst.execute(r)
		return nil
	})
	return nil
}

// retain registers the run for resumption and removes the oldest ended runs in
// excess of maxRetainedRuns.
func (inst *instance) retain(r *run) {
	inst.runsByAttempt[r.attempt] = r
	inst.latestByRequest[r.request] = r
	inst.retained = append(inst.retained, r)
	for len(inst.retained) > maxRetainedRuns && inst.retained[0].ended {
		old := inst.retained[0]
		inst.retained = inst.retained[1:]
		if inst.runsByAttempt[old.attempt] == old {
			delete(inst.runsByAttempt, old.attempt)
		}
		if inst.latestByRequest[old.request] == old {
			delete(inst.latestByRequest, old.request)
		}
	}
}

// admit gives free slots to the queued runs with the highest priority, first
// come first served among equals.
func (inst *instance) admit() {
	for inst.running < inst.engine.settings.Slots && len(inst.queue) > 0 {
		first := 0
		for i, r := range inst.queue {
			if r.priority > inst.queue[first].priority {
				first = i
			}
		}
		r := inst.dequeue(first)
		inst.running++
		inst.runningTokens += PromptTokens(r.prompt)
		close(r.admitted)
	}
	inst.engine.recordLoad()
}

// dequeue removes the i-th run from the queue.
func (inst *instance) dequeue(i int) *run {
	r := inst.queue[i]
	inst.queue = slices.Delete(inst.queue, i, i+1)
	inst.queuedTokens -= PromptTokens(r.prompt)
	return r
}

// execute waits for a slot and generates the answer.
func (inst *instance) execute(r *run) {
	defer inst.finishRun(r)
	select {
	case <-r.admitted:
	case <-r.ctx.Done():
		return
	}
	e := inst.engine
	if trigger := e.currentFaults().CrashOn; trigger != "" && strings.Contains(r.prompt, trigger) {
		e.Crash()
		return
	}
	if !sleep(r.ctx, e.prefill(r)) {
		return
	}
	for inst.generateToken(r) {
		if !sleep(r.ctx, e.settings.TokenInterval+e.currentFaults().Slow) {
			return
		}
	}
}

// prefill stores the run's prompt in the cache and returns the time that
// prefilling its uncached tokens takes.
func (e *Engine) prefill(r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cached = e.cache.lookupAndStore(r.cacheKey, r.prompt, e.settings.Clock())
	return time.Duration(PromptTokens(r.prompt)-r.cached) * e.settings.PrefillPerToken
}

// generateToken makes the next token available. It reports whether more follow.
func (inst *instance) generateToken(r *run) bool {
	e := inst.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	length := r.targetLength(e.faults)
	if r.ctx.Err() != nil || r.generated >= length {
		return false
	}
	r.generated++
	inst.runningTokens++
	e.generatedTokens++
	r.notify()
	return r.generated < length
}

// finishRun marks a run as ended and frees its slot or its place in the queue.
func (inst *instance) finishRun(r *run) {
	e := inst.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	r.ended = true
	r.cancelled = r.ctx.Err() != nil
	r.cancel()
	r.notify()
	if i := slices.Index(inst.queue, r); i >= 0 {
		inst.dequeue(i)
	} else {
		inst.running--
		inst.runningTokens -= PromptTokens(r.prompt) + tokens.Count(r.generated)
	}
	inst.admit()
}

// notify wakes the readers of the run. The caller holds Engine.mu.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// findRun returns the run of the attempt if it belongs to the request, or else
// the latest run of the request, or nil.
func (inst *instance) findRun(request ident.Request, attempt ident.Attempt) *run {
	inst.engine.mu.Lock()
	defer inst.engine.mu.Unlock()
	if r := inst.runsByAttempt[attempt]; r != nil && r.request == request {
		return r
	}
	return inst.latestByRequest[request]
}

func (inst *instance) isCancelled(r *run) bool {
	inst.engine.mu.Lock()
	defer inst.engine.mu.Unlock()
	return r.cancelled
}

// cancelRuns cancels the runs of a request, or only that of attempt if it is
// set. It reports whether there are any.
func (inst *instance) cancelRuns(request ident.Request, attempt ident.Attempt) (found bool) {
	inst.engine.mu.Lock()
	defer inst.engine.mu.Unlock()
	for _, r := range inst.runsByAttempt {
		if r.request != request || attempt != "" && r.attempt != attempt {
			continue
		}
		found = true
		if !inst.engine.faults.IgnoresCancel {
			r.cancel()
		}
	}
	return found
}

// sleep waits for d or until ctx is done. It reports whether ctx is not done.
func sleep(ctx context.Context, d time.Duration) bool {
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
