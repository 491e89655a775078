package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func unversioned(m string) engine.LoadedModel { return engine.LoadedModel{Model: ident.Model(m)} }

// fleet simulates engines that complete load orders after loadTime.
type fleet struct {
	upstreams    []Upstream
	loadTime     time.Duration
	idleAt       map[ident.Upstream]time.Time // end of the outstanding order of each engine
	loads        int
	loadStarts   []time.Time   // times at which loads were ordered
	minResidency time.Duration // least time between a load and an unload on the same engine
	loadedAt     map[ident.Upstream]time.Time
}

func newFleet(engines, domains int, models []Model, loadTime time.Duration) *fleet {
	f := &fleet{loadTime: loadTime, idleAt: make(map[ident.Upstream]time.Time), loadedAt: make(map[ident.Upstream]time.Time), minResidency: time.Hour}
	for i := range engines {
		f.upstreams = append(f.upstreams, Upstream{
			ID:      ident.Upstream(fmt.Sprintf("e%02d", i)),
			Domain:  ident.FailureDomain(fmt.Sprintf("d%d", i%domains)),
			Assured: []engine.LoadedModel{models[i%len(models)].LoadedModel},
		})
	}
	return f
}

func (f *fleet) apply(now time.Time, moves []Move) {
	for _, m := range moves {
		i := slices.IndexFunc(f.upstreams, func(u Upstream) bool { return u.ID == m.Upstream })
		u := &f.upstreams[i]
		u.Busy = true
		model := engine.LoadedModel{Model: m.Order.Model, Version: m.Order.Version, Adapter: m.Order.Adapter}
		if m.Order.Kind == engine.OrderUnloadModel {
			u.Assured = slices.DeleteFunc(u.Assured, func(l engine.LoadedModel) bool { return removes(model, l) })
			f.idleAt[u.ID] = now
			if loadedAt, ok := f.loadedAt[u.ID]; ok {
				f.minResidency = min(f.minResidency, now.Sub(loadedAt))
			}
			continue
		}
		f.loads++
		f.loadStarts = append(f.loadStarts, now)
		f.loadedAt[u.ID] = now
		u.Loading = append(u.Loading, model)
		f.idleAt[u.ID] = now.Add(f.loadTime)
	}
}

func (f *fleet) advance(now time.Time) {
	for i := range f.upstreams {
		u := &f.upstreams[i]
		if u.Busy && !u.Tainted && !now.Before(f.idleAt[u.ID]) {
			u.Busy = false
			u.Assured = append(u.Assured, u.Loading...)
			u.Loading = nil
		}
	}
}

func (f *fleet) copies(m engine.LoadedModel) (n int) {
	for _, u := range f.upstreams {
		if !u.Leaving && contains(u.Assured, m) {
			n++
		}
	}
	return n
}

// setDemand sets the demand at time t to a noisy power-law distribution that adds up to
// total. The ranks of the models change every ten minutes.
func setDemand(rng *rand.Rand, models []Model, t time.Duration, total float64) {
	phase := int(t / (10 * time.Minute))
	sum := 0.0
	for i := range models {
		rank := (i + phase*2) % len(models)
		models[i].Demand = (0.7 + 0.6*rng.Float64()) / math.Pow(float64(rank+1), 1.2)
		sum += models[i].Demand
	}
	for i := range models {
		models[i].Demand *= total / sum
	}
}

const engineRate = 1000 // tokens per second

// simulate runs a planner, or none if p is nil, for four simulated hours of changing
// demand. It returns the fraction of the demand that was served.
func simulate(p *Planner, seed uint64) (served float64, f *fleet) {
	rng := rand.New(rand.NewPCG(seed, 0))
	models := make([]Model, 6)
	for i := range models {
		models[i] = Model{LoadedModel: unversioned(fmt.Sprint("m", i)), Floor: 1}
	}
	f = newFleet(24, 3, models, time.Minute)
	demanded, servedTokens := 0.0, 0.0
	for t := time.Duration(0); t < 4*time.Hour; t += 5 * time.Second {
		now := start.Add(t)
		setDemand(rng, models, t, 0.8*24*engineRate)
		f.advance(now)
		for _, m := range models {
			demanded += m.Demand
			servedTokens += min(m.Demand, float64(f.copies(m.LoadedModel)*engineRate))
		}
		if p != nil {
			f.apply(now, p.Plan(now, models, f.upstreams))
		}
	}
	return servedTokens / demanded, f
}

// TestFollowsDemand compares the planner with a static placement, which gives each model
// the same number of engines, and with a planner without hysteresis.
func TestFollowsDemand(t *testing.T) {
	for seed := range uint64(3) {
		static, _ := simulate(nil, seed)
		planned, f := simulate(New(Policy{}), seed)
		noHysteresis, g := simulate(New(Policy{DemandRatio: 1, MinResidency: 1, HalfLife: 1}), seed)
		t.Logf("seed %d: served static %.3f, planned %.3f with %d loads, without hysteresis %.3f with %d loads",
			seed, static, planned, f.loads, noHysteresis, g.loads)
		assert.Greater(t, planned, static)
		assert.Less(t, f.loads*2, g.loads)
		assertRate(t, f.loadStarts, defaultLoadsPerMinute)
		assertRate(t, g.loadStarts, defaultLoadsPerMinute)
		_, unsmoothed := simulate(New(Policy{DemandRatio: 1, HalfLife: 1}), seed)
		assert.GreaterOrEqual(t, unsmoothed.minResidency, defaultMinResidency)
	}
}

// assertRate checks that no minute has more than n+1 loads, which allows for a burst of
// one.
func assertRate(t require.TestingT, loadStarts []time.Time, n int) {
	for i := range loadStarts {
		if j := i + n + 1; j < len(loadStarts) {
			assert.GreaterOrEqual(t, loadStarts[j].Sub(loadStarts[i]), time.Minute)
		}
	}
}

// TestFloors checks for random fleets that no move reduces a model below its floor or
// is planned for an engine that is busy or leaving, and that the limits on loads are
// kept.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := make([]Model, rapid.IntRange(1, 4).Draw(t, "models"))
		for i := range models {
			m := engine.LoadedModel{Model: ident.Model(fmt.Sprint("m", i/2)), Version: fmt.Sprint(i % 2)}
			models[i] = Model{LoadedModel: m, Floor: rapid.IntRange(0, 2).Draw(t, "floor")}
		}
		f := newFleet(rapid.IntRange(2, 8).Draw(t, "engines"), 2, models, 30*time.Second)
		perMinute := rapid.SampledFrom([]int{4, 60}).Draw(t, "loads a minute")
		perEngine := rapid.IntRange(1, 3).Draw(t, "places")
		p := New(Policy{ModelsPerEngine: perEngine, LoadsPerMinute: perMinute, LoadsInFlight: 2, MinResidency: 10 * time.Second})
		now := start
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			f.advance(now)
			for i := range models {
				models[i].Demand = float64(rapid.IntRange(0, 100).Draw(t, "demand"))
			}
			u := &f.upstreams[rapid.IntRange(0, len(f.upstreams)-1).Draw(t, "engine")]
			u.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			if u.Busy && rapid.IntRange(0, 5).Draw(t, "taint") == 0 {
				u.Tainted = true
			}
			checkPlan(t, p, f, now, models)
		}
		assertRate(t, f.loadStarts, perMinute)
	})
}

// checkPlan plans once, applies the moves and checks them.
func checkPlan(t *rapid.T, p *Planner, f *fleet, now time.Time, models []Model) {
	before := make(map[engine.LoadedModel]int)
	for _, m := range models {
		before[m.LoadedModel] = f.copies(m.LoadedModel)
	}
	moves := p.Plan(now, models, f.upstreams)
	for _, m := range moves {
		i := slices.IndexFunc(f.upstreams, func(u Upstream) bool { return u.ID == m.Upstream })
		require.False(t, f.upstreams[i].Busy || f.upstreams[i].Leaving, "%+v", m)
	}
	f.apply(now, moves)
	loading := 0
	for _, u := range f.upstreams {
		if !u.Tainted {
			loading += len(u.Loading)
		}
	}
	require.LessOrEqual(t, loading, 2)
	for _, m := range models {
		if after := f.copies(m.LoadedModel); after < before[m.LoadedModel] {
			require.GreaterOrEqual(t, after, max(m.Floor, 1))
		}
	}
}

// TestSpreadAndVersions checks that a new version replaces the old one on all engines
// without leaving the model below its floor, and that the copies of a model are spread
// over failure domains.
func TestSpreadAndVersions(t *testing.T) {
	old, next := engine.LoadedModel{Model: "m", Version: "1"}, engine.LoadedModel{Model: "m", Version: "2"}
	models := []Model{{LoadedModel: next, Floor: 2, Demand: 5}}
	now := start
	var f *fleet
	var p *Planner
	for _, engines := range []int{3, 6} {
		f = newFleet(engines, 3, []Model{{LoadedModel: old}}, time.Second)
		p = New(Policy{LoadsPerMinute: 600, LoadsInFlight: 6})
		for range 200 {
			now = now.Add(time.Second)
			f.advance(now)
			f.apply(now, p.Plan(now, models, f.upstreams))
			require.GreaterOrEqual(t, f.copies(old)+f.copies(next), models[0].Floor)
		}
		assert.Equal(t, engines, f.copies(next))
	}

	// The copies of a model without demand go to different failure domains.
	f = newFleet(6, 2, []Model{{LoadedModel: old}}, time.Second)
	for i := range f.upstreams {
		f.upstreams[i].Assured = nil
		f.upstreams[i].Domain = ident.FailureDomain(fmt.Sprint("d", i/3))
	}
	p = New(Policy{LoadsPerMinute: 600, LoadsInFlight: 6})
	models[0].Demand = 0
	for range 10 {
		now = now.Add(time.Second)
		f.advance(now)
		f.apply(now, p.Plan(now, models, f.upstreams))
	}
	domains := map[ident.FailureDomain]int{}
	for _, u := range f.upstreams {
		domains[u.Domain] += len(u.Assured)
	}
	assert.Equal(t, map[ident.FailureDomain]int{"d0": 1, "d1": 1}, domains)
}
