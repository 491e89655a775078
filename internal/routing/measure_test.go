package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Parameters of the simulation. Its engines batch requests continuously in
// slots; its routers receive the engines' load reports with a delay.
const (
	simUpstreams          = 20
	simRouters            = 9
	simSlots              = 8
	simRequests           = 20_000
	simTimePerToken       = 20 * time.Millisecond
	simTimePerPromptToken = 200 * time.Microsecond
	simPromptTokens       = 1500
	simPrefixTokens       = 1200 // tokens of a prompt that its prefix covers
	simOutputTokens       = 120
	simPrefixes           = 60
	simCacheSize          = 8 // prefixes that an engine can cache
	simReportInterval     = time.Second
	simReportLag          = 2 * time.Second
	simEventLossInterval  = 50  // one in so many cache events is lost
	simLoad               = 0.8 // fraction of the engines' capacity
)

// picker chooses an upstream for a request that arrives at a router.
type picker interface {
	pick(m *simulation, r *simRequest) (ident.Upstream, bool)
}

type randomPicker struct{}

func (randomPicker) pick(m *simulation, _ *simRequest) (ident.Upstream, bool) {
	return m.engineOrRandom(m.rng.IntN(simUpstreams))
}

type roundRobinPicker struct{ next [simRouters]int }

func (p *roundRobinPicker) pick(m *simulation, r *simRequest) (ident.Upstream, bool) {
	p.next[r.router]++
	return m.engineOrRandom(p.next[r.router] % simUpstreams)
}

type leastReportedPicker struct{}

func (leastReportedPicker) pick(m *simulation, _ *simRequest) (ident.Upstream, bool) {
	best := -1
	for i, e := range m.engines {
		if _, ok := m.engineOrRandom(i); ok && (best < 0 || e.reported < m.engines[best].reported) {
			best = i
		}
	}
	return m.engineOrRandom(best)
}

type tablePicker struct{}

func (tablePicker) pick(m *simulation, r *simRequest) (ident.Upstream, bool) {
	d, err := m.tables[r.router].Choose(m.now, r.query, m.rng)
	r.prefixExpected = d.Reason == ReasonPrefixCached
	return d.Upstream.ID, err == nil
}

// simEngine is a simulated engine.
type simEngine struct {
	id             ident.Upstream
	running        int
	queue          []*simRequest
	backlog        tokens.Count
	reported       tokens.Count
	reports        []tokens.Count
	timePerToken   time.Duration
	cache          []Prefix
	assignedTokens tokens.Count
	leaving        bool
	sequence       uint64
	events         []CacheEvent // cache events not yet delivered to the routers
}

type simRequest struct {
	router     int
	arrived    time.Time
	firstToken time.Time
	query      Query
	cached     tokens.Count
	// prefixExpected reports that the router chose the engine because of its
	// cached prefix.
	prefixExpected bool
	inFlight       *InFlight
	engine         *simEngine
}

// simulation is the state of a simulation run.
type simulation struct {
	now      time.Time
	rng      *rand.Rand
	engines  []*simEngine
	tables   []*Table
	events   eventQueue
	waits    *hdrhistogram.Histogram
	frozen   bool
	load     float64 // fraction of the engines' capacity
	unplaced int     // requests for which no upstream was chosen
}

type simEvent struct {
	at time.Time
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64) *simulation {
	m := &simulation{now: testTime, rng: rand.New(rand.NewPCG(seed, 1)), waits: hdrhistogram.New(1, 10_000_000, 3), load: simLoad}
	s := newService(simUpstreams)
	for i := range s.Upstreams {
		m.engines = append(m.engines, &simEngine{id: s.Upstreams[i].ID, timePerToken: simTimePerToken})
	}
	for r := range simRouters {
		place := Location{FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", r%3)), Region: "r"}
		table := NewTable(s, place)
		table.SetRouterCount(simRouters)
		m.tables = append(m.tables, table)
	}
	return m
}

// engineOrRandom returns engine i, or a random one that is not leaving if i is
// negative or engine i is leaving.
func (m *simulation) engineOrRandom(i int) (ident.Upstream, bool) {
	for i < 0 || m.engines[i].leaving {
		i = m.rng.IntN(simUpstreams)
	}
	return m.engines[i].id, true
}

// schedule calls do after d in simulated time.
func (m *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&m.events, simEvent{m.now.Add(d), do})
}

// run simulates the requests and records their waits in milliseconds.
func (m *simulation) run(p picker) {
	perRequest := simTimePerPromptToken*simPromptTokens + simTimePerToken*simOutputTokens
	gap := float64(perRequest) / (simUpstreams * simSlots * m.load)
	at := time.Duration(0)
	for i := range simRequests {
		at += time.Duration(m.rng.ExpFloat64() * gap)
		m.schedule(at, func() { m.arrive(p, i%simRouters) })
	}
	for t := simReportInterval; t < at; t += simReportInterval {
		m.schedule(t, m.report)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.do()
	}
}

func (m *simulation) arrive(p picker, router int) {
	q := Query{PromptTokens: simPromptTokens, MaxOutputTokens: simOutputTokens}
	q.Prefix = Prefix(fmt.Sprint(m.rng.IntN(simPrefixes)))
	t := m.tables[router]
	r := &simRequest{router: router, arrived: m.now, query: q}
	id, ok := p.pick(m, r)
	if !ok {
		m.unplaced++
		return
	}
	r.inFlight = t.Start(m.now, id, simPromptTokens/10+simOutputTokens, false)
	t.ExpectCached(id, q.Prefix)
	for _, e := range m.engines {
		if e.id == id {
			r.engine = e
		}
	}
	r.engine.backlog += simOutputTokens
	r.engine.assignedTokens += simOutputTokens
	r.engine.queue = append(r.engine.queue, r)
	m.startQueued(r.engine)
}

// startQueued starts queued requests while the engine has free slots.
func (m *simulation) startQueued(e *simEngine) {
	for e.running < simSlots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		uncached := tokens.Count(simPromptTokens)
		if e.access(r.query.Prefix) {
			r.cached = simPrefixTokens
			uncached -= simPrefixTokens
		}
		prefill := time.Duration(uncached) * simTimePerPromptToken * e.timePerToken / simTimePerToken
		m.schedule(prefill, func() { r.firstToken = m.now })
		m.schedule(prefill+simOutputTokens*e.timePerToken, func() { m.finish(r) })
	}
}

// access puts a prefix into the LRU cache of the engine and reports whether it
// was there already.
func (e *simEngine) access(p Prefix) bool {
	for i, cached := range e.cache {
		if cached == p {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), p)
			return true
		}
	}
	e.cache = append(e.cache, p)
	e.publish(CacheEvent{Prefix: p})
	if len(e.cache) > simCacheSize {
		e.publish(CacheEvent{Prefix: e.cache[0], Evicted: true})
		e.cache = e.cache[1:]
	}
	return false
}

// publish assigns the next sequence number to a cache event. One event in
// simEventLossInterval is lost.
func (e *simEngine) publish(c CacheEvent) {
	e.sequence++
	c.Sequence = e.sequence
	if e.sequence%simEventLossInterval != 0 {
		e.events = append(e.events, c)
	}
}

func (m *simulation) finish(r *simRequest) {
	e := r.engine
	e.running--
	e.backlog -= simOutputTokens
	wait := r.firstToken.Sub(r.arrived)
	_ = m.waits.RecordValue(wait.Milliseconds())
	m.tables[r.router].Finish(m.now, r.inFlight, Observation{
		TimeToFirstToken: wait,
		TimePerToken:     e.timePerToken,
		PromptTokens:     simPromptTokens,
		CachedTokens:     r.cached,
		PrefixExpected:   r.prefixExpected,
	})
	m.startQueued(e)
}

// report delivers the cache events, and each engine's load as it was
// simReportLag ago.
func (m *simulation) report() {
	m.deliverCacheEvents()
	if m.frozen {
		return
	}
	const lag = int(simReportLag / simReportInterval)
	for _, e := range m.engines {
		e.reports = append(e.reports, e.backlog)
		if len(e.reports) <= lag {
			continue
		}
		e.reported = e.reports[len(e.reports)-1-lag]
		for _, t := range m.tables {
			t.ApplyReport(e.id, LoadReport{Backlog: e.reported, AsOf: m.now.Add(-simReportLag), Leaving: e.leaving})
		}
	}
}

// deliverCacheEvents delivers the cache events since the last call to all
// routers.
func (m *simulation) deliverCacheEvents() {
	for _, e := range m.engines {
		for _, c := range e.events {
			for _, t := range m.tables {
				t.ApplyCacheEvent(e.id, c)
			}
		}
		e.events = nil
	}
}

// leave marks the first n engines as leaving after 30 seconds.
func (m *simulation) leave(n int) {
	m.schedule(30*time.Second, func() {
		for _, e := range m.engines[:n] {
			e.leaving = true
			for _, table := range m.tables {
				table.SetLeaving(e.id, SourceList, true)
			}
		}
	})
}

// imbalance returns the work assigned to the busiest engine, relative to the
// mean over the engines that are not leaving.
func (m *simulation) imbalance() float64 {
	var most, sum tokens.Count
	n := 0
	for _, e := range m.engines {
		if e.leaving {
			continue
		}
		most = max(most, e.assignedTokens)
		sum += e.assignedTokens
		n++
	}
	return float64(most) * float64(n) / float64(sum)
}

// TestMeasureRouting compares the 95th percentile of the time to the first
// token, in milliseconds, with three baselines: random, round robin and least
// reported load.
func TestMeasureRouting(t *testing.T) {
	const seed = 20
	scenarios := []struct {
		name  string
		setup func(m *simulation)
	}{
		{"healthy", func(*simulation) {}},
		{"one slow engine", func(m *simulation) { m.engines[3].timePerToken = 4 * simTimePerToken }},
		{"all reports frozen", func(m *simulation) { m.schedule(20*time.Second, func() { m.frozen = true }) }},
		{"all caches flushed", func(m *simulation) {
			m.schedule(60*time.Second, func() {
				for _, e := range m.engines {
					e.cache = nil
				}
			})
		}},
		{"a fifth leaving", func(m *simulation) { m.leave(simUpstreams / 5) }},
		{"half leaving, at 45% load", func(m *simulation) {
			m.load = 0.45
			m.leave(simUpstreams / 2)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p95 := make(map[string]int64)
			for _, p := range []struct {
				name string
				picker
			}{{"random", randomPicker{}}, {"round robin", new(roundRobinPicker)}, {"least reported", leastReportedPicker{}}, {"expected wait", tablePicker{}}} {
				m := newSimulation(seed)
				s.setup(m)
				m.run(p.picker)
				assert.Zero(t, m.unplaced)
				p95[p.name] = m.waits.ValueAtQuantile(95)
				t.Logf("%-20s %-15s p50 %6d  p95 %6d  p99 %6d ms  spread %.2f", s.name, p.name,
					m.waits.ValueAtQuantile(50), p95[p.name], m.waits.ValueAtQuantile(99), m.imbalance())
			}
			for name, v := range p95 {
				assert.LessOrEqual(t, p95["expected wait"], v, "against %s, seed %d", name, seed)
			}
		})
	}
}
