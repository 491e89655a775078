package engine

import (
	"slices"
	"time"

	wire "example.org/lagoonfork/pkg/engine"
)

// loadsKept is the number of past loads that are kept.
const loadsKept = 4096

// loadLog keeps the load over time, so that it can be reported with a lag.
type loadLog struct {
	entries []wire.Load // in order of AsOf
	frozen  *wire.Load
}

func (g *loadLog) record(l wire.Load) {
	if len(g.entries) >= loadsKept {
		g.entries = slices.Delete(g.entries, 0, loadsKept/2)
	}
	g.entries = append(g.entries, l)
}

// at returns the load as it was at t, and forgets what was before.
func (g *loadLog) at(t time.Time) wire.Load {
	i := 0
	for i+1 < len(g.entries) && !g.entries[i+1].AsOf.After(t) {
		i++
	}
	g.entries = slices.Delete(g.entries, 0, i)
	l := g.entries[0]
	l.AsOf = t
	return l
}

func (g *loadLog) freeze(t time.Time) {
	l := g.at(t)
	g.frozen = &l
}

// recordLoad notes the present load. The caller holds the lock.
func (e *Engine) recordLoad() {
	e.load.record(e.presentLoad())
}

func (e *Engine) presentLoad() wire.Load {
	l := wire.Load{
		Slots:        e.settings.Slots,
		LoadedModels: slices.Clone(e.models),
		AsOf:         e.settings.Clock(),
		Leaving:      e.leaving,
		Role:         e.role,
		Started:      e.began,
	}
	if e.life == nil {
		return l
	}
	l.Running = e.life.running
	l.Queued = len(e.life.queue)
	l.QueuedTokens = e.life.queuedTokens
	l.RunningTokens = e.life.runningTokens
	return l
}

// reportedLoad returns the load that the engine reports.
func (e *Engine) reportedLoad() wire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoadFrozen {
		return *e.load.frozen
	}
	if e.settings.LoadLag == 0 {
		return e.presentLoad()
	}
	return e.load.at(e.settings.Clock().Add(-e.settings.LoadLag))
}
