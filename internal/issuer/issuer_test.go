package issuer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/orders"
	"example.org/lagoonfork/pkg/configuration"
	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

func TestReachesFloors(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 3}, true, false, false, true)
	r.rounds(40, r.issuer("one"))
	assert.Equal(t, 3, r.enginesWith("b"))
	assert.Equal(t, 4, r.enginesWith("a"))
	assert.Zero(t, r.weights.Refused(), "loads came too fast")
	assert.EqualValues(t, 3, r.weights.Served())
	assert.Equal(t, 3, r.requireFencingOrder())
	assert.EqualValues(t, 1, r.state().FencingNumber)
}

// TestLeavesAlone checks that a service gets no orders if its models have no
// configured replicas, or if its engines report no models.
func TestLeavesAlone(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 0, "b": 0}, false)
	r.rounds(3, r.issuer("one"))
	r.service.Models[0].Replicas = 1
	e, err := engine.New(engine.Settings{Clock: r.clock.Now})
	require.NoError(t, err)
	defer func() { assert.NoError(t, e.Close()) }()
	r.service.Upstreams[0].Address = e.Address()
	r.rounds(3, r.issuer("one"))
	assert.Zero(t, r.kv.Counts().Writes)
	assert.Empty(t, e.Orders())
}

func TestPausedFormerHolder(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, checks)
			s := r.settings("one", r.kv.Client())
			g := &blockedEngines{Engines: r.client, released: make(chan struct{})}
			s.Engines = g
			former, next := newIssuer(s), r.issuer("two")
			r.clock.advance(time.Minute)
			former.Round(t.Context()) // its order is recorded but not sent
			require.Len(t, r.state().Outstanding("e0"), 1)
			r.service.Models = append(r.service.Models, configuration.Model{ID: "c", Version: "1", Replicas: 1})
			r.rounds(20, next)
			assert.EqualValues(t, 2, r.state().FencingNumber)
			assert.Zero(t, r.enginesWith("b"))
			if !checks {
				assert.Zero(t, r.requireFencingOrder(), "the engine is tainted")
				assert.True(t, r.state().Tainted("e0"))
			}
			close(g.released)
			former.calls.Wait()
			r.rounds(20, former, next)
			r.requireFencingOrder()
			assert.False(t, r.state().Tainted("e0"))
			assert.Equal(t, 1, r.enginesWith("b"))
		})
	}
}

// pausingStore is a store whose caller is paused for the send window after each
// write.
type pausingStore struct {
	store.Store
	clock *clock
}

func (p pausingStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, l store.Lease) (store.Revision, error) {
	revision, err := p.Store.Put(ctx, key, value, cond, l)
	p.clock.advance(orders.SendWindow)
	return revision, err
}

// TestLateOrderIsWithdrawn pauses a holder between recording and sending an order.
// It must withdraw the order, so that the engine is not tainted for the next
// holder.
func TestLateOrderIsWithdrawn(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, false)
	former := newIssuer(r.settings("one", pausingStore{r.kv.Client(), r.clock}))
	r.rounds(2, former)
	assert.Zero(t, r.requireFencingOrder())
	former.flush()
	assert.Empty(t, r.state().Outstanding("e0"))
	r.rounds(10, r.issuer("two"))
	assert.Equal(t, 1, r.enginesWith("b"))
}

func TestLostStoreAnswers(t *testing.T) {
	for _, f := range []keyvalue.Faults{{LoseResponses: 2}, {LoseWrites: 2}, {HoldWrites: 1}} {
		t.Run(fmt.Sprintf("%d answers, %d writes lost, %d held", f.LoseResponses, f.LoseWrites, f.HoldWrites), func(t *testing.T) {
			r := newHarness(t, map[ident.Model]int{"a": 1, "b": 2}, false, false)
			r.kv.SetFaults(f)
			i := r.issuer("one")
			r.rounds(2, i)
			r.kv.ReleaseHeld()
			r.rounds(40, i)
			assert.Equal(t, 2, r.enginesWith("b"))
			assert.Equal(t, 2, r.requireFencingOrder(), "each order is sent once")
			assert.EqualValues(t, 1, r.state().FencingNumber)
			assert.Empty(t, r.state().Outstanding("e0"))
		})
	}
}

// TestDisplacedDuringLostAnswer lets another router take over while the first
// holder does not know the outcome of its write, so that an order is recorded that
// was never sent. The first holder must withdraw it.
func TestDisplacedDuringLostAnswer(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, false)
	client := r.kv.Client()
	former, next := newIssuer(r.settings("one", client)), r.issuer("two")
	client.SetFaults(keyvalue.Faults{LoseResponses: 1})
	r.rounds(1, former)
	r.rounds(1, next)
	require.True(t, r.state().Tainted("e0"))
	r.rounds(1, former)
	assert.False(t, r.state().Tainted("e0"), "the former holder withdraws what it did not send")
	r.rounds(10, next)
	assert.Equal(t, 1, r.requireFencingOrder())
	assert.Equal(t, 1, r.enginesWith("b"))
}

func TestOutage(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 2}, false, false)
	i := r.issuer("one")
	r.rounds(1, i)
	before := r.requireFencingOrder()
	r.kv.SetFaults(keyvalue.Faults{Outage: true})
	failed := i.controllers["s"].failures
	r.rounds(64, i)
	assert.Equal(t, before, r.requireFencingOrder())
	assert.Less(t, i.controllers["s"].failures-failed, 12, "attempts in 64 rounds")
	r.kv.SetFaults(keyvalue.Faults{})
	r.rounds(60, i)
	assert.Equal(t, 2, r.enginesWith("b"))
}

// TestCrashDuringLoad crashes an engine while it executes a load order, so that the
// response is lost. The engine must get no order until it has restarted.
func TestCrashDuringLoad(t *testing.T) {
	asked := make(chan struct{})
	var first sync.Once
	weights := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		first.Do(func() {
			close(asked)
			<-r.Context().Done()
		})
	}))
	defer weights.Close()
	r := newHarnessWithWeights(t, map[ident.Model]int{"a": 1, "b": 1}, netip.MustParseAddrPort(weights.Listener.Addr().String()), false, false)
	i := r.issuer("one")
	r.clock.advance(time.Minute)
	i.Round(t.Context())
	<-asked
	crashed := r.engines[0]
	require.Len(t, r.state().Outstanding("e0"), 1)
	crashed.Crash()
	i.calls.Wait()
	r.rounds(20, i)
	assert.Len(t, r.state().Outstanding("e0"), 1, "the order may have been carried out")
	assert.Empty(t, crashed.Orders())
	assert.Equal(t, 1, r.enginesWith("b"), "another engine loads the model")
	require.NoError(t, crashed.Restart())
	r.rounds(2, i)
	assert.Empty(t, r.state().Outstanding("e0"))
	assert.False(t, r.state().Tainted("e0"))
}

// TestTwoOwners runs two routers that both consider themselves the owner. Orders
// must not conflict, and each model must keep its configured replicas.
func TestTwoOwners(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 2, "b": 2}, true, false, false, true)
	issuers := []*Issuer{r.issuer("one"), r.issuer("two")}
	for _, i := range issuers {
		i.settings.Policy.ModelsPerEngine = 1
	}
	for n := range 150 {
		r.clock.advance(5 * time.Second)
		var wg sync.WaitGroup
		for _, i := range issuers {
			wg.Go(func() { i.Round(t.Context()) })
		}
		wg.Wait()
		for _, i := range issuers {
			i.calls.Wait()
		}
		require.GreaterOrEqual(t, r.enginesWith("a"), 2, "round %d", n)
	}
	r.requireFencingOrder()
	assert.Equal(t, 2, r.enginesWith("b"))
	assert.Zero(t, r.weights.Refused(), "loads came too fast")
}

func TestClear(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, false)
	client := r.kv.Client()
	client.SetFaults(keyvalue.Faults{LoseResponses: 1})
	r.rounds(1, newIssuer(r.settings("one", client))) // recorded but never sent
	next := r.issuer("two")
	r.rounds(10, next)
	require.True(t, r.state().Tainted("e0"))
	require.NoError(t, next.Clear(t.Context(), "s", "e0"))
	require.ErrorIs(t, next.Clear(t.Context(), "s", "e0"), orders.ErrNoRecord)
	r.rounds(10, next)
	assert.Equal(t, 1, r.enginesWith("b"))
}

func TestCloseWaits(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, false)
	s := r.settings("one", r.kv.Client())
	s.Interval = time.Hour
	i := New(s)
	i.Round(t.Context())
	require.NoError(t, i.Close())
	assert.Equal(t, 1, r.enginesWith("b"))
	assert.False(t, r.state().Outstanding("e0")[0].Ended.IsZero(), "the end of the order is recorded in the state")
}

// TestUnloadIsAnnounced checks that a router that is not the holder learns of an
// unload before it is ordered, and that the holder drops the announced unload if
// the only other engine with the model crashes.
func TestUnloadIsAnnounced(t *testing.T) {
	for _, crash := range []bool{false, true} {
		t.Run(fmt.Sprint("crash ", crash), func(t *testing.T) {
			r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, false, false)
			s := r.settings("one", r.kv.Client())
			s.Policy.ModelsPerEngine = 1
			s.UnloadDelay = 20 * time.Second
			holder, other := newIssuer(s), r.issuer("two")
			other.settings.Members = soleOwner("one")
			r.rounds(3, holder, other)
			assert.Zero(t, r.requireFencingOrder())
			gone, stays := -1, -1
			for i, up := range r.service.Upstreams {
				load, err := other.Load(t.Context(), up)
				require.NoError(t, err)
				if load.LoadedModels[0].Model == "" {
					gone = i
				} else {
					stays = i
				}
			}
			require.GreaterOrEqual(t, min(gone, stays), 0)
			if crash {
				r.engines[stays].Crash()
			}
			r.rounds(20, holder, other)
			if crash {
				assert.Empty(t, r.engines[gone].Orders(), "the last copy stays")
				return
			}
			assert.Len(t, r.engines[gone].Orders(), 2)
			assert.Empty(t, r.engines[stays].Orders())
			load, err := other.Load(t.Context(), r.service.Upstreams[gone])
			require.NoError(t, err)
			assert.Equal(t, []wire.LoadedModel{{Model: "b", Version: "1"}}, load.LoadedModels)
		})
	}
}

// TestLapsedLease lets the lease expire between recording and sending an order,
// which must then be withdrawn.
func TestLapsedLease(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, false)
	s := r.settings("one", r.kv.Client())
	asked := 0
	s.MayOrder = func(time.Time) bool { asked++; return asked == 1 }
	i := newIssuer(s)
	r.rounds(1, i)
	require.Len(t, r.state().Outstanding("e0"), 1)
	assert.Zero(t, r.requireFencingOrder())
	i.flush()
	assert.Empty(t, r.state().Outstanding("e0"))
}

// releasingStore is a store in which delayed writes take effect after each read.
type releasingStore struct {
	store.Store
	kv *keyvalue.Service
}

func (s releasingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	defer s.kv.ReleaseHeld()
	return s.Store.Get(ctx, key)
}

// TestHeldWrite delays a write until after the holder has read the state to
// determine the outcome of the write.
func TestHeldWrite(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, false)
	r.kv.SetFaults(keyvalue.Faults{HoldWrites: 1})
	r.rounds(10, newIssuer(r.settings("one", releasingStore{r.kv.Client(), r.kv})))
	assert.Equal(t, 1, r.enginesWith("b"))
	assert.Equal(t, 1, r.requireFencingOrder())
}

// TestHeldWriteOfFormerOwner delays a write until after the router has ceased to
// be the owner. The recorded order must be withdrawn without being sent.
func TestHeldWriteOfFormerOwner(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, false)
	r.kv.SetFaults(keyvalue.Faults{HoldWrites: 1})
	former := newIssuer(r.settings("one", releasingStore{r.kv.Client(), r.kv}))
	r.rounds(1, former)
	former.settings.Members = soleOwner("two")
	r.rounds(10, former)
	assert.Empty(t, r.state().Outstanding("e0"))
	assert.Zero(t, r.requireFencingOrder())
}

// lossyEngines drops the first order.
type lossyEngines struct {
	Engines
	lost bool
}

func (l *lossyEngines) Order(ctx context.Context, up configuration.Upstream, o wire.Order) error {
	if !l.lost {
		l.lost = true
		return engineclient.ErrResponseLost
	}
	return l.Engines.Order(ctx, up, o)
}

// TestLostOrder drops an order whose outcome is then unknown. An engine that checks
// fencing numbers gets another order under a new number, which resolves the first.
// An engine that does not check them gets no other order.
func TestLostOrder(t *testing.T) {
	for _, checks := range []bool{false, true} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, checks)
			r.service.Models = append(r.service.Models, configuration.Model{ID: "c", Version: "1", Replicas: 1})
			s := r.settings("one", r.kv.Client())
			s.Engines = &lossyEngines{Engines: r.client}
			s.Policy.ModelsPerEngine = 3
			r.rounds(40, newIssuer(s))
			if !checks {
				assert.Zero(t, r.requireFencingOrder())
				return
			}
			assert.EqualValues(t, 2, r.state().FencingNumber)
			assert.Equal(t, 2, r.requireFencingOrder())
			assert.Equal(t, 1, r.enginesWith("b"))
			assert.Equal(t, 1, r.enginesWith("c"))
		})
	}
}

// TestEngineAhead checks that orders reach an engine that has seen a higher fencing
// number than that of the state.
func TestEngineAhead(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 1}, true)
	order := wire.Order{FencingNumber: 3, Kind: wire.OrderChangeRole, Role: wire.RoleDecode}
	require.NoError(t, r.client.Order(t.Context(), r.service.Upstreams[0], order))
	r.rounds(20, r.issuer("one"))
	assert.Equal(t, 1, r.enginesWith("b"))
	r.requireFencingOrder()
}

// TestRateOutlivesHolder checks that a new holder that takes over directly after a
// load keeps to the rate limit of the weight store.
func TestRateOutlivesHolder(t *testing.T) {
	r := newHarness(t, map[ident.Model]int{"a": 1, "b": 2}, false, false)
	r.rounds(1, r.issuer("one"))
	next := r.issuer("two")
	r.rounds(1, next)
	assert.EqualValues(t, 1, r.weights.Served()+r.weights.Refused())
	r.rounds(10, next)
	assert.EqualValues(t, 2, r.weights.Served())
	assert.Zero(t, r.weights.Refused())
}
