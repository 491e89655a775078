package configwatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

var errPartitioned = errors.New("network partitioned")

// network connects watchers within the test process and counts the calls between
// them.
type network struct {
	mu          sync.Mutex
	watchers    map[ident.VM]*Watcher
	partitioned map[ident.VM]bool
	silent      map[ident.VM]time.Duration // polls of these VMs fail after that time
	parts       atomic.Int64               // calls of ConfigurationPart
	heads       atomic.Int64               // calls of ConfigurationHead that returned a higher revision to a poll
}

func newNetwork() *network {
	return &network{watchers: make(map[ident.VM]*Watcher), partitioned: make(map[ident.VM]bool), silent: make(map[ident.VM]time.Duration)}
}

// setPartitioned cuts a VM off from all others, or reconnects it.
func (n *network) setPartitioned(vm ident.VM, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[vm] = partitioned
}

// setSilent makes polls of a VM fail after a time.
func (n *network) setSilent(vm ident.VM, after time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[vm] = after
}

// silence returns the time after which polls of a VM fail, or 0.
func (n *network) silence(vm ident.VM) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[vm]
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

// link implements Peers for one VM.
type link struct {
	*network
	from ident.VM
}

// watcher returns the watcher of another VM if it is reachable.
func (l link) watcher(vm ident.VM) (*Watcher, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.watchers[vm]; w != nil && !l.partitioned[vm] && !l.partitioned[l.from] {
		return w, nil
	}
	return nil, errPartitioned
}

func (l link) ConfigurationHead(ctx context.Context, peer ident.VM, above configuration.Revision) (manifest.Manifest, error) {
	w, err := l.watcher(peer)
	if err != nil {
		return manifest.Manifest{}, err
	}
	if after := l.silence(peer); above >= 0 && after > 0 {
		ctx, cancel := context.WithTimeout(ctx, after)
		defer cancel()
		<-ctx.Done()
		return manifest.Manifest{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	head := w.AwaitHead(ctx, above)
	if head.Revision > above && above >= 0 {
		l.heads.Add(1)
	}
	return head, nil
}

func (l link) ConfigurationPart(_ context.Context, peer ident.VM, digest manifest.Digest) ([]byte, error) {
	w, err := l.watcher(peer)
	if err != nil {
		return nil, err
	}
	l.parts.Add(1)
	return w.Part(digest)
}

// silentStore is a store whose watches deliver nothing while silent is set. While
// compactions is positive, each new watch decrements it and starts at a revision
// that has just been compacted.
type silentStore struct {
	store.Store
	silent      *atomic.Bool
	compactions *atomic.Int64
	compact     func()
}

type silentWatch struct {
	store.Watch
	silent *atomic.Bool
}

func (s silentStore) Watch(ctx context.Context, prefix string, from store.Revision) (store.Watch, error) {
	if s.compactions.Add(-1) >= 0 {
		_, err := s.Put(ctx, "other", nil, store.Always, store.NoLease)
		if err != nil {
			return nil, err
		}
		s.compact()
	}
	w, err := s.Store.Watch(ctx, prefix, from)
	return silentWatch{w, s.silent}, err
}

func (w silentWatch) Next(ctx context.Context) (store.Batch, error) {
	batch, err := w.Watch.Next(ctx)
	if w.silent.Load() {
		<-ctx.Done()
		return store.Batch{}, ctx.Err()
	}
	return batch, err
}

// fleet is a set of watchers that share one service.
type fleet struct {
	t         testing.TB
	service   *keyvalue.Service
	network   *network
	publisher *publication.Publisher
	clients   map[ident.VM]*keyvalue.Client
	silent    map[ident.VM]*atomic.Bool
	answers   answers.Answers
	// compactions is the number of watches yet to start at a compacted revision.
	compactions atomic.Int64
}

// newFleet starts a fleet of watchers on a service with a configuration of 200
// customers, each with one budget.
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
	w := Start(Settings{VM: id, Store: silentStore{client, silent, &f.compactions, f.service.Compact}, Peers: link{f.network, id}, LiveVMs: f.network.live})
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

// countLagging returns the number of VMs with a revision lower than r.
func (f *fleet) countLagging(r configuration.Revision) (lagging int) {
	for _, w := range f.network.watchers {
		if w.Revision() < r {
			lagging++
		}
	}
	return lagging
}

// hops returns the maximum number of hops from the service to a VM.
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
