package embedded

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/audit"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/fake/plainservice"
	"example.org/lagoonfork/pkg/ident"
)

// requireSound audits the ledger until every answered request is billed.
func requireSound(t *testing.T, d *Deployment, answered []audit.Answered) audit.Report {
	var report audit.Report
	require.Eventually(t, func() bool {
		pages, err := audit.Read(context.Background(), d.KeyValue.Client(), d.Answers.Policy.LedgerPages)
		require.NoError(t, err)
		for _, p := range pages {
			require.NoError(t, p.Check())
		}
		report = audit.Check(pages, answered, nil)
		return report.Sound()
	}, waitFor, tick, "%+v", &report)
	return report
}

func answeredBy(r reply, budget ident.Budget) audit.Answered {
	return audit.Answered{Budget: budget, Request: ident.Request(r.header.Get("X-Request-Id"))}
}

// kill lets router i die: its connections close, and nothing that it still does
// reaches the key-value service.
func kill(t *testing.T, d *Deployment, i int) {
	d.Clients[i].SetFaults(keyvalue.Faults{Outage: true})
	require.NoError(t, d.Routers[i].Kill())
}

func TestRouterKilledMidStream(t *testing.T) {
	d := start(t, 3, func(s *Settings) { s.Engine.TokenPace = 5 * time.Millisecond })
	a := ask{prompt: "a dossier [answer of 200 tokens]", tokens: 200, stream: true, key: "killed"}
	a.piece = func(n int) {
		if n == 20 {
			kill(t, d, 0)
		}
	}
	first, err := send(context.Background(), d.URL(0), a)
	assert.True(t, err != nil || !first.whole, "the stream broke off")

	a.piece = nil
	again, err := send(context.Background(), d.URL(1), a)
	require.NoError(t, err)
	require.True(t, again.whole, "%+v", again)
	assert.Equal(t, engine.ExpectedAnswer(a.prompt, a.tokens), again.text)
	report := requireSound(t, d, []audit.Answered{answeredBy(again, "large-main")})
	assert.Equal(t, 1, report.Billed)
	stopDead(t, d, 0)
}

// stopDead frees the resources of a killed router.
func stopDead(t *testing.T, d *Deployment, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = d.Routers[i].Close(ctx) // it cannot hand anything back
	d.Routers = append(d.Routers[:i:i], d.Routers[i+1:]...)
	d.Clients = append(d.Clients[:i:i], d.Clients[i+1:]...)
}

func TestSameKeyAtAllRoutersAtOnce(t *testing.T) {
	const callers = 9
	d := start(t, 3, nil)
	a := ask{prompt: "the same for all [answer of 50 tokens]", tokens: 60, key: "parallel"}
	var mu sync.Mutex
	var answered []audit.Answered
	var g errgroup.Group
	for i := range callers {
		g.Go(func() error {
			r, err := send(context.Background(), d.URL(i%3), a)
			if err != nil {
				return err
			}
			assert.Equal(t, engine.ExpectedAnswer(a.prompt, a.tokens), r.text, "%+v", r)
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, answeredBy(r, "large-main"))
			return nil
		})
	}
	require.NoError(t, g.Wait())
	report := requireSound(t, d, answered)
	assert.Equal(t, 1, report.Billed)
}

func TestLostStoreAnswers(t *testing.T) {
	const requests = 60
	d := start(t, 3, nil)
	for _, c := range d.Clients {
		c.SetFaults(keyvalue.Faults{AnswerLoss: 0.2, WriteLoss: 0.1})
	}
	answered := load(t, d, requests)
	assert.Len(t, answered, requests)
	report := requireSound(t, d, answered)
	assert.Equal(t, requests, report.Billed)
}

// load sends requests to all routers and requires that each caller gets its own
// whole answer.
func load(t *testing.T, d *Deployment, requests int) []audit.Answered {
	var mu sync.Mutex
	var answered []audit.Answered
	var g errgroup.Group
	g.SetLimit(16)
	for i := range requests {
		g.Go(func() error {
			a := ask{prompt: fmt.Sprintf("question %d [answer of %d tokens]", i, 5+i%20), tokens: 30, stream: i%2 == 0}
			r, err := send(context.Background(), d.URL(i%len(d.Routers)), a)
			if err != nil {
				return err
			}
			if !assert.True(t, r.whole, "%+v", r) {
				return nil
			}
			assert.Equal(t, engine.ExpectedAnswer(a.prompt, a.tokens), r.text)
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, answeredBy(r, "large-main"))
			return nil
		})
	}
	require.NoError(t, g.Wait())
	return answered
}

func TestDrainCutsNothing(t *testing.T) {
	const streams = 24
	d := start(t, 2, func(s *Settings) { s.Engine.TokenPace = 5 * time.Millisecond })
	begun := make(chan struct{}, streams)
	var answered []audit.Answered
	var mu sync.Mutex
	var g errgroup.Group
	for i := range streams {
		g.Go(func() error {
			a := ask{prompt: fmt.Sprintf("drained %d [answer of 80 tokens]", i), tokens: 100, stream: true}
			a.piece = func(n int) {
				if n == 3 {
					begun <- struct{}{}
				}
			}
			r, err := send(context.Background(), d.URL(0), a)
			assert.True(t, r.whole)
			assert.Equal(t, engine.ExpectedAnswer(a.prompt, a.tokens), r.text)
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, answeredBy(r, "large-main"))
			return err
		})
	}
	for range streams {
		<-begun
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitFor)
	defer cancel()
	require.NoError(t, d.Routers[0].Close(ctx))
	require.NoError(t, g.Wait())
	report := requireSound(t, d, answered)
	assert.Equal(t, streams, report.Billed)
	assertNoShares(t, d, d.Routers[0].Incarnation())
	d.Routers, d.Clients = d.Routers[1:], d.Clients[1:]
}

// assertNoShares checks that a holder has handed everything back.
func assertNoShares(t *testing.T, d *Deployment, holder ident.Incarnation) {
	pages, err := audit.Read(context.Background(), d.KeyValue.Client(), d.Answers.Policy.LedgerPages)
	require.NoError(t, err)
	for _, p := range pages {
		for id, b := range p.Budgets {
			if s := b.Shares[holder]; s != nil {
				assert.Zero(t, s.Granted, "budget %s", id)
			}
		}
	}
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	d := start(t, 2, nil)
	for _, e := range d.Engines {
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	crashes, refusedUnrun := 0, false
	for i := 0; i < 8 && !refusedUnrun; i++ {
		r, err := send(context.Background(), d.URL(i%2), ask{prompt: "poison", tokens: 5})
		require.NoError(t, err)
		assert.False(t, r.whole)
		crashes += restartCrashed(d)
		refusedUnrun = r.refusal.Code == "requestQuarantined" && r.refusal.NotRun
		time.Sleep(100 * time.Millisecond) // the caller sends it again
	}
	assert.True(t, refusedUnrun)
	assert.LessOrEqual(t, crashes, d.Answers.Policy.CrashLimit)
	require.Eventually(t, func() bool {
		r, err := send(context.Background(), d.URL(0), ask{prompt: "innocent", tokens: 5})
		return err == nil && r.whole
	}, waitFor, 100*time.Millisecond)
}

// restartCrashed starts the crashed engines again and counts them.
func restartCrashed(d *Deployment) (n int) {
	for _, e := range d.Engines {
		if e.Crashed() {
			n++
			_ = e.Restart() // its port may be in use for a moment
		}
	}
	return n
}

// TestInnocentsBesideACrashingRequest runs answers on all engines while one
// request crashes engines until it is refused. Crashed engines are started again
// after a while. The others are run again, and none of them is refused.
func TestInnocentsBesideACrashingRequest(t *testing.T) {
	const innocents = 24
	d := start(t, 2, func(s *Settings) { s.Engine.TokenPace = 5 * time.Millisecond })
	for _, e := range d.Engines {
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	var answered []audit.Answered
	var mu sync.Mutex
	var g errgroup.Group
	for i := range innocents {
		g.Go(func() error {
			a := ask{prompt: fmt.Sprintf("innocent %d [answer of 100 tokens]", i), tokens: 120, stream: i%2 == 0}
			r, err := send(context.Background(), d.URL(i%2), a)
			if err != nil {
				return err
			}
			if assert.True(t, r.whole, "innocent %d: %+v", i, r) {
				assert.Equal(t, engine.ExpectedAnswer(a.prompt, a.tokens), r.text)
			}
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, answeredBy(r, "large-main"))
			return nil
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	var supervisor sync.WaitGroup
	supervisor.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			restartCrashed(d)
		}
	})
	quarantined := false
	for i := 0; i < 10 && !quarantined; i++ {
		time.Sleep(50 * time.Millisecond)
		r, err := send(context.Background(), d.URL(i%2), ask{prompt: "poison", tokens: 5})
		require.NoError(t, err)
		quarantined = r.refusal.Code == "requestQuarantined"
	}
	assert.True(t, quarantined)
	require.NoError(t, g.Wait())
	stop()
	supervisor.Wait()
	requireSound(t, d, answered)
}

// callPlain posts a call that is not idempotent.
func callPlain(t *testing.T, base, key string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, base+"/services/register/permits", bytes.NewReader([]byte(`{"n":1}`)))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name   string
		faults plainservice.Faults
		status int
		runs   int
	}{
		{"sound", plainservice.Faults{}, http.StatusOK, 1},
		{"response lost", plainservice.Faults{DropAfter: true}, http.StatusBadGateway, 1},
		{"response cut", plainservice.Faults{DropWithin: true}, http.StatusBadGateway, 1},
		{"response crossed", plainservice.Faults{Crossed: true}, http.StatusBadGateway, 1},
		{"refused before the run", plainservice.Faults{NotRun: true}, http.StatusBadGateway, 0},
	}
	d := start(t, 3, nil)
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := executions(d)
			for _, p := range d.Plain {
				p.SetFaults(tt.faults)
			}
			key := fmt.Sprintf("permit-%d", i)
			status, body := callPlain(t, d.URL(0), key)
			assert.Equal(t, tt.status, status, body)
			for _, p := range d.Plain {
				p.SetFaults(plainservice.Faults{})
			}
			again, body := callPlain(t, d.URL(1), key)
			runs := executions(d) - before
			if tt.runs == 0 {
				assert.Equal(t, http.StatusOK, again, "a call that was not run may be sent again: %s", body)
				assert.Equal(t, 1, runs)
				return
			}
			assert.Equal(t, tt.runs, runs, "status %d then %d: %s", status, again, body)
			if tt.status != http.StatusOK {
				assert.Contains(t, body, "outcomeUnknown")
				assert.Contains(t, body, `"notRun":false`)
			}
		})
	}
}

func executions(d *Deployment) (n int) {
	for _, p := range d.Plain {
		n += p.TotalExecutions()
	}
	return n
}

func TestUpstreamFaultsNeverSpoilAnAnswer(t *testing.T) {
	faults := []engine.Faults{
		{CrossedHeader: true}, {CrossedAt: 3}, {SilentAfter: 4}, {SilentAtStart: true}, {CutAt: 5},
		{RepeatAt: 3}, {SkipAt: 3}, {LateAt: 3}, {ResetAt: 3}, {WithoutDone: true}, {NotRun: true}, {Unavailable: true},
	}
	const seed = 11
	rng := rand.New(rand.NewPCG(seed, 0))
	d := start(t, 2, func(s *Settings) { s.Answers.Policy.SilenceLimitMillis = 300 })
	for _, f := range faults {
		t.Run(strings.TrimSpace(fmt.Sprintf("%+v", f)), func(t *testing.T) {
			faulty := ident.Upstream(fmt.Sprintf("llm-%d", 1+rng.IntN(3)))
			d.Engines[faulty].SetFaults(f)
			defer d.Engines[faulty].SetFaults(engine.Faults{})
			var answered []audit.Answered
			for i := range 12 {
				a := ask{prompt: fmt.Sprintf("%+v %d [answer of 12 tokens]", f, i), tokens: 12, stream: i%2 == 0}
				r, err := send(context.Background(), d.URL(i%2), a)
				require.NoError(t, err)
				if r.whole {
					assert.Equal(t, engine.ExpectedAnswer(a.prompt, a.tokens), r.text)
					answered = append(answered, answeredBy(r, "large-main"))
				}
			}
			assert.NotEmpty(t, answered)
			requireSound(t, d, answered)
		})
	}
}
