package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Planner plans the moves of one service. It is not safe for concurrent use.
type Planner struct {
	policy   Policy
	loaded   time.Time // when the last load was planned
	demand   map[engine.LoadedModel]float64
	measured time.Time
	since    map[ident.Upstream]time.Time // of the last load
}

// New returns a planner.
func New(p Policy) *Planner {
	return &Planner{
		policy: p.withDefaults(),
		demand: make(map[engine.LoadedModel]float64),
		since:  make(map[ident.Upstream]time.Time),
	}
}

// Loaded tells of a load that another planner asked for, which counts for the
// rate.
func (p *Planner) Loaded(at time.Time) {
	if at.After(p.loaded) {
		p.loaded = at
	}
}

// Plan returns the moves to make at now. At most one of them concerns each
// upstream.
func (p *Planner) Plan(now time.Time, models []Model, upstreams []Upstream) []Move {
	p.smooth(now, models)
	x := newPlan(p, now, models, upstreams)
	x.dropObsolete()
	x.reachFloors()
	x.followDemand()
	return x.moves
}

// smooth takes in a measurement of the demand.
func (p *Planner) smooth(now time.Time, models []Model) {
	keep := 0.0
	if !p.measured.IsZero() {
		keep = math.Exp2(-float64(now.Sub(p.measured)) / float64(p.policy.HalfLife))
	}
	p.measured = now
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

// plan is the work of one call of Plan. Planned moves are counted as they come.
type plan struct {
	*Planner
	now       time.Time
	models    []Model
	upstreams []Upstream
	inFlight  int // loads
	moves     []Move
}

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

// dropObsolete unloads models that are no longer configured, once those that
// are have their floors.
func (x *plan) dropObsolete() {
	for _, m := range x.models {
		if x.assured(m.LoadedModel) < m.Floor {
			return
		}
	}
	for i := range x.upstreams {
		u := &x.upstreams[i]
		for _, m := range u.Assured {
			if !x.configured(m) && x.mayUnload(u, m) {
				x.unload(u, m, ReasonObsolete)
				break
			}
		}
	}
}

// reachFloors loads models that have too few copies.
func (x *plan) reachFloors() {
	wanted := 0 // places
	for _, m := range x.models {
		for missing := m.Floor - x.copies(m.LoadedModel); missing > 0; missing-- {
			if x.place(m.LoadedModel, ReasonFloor) {
				continue
			}
			wanted++
			if x.freeing() < wanted {
				x.makeRoom(m.LoadedModel, 0)
			}
		}
	}
}

// followDemand fills free room, then frees room for the neediest model.
func (x *plan) followDemand() {
	for {
		m, ok := x.neediest()
		if !ok {
			return
		}
		if !x.place(m, ReasonDemand) {
			x.makeRoom(m, x.policy.Factor)
			return
		}
	}
}

// neediest returns the model with the most demand for each copy, if there is
// any demand.
func (x *plan) neediest() (m engine.LoadedModel, ok bool) {
	most := 0.0
	for _, c := range x.models {
		if need := x.perCopy(c.LoadedModel, 1); need > most {
			m, most, ok = c.LoadedModel, need, true
		}
	}
	return m, ok
}

// perCopy returns the demand for each copy if there were change more copies.
func (x *plan) perCopy(m engine.LoadedModel, change int) float64 {
	return x.demand[m] / max(float64(x.copies(m)+change), 0.5)
}

// place loads a model at the best engine with room, if there is one and the
// weight store bears it.
func (x *plan) place(m engine.LoadedModel, why Reason) bool {
	u := x.bestRoom(m)
	gap := time.Minute / time.Duration(x.policy.LoadsPerMinute)
	if u == nil || x.inFlight >= x.policy.LoadsInFlight || x.now.Sub(x.loaded) < gap {
		return false
	}
	x.loaded = x.now
	x.inFlight++
	x.since[u.ID] = x.now
	u.Busy = true
	u.Loading = append(u.Loading, m)
	x.moves = append(x.moves, Move{u.ID, load(m), why})
	return true
}

// bestRoom returns an engine with room in the failure domain with the fewest
// copies.
func (x *plan) bestRoom(m engine.LoadedModel) (best *Upstream) {
	copies := x.domains(m)
	for i := range x.upstreams {
		u := &x.upstreams[i]
		if !x.roomy(u) || u.has(m) {
			continue
		}
		if best == nil || copies[u.Domain] < copies[best.Domain] {
			best = u
		}
	}
	return best
}

func (x *plan) roomy(u *Upstream) bool {
	return !u.Leaving && !u.Busy && u.places() < x.policy.ModelsPerEngine
}

// makeRoom unloads a copy of the model that needs it least, if the need of m is
// greater by factor and no room is free for it.
func (x *plan) makeRoom(m engine.LoadedModel, factor float64) {
	if x.bestRoom(m) != nil || x.freeing() >= x.policy.LoadsInFlight-x.inFlight {
		return
	}
	var victim *Upstream
	var least engine.LoadedModel
	need := x.perCopy(m, 1)
	for i := range x.upstreams {
		u := &x.upstreams[i]
		for _, l := range u.Assured {
			if l == m || u.has(m) || !x.mayUnload(u, l) || !x.rested(u, factor) {
				continue
			}
			left := x.perCopy(l, -1)
			if factor > 0 && left*factor >= need {
				continue
			}
			if victim == nil || x.before(l, u, least, victim) {
				victim, least = u, l
			}
		}
	}
	if victim != nil {
		x.unload(victim, least, ReasonMakeRoom)
	}
}

// rested reports whether the engine has kept its copies for long enough. For a
// floor, without a factor, it need not.
func (x *plan) rested(u *Upstream, factor float64) bool {
	since, ok := x.since[u.ID]
	return factor == 0 || !ok || x.now.Sub(since) >= x.policy.Hold
}

// before reports whether a on u is to make way before b on v: the one needed
// less, then the one in the failure domain with more copies.
func (x *plan) before(a engine.LoadedModel, u *Upstream, b engine.LoadedModel, v *Upstream) bool {
	return cmp.Or(
		cmp.Compare(x.perCopy(a, -1), x.perCopy(b, -1)),
		cmp.Compare(x.domains(b)[v.Domain], x.domains(a)[u.Domain]),
	) < 0
}

// freeing counts the places that are free or being freed.
func (x *plan) freeing() (n int) {
	for i := range x.upstreams {
		u := &x.upstreams[i]
		if x.roomy(u) || !u.Leaving && !u.Tainted && len(u.Unloading) > 0 {
			n++
		}
	}
	return n
}

func (x *plan) unload(u *Upstream, m engine.LoadedModel, why Reason) {
	u.Busy = true
	u.Unloading = append(u.Unloading, m)
	u.Assured = slices.DeleteFunc(u.Assured, func(l engine.LoadedModel) bool { return removes(m, l) })
	x.moves = append(x.moves, Move{u.ID, unload(m), why})
}

// mayUnload reports whether every model that goes with m stays at its floor and
// has a copy left, and so do all the versions of m together, which serve the
// same callers.
func (x *plan) mayUnload(u *Upstream, m engine.LoadedModel) bool {
	if u.Leaving || u.Busy {
		return false
	}
	for _, c := range x.models {
		floor := max(c.Floor, 1)
		if removes(m, c.LoadedModel) && contains(u.Assured, c.LoadedModel) && x.assured(c.LoadedModel)-1 < floor {
			return false
		}
		if c.Model == m.Model && x.serving(m.Model)-1 < floor {
			return false
		}
	}
	return true
}

// serving counts the engines that are certain to keep some version of a model.
func (x *plan) serving(model ident.Model) (n int) {
	for _, u := range x.upstreams {
		if !u.Leaving && slices.ContainsFunc(u.Assured, func(l engine.LoadedModel) bool { return l.Model == model }) {
			n++
		}
	}
	return n
}

func (x *plan) configured(m engine.LoadedModel) bool {
	return slices.ContainsFunc(x.models, func(c Model) bool { return c.LoadedModel == m })
}

// assured counts the copies that are certain to stay.
func (x *plan) assured(m engine.LoadedModel) (n int) {
	for _, u := range x.upstreams {
		if !u.Leaving && contains(u.Assured, m) {
			n++
		}
	}
	return n
}

// copies counts the copies that are there or being loaded.
func (x *plan) copies(m engine.LoadedModel) (n int) {
	for _, copies := range x.domains(m) {
		n += copies
	}
	return n
}

// domains counts the copies in each failure domain.
func (x *plan) domains(m engine.LoadedModel) map[ident.FailureDomain]int {
	copies := make(map[ident.FailureDomain]int)
	for _, u := range x.upstreams {
		if !u.Leaving && (contains(u.Assured, m) || !u.Tainted && contains(u.Loading, m)) {
			copies[u.Domain]++
		}
	}
	return copies
}

func (u *Upstream) places() int {
	return len(u.Assured) + len(u.Loading) + len(u.Unloading)
}

func (u *Upstream) has(m engine.LoadedModel) bool {
	return contains(u.Assured, m) || contains(u.Loading, m) || contains(u.Unloading, m)
}
