package configwatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

var errParted = errors.New("network is parted")

// network connects watchers in one process. It counts the calls between them.
type network struct {
	mu       sync.Mutex
	watchers map[ident.VM]*Watcher
	parted   map[ident.VM]bool
	parts    atomic.Int64
	heads    atomic.Int64 // that carried a higher revision
}

func newNetwork() *network {
	return &network{watchers: make(map[ident.VM]*Watcher), parted: make(map[ident.VM]bool)}
}

func (n *network) part(vm ident.VM, parted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted[vm] = parted
}

func (n *network) live() []ident.VM {
	n.mu.Lock()
	defer n.mu.Unlock()
	var vms []ident.VM
	for vm := range n.watchers {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// link is the Peers of one VM.
type link struct {
	*network
	from ident.VM
}

func (l link) to(vm ident.VM) (*Watcher, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.watchers[vm]; w != nil && !l.parted[vm] && !l.parted[l.from] {
		return w, nil
	}
	return nil, errParted
}

func (l link) Head(ctx context.Context, peer ident.VM, above configuration.Revision) (manifest.Manifest, error) {
	w, err := l.to(peer)
	if err != nil {
		return manifest.Manifest{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	head := w.AwaitHead(ctx, above)
	if head.Revision > above && above >= 0 {
		l.heads.Add(1)
	}
	return head, nil
}

func (l link) Part(_ context.Context, peer ident.VM, digest manifest.Digest) ([]byte, error) {
	w, err := l.to(peer)
	if err != nil {
		return nil, err
	}
	l.parts.Add(1)
	return w.Part(digest)
}

// mute is a store whose watches deliver nothing while silent is set. A watch
// meets a compaction if any is left to do.
type mute struct {
	store.Store
	silent      *atomic.Bool
	compactions *atomic.Int64
	compact     func()
}

type muteWatch struct {
	store.Watch
	silent *atomic.Bool
}

func (m mute) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
	if m.compactions.Add(-1) >= 0 {
		_, err := m.Put(ctx, "other", nil, store.Always, store.NoLease)
		if err != nil {
			return nil, err
		}
		m.compact()
	}
	w, err := m.Store.Watch(ctx, prefix, from)
	return muteWatch{w, m.silent}, err
}

func (m muteWatch) Next(ctx context.Context) (store.Batch, error) {
	batch, err := m.Watch.Next(ctx)
	if m.silent.Load() {
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return batch, err
}

// fleet is a number of watchers on one service.
type fleet struct {
	t         testing.TB
	service   *keyvalue.Service
	network   *network
	publisher *publication.Publisher
	clients   map[ident.VM]*keyvalue.Client
	silent    map[ident.VM]*atomic.Bool
	answers   answers.Answers
	// compactions is the number of watches that meet a compaction.
	compactions atomic.Int64
}

func newFleet(t testing.TB, vms int) *fleet {
	service := keyvalue.New(keyvalue.Settings{})
	f := &fleet{
		t:         t,
		service:   service,
		network:   newNetwork(),
		publisher: publication.New(service.Client(), publication.Settings{}),
		clients:   make(map[ident.VM]*keyvalue.Client),
		silent:    make(map[ident.VM]*atomic.Bool),
		answers: answers.Answers{
			Policy: answers.Policy{Preference: "caution", LedgerPages: 1, RefillHorizonSeconds: 1, ShareLifetimeSeconds: 5,
				ClaimRetentionSeconds: 60, SilenceLimitMillis: 100, CrashLimit: 1},
		},
	}
	for i := range 200 {
		f.answers.Customers = append(f.answers.Customers, answers.Customer{
			ID: ident.Customer(fmt.Sprintf("c%d", i)), Name: "C", Weight: 1,
			Budgets: []answers.Budget{{ID: ident.Budget(fmt.Sprintf("b%d", i)), Prepaid: 1}},
		})
	}
	f.answers = answers.Canonical(f.answers)
	f.change()
	for i := range vms {
		f.network.watchers[vm(i)] = nil
	}
	for i := range vms {
		f.start(vm(i))
	}
	return f
}

func vm(i int) ident.VM { return ident.VM(fmt.Sprintf("vm-%d", i)) }

func (f *fleet) start(id ident.VM) *Watcher {
	client := f.service.Client()
	silent := new(atomic.Bool)
	w := Start(Settings{VM: id, Store: mute{client, silent, &f.compactions, f.service.Compact}, Peers: link{f.network, id}, Live: f.network.live})
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.clients[id] = client
	f.silent[id] = silent
	f.network.watchers[id] = w
	return w
}

func (f *fleet) close() {
	for _, id := range f.network.live() {
		assert.NoError(f.t, f.network.watchers[id].Close())
	}
}

// change puts a new revision in force.
func (f *fleet) change() configuration.Revision {
	f.answers.Customers[0].Budgets[0].Prepaid++
	r, err := f.publisher.Apply(f.t.Context(), publication.Change{
		ID: fmt.Sprint(f.answers.Revision), Answers: f.answers})
	require.NoError(f.t, err)
	f.answers.Revision = r.Revision
	return r.Revision
}

func (f *fleet) behind(r configuration.Revision) (lagging int) {
	for _, w := range f.network.watchers {
		if w.Revision() < r {
			lagging++
		}
	}
	return lagging
}

// hops returns the greatest number of hops from the service to a VM.
func (f *fleet) hops() (most int) {
	for id := range f.network.watchers {
		n := 1
		for source := f.network.watchers[id].Status().Source; source != ""; n++ {
			source = f.network.watchers[source].Status().Source
		}
		most = max(most, n)
	}
	return most
}

// TestCallsPerChange counts what one change costs in fleets of three sizes.
func TestCallsPerChange(t *testing.T) {
	for _, vms := range []int{9, 90, 390} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, vms)
				defer f.close()
				time.Sleep(20 * time.Second)
				require.Zero(t, f.behind(1))
				before := f.service.Counts()
				heads, parts := f.network.heads.Load(), f.network.parts.Load()
				r := f.change()
				synctest.Wait()
				require.Zero(t, f.behind(r), "in force everywhere without any waiting")
				after := f.service.Counts()
				relays := len(Relays(f.network.live()))
				t.Logf("vms=%d waiting=%d writes=%d reads=%d peerHeads=%d peerParts=%d hops=%d", vms, after.Waiting,
					after.Writes-before.Writes, after.Reads-before.Reads, f.network.heads.Load()-heads, f.network.parts.Load()-parts, f.hops())
				assert.EqualValues(t, relays, after.Waiting)
				assert.LessOrEqual(t, f.hops(), 2)
				assert.LessOrEqual(t, int(after.Reads-before.Reads), relays+2*65+10)
				assert.LessOrEqual(t, int(f.network.parts.Load()-parts), vms)
			})
		})
	}
}

// TestColdStart starts a whole fleet at once.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 90)
		defer f.close()
		time.Sleep(8 * time.Second)
		assert.Zero(t, f.behind(1))
		reads := f.service.Counts().Reads
		t.Logf("reads=%d", reads)
		assert.Less(t, int(reads), 10*33+90*6, "only the 10 relays read the 33 parts from the service")
	})
}

// TestStartsWithoutRelays starts a VM that is no relay while no relay has a
// configuration.
func TestStartsWithoutRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		for i := range 15 {
			f.network.watchers[vm(i)] = nil
		}
		w := f.start(follower(f))
		time.Sleep(20 * time.Second)
		assert.EqualValues(t, 1, w.Revision())
		assert.NoError(t, w.Close())
	})
}

func TestStartsFromPeersDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(time.Second)
		f.service.SetFaults(keyvalue.Faults{Outage: true})
		w := f.start("late")
		require.NoError(t, w.AwaitFirst(t.Context()))
		assert.EqualValues(t, 1, w.Revision())
		assert.Equal(t, f.network.watchers[vm(0)].Current(), w.Current())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, manifest.Manifest{Revision: 1}, w.AwaitHead(ctx, 1), "nothing new is told in few bytes")
		f.service.SetFaults(keyvalue.Faults{})
		r := f.change()
		time.Sleep(8 * time.Second)
		assert.Zero(t, f.behind(r))
	})
}

// TestStartTakesTheHighest starts a VM while the service answers with an old
// revision, which it never does, or is ahead of the peers.
func TestStartTakesTheHighest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		time.Sleep(time.Second)
		for i := range 3 {
			f.clients[vm(i)].SetFaults(keyvalue.Faults{Outage: true})
		}
		r := f.change()
		w := f.start("late")
		require.NoError(t, w.AwaitFirst(t.Context()))
		assert.Equal(t, r, w.Revision())
		time.Sleep(8 * time.Second)
		assert.Zero(t, f.behind(r), "the VMs without the service learn from the new one")
	})
}

func TestWaitsForAFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := keyvalue.New(keyvalue.Settings{})
		w := Start(Settings{VM: "a", Store: service.Client()})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, w.AwaitFirst(ctx), context.DeadlineExceeded)
		assert.Nil(t, w.Current())
		require.NoError(t, w.Close())
	})
}

// TestCatchesUp puts the VMs through faults and expects all of them to hold the
// last revision within 8 s of the end of the fault.
func TestCatchesUp(t *testing.T) {
	tests := []struct {
		name         string
		begin, clear func(f *fleet)
	}{
		{"outage",
			func(f *fleet) { f.service.SetFaults(keyvalue.Faults{Outage: true}) },
			func(f *fleet) { f.service.SetFaults(keyvalue.Faults{}) }},
		{"compaction",
			func(f *fleet) { f.service.SetFaults(keyvalue.Faults{Outage: true}) },
			func(f *fleet) {
				f.service.SetFaults(keyvalue.Faults{})
				f.compactions.Store(15)
				time.Sleep(8 * time.Second)
				assert.Negative(f.t, f.compactions.Load())
			}},
		{"relay parted from the service",
			func(f *fleet) { f.clients[Relays(f.network.live())[0]].SetFaults(keyvalue.Faults{Outage: true}) },
			func(f *fleet) {}},
		{"connection of a relay's watch silent",
			func(f *fleet) { f.silent[Relays(f.network.live())[0]].Store(true) },
			func(f *fleet) {}},
		{"relay parted from all", func(f *fleet) {
			relay := Relays(f.network.live())[0]
			f.clients[relay].SetFaults(keyvalue.Faults{Outage: true})
			f.network.part(relay, true)
		}, func(f *fleet) {
			relay := Relays(f.network.live())[0]
			f.clients[relay].SetFaults(keyvalue.Faults{})
			f.network.part(relay, false)
		}},
		{"follower parted from the relays",
			func(f *fleet) { f.network.part(follower(f), true) },
			func(f *fleet) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 15)
				defer f.close()
				time.Sleep(5 * time.Second)
				test.begin(f)
				time.Sleep(time.Minute)
				test.clear(f)
				r := f.change()
				time.Sleep(8 * time.Second)
				assert.Zero(t, f.behind(r))
			})
		})
	}
}

func follower(f *fleet) ident.VM {
	live := f.network.live()
	relays := Relays(live)
	return live[slices.IndexFunc(live, func(id ident.VM) bool { return !slices.Contains(relays, id) })]
}

// TestNeverGoesBack offers revisions in any order, from several goroutines,
// and watches what is in force.
func TestNeverGoesBack(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	f := newFleetOn(t, service)
	var heads []manifest.Manifest
	for range 8 {
		f.change()
		s, err := f.publisher.InForce(t.Context())
		require.NoError(t, err)
		heads = append(heads, s.Head)
	}
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SliceOfN(rapid.IntRange(0, len(heads)-1), 1, 30).Draw(t, "order")
		w := &Watcher{settings: Settings{Store: service.Client()}.withDefaults(), changed: make(chan struct{})}
		w.current.Store(&snapshot{})
		stop := make(chan struct{})
		var reader, writers sync.WaitGroup
		reader.Go(func() { observe(t, w, stop) })
		highest := configuration.Revision(0)
		for i, n := range order {
			highest = max(highest, heads[n].Revision)
			offer := func() { assert.NoError(t, w.install(context.Background(), heads[n], []ident.VM{storeSource})) }
			if i%3 == 0 {
				offer()
			} else {
				writers.Go(offer)
			}
		}
		writers.Wait()
		close(stop)
		reader.Wait()
		if w.Revision() != highest || w.Current().Revision != highest {
			t.Fatalf("revision %d in force, want %d", w.Revision(), highest)
		}
	})
}

// observe fails if the revision in force ever falls.
func observe(t *rapid.T, w *Watcher, stop chan struct{}) {
	seen := configuration.Revision(0)
	for {
		if r := w.Revision(); r < seen {
			t.Errorf("revision %d in force after %d", r, seen)
		} else {
			seen = r
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

func newFleetOn(t testing.TB, service *keyvalue.Service) *fleet {
	f := newFleet(t, 0)
	f.service = service
	f.answers.Revision = 0
	f.publisher = publication.New(service.Client(), publication.Settings{})
	return f
}

// forger gives parts with other contents.
type forger struct{ Peers }

func (f forger) Part(ctx context.Context, peer ident.VM, digest manifest.Digest) ([]byte, error) {
	return []byte(`{}`), nil
}

func TestPartsArePutInForceOnlyWithTheirDigest(t *testing.T) {
	f := newFleet(t, 0)
	s, err := f.publisher.InForce(t.Context())
	require.NoError(t, err)
	client := f.service.Client()
	w := &Watcher{settings: Settings{Store: client, Peers: forger{}}.withDefaults(), changed: make(chan struct{})}
	w.current.Store(&snapshot{})
	require.NoError(t, w.Offer(t.Context(), "forger", s.Head), "the service has the parts")
	assert.Len(t, w.Current().Budgets, 200)

	w.current.Store(&snapshot{})
	client.SetFaults(keyvalue.Faults{Outage: true})
	assert.ErrorIs(t, w.Offer(t.Context(), "forger", s.Head), manifest.ErrMalformed)
	assert.Nil(t, w.Current())

	client.SetFaults(keyvalue.Faults{})
	s.Head.Buckets = nil
	assert.ErrorIs(t, w.Offer(t.Context(), "forger", s.Head), manifest.ErrMalformed)
	assert.Nil(t, w.Current())
}

// BenchmarkInstall puts a change of one budget in force at a watcher that
// holds 1,600, 16,000 and 160,000 budgets, with one application for ten.
func BenchmarkInstall(b *testing.B) {
	for _, budgets := range []int{1600, 16000, 160000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			heads, parts := twoRevisions(b, budgets)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := &Watcher{settings: Settings{Peers: library(parts)}.withDefaults(), changed: make(chan struct{})}
			w.current.Store(&snapshot{})
			require.NoError(b, w.Offer(b.Context(), "library", heads[0]))
			runtime.GC()
			runtime.ReadMemStats(&after)
			first := w.current.Load()
			for b.Loop() {
				w.current.Store(first)
				require.NoError(b, w.Offer(b.Context(), "library", heads[1]))
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1e6, "held-MB")
		})
	}
}

func BenchmarkIndex(b *testing.B) {
	for _, budgets := range []int{1600, 16000, 160000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			heads, parts := twoRevisions(b, budgets)
			c, err := manifest.AssembleConfiguration(heads[0], manifest.Parts(parts))
			require.NoError(b, err)
			x := configuration.NewIndex(&c)
			hash := answers.HashKey("c0-a0")
			b.ReportAllocs()
			for b.Loop() {
				app, _, ok := x.ApplicationByKey(hash)
				_, found := x.Budget(app.Budget)
				if !ok || !found {
					b.Fatal("not found")
				}
			}
		})
	}
}

// library gives parts to any watcher.
type library manifest.Parts

func (l library) Head(context.Context, ident.VM, configuration.Revision) (manifest.Manifest, error) {
	return manifest.Manifest{}, errParted
}

func (l library) Part(_ context.Context, _ ident.VM, digest manifest.Digest) ([]byte, error) {
	return l[digest], nil
}

// twoRevisions returns revisions that differ in one budget, and their parts.
func twoRevisions(b testing.TB, budgets int) (heads []manifest.Manifest, parts library) {
	const perCustomer = 232
	var c configuration.Configuration
	for i := range budgets {
		id := ident.Customer(fmt.Sprintf("c%d", i/perCustomer))
		if i%perCustomer == 0 {
			c.Customers = append(c.Customers, configuration.Customer{ID: id, Name: "C", Weight: 1})
		}
		budget := configuration.Budget{ID: ident.Budget(fmt.Sprintf("%s-b%03d", id, i%perCustomer)), Customer: id, Prepaid: 1000, Funded: 1}
		c.Budgets = append(c.Budgets, budget)
		if i%10 == 0 {
			customer := &c.Customers[len(c.Customers)-1]
			name := fmt.Sprintf("%s-a%d", id, i%perCustomer)
			customer.Applications = append(customer.Applications, configuration.Application{
				ID: ident.Application(name), KeyHash: answers.HashKey(answers.Secret(name)), Budget: budget.ID,
				Services: []ident.Service{"s"}, MaxOutput: 4096})
		}
	}
	parts = make(library)
	for i := range 2 {
		c.Revision = configuration.Revision(i + 1)
		c.Budgets[budgets/2].Prepaid++
		split, err := manifest.SplitConfiguration(c, manifest.LayoutFor(budgets, 0))
		require.NoError(b, err)
		heads = append(heads, manifest.Manifest{Revision: c.Revision, Base: split.List.Base, Buckets: split.List.Buckets})
		for digest, data := range split.Parts {
			parts[digest] = data
		}
	}
	return heads, parts
}

func TestRelaysChangeLittle(t *testing.T) {
	var live []ident.VM
	for i := range 390 {
		live = append(live, vm(i))
	}
	relays := Relays(live)
	assert.Len(t, relays, 20)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	assert.Equal(t, relays, Relays(live))
	without := slices.DeleteFunc(live, func(id ident.VM) bool { return id == relays[3] })
	kept := 0
	for _, r := range Relays(without) {
		if slices.Contains(relays, r) {
			kept++
		}
	}
	assert.Equal(t, 19, kept)
}
