package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/weightstore"
	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/engine/enginetest"
)

func TestContract(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		name := "ignores fencing"
		if fencing {
			name = "checks fencing"
		}
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, Settings{
				TokenInterval:   time.Millisecond,
				Models:          []wire.LoadedModel{{Model: "m"}},
				ChecksFencing:   fencing,
				LoadDelay:       5 * time.Millisecond,
				CacheEventDelay: 5 * time.Millisecond,
			})
			enginetest.Run(t, enginetest.Target{
				Address:       e.Address(),
				Model:         "m",
				ChecksFencing: fencing,
				Prompt:        func(n int) string { return WithLength("prompt", n) },
				Inject:        e.inject,
			})
		})
	}
}

func (e *Engine) inject(t *testing.T, f enginetest.Fault) (end func()) {
	switch f {
	case enginetest.FaultNotRun:
		e.SetFaults(Faults{NotRun: true})
		return func() { e.SetFaults(Faults{}) }
	case enginetest.FaultSilence:
		e.SilenceConnections()
		return func() {}
	case enginetest.FaultCrash:
		e.Crash()
		return func() { require.NoError(t, e.Restart()) }
	}
	t.Fatalf("unknown fault %q", f)
	return nil
}

func newEngine(t testing.TB, s Settings) *Engine {
	t.Helper()
	e, err := New(s)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, e.Close()) })
	return e
}

func post(t *testing.T, e *Engine, header http.Header, path, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address().String()+path, strings.NewReader(body))
	require.NoError(t, err)
	if header != nil {
		r.Header = header
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func complete(t *testing.T, e *Engine, key, prompt string) wire.Completion {
	t.Helper()
	content, err := json.Marshal(prompt)
	require.NoError(t, err)
	response := post(t, e, http.Header{wire.HeaderCacheKey: {key}}, wire.PathCompletions,
		`{"model":"m","max_tokens":4,"messages":[{"role":"user","content":`+string(content)+`}]}`)
	var c wire.Completion
	require.NoError(t, json.NewDecoder(response.Body).Decode(&c))
	require.Len(t, c.Choices, 1)
	return c
}

func TestExpectedAnswer(t *testing.T) {
	e := newEngine(t, Settings{})
	assert.Equal(t, ExpectedAnswer("p", 4), complete(t, e, "", "p").Choices[0].Message.Content)
	assert.NotEqual(t, ExpectedAnswer("p", 4), ExpectedAnswer("q", 4))
	assert.EqualValues(t, 4, e.TokensGenerated())
}

func TestCacheIsLimitedAndItsEventsHaveGaps(t *testing.T) {
	e := newEngine(t, Settings{CacheTokens: 20, DropCacheEventEvery: 3})
	for _, key := range []string{"a", "b", "c"} {
		complete(t, e, key, strings.Repeat(key, 40)) // 10 tokens
	}
	assert.EqualValues(t, 0, e.Cached("a"))
	assert.EqualValues(t, 10, e.Cached("b"))
	assert.EqualValues(t, 10, e.Cached("c"))
	c := complete(t, e, "c", strings.Repeat("c", 20)+strings.Repeat("d", 20))
	assert.EqualValues(t, 5, c.Usage.Details.CachedTokens)
	e.mu.Lock()
	events := e.cache.since(0, e.settings.Clock())
	e.mu.Unlock()
	var sequence []uint64
	for _, event := range events {
		sequence = append(sequence, event.Sequence)
	}
	assert.Equal(t, []uint64{1, 2, 4, 5}, sequence) // a, b, (evicted a), c, c
}

func TestPrioritiesDecideTheOrderOfTheQueue(t *testing.T) {
	e := newEngine(t, Settings{Slots: 1})
	inst := e.instance
	e.mu.Lock()
	defer e.mu.Unlock()
	inst.running = 1
	for i, priority := range []int{1, 5, 5, 0} {
		inst.queue = append(inst.queue, &run{priority: priority, maxTokens: i, admitted: make(chan struct{})})
	}
	var order []int
	for queued := append([]*run(nil), inst.queue...); len(inst.queue) > 0; {
		inst.running = 0
		inst.admit()
		for _, r := range queued {
			select {
			case <-r.admitted:
				order = append(order, r.maxTokens)
				r.admitted = nil
			default:
			}
		}
	}
	inst.running = 0
	assert.Equal(t, []int{1, 2, 0, 3}, order)
}

func TestLoadLagsAndFreezes(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var elapsed atomic.Int64
	clock := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	e := newEngine(t, Settings{LoadDelay: time.Minute, Clock: clock})
	elapsed.Store(int64(time.Hour))
	e.SetLeaving(true)
	assert.False(t, e.reportedLoad().Leaving)
	elapsed.Store(int64(time.Hour + time.Minute))
	assert.True(t, e.reportedLoad().Leaving)
	assert.Equal(t, start.Add(time.Hour), e.reportedLoad().AsOf)
	e.SetFaults(Faults{LoadFrozen: true})
	e.SetLeaving(false)
	elapsed.Store(int64(3 * time.Hour))
	assert.True(t, e.reportedLoad().Leaving)
	e.SetFaults(Faults{})
	assert.False(t, e.reportedLoad().Leaving)
}

func TestLoadingAModelTakesItsWeights(t *testing.T) {
	store := weightstore.New(weightstore.Settings{Rate: 1e-9, Burst: 1})
	defer func() { assert.NoError(t, store.Close()) }()
	e := newEngine(t, Settings{WeightStore: store.Address()})
	order := `{"fencingNumber":1,"kind":"loadModel","model":"m","version":"1"}`
	response := post(t, e, nil, wire.PathOrders, order)
	assert.Equal(t, http.StatusNoContent, response.StatusCode)
	response = post(t, e, nil, wire.PathOrders, order)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Equal(t, "true", response.Header.Get(wire.HeaderNotRun))
	_, _ = io.Copy(io.Discard, response.Body)
	assert.EqualValues(t, 1, store.Served())
	assert.EqualValues(t, 1, store.Refused())
	assert.Len(t, e.Orders(), 1)
}
