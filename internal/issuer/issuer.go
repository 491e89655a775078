// Package issuer gives orders to engines, so that the models that they keep
// loaded follow the demand.
//
// The VM that owns a service by rendezvous hashing takes over the service's
// book of orders (package orders). In each round it reads the book and the load
// reports, plans (package placement), swaps the book with the new orders in it,
// and only then sends them. A second router that believes itself the owner does
// no harm: only one of them can swap the book, and the other sends nothing.
//
// A service is left alone unless a model of it has replicas and an engine
// reports loaded models, or orders were given before.
//
// The demand for a model is the tokens in flight at the engines that have it
// loaded, from their own reports, so that the work of all routers counts. An
// engine's tokens count in equal parts for the models that it has loaded.
//
// An unload is announced in the book for a while before it is ordered. All
// routers read the book, and Staying tells them which models of a report to
// route to, so that no request meets an engine that has just unloaded its model.
//
// # Usage
//
//	i := issuer.New(issuer.Settings{Services: services, Engines: client, Store: s, ...})
//	defer i.Close()
package issuer

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/orders"
	"example.org/lagoonfork/internal/placement"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

const (
	// concurrency bounds the engines that are asked at the same time.
	concurrency = 32
	// reportTimeout bounds the reading of one load report.
	reportTimeout = time.Second
	// orderTimeout bounds the call with one order. A load takes minutes.
	orderTimeout = 15 * time.Minute
	// closeGrace is how long Close waits for orders that are being carried out.
	closeGrace = 5 * time.Second
	// maxBackoff is the greatest number of rounds between two attempts while
	// the key-value service fails.
	maxBackoff = 16
	// displacedRounds is the number of rounds that a displaced router leaves
	// the service alone, while the views of the members agree again.
	displacedRounds = 8
	// staleAfter is the time after the end of a call in which the effect of an
	// order is expected in a report.
	staleAfter = time.Minute
)

// Settings of an Issuer. Leaving may be nil; the zero Policy stands for
// defaults; all other fields are required.
type Settings struct {
	Services func() []configuration.Service
	Engines  Engines
	Store    store.Store
	Members  Members
	Self     ident.Incarnation
	// MayAct reports whether the router's lease was confirmed recently.
	MayAct func(now time.Time) bool
	// Leaving returns the upstreams of a service that are known to leave, from
	// other sources than their reports.
	Leaving  func(ident.Service) map[ident.Upstream]bool
	Policy   placement.Policy
	Interval time.Duration // between two rounds
	// Drain is how long an unload is announced in the book before it is
	// ordered. It covers two rounds and two surveys, so that the routers have
	// learned of it.
	Drain   time.Duration
	Timeout time.Duration // of one call of the store
	Clock   func() time.Time
	Log     hclog.Logger
}

// Engines reads reports and gives orders.
type Engines interface {
	Load(ctx context.Context, up configuration.Upstream) (engine.Load, error)
	Order(ctx context.Context, up configuration.Upstream, order engine.Order) error
}

// Members knows the owners of work.
type Members interface {
	Owner(page int) (membership.Member, bool)
}

// Issuer gives orders at an interval.
type Issuer struct {
	settings Settings
	tomb     tomb.Tomb
	calls    sync.WaitGroup // orders being sent
	sending  context.Context
	cut      context.CancelFunc // ends sending

	mu    sync.Mutex // held over a round
	desks map[ident.Service]*desk

	viewMu sync.Mutex
	views  map[ident.Upstream]view
}

// New returns an issuer and starts its work.
func New(s Settings) *Issuer {
	i := newIssuer(s)
	i.tomb.Go(i.loop)
	return i
}

func newIssuer(s Settings) *Issuer {
	i := &Issuer{settings: s, desks: make(map[ident.Service]*desk), views: make(map[ident.Upstream]view)}
	i.sending, i.cut = context.WithCancel(context.Background())
	return i
}

// Close ends the work, gives the orders being carried out a little time, and
// waits.
func (i *Issuer) Close() error {
	i.tomb.Kill(nil)
	err := i.tomb.Wait()
	timer := time.AfterFunc(closeGrace, i.cut)
	i.calls.Wait()
	timer.Stop()
	i.cut()
	i.flush()
	return err
}

func (i *Issuer) loop() error {
	ticker := time.NewTicker(i.settings.Interval)
	defer ticker.Stop()
	ctx := i.tomb.Context(context.Background())
	for {
		select {
		case <-ticker.C:
			i.Round(ctx)
		case <-i.tomb.Dying():
			return nil
		}
	}
}

// Round plans and sends the orders of the owned services once. It does not wait
// until they are carried out.
func (i *Issuer) Round(ctx context.Context) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range i.settings.Services() {
		if s.Kind != configuration.KindEngine || !hasReplicas(s) {
			continue
		}
		d := i.desk(s)
		d.round(ctx, i.owns(s.ID))
	}
}

// flush records what became of the last orders.
func (i *Issuer) flush() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, d := range i.desks {
		for range 2 { // a write of unknown outcome is settled first
			d.skip = 0
			d.round(context.Background(), false)
		}
	}
}

// Clear removes the orders outstanding at an upstream, on the word of an
// operator that no former holder can send them. It may be called on any router.
func (i *Issuer) Clear(ctx context.Context, service ident.Service, up ident.Upstream) (err error) {
	defer func() { err = merry.Prependf(err, "clearing the orders at %s", up) }()
	ctx, cancel := context.WithTimeout(ctx, i.settings.Timeout)
	defer cancel()
	entry, err := i.settings.Store.Get(ctx, orders.Key(service))
	if err != nil {
		return err
	}
	book, err := orders.Decode(entry.Value)
	if err != nil {
		return err
	}
	if !book.Clear(up, i.settings.Clock()) {
		return orders.ErrNoRecord
	}
	data, err := book.Encode()
	if err != nil {
		return err
	}
	_, err = i.settings.Store.Put(ctx, entry.Key, data, store.If(entry.Revision), store.NoLease)
	event.OrdersCleared.Info(i.settings.Log, "service", service, "upstream", up, "error", err)
	return err
}

func (i *Issuer) desk(s configuration.Service) *desk {
	d := i.desks[s.ID]
	if d == nil {
		d = &desk{issuer: i, planner: placement.New(i.settings.Policy)}
		i.desks[s.ID] = d
	}
	d.service = s
	return d
}

func (i *Issuer) owns(s ident.Service) bool {
	page := int(xxhash.Sum64String(string(s)) & math.MaxInt32)
	owner, ok := i.settings.Members.Owner(page)
	return ok && owner.Incarnation == i.settings.Self && i.settings.MayAct(i.settings.Clock())
}

func hasReplicas(s configuration.Service) bool {
	for _, m := range s.Models {
		if m.Replicas > 0 {
			return true
		}
	}
	return false
}

// certain reports whether an order that ended with err was not carried out.
func certain(err error) bool {
	return !engineclient.MayHaveRun(err) || errors.Is(err, engineclient.ErrStaleOrder)
}
