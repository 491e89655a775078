package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Planner plans the moves for the engines of one service. It is not safe for
// concurrent use.
type Planner struct {
	policy   Policy
	lastLoad time.Time // time of the last load that was planned or reported to RecordLoad
	demand   map[engine.LoadedModel]float64
	demandAt time.Time
	loadedAt map[ident.Upstream]time.Time // time of the last load on each engine
}

// New returns a Planner with the given policy.
func New(p Policy) *Planner {
	return &Planner{
		policy:   p.withDefaults(),
		demand:   make(map[engine.LoadedModel]float64),
		loadedAt: make(map[ident.Upstream]time.Time),
	}
}

// RecordLoad records that another planner requested a load at the given time. The load
// counts toward the rate limit.
func (p *Planner) RecordLoad(at time.Time) {
	if at.After(p.lastLoad) {
		p.lastLoad = at
	}
}

// Plan returns the moves to make at the given time, at most one for each upstream.
func (p *Planner) Plan(now time.Time, models []Model, upstreams []Upstream) []Move {
	p.smoothDemand(now, models)
	x := newPlan(p, now, models, upstreams)
	x.unloadObsolete()
	x.reachFloors()
	x.followDemand()
	return x.moves
}

// smoothDemand updates the exponential moving averages of the demand with a new
// measurement.
func (p *Planner) smoothDemand(now time.Time, models []Model) {
	keep := 0.0
	if !p.demandAt.IsZero() {
		keep = math.Exp2(-float64(now.Sub(p.demandAt)) / float64(p.policy.HalfLife))
	}
	p.demandAt = now
	next := make(map[engine.LoadedModel]float64, len(models))
	for _, m := range models {
		old, ok := p.demand[m.LoadedModel]
		if !ok {
			old = m.Demand
		}
		next[m.LoadedModel] = keep*old + (1-keep)*m.Demand
	}
	p.demand = next
}

// plan is the state of one call of Plan. The upstreams include the effects of the
// moves planned so far.
type plan struct {
	*Planner
	now       time.Time
	models    []Model
	upstreams []Upstream
	inFlight  int // number of loads
	moves     []Move
}

// newPlan returns a plan without moves. It copies the upstreams, because planning
// changes them.
func newPlan(p *Planner, now time.Time, models []Model, upstreams []Upstream) *plan {
	x := &plan{Planner: p, now: now, models: models, upstreams: slices.Clone(upstreams)}
	for i := range x.upstreams {
		u := &x.upstreams[i]
		u.Assured = slices.Clone(u.Assured)
		u.Loading = slices.Clone(u.Loading)
		u.Unloading = slices.Clone(u.Unloading)
		if !u.Tainted {
			x.inFlight += len(u.Loading)
		}
	}
	return x
}

// unloadObsolete unloads models that are no longer configured, provided that all
// configured models have reached their floors.
func (x *plan) unloadObsolete() {
	for _, m := range x.models {
		if x.assuredCopies(m.LoadedModel) < m.Floor {
			return
		}
	}
	for i := range x.upstreams {
		u := &x.upstreams[i]
		for _, m := range u.Assured {
			if !x.configured(m) && x.canUnload(u, m) {
				x.unload(u, m, ReasonObsolete)
				break
			}
		}
	}
}

// reachFloors loads the models that have fewer copies than their floor. If no load is
// possible, it makes room.
func (x *plan) reachFloors() {
	needed := 0 // number of engines with room that the missing copies need
	for _, m := range x.models {
		for missing := m.Floor - x.copies(m.LoadedModel); missing > 0; missing-- {
			if x.tryLoad(m.LoadedModel, ReasonFloor) {
				continue
			}
			needed++
			if x.enginesWithRoom() < needed {
				x.makeRoom(m.LoadedModel, 0)
			}
		}
	}
}

// followDemand loads models by demand as long as loads are possible, and then makes
// room for the model with the highest demand per copy.
func (x *plan) followDemand() {
	for {
		m, ok := x.highestDemand()
		if !ok {
			return
		}
		if !x.tryLoad(m, ReasonDemand) {
			x.makeRoom(m, x.policy.DemandRatio)
			return
		}
	}
}

// highestDemand returns the model that would have the highest demand per copy with one
// copy more, and false if there is no demand.
func (x *plan) highestDemand() (m engine.LoadedModel, ok bool) {
	most := 0.0
	for _, c := range x.models {
		if need := x.demandPerCopy(c.LoadedModel, 1); need > most {
			m, most, ok = c.LoadedModel, need, true
		}
	}
	return m, ok
}

// demandPerCopy returns the demand per copy of m if it had delta more copies.
func (x *plan) demandPerCopy(m engine.LoadedModel, delta int) float64 {
	return x.demand[m] / max(float64(x.copies(m)+delta), 0.5)
}

// tryLoad plans the load of a model on the best engine with room. It reports false if
// there is no such engine or if the limits on loads do not permit it.
func (x *plan) tryLoad(m engine.LoadedModel, reason Reason) bool {
	u := x.bestEngine(m)
	gap := time.Minute / time.Duration(x.policy.LoadsPerMinute)
	if u == nil || x.inFlight >= x.policy.LoadsInFlight || x.now.Sub(x.lastLoad) < gap {
		return false
	}
	x.lastLoad = x.now
	x.inFlight++
	x.loadedAt[u.ID] = x.now
	u.Busy = true
	u.Loading = append(u.Loading, m)
	x.moves = append(x.moves, Move{u.ID, loadOrder(m), reason})
	return true
}

// bestEngine returns an engine that has room and does not have m, in the failure
// domain with the fewest copies of m, or nil if there is none.
func (x *plan) bestEngine(m engine.LoadedModel) (best *Upstream) {
	copies := x.copiesByDomain(m)
	for i := range x.upstreams {
		u := &x.upstreams[i]
		if !x.hasRoom(u) || u.has(m) {
			continue
		}
		if best == nil || copies[u.Domain] < copies[best.Domain] {
			best = u
		}
	}
	return best
}

// hasRoom reports whether an engine can load another model now.
func (x *plan) hasRoom(u *Upstream) bool {
	return !u.Leaving && !u.Busy && u.modelCount() < x.policy.ModelsPerEngine
}

// makeRoom plans the unload of the copy with the least demand to make room for m,
// unless enough engines have room. If ratio is not zero, the demand per copy of m must
// exceed that of the unloaded model by the ratio.
func (x *plan) makeRoom(m engine.LoadedModel, ratio float64) {
	if x.bestEngine(m) != nil || x.enginesWithRoom() >= x.policy.LoadsInFlight-x.inFlight {
		return
	}
	var victim *Upstream
	var evicted engine.LoadedModel
	need := x.demandPerCopy(m, 1)
	for i := range x.upstreams {
		u := &x.upstreams[i]
		for _, l := range u.Assured {
			if l == m || u.has(m) || !x.canUnload(u, l) || !x.heldLongEnough(u, ratio) {
				continue
			}
			remaining := x.demandPerCopy(l, -1)
			if ratio > 0 && remaining*ratio >= need {
				continue
			}
			if victim == nil || x.evictBefore(l, u, evicted, victim) {
				victim, evicted = u, l
			}
		}
	}
	if victim != nil {
		x.unload(victim, evicted, ReasonMakeRoom)
	}
}

// heldLongEnough reports whether the engine has kept its copies for the minimum
// residency, which does not apply if the ratio is zero, that is, to reach a floor.
func (x *plan) heldLongEnough(u *Upstream, ratio float64) bool {
	loadedAt, ok := x.loadedAt[u.ID]
	return ratio == 0 || !ok || x.now.Sub(loadedAt) >= x.policy.MinResidency
}

// evictBefore reports whether copy a on u is unloaded in preference to copy b on v. The
// model with less demand per copy goes first, then the copy in the failure domain with
// more copies.
func (x *plan) evictBefore(a engine.LoadedModel, u *Upstream, b engine.LoadedModel, v *Upstream) bool {
	return cmp.Or(
		cmp.Compare(x.demandPerCopy(a, -1), x.demandPerCopy(b, -1)),
		cmp.Compare(x.copiesByDomain(b)[v.Domain], x.copiesByDomain(a)[u.Domain]),
	) < 0
}

// enginesWithRoom returns the number of engines that have room or are unloading a
// model.
func (x *plan) enginesWithRoom() (n int) {
	for i := range x.upstreams {
		u := &x.upstreams[i]
		if x.hasRoom(u) || !u.Leaving && !u.Tainted && len(u.Unloading) > 0 {
			n++
		}
	}
	return n
}

// unload plans the unload of m on u.
func (x *plan) unload(u *Upstream, m engine.LoadedModel, reason Reason) {
	u.Busy = true
	u.Unloading = append(u.Unloading, m)
	u.Assured = slices.DeleteFunc(u.Assured, func(l engine.LoadedModel) bool { return removes(m, l) })
	x.moves = append(x.moves, Move{u.ID, unloadOrder(m), reason})
}

// canUnload reports whether m may be unloaded from u: every model that is unloaded with
// it must keep its floor and at least one copy, and so must all versions of m taken
// together, because they serve the same callers.
func (x *plan) canUnload(u *Upstream, m engine.LoadedModel) bool {
	if u.Leaving || u.Busy {
		return false
	}
	for _, c := range x.models {
		floor := max(c.Floor, 1)
		if removes(m, c.LoadedModel) && contains(u.Assured, c.LoadedModel) && x.assuredCopies(c.LoadedModel)-1 < floor {
			return false
		}
		if c.Model == m.Model && x.enginesServing(m.Model)-1 < floor {
			return false
		}
	}
	return true
}

// enginesServing returns the number of engines that are assured to keep any version of
// a model.
func (x *plan) enginesServing(model ident.Model) (n int) {
	for _, u := range x.upstreams {
		if !u.Leaving && slices.ContainsFunc(u.Assured, func(l engine.LoadedModel) bool { return l.Model == model }) {
			n++
		}
	}
	return n
}

// configured reports whether m is one of the models to place.
func (x *plan) configured(m engine.LoadedModel) bool {
	return slices.ContainsFunc(x.models, func(c Model) bool { return c.LoadedModel == m })
}

// assuredCopies returns the number of copies of m that are assured to stay loaded.
func (x *plan) assuredCopies(m engine.LoadedModel) (n int) {
	for _, u := range x.upstreams {
		if !u.Leaving && contains(u.Assured, m) {
			n++
		}
	}
	return n
}

// copies returns the number of copies of m that are assured or being loaded.
func (x *plan) copies(m engine.LoadedModel) (n int) {
	for _, copies := range x.copiesByDomain(m) {
		n += copies
	}
	return n
}

// copiesByDomain returns the number of copies of m in each failure domain, including
// those that are being loaded.
func (x *plan) copiesByDomain(m engine.LoadedModel) map[ident.FailureDomain]int {
	copies := make(map[ident.FailureDomain]int)
	for _, u := range x.upstreams {
		if !u.Leaving && (contains(u.Assured, m) || !u.Tainted && contains(u.Loading, m)) {
			copies[u.Domain]++
		}
	}
	return copies
}

// modelCount returns the number of models that take up room on the engine.
func (u *Upstream) modelCount() int {
	return len(u.Assured) + len(u.Loading) + len(u.Unloading)
}

// has reports whether the engine has m loaded, is loading it or is unloading it.
func (u *Upstream) has(m engine.LoadedModel) bool {
	return contains(u.Assured, m) || contains(u.Loading, m) || contains(u.Unloading, m)
}
