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

func named(m string) engine.LoadedModel { return engine.LoadedModel{Model: ident.Model(m)} }

// fleet is a set of engines that carry out orders after a while.
type fleet struct {
	upstreams []Upstream
	loadTime  time.Duration
	ready     map[ident.Upstream]time.Time
	loads     int
	begun     []time.Time   // of loads
	kept      time.Duration // the least time between a load and an unload
	since     map[ident.Upstream]time.Time
}

func newFleet(engines, domains int, models []Model, loadTime time.Duration) *fleet {
	f := &fleet{loadTime: loadTime, ready: make(map[ident.Upstream]time.Time), since: make(map[ident.Upstream]time.Time), kept: time.Hour}
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
			f.ready[u.ID] = now
			if since, ok := f.since[u.ID]; ok {
				f.kept = min(f.kept, now.Sub(since))
			}
			continue
		}
		f.loads++
		f.begun = append(f.begun, now)
		f.since[u.ID] = now
		u.Loading = append(u.Loading, model)
		f.ready[u.ID] = now.Add(f.loadTime)
	}
}

func (f *fleet) advance(now time.Time) {
	for i := range f.upstreams {
		u := &f.upstreams[i]
		if u.Busy && !u.Tainted && !now.Before(f.ready[u.ID]) {
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

// shifting sets the demand at time t: a few models are popular, others from
// time to time, with noise.
func shifting(rng *rand.Rand, models []Model, t time.Duration, total float64) {
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

const perEngine = 1000 // tokens a second

// follow runs four hours of shifting demand and returns the served part.
func follow(p *Planner, seed uint64) (served float64, f *fleet) {
	rng := rand.New(rand.NewPCG(seed, 0))
	models := make([]Model, 6)
	for i := range models {
		models[i] = Model{LoadedModel: named(fmt.Sprint("m", i)), Floor: 1}
	}
	f = newFleet(24, 3, models, time.Minute)
	asked, got := 0.0, 0.0
	for t := time.Duration(0); t < 4*time.Hour; t += 5 * time.Second {
		now := start.Add(t)
		shifting(rng, models, t, 0.8*24*perEngine)
		f.advance(now)
		for _, m := range models {
			asked += m.Demand
			got += min(m.Demand, float64(f.copies(m.LoadedModel)*perEngine))
		}
		if p != nil {
			f.apply(now, p.Plan(now, models, f.upstreams))
		}
	}
	return got / asked, f
}

// TestFollowsDemand compares with equal parts for all models, and with a
// planner without hysteresis.
func TestFollowsDemand(t *testing.T) {
	for seed := range uint64(3) {
		static, _ := follow(nil, seed)
		ours, f := follow(New(Policy{}), seed)
		eager, g := follow(New(Policy{Factor: 1, Hold: 1, HalfLife: 1}), seed)
		t.Logf("seed %d: served static %.3f, ours %.3f with %d loads, without hysteresis %.3f with %d loads",
			seed, static, ours, f.loads, eager, g.loads)
		assert.Greater(t, ours, static)
		assert.Less(t, f.loads*2, g.loads)
		assertRate(t, f.begun, defaultLoadsPerMinute)
		assertRate(t, g.begun, defaultLoadsPerMinute)
		_, nervous := follow(New(Policy{Factor: 1, HalfLife: 1}), seed)
		assert.GreaterOrEqual(t, nervous.kept, defaultHold)
	}
}

// assertRate checks that no minute has more than n loads and the burst of one.
func assertRate(t require.TestingT, begun []time.Time, n int) {
	for i := range begun {
		if j := i + n + 1; j < len(begun) {
			assert.GreaterOrEqual(t, begun[j].Sub(begun[i]), time.Minute)
		}
	}
}

// TestFloors checks on any fleet that no moves take a model below its floor or
// go to an engine that may not get them.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := make([]Model, rapid.IntRange(1, 4).Draw(t, "models"))
		for i := range models {
			m := engine.LoadedModel{Model: ident.Model(fmt.Sprint("m", i/2)), Version: fmt.Sprint(i % 2)}
			models[i] = Model{LoadedModel: m, Floor: rapid.IntRange(0, 2).Draw(t, "floor")}
		}
		f := newFleet(rapid.IntRange(2, 8).Draw(t, "engines"), 2, models, 30*time.Second)
		perMinute := rapid.SampledFrom([]int{4, 60}).Draw(t, "loads a minute")
		places := rapid.IntRange(1, 3).Draw(t, "places")
		p := New(Policy{ModelsPerEngine: places, LoadsPerMinute: perMinute, LoadsInFlight: 2, Hold: 10 * time.Second})
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
			check(t, p, f, now, models)
		}
		assertRate(t, f.begun, perMinute)
	})
}

func check(t *rapid.T, p *Planner, f *fleet, now time.Time, models []Model) {
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

	// Copies of a small model go to different failure domains.
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
