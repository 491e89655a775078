package router

import "example.org/lagoonfork/internal/answermemory"

// answerMemory returns the memory that answers may take.
func (r *Router) answerMemory() *answermemory.Pool {
	pool := answermemory.New(r.settings.Limits.VM.Responses(), r.settings.Clock)
	r.metrics.Gauge("answerMemory", func() any { return pool.State() })
	return pool
}
