package engine

import (
	"slices"
	"time"

	wire "example.org/lagoonfork/pkg/engine"
)

// maxLoads is the number of past loads kept. When it is reached, the older half
// is removed.
const maxLoads = 4096

// loadHistory keeps past loads, so that the load can be reported with a delay.
type loadHistory struct {
	entries []wire.Load // in ascending order of AsOf
	frozen  *wire.Load  // reported while Faults.LoadFrozen is set
}

func (h *loadHistory) record(l wire.Load) {
	if len(h.entries) >= maxLoads {
		h.entries = slices.Delete(h.entries, 0, maxLoads/2)
	}
	h.entries = append(h.entries, l)
}

// at returns the load as it was at t and removes older entries. If all entries
// are later than t, it returns the oldest.
func (h *loadHistory) at(t time.Time) wire.Load {
	i := 0
	for i+1 < len(h.entries) && !h.entries[i+1].AsOf.After(t) {
		i++
	}
	h.entries = slices.Delete(h.entries, 0, i)
	l := h.entries[0]
	l.AsOf = t
	return l
}

// freeze records the load at t for reports while the load is frozen.
func (h *loadHistory) freeze(t time.Time) {
	l := h.at(t)
	h.frozen = &l
}

// recordLoad adds the current load to the history. The caller holds e.mu.
func (e *Engine) recordLoad() {
	e.loadHistory.record(e.currentLoad())
}

// currentLoad returns the load at this time. The caller holds e.mu.
func (e *Engine) currentLoad() wire.Load {
	l := wire.Load{
		Slots:        e.settings.Slots,
		LoadedModels: slices.Clone(e.models),
		AsOf:         e.settings.Clock(),
		Leaving:      e.leaving,
		Role:         e.role,
		Started:      e.startedAt,
	}
	if e.instance == nil {
		return l
	}
	l.Running = e.instance.running
	l.Queued = len(e.instance.queue)
	l.QueuedTokens = e.instance.queuedTokens
	l.RunningTokens = e.instance.runningTokens
	return l
}

// reportedLoad returns the load to report, which may be delayed or frozen.
func (e *Engine) reportedLoad() wire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoadFrozen {
		return *e.loadHistory.frozen
	}
	if e.settings.LoadDelay == 0 {
		return e.currentLoad()
	}
	return e.loadHistory.at(e.settings.Clock().Add(-e.settings.LoadDelay))
}
