package issuer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/fake/weightstore"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/orders"
	"example.org/lagoonfork/internal/placement"
	"example.org/lagoonfork/pkg/configuration"
	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// clock is a clock that tests advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// soleOwner implements Members with one member that owns all pages.
type soleOwner ident.Incarnation

func (a soleOwner) Owner(int) (membership.Member, bool) {
	return membership.Member{Record: membership.Record{Incarnation: ident.Incarnation(a)}}, true
}

// blockedEngines delays orders until released is closed.
type blockedEngines struct {
	Engines
	released chan struct{}
}

func (g *blockedEngines) Order(ctx context.Context, up configuration.Upstream, o wire.Order) error {
	<-g.released
	return g.Engines.Order(ctx, up, o)
}

type harness struct {
	t       *testing.T
	clock   *clock
	kv      *keyvalue.Service
	weights *weightstore.Store
	client  *engineclient.Client
	engines []*engine.Engine
	service configuration.Service
}

// newHarness starts one engine for each entry of checks, all with model a loaded,
// and a weight store that accepts one load per 15 seconds. An entry tells whether
// the engine checks fencing numbers.
func newHarness(t *testing.T, replicas map[ident.Model]int, checks ...bool) *harness {
	return newHarnessWithWeights(t, replicas, netip.AddrPort{}, checks...)
}

func newHarnessWithWeights(t *testing.T, replicas map[ident.Model]int, weights netip.AddrPort, checks ...bool) *harness {
	r := &harness{t: t, clock: &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}}
	r.kv = keyvalue.New(keyvalue.Settings{Clock: r.clock.Now})
	r.weights = weightstore.New(weightstore.Settings{Rate: 4.0 / 60, Burst: 1, Clock: r.clock.Now})
	t.Cleanup(func() { assert.NoError(t, r.weights.Close()) })
	if !weights.IsValid() {
		weights = r.weights.Address()
	}
	limit := func() time.Duration { return time.Minute }
	r.client = engineclient.New(engineclient.Settings{SilenceLimit: limit, Log: hclog.NewNullLogger(), Clock: r.clock.Now})
	t.Cleanup(func() { assert.NoError(t, r.client.Close()) })
	r.service = configuration.Service{ID: "s", Kind: configuration.KindEngine}
	for _, m := range []ident.Model{"a", "b"} {
		r.service.Models = append(r.service.Models, configuration.Model{ID: m, Version: "1", Replicas: replicas[m]})
	}
	for i, c := range checks {
		e, err := engine.New(engine.Settings{
			Models: []wire.LoadedModel{{Model: "a", Version: "1"}}, ChecksFencing: c, WeightStore: weights, Clock: r.clock.Now,
		})
		require.NoError(t, err)
		t.Cleanup(func() { assert.NoError(t, e.Close()) })
		r.engines = append(r.engines, e)
		r.service.Upstreams = append(r.service.Upstreams, configuration.Upstream{
			ID: ident.Upstream(fmt.Sprint("e", i)), Address: e.Address(), ChecksFencing: c,
			FailureDomain: ident.FailureDomain(fmt.Sprint("d", i%2)),
		})
	}
	return r
}

func (r *harness) settings(self ident.Incarnation, s store.Store) Settings {
	return Settings{
		Services: func() []configuration.Service { return []configuration.Service{r.service} },
		Engines:  r.client,
		Store:    s,
		Members:  soleOwner(self),
		Self:     self,
		MayOrder: func(time.Time) bool { return true },
		Policy:   placement.Policy{ModelsPerEngine: 2},
		Timeout:  time.Minute,
		Clock:    r.clock.Now,
		Log:      hclog.NewNullLogger(),
	}
}

func (r *harness) issuer(self ident.Incarnation) *Issuer {
	return newIssuer(r.settings(self, r.kv.Client()))
}

// rounds runs n rounds of each issuer, 5 seconds apart, and waits after each until
// its orders have ended.
func (r *harness) rounds(n int, issuers ...*Issuer) {
	for range n {
		r.clock.advance(5 * time.Second)
		for _, i := range issuers {
			i.Round(r.t.Context())
			i.calls.Wait()
		}
	}
}

func (r *harness) enginesWith(m ident.Model) (n int) {
	for _, up := range r.service.Upstreams {
		load, err := r.client.Load(r.t.Context(), up)
		if err == nil && slices.ContainsFunc(load.LoadedModels, func(l wire.LoadedModel) bool { return l.Model == m }) {
			n++
		}
	}
	return n
}

func (r *harness) state() *orders.State {
	entry, err := r.kv.Client().Get(r.t.Context(), orders.Key("s"))
	require.NoError(r.t, err)
	b, err := orders.Decode(entry.Value)
	require.NoError(r.t, err)
	return b
}

// requireFencingOrder checks that no engine executed an order with a lower fencing
// number after one with a higher number. It returns the number of executed orders.
func (r *harness) requireFencingOrder() (total int) {
	for _, e := range r.engines {
		given := e.Orders()
		total += len(given)
		require.True(r.t, slices.IsSortedFunc(given, func(a, b wire.Order) int {
			return int(a.FencingNumber) - int(b.FencingNumber)
		}), "%+v", given)
	}
	return total
}
