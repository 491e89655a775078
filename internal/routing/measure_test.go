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

// Sizes of the model: engines that batch continuously in slots, and routers
// that each see the engines' reports late.
const (
	modelUpstreams = 20
	modelRouters   = 9
	modelSlots     = 8
	modelRequests  = 20_000
	modelPace      = 20 * time.Millisecond
	modelPrefill   = 200 * time.Microsecond
	modelPrompt    = 1500
	modelShared    = 1200 // tokens of a prompt that its prefix covers
	modelOutput    = 120
	modelPrefixes  = 60
	modelCached    = 8 // prefixes that an engine holds
	modelReport    = time.Second
	modelLag       = 2 * time.Second
	modelGap       = 50  // cache events of which one is lost
	modelLoad      = 0.8 // of the engines' capacity
)

// picker chooses an upstream for a request that arrives at a router.
type picker interface {
	pick(m *model, r *modelRequest) (ident.Upstream, bool)
}

type randomPicker struct{}

func (randomPicker) pick(m *model, _ *modelRequest) (ident.Upstream, bool) {
	return m.staying(m.rng.IntN(modelUpstreams))
}

type roundRobinPicker struct{ next [modelRouters]int }

func (p *roundRobinPicker) pick(m *model, r *modelRequest) (ident.Upstream, bool) {
	p.next[r.router]++
	return m.staying(p.next[r.router] % modelUpstreams)
}

type leastReportedPicker struct{}

func (leastReportedPicker) pick(m *model, _ *modelRequest) (ident.Upstream, bool) {
	best := -1
	for i, e := range m.engines {
		if _, ok := m.staying(i); ok && (best < 0 || e.reported < m.engines[best].reported) {
			best = i
		}
	}
	return m.staying(best)
}

type tablePicker struct{}

func (tablePicker) pick(m *model, r *modelRequest) (ident.Upstream, bool) {
	d, err := m.tables[r.router].Choose(m.now, r.query, m.rng)
	r.expected = d.Reason == ReasonPrefix
	return d.Upstream.ID, err == nil
}

// modelEngine is one engine of the model.
type modelEngine struct {
	id       ident.Upstream
	busy     int
	queue    []*modelRequest
	backlog  tokens.Count
	reported tokens.Count
	reports  []tokens.Count
	pace     time.Duration
	held     []Prefix
	work     tokens.Count
	leaving  bool
	sequence uint64
	events   []CacheEvent // not yet read
}

type modelRequest struct {
	router  int
	arrived time.Time
	first   time.Time
	query   Query
	cached  tokens.Count
	// expected tells that the router expected the prefix in the cache.
	expected bool
	work     *Work
	engine   *modelEngine
}

// model is the state of a run.
type model struct {
	now     time.Time
	rng     *rand.Rand
	engines []*modelEngine
	tables  []*Table
	events  eventQueue
	waits   *hdrhistogram.Histogram
	frozen  bool
	load    float64 // of the engines' capacity
	lost    int
}

type modelEvent struct {
	at time.Time
	do func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newModel(seed uint64) *model {
	m := &model{now: start0, rng: rand.New(rand.NewPCG(seed, 1)), waits: hdrhistogram.New(1, 10_000_000, 3), load: modelLoad}
	s := service(modelUpstreams)
	for i := range s.Upstreams {
		m.engines = append(m.engines, &modelEngine{id: s.Upstreams[i].ID, pace: modelPace})
	}
	for r := range modelRouters {
		place := Place{FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", r%3)), Region: "r"}
		table := NewTable(s, place)
		table.Share(modelRouters)
		m.tables = append(m.tables, table)
	}
	return m
}

// staying returns engine i, or a random other one if it is leaving.
func (m *model) staying(i int) (ident.Upstream, bool) {
	for i < 0 || m.engines[i].leaving {
		i = m.rng.IntN(modelUpstreams)
	}
	return m.engines[i].id, true
}

func (m *model) at(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now.Add(d), do})
}

// run sends the requests and returns the waits in milliseconds.
func (m *model) run(p picker) {
	perRequest := modelPrefill*modelPrompt + modelPace*modelOutput
	gap := float64(perRequest) / (modelUpstreams * modelSlots * m.load)
	at := time.Duration(0)
	for i := range modelRequests {
		at += time.Duration(m.rng.ExpFloat64() * gap)
		m.at(at, func() { m.arrive(p, i%modelRouters) })
	}
	for t := modelReport; t < at; t += modelReport {
		m.at(t, m.report)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

func (m *model) arrive(p picker, router int) {
	q := Query{Prompt: modelPrompt, Output: modelOutput}
	q.Prefix = Prefix(fmt.Sprint(m.rng.IntN(modelPrefixes)))
	t := m.tables[router]
	r := &modelRequest{router: router, arrived: m.now, query: q}
	id, ok := p.pick(m, r)
	if !ok {
		m.lost++
		return
	}
	r.work = t.Start(m.now, id, modelPrompt/10+modelOutput, false)
	t.Expect(id, q.Prefix)
	for _, e := range m.engines {
		if e.id == id {
			r.engine = e
		}
	}
	r.engine.backlog += modelOutput
	r.engine.work += modelOutput
	r.engine.queue = append(r.engine.queue, r)
	m.begin(r.engine)
}

// begin runs the queued requests for which the engine has a slot.
func (m *model) begin(e *modelEngine) {
	for e.busy < modelSlots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.busy++
		uncached := tokens.Count(modelPrompt)
		if e.use(r.query.Prefix) {
			r.cached = modelShared
			uncached -= modelShared
		}
		prefill := time.Duration(uncached) * modelPrefill * e.pace / modelPace
		m.at(prefill, func() { r.first = m.now })
		m.at(prefill+modelOutput*e.pace, func() { m.finish(r) })
	}
}

// use caches the prefix, and reports whether it was cached.
func (e *modelEngine) use(p Prefix) bool {
	for i, held := range e.held {
		if held == p {
			e.held = append(append(e.held[:i:i], e.held[i+1:]...), p)
			return true
		}
	}
	e.held = append(e.held, p)
	e.publish(CacheEvent{Prefix: p})
	if len(e.held) > modelCached {
		e.publish(CacheEvent{Prefix: e.held[0], Evicted: true})
		e.held = e.held[1:]
	}
	return false
}

// publish numbers an event; one in modelGap is lost.
func (e *modelEngine) publish(c CacheEvent) {
	e.sequence++
	c.Sequence = e.sequence
	if e.sequence%modelGap != 0 {
		e.events = append(e.events, c)
	}
}

func (m *model) finish(r *modelRequest) {
	e := r.engine
	e.busy--
	e.backlog -= modelOutput
	wait := r.first.Sub(r.arrived)
	_ = m.waits.RecordValue(wait.Milliseconds())
	m.tables[r.router].Finish(m.now, r.work, Observation{
		FirstToken: wait,
		PerToken:   e.pace,
		Prompt:     modelPrompt,
		Cached:     r.cached,
		Expected:   r.expected,
	})
	m.begin(e)
}

// report publishes each engine's load as it was modelLag ago.
func (m *model) report() {
	m.readCaches()
	if m.frozen {
		return
	}
	const late = int(modelLag / modelReport)
	for _, e := range m.engines {
		e.reports = append(e.reports, e.backlog)
		if len(e.reports) <= late {
			continue
		}
		e.reported = e.reports[len(e.reports)-1-late]
		for _, t := range m.tables {
			t.Report(e.id, Report{Backlog: e.reported, AsOf: m.now.Add(-modelLag), Leaving: e.leaving})
		}
	}
}

// readCaches gives the cache events since the last time to all routers.
func (m *model) readCaches() {
	for _, e := range m.engines {
		for _, c := range e.events {
			for _, t := range m.tables {
				t.Cached(e.id, c)
			}
		}
		e.events = nil
	}
}

// leave lets the first n engines leave after a while.
func (m *model) leave(n int) {
	m.at(30*time.Second, func() {
		for _, e := range m.engines[:n] {
			e.leaving = true
			for _, table := range m.tables {
				table.Leave(e.id, SourceList, true)
			}
		}
	})
}

// spread is the work of the busiest engine over the mean of those that stay.
func (m *model) spread() float64 {
	var most, sum tokens.Count
	n := 0
	for _, e := range m.engines {
		if e.leaving {
			continue
		}
		most = max(most, e.work)
		sum += e.work
		n++
	}
	return float64(most) * float64(n) / float64(sum)
}

// TestMeasureRouting compares the table with three baselines. Waits are times
// to the first token in milliseconds.
func TestMeasureRouting(t *testing.T) {
	const seed = 20
	scenarios := []struct {
		name  string
		spoil func(m *model)
	}{
		{"healthy", func(*model) {}},
		{"one slow engine", func(m *model) { m.engines[3].pace = 4 * modelPace }},
		{"all reports frozen", func(m *model) { m.at(20*time.Second, func() { m.frozen = true }) }},
		{"all caches flushed", func(m *model) {
			m.at(60*time.Second, func() {
				for _, e := range m.engines {
					e.held = nil
				}
			})
		}},
		{"a fifth leaving", func(m *model) { m.leave(modelUpstreams / 5) }},
		{"half leaving, at 45% load", func(m *model) {
			m.load = 0.45
			m.leave(modelUpstreams / 2)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			p95 := make(map[string]int64)
			for _, p := range []struct {
				name string
				picker
			}{{"random", randomPicker{}}, {"round robin", new(roundRobinPicker)}, {"least reported", leastReportedPicker{}}, {"expected wait", tablePicker{}}} {
				m := newModel(seed)
				s.spoil(m)
				m.run(p.picker)
				assert.Zero(t, m.lost)
				p95[p.name] = m.waits.ValueAtQuantile(95)
				t.Logf("%-20s %-15s p50 %6d  p95 %6d  p99 %6d ms  spread %.2f", s.name, p.name,
					m.waits.ValueAtQuantile(50), p95[p.name], m.waits.ValueAtQuantile(99), m.spread())
			}
			for name, v := range p95 {
				assert.LessOrEqual(t, p95["expected wait"], v, "against %s, seed %d", name, seed)
			}
		})
	}
}
