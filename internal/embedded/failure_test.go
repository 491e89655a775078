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

// requireCleanAudit audits the ledger repeatedly until the audit finds no
// violation, and fails the test after waitTimeout.
func requireCleanAudit(t *testing.T, d *Deployment, answered []audit.Answered) audit.Report {
	var report audit.Report
	require.Eventually(t, func() bool {
		pages, err := audit.Read(context.Background(), d.KeyValue.Client(), d.Answers.Policy.LedgerPages)
		require.NoError(t, err)
		for _, p := range pages {
			require.NoError(t, p.Check())
		}
		report = audit.Check(pages, answered, nil)
		return report.Clean()
	}, waitTimeout, pollInterval, "%+v", &report)
	return report
}

func answeredRequest(r chatResponse, budget ident.Budget) audit.Answered {
	return audit.Answered{Budget: budget, Request: ident.Request(r.header.Get("X-Request-Id"))}
}

// killRouter simulates a crash of router i: it closes the router's connections
// and blocks all further calls of the router to the key-value service.
func killRouter(t *testing.T, d *Deployment, i int) {
	d.Clients[i].SetFaults(keyvalue.Faults{Outage: true})
	require.NoError(t, d.Routers[i].Kill())
}

func TestRouterKilledMidStream(t *testing.T) {
	d := start(t, 3, func(s *Settings) { s.Engine.TokenInterval = 5 * time.Millisecond })
	req := chatRequest{prompt: "a dossier [answer of 200 tokens]", maxTokens: 200, stream: true, idempotencyKey: "killed"}
	req.onChunk = func(n int) {
		if n == 20 {
			killRouter(t, d, 0)
		}
	}
	first, err := send(context.Background(), d.URL(0), req)
	assert.True(t, err != nil || !first.complete, "the stream must be interrupted")

	req.onChunk = nil
	again, err := send(context.Background(), d.URL(1), req)
	require.NoError(t, err)
	require.True(t, again.complete, "%+v", again)
	assert.Equal(t, engine.ExpectedAnswer(req.prompt, req.maxTokens), again.text)
	report := requireCleanAudit(t, d, []audit.Answered{answeredRequest(again, "large-main")})
	assert.Equal(t, 1, report.Billed)
	removeKilledRouter(t, d, 0)
}

// removeKilledRouter releases the resources of a killed router and removes it
// from the deployment.
func removeKilledRouter(t *testing.T, d *Deployment, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = d.Routers[i].Close(ctx) // fails to return the router's shares
	d.Routers = append(d.Routers[:i:i], d.Routers[i+1:]...)
	d.Clients = append(d.Clients[:i:i], d.Clients[i+1:]...)
}

func TestSameKeyAtAllRoutersAtOnce(t *testing.T) {
	const callers = 9
	d := start(t, 3, nil)
	req := chatRequest{prompt: "the same for all [answer of 50 tokens]", maxTokens: 60, idempotencyKey: "parallel"}
	var mu sync.Mutex
	var answered []audit.Answered
	var g errgroup.Group
	for i := range callers {
		g.Go(func() error {
			r, err := send(context.Background(), d.URL(i%3), req)
			if err != nil {
				return err
			}
			assert.Equal(t, engine.ExpectedAnswer(req.prompt, req.maxTokens), r.text, "%+v", r)
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, answeredRequest(r, "large-main"))
			return nil
		})
	}
	require.NoError(t, g.Wait())
	report := requireCleanAudit(t, d, answered)
	assert.Equal(t, 1, report.Billed)
}

func TestLostStoreAnswers(t *testing.T) {
	const requests = 60
	d := start(t, 3, nil)
	for _, c := range d.Clients {
		c.SetFaults(keyvalue.Faults{ResponseLossProbability: 0.2, WriteLossProbability: 0.1})
	}
	answered := sendLoad(t, d, requests)
	assert.Len(t, answered, requests)
	report := requireCleanAudit(t, d, answered)
	assert.Equal(t, requests, report.Billed)
}

// sendLoad sends requests to the routers in rotation, at most 16 at a time, and
// checks that each response is complete and belongs to its request.
func sendLoad(t *testing.T, d *Deployment, requests int) []audit.Answered {
	var mu sync.Mutex
	var answered []audit.Answered
	var g errgroup.Group
	g.SetLimit(16)
	for i := range requests {
		g.Go(func() error {
			req := chatRequest{prompt: fmt.Sprintf("question %d [answer of %d tokens]", i, 5+i%20), maxTokens: 30, stream: i%2 == 0}
			r, err := send(context.Background(), d.URL(i%len(d.Routers)), req)
			if err != nil {
				return err
			}
			if !assert.True(t, r.complete, "%+v", r) {
				return nil
			}
			assert.Equal(t, engine.ExpectedAnswer(req.prompt, req.maxTokens), r.text)
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, answeredRequest(r, "large-main"))
			return nil
		})
	}
	require.NoError(t, g.Wait())
	return answered
}

func TestDrainCutsNothing(t *testing.T) {
	const streams = 24
	d := start(t, 2, func(s *Settings) { s.Engine.TokenInterval = 5 * time.Millisecond })
	streaming := make(chan struct{}, streams)
	var answered []audit.Answered
	var mu sync.Mutex
	var g errgroup.Group
	for i := range streams {
		g.Go(func() error {
			req := chatRequest{prompt: fmt.Sprintf("drained %d [answer of 80 tokens]", i), maxTokens: 100, stream: true}
			req.onChunk = func(n int) {
				if n == 3 {
					streaming <- struct{}{}
				}
			}
			r, err := send(context.Background(), d.URL(0), req)
			assert.True(t, r.complete)
			assert.Equal(t, engine.ExpectedAnswer(req.prompt, req.maxTokens), r.text)
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, answeredRequest(r, "large-main"))
			return err
		})
	}
	for range streams {
		<-streaming
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, d.Routers[0].Close(ctx))
	require.NoError(t, g.Wait())
	report := requireCleanAudit(t, d, answered)
	assert.Equal(t, streams, report.Billed)
	assertSharesReturned(t, d, d.Routers[0].Incarnation())
	d.Routers, d.Clients = d.Routers[1:], d.Clients[1:]
}

// assertSharesReturned checks that a holder has returned the tokens of all its
// shares.
func assertSharesReturned(t *testing.T, d *Deployment, holder ident.Incarnation) {
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
	crashes, refusedNotRun := 0, false
	for i := 0; i < 8 && !refusedNotRun; i++ {
		r, err := send(context.Background(), d.URL(i%2), chatRequest{prompt: "poison", maxTokens: 5})
		require.NoError(t, err)
		assert.False(t, r.complete)
		crashes += restartCrashedEngines(d)
		refusedNotRun = r.refusal.Code == "requestQuarantined" && r.refusal.NotRun
		time.Sleep(100 * time.Millisecond) // pause before the caller's retry
	}
	assert.True(t, refusedNotRun)
	assert.LessOrEqual(t, crashes, d.Answers.Policy.CrashLimit)
	require.Eventually(t, func() bool {
		r, err := send(context.Background(), d.URL(0), chatRequest{prompt: "innocent", maxTokens: 5})
		return err == nil && r.complete
	}, waitTimeout, 100*time.Millisecond)
}

// TestCrashingMessageIsQuarantined guards against requests that crash one engine after the other because they share a message.
func TestCrashingMessageIsQuarantined(t *testing.T) {
	d := start(t, 2, nil)
	for _, e := range d.Engines {
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	crashes, refusedNotRun := 0, false
	for i := 0; i < 8 && !refusedNotRun; i++ {
		r, err := send(context.Background(), d.URL(i%2), chatRequest{system: "poison", prompt: fmt.Sprint("question ", i), maxTokens: 5})
		require.NoError(t, err)
		assert.False(t, r.complete)
		crashes += restartCrashedEngines(d)
		refusedNotRun = r.refusal.Code == "requestQuarantined" && r.refusal.NotRun
		time.Sleep(100 * time.Millisecond) // pause before the caller's next request
	}
	assert.True(t, refusedNotRun)
	assert.LessOrEqual(t, crashes, d.Answers.Policy.CrashLimit)
	require.Eventually(t, func() bool {
		r, err := send(context.Background(), d.URL(0), chatRequest{system: "sound", prompt: "question 0", maxTokens: 5})
		return err == nil && r.complete
	}, waitTimeout, 100*time.Millisecond)
}

// restartCrashedEngines restarts the crashed engines and returns their number.
func restartCrashedEngines(d *Deployment) (n int) {
	for _, e := range d.Engines {
		if e.Crashed() {
			n++
			_ = e.Restart() // may fail while the port is still in use
		}
	}
	return n
}

// TestInnocentsBesideACrashingRequest guards against the quarantine or loss of
// requests that run on the same engines as a request that crashes them. Crashed
// engines are restarted after a delay. The crashing request must be quarantined,
// and all other requests must be rerun and completed.
func TestInnocentsBesideACrashingRequest(t *testing.T) {
	const concurrentRequests = 24
	d := start(t, 2, func(s *Settings) { s.Engine.TokenInterval = 5 * time.Millisecond })
	for _, e := range d.Engines {
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	var answered []audit.Answered
	var mu sync.Mutex
	var g errgroup.Group
	for i := range concurrentRequests {
		g.Go(func() error {
			req := chatRequest{prompt: fmt.Sprintf("innocent %d [answer of 100 tokens]", i), maxTokens: 120, stream: i%2 == 0}
			r, err := send(context.Background(), d.URL(i%2), req)
			if err != nil {
				return err
			}
			if assert.True(t, r.complete, "request %d: %+v", i, r) {
				assert.Equal(t, engine.ExpectedAnswer(req.prompt, req.maxTokens), r.text)
			}
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, answeredRequest(r, "large-main"))
			return nil
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	var supervisor sync.WaitGroup
	supervisor.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			restartCrashedEngines(d)
		}
	})
	quarantined := false
	for i := 0; i < 10 && !quarantined; i++ {
		time.Sleep(50 * time.Millisecond)
		r, err := send(context.Background(), d.URL(i%2), chatRequest{prompt: "poison", maxTokens: 5})
		require.NoError(t, err)
		quarantined = r.refusal.Code == "requestQuarantined"
	}
	assert.True(t, quarantined)
	require.NoError(t, g.Wait())
	stop()
	supervisor.Wait()
	requireCleanAudit(t, d, answered)
}

// postNonIdempotentCall posts a call to a plain service's non-idempotent path and
// returns the status and body of the response.
func postNonIdempotentCall(t *testing.T, base, idempotencyKey string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, base+"/services/register/permits", bytes.NewReader([]byte(`{"n":1}`)))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testAPIKey)
	request.Header.Set("Idempotency-Key", idempotencyKey)
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
		{"response lost", plainservice.Faults{DropAfterExecution: true}, http.StatusBadGateway, 1},
		{"response cut", plainservice.Faults{DropDuringBody: true}, http.StatusBadGateway, 1},
		{"response crossed", plainservice.Faults{MismatchedAttempt: true}, http.StatusBadGateway, 1},
		{"refused before the run", plainservice.Faults{NotRun: true}, http.StatusBadGateway, 0},
	}
	d := start(t, 3, nil)
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := totalExecutions(d)
			for _, p := range d.PlainServices {
				p.SetFaults(tt.faults)
			}
			key := fmt.Sprintf("permit-%d", i)
			status, body := postNonIdempotentCall(t, d.URL(0), key)
			assert.Equal(t, tt.status, status, body)
			for _, p := range d.PlainServices {
				p.SetFaults(plainservice.Faults{})
			}
			again, body := postNonIdempotentCall(t, d.URL(1), key)
			runs := totalExecutions(d) - before
			if tt.runs == 0 {
				assert.Equal(t, http.StatusOK, again, "a call that was not run can be retried: %s", body)
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

func totalExecutions(d *Deployment) (n int) {
	for _, p := range d.PlainServices {
		n += p.TotalExecutions()
	}
	return n
}

func TestUpstreamFaultsNeverSpoilAnAnswer(t *testing.T) {
	faults := []engine.Faults{
		{WrongAttemptHeader: true}, {WrongAttemptAt: 3}, {SilentAfter: 4}, {SilentAtStart: true}, {CutAt: 5},
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
				req := chatRequest{prompt: fmt.Sprintf("%+v %d [answer of 12 tokens]", f, i), maxTokens: 12, stream: i%2 == 0}
				r, err := send(context.Background(), d.URL(i%2), req)
				require.NoError(t, err)
				if r.complete {
					assert.Equal(t, engine.ExpectedAnswer(req.prompt, req.maxTokens), r.text)
					answered = append(answered, answeredRequest(r, "large-main"))
				}
			}
			assert.NotEmpty(t, answered)
			requireCleanAudit(t, d, answered)
		})
	}
}
