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

// warm lets every router draw a share and learn of its peers.
func warm(t *testing.T, d *Deployment) []audit.Answered {
	require.Eventually(t, func() bool {
		for _, r := range d.Routers {
			if r.LivePeers() != len(d.Routers)-1 {
				return false
			}
		}
		return true
	}, waitFor, tick)
	return load(t, d, 6*len(d.Routers))
}

func outage(d *Deployment, out bool) {
	d.KeyValue.SetFaults(keyvalue.Faults{Outage: out})
}

func TestStoreOutageWithAvailability(t *testing.T) {
	d := start(t, 3, nil)
	answered := warm(t, d)
	outage(d, true)
	during := load(t, d, 30)
	assert.Len(t, during, 30, "shares and held bills carry the requests through the outage")
	outage(d, false)
	answered = append(answered, during...)
	report := requireSound(t, d, answered)
	assert.Equal(t, len(answered), report.Billed)
}

func TestStoreOutageHoldsTheEndBack(t *testing.T) {
	tests := map[string]struct {
		change func(*Settings)
		wait   time.Duration // from the beginning of the outage
	}{
		"caution": {func(s *Settings) { s.Answers.Policy.Preference = configuration.PreferCaution }, 0},
		"availability past the lifetime of shares": {func(s *Settings) {
			s.Answers.Policy.ShareLifetimeSeconds, s.Answers.Policy.RefillHorizonSeconds = 1, 1
		}, 1500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := start(t, 3, tt.change)
			warm(t, d)
			outage(d, true)
			time.Sleep(tt.wait)
			a := ask{prompt: "held back [answer of 10 tokens]", tokens: 20, stream: true}
			ended := make(chan reply, 1)
			go func() {
				r, _ := send(context.Background(), d.URL(0), a)
				ended <- r
			}()
			select {
			case r := <-ended:
				t.Fatalf("delivered without a bill: %+v", r)
			case <-time.After(time.Second):
			}
			outage(d, false)
			r := <-ended
			assert.True(t, r.whole)
			assert.Equal(t, engine.ExpectedAnswer(a.prompt, a.tokens), r.text)
			requireSound(t, d, []audit.Answered{answeredBy(r, "large-main")})
		})
	}
}

func TestRouterDiesAfterItsBillsWereHeld(t *testing.T) {
	d := start(t, 3, nil)
	answered := warm(t, d)
	outage(d, true)
	for i := range 10 {
		a := ask{prompt: fmt.Sprintf("orphan %d [answer of 5 tokens]", i), tokens: 10}
		r, err := send(context.Background(), d.URL(0), a)
		require.NoError(t, err)
		require.True(t, r.whole, "%+v", r)
		answered = append(answered, answeredBy(r, "large-main"))
	}
	kill(t, d, 0)
	outage(d, false)
	report := requireSound(t, d, answered)
	assert.Equal(t, len(answered), report.Billed)
	stopDead(t, d, 0)
}

func TestNonIdempotentIsRefusedDuringAnOutage(t *testing.T) {
	d := start(t, 3, nil)
	warm(t, d)
	outage(d, true)
	status, body := callPlain(t, d.URL(0), "during-outage")
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Contains(t, body, `"notRun":true`)
	assert.Zero(t, executions(d))
	outage(d, false)
	require.Eventually(t, func() bool {
		status, _ = callPlain(t, d.URL(0), "during-outage")
		return status == http.StatusOK
	}, waitFor, 50*time.Millisecond)
	assert.Equal(t, 1, executions(d))
}

// TestPoorBudgetNeverOverspends floods a budget that covers a few requests, at
// all routers, while one of them cannot reach the key-value service.
func TestPoorBudgetNeverOverspends(t *testing.T) {
	d := start(t, 3, nil)
	warm(t, d)
	d.Clients[2].SetFaults(keyvalue.Faults{Outage: true})
	var answered []audit.Answered
	for i := range 60 {
		a := ask{
			prompt: fmt.Sprintf("poor %d [answer of 4 tokens]", i), tokens: 4,
			bearer: "sample-key-of-a-test-0002",
		}
		r, err := send(context.Background(), d.URL(i%3), a)
		require.NoError(t, err)
		if r.whole {
			answered = append(answered, answeredBy(r, "large-small"))
			continue
		}
		assert.True(t, r.refusal.NotRun, "%+v", r)
	}
	d.Clients[2].SetFaults(keyvalue.Faults{})
	requireSound(t, d, answered)
	assert.NotEmpty(t, answered)
	pages, err := audit.Read(context.Background(), d.KeyValue.Client(), d.Answers.Policy.LedgerPages)
	require.NoError(t, err)
	for _, p := range pages {
		if b := p.Budgets["large-small"]; b != nil {
			assert.LessOrEqual(t, b.Settled, b.Prepaid())
		}
	}
}

// TestSharesOfADeadRouterComeBack kills a router that holds shares. Once they
// can be spent no longer, they are free again, and everything left of the
// budget can be used elsewhere.
func TestSharesOfADeadRouterComeBack(t *testing.T) {
	d := start(t, 3, func(s *Settings) {
		s.Answers.Policy.ShareLifetimeSeconds = 1
		s.Answers.Policy.RefillHorizonSeconds = 1
		s.Timing.LeaseTTL = 2 * time.Second
		s.Timing.Reclaim = 100 * time.Millisecond
		s.Timing.ReclaimGrace = 5 * time.Second
	})
	warm(t, d)
	dead := d.Routers[0].Incarnation()
	require.NotZero(t, heldBy(t, d, dead))
	kill(t, d, 0)
	require.Eventually(t, func() bool { return heldBy(t, d, dead) == 0 }, 2*waitFor, 10*tick)
	stopDead(t, d, 0)
}

// heldBy returns the tokens that a holder has in all budgets.
func heldBy(t *testing.T, d *Deployment, holder ident.Incarnation) (n tokens.Count) {
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
	warm(t, d)
	const leaving = ident.Upstream("llm-2")
	d.Engines[leaving].SetLeaving(true)
	require.Eventually(t, func() bool {
		for _, r := range d.Routers {
			if !r.Leaving(leaving) {
				return false
			}
		}
		return true
	}, waitFor, tick)
	before := d.Engines[leaving].TokensGenerated()
	load(t, d, 30)
	assert.Equal(t, before, d.Engines[leaving].TokensGenerated())
}
