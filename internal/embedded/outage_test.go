package embedded

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/audit"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// warmUp waits until every router has discovered all its peers, then sends
// requests so that every router draws a share of the budget.
func warmUp(t *testing.T, d *Deployment) []audit.Answered {
	require.Eventually(t, func() bool {
		for _, r := range d.Routers {
			if r.LivePeers() != len(d.Routers)-1 {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval)
	return sendLoad(t, d, 6*len(d.Routers))
}

// setOutage starts or ends an outage of the key-value service for all routers.
func setOutage(d *Deployment, down bool) {
	d.KeyValue.SetFaults(keyvalue.Faults{Outage: down})
}

func TestStoreOutageWithAvailability(t *testing.T) {
	d := start(t, 3, nil)
	answered := warmUp(t, d)
	setOutage(d, true)
	during := sendLoad(t, d, 30)
	assert.Len(t, during, 30, "requests must be served from shares during the outage, with bills held by other routers")
	setOutage(d, false)
	answered = append(answered, during...)
	report := requireCleanAudit(t, d, answered)
	assert.Equal(t, len(answered), report.Billed)
}

func TestStoreOutageHoldsTheEndBack(t *testing.T) {
	tests := map[string]struct {
		change func(*Settings)
		wait   time.Duration // between the start of the outage and the request
	}{
		"caution": {func(s *Settings) { s.Answers.Policy.Preference = configuration.PreferCaution }, 0},
		"availability past the lifetime of shares": {func(s *Settings) {
			s.Answers.Policy.ShareLifetimeSeconds, s.Answers.Policy.RefillHorizonSeconds = 1, 1
		}, 1500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := start(t, 3, tt.change)
			warmUp(t, d)
			setOutage(d, true)
			time.Sleep(tt.wait)
			req := chatRequest{prompt: "held back [answer of 10 tokens]", maxTokens: 20, stream: true}
			received := make(chan chatResponse, 1)
			go func() {
				r, _ := send(context.Background(), d.URL(0), req)
				received <- r
			}()
			select {
			case r := <-received:
				t.Fatalf("response completed before its bill was stored: %+v", r)
			case <-time.After(time.Second):
			}
			setOutage(d, false)
			r := <-received
			assert.True(t, r.complete)
			assert.Equal(t, engine.ExpectedAnswer(req.prompt, req.maxTokens), r.text)
			requireCleanAudit(t, d, []audit.Answered{answeredRequest(r, "large-main")})
		})
	}
}

func TestRouterDiesAfterItsBillsWereHeld(t *testing.T) {
	d := start(t, 3, nil)
	answered := warmUp(t, d)
	setOutage(d, true)
	for i := range 10 {
		req := chatRequest{prompt: fmt.Sprintf("orphan %d [answer of 5 tokens]", i), maxTokens: 10}
		r, err := send(context.Background(), d.URL(0), req)
		require.NoError(t, err)
		require.True(t, r.complete, "%+v", r)
		answered = append(answered, answeredRequest(r, "large-main"))
	}
	killRouter(t, d, 0)
	setOutage(d, false)
	report := requireCleanAudit(t, d, answered)
	assert.Equal(t, len(answered), report.Billed)
	removeKilledRouter(t, d, 0)
}

func TestNonIdempotentIsRefusedDuringAnOutage(t *testing.T) {
	d := start(t, 3, nil)
	warmUp(t, d)
	setOutage(d, true)
	status, body := postNonIdempotentCall(t, d.URL(0), "during-outage")
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Contains(t, body, `"notRun":true`)
	assert.Zero(t, totalExecutions(d))
	setOutage(d, false)
	require.Eventually(t, func() bool {
		status, _ = postNonIdempotentCall(t, d.URL(0), "during-outage")
		return status == http.StatusOK
	}, waitTimeout, 50*time.Millisecond)
	assert.Equal(t, 1, totalExecutions(d))
}

// TestPoorBudgetNeverOverspends sends more requests through all routers than a
// small budget covers, while one router cannot reach the key-value service.
func TestPoorBudgetNeverOverspends(t *testing.T) {
	d := start(t, 3, nil)
	warmUp(t, d)
	d.Clients[2].SetFaults(keyvalue.Faults{Outage: true})
	var answered []audit.Answered
	for i := range 60 {
		req := chatRequest{
			prompt: fmt.Sprintf("poor %d [answer of 4 tokens]", i), maxTokens: 4,
			apiKey: "sample-key-of-a-test-0002",
		}
		r, err := send(context.Background(), d.URL(i%3), req)
		require.NoError(t, err)
		if r.complete {
			answered = append(answered, answeredRequest(r, "large-small"))
			continue
		}
		assert.True(t, r.refusal.NotRun, "%+v", r)
	}
	d.Clients[2].SetFaults(keyvalue.Faults{})
	requireCleanAudit(t, d, answered)
	assert.NotEmpty(t, answered)
	pages, err := audit.Read(context.Background(), d.KeyValue.Client(), d.Answers.Policy.LedgerPages)
	require.NoError(t, err)
	for _, p := range pages {
		if b := p.Budgets["large-small"]; b != nil {
			assert.LessOrEqual(t, b.Settled, b.Prepaid())
		}
	}
}

// TestSharesOfKilledRouterAreReclaimed kills a router that holds shares. Once
// the shares have expired, the other routers must reclaim their unspent tokens
// so that the rest of the budget can be used again.
func TestSharesOfKilledRouterAreReclaimed(t *testing.T) {
	d := start(t, 3, func(s *Settings) {
		s.Answers.Policy.ShareLifetimeSeconds = 1
		s.Answers.Policy.RefillHorizonSeconds = 1
		s.Timing.LeaseTTL = 2 * time.Second
		s.Timing.Reclaim = 100 * time.Millisecond
		s.Timing.ReclaimGrace = 5 * time.Second
	})
	warmUp(t, d)
	killed := d.Routers[0].Incarnation()
	require.NotZero(t, tokensGrantedTo(t, d, killed))
	killRouter(t, d, 0)
	require.Eventually(t, func() bool { return tokensGrantedTo(t, d, killed) == 0 }, 2*waitTimeout, 10*pollInterval)
	removeKilledRouter(t, d, 0)
}

// tokensGrantedTo returns the sum of the tokens granted to a holder over all
// budgets.
func tokensGrantedTo(t *testing.T, d *Deployment, holder ident.Incarnation) (n tokens.Count) {
	pages, err := audit.Read(context.Background(), d.KeyValue.Client(), d.Answers.Policy.LedgerPages)
	require.NoError(t, err)
	for _, p := range pages {
		for _, b := range p.Budgets {
			if s := b.Shares[holder]; s != nil {
				n += s.Granted
			}
		}
	}
	return n
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	d := start(t, 2, nil)
	warmUp(t, d)
	const leaving = ident.Upstream("llm-2")
	d.Engines[leaving].SetLeaving(true)
	require.Eventually(t, func() bool {
		for _, r := range d.Routers {
			if !r.Leaving(leaving) {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval)
	before := d.Engines[leaving].TokensGenerated()
	sendLoad(t, d, 30)
	assert.Equal(t, before, d.Engines[leaving].TokensGenerated())
}
