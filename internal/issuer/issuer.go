// Package issuer sends orders to engines to load and unload models according to
// demand.
//
// The VM that owns a service by rendezvous hashing takes over the order state of
// the service (package orders). In each round it reads the state and the load
// reports, plans the orders (package placement), writes the state with the new
// orders by compare-and-swap, and only then sends them. A second router that
// wrongly considers itself the owner is harmless: only one of the two can write
// the state, and the other sends nothing.
//
// A service gets no orders unless one of its models has configured replicas and
// either an engine reports loaded models or orders were given before.
//
// The demand for a model is the number of tokens in flight at the engines that
// have it loaded. It is taken from the reports of the engines, so that it includes
// the requests of all routers. The tokens of an engine are divided equally among
// its loaded models.
//
// An unload is announced in the state for some time before it is ordered. All
// routers read the state and do not route to a model on an engine that is about
// to unload it (see Issuer.Load), so that no request reaches an engine that has
// just unloaded its model.
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
	// maxConcurrentReports is the maximum number of load reports read
	// concurrently.
	maxConcurrentReports = 32
	// reportTimeout is the timeout for reading one load report.
	reportTimeout = time.Second
	// orderTimeout is the timeout of the call that sends one order. Loading a
	// model takes minutes.
	orderTimeout = 15 * time.Minute
	// closeTimeout is how long Close waits for calls with orders before it
	// cancels them.
	closeTimeout = 5 * time.Second
	// maxBackoffRounds is the maximum number of rounds from one attempt to the
	// next while the key-value service fails.
	maxBackoffRounds = 16
	// displacedRounds is the number of rounds that a router skips after another
	// router has taken over the service, until the membership views of the
	// routers have converged.
	displacedRounds = 8
	// effectTimeout is the time after the end of a call within which a report
	// should show the effect of the order.
	effectTimeout = time.Minute
)

// Settings configures an Issuer. Leaving may be nil, and the zero Policy selects
// the defaults; all other fields are required.
type Settings struct {
	Services func() []configuration.Service
	Engines  Engines
	Store    store.Store
	Members  Members
	Self     ident.Incarnation
	// MayOrder reports whether the router's lease was confirmed recently enough to
	// send orders.
	MayOrder func(now time.Time) bool
	// Leaving returns the upstreams of a service that are known to be leaving
	// from sources other than their load reports.
	Leaving  func(ident.Service) map[ident.Upstream]bool
	Policy   placement.Policy
	Interval time.Duration // time between the starts of two rounds
	// UnloadDelay is how long an unload is announced before it is ordered. It must
	// cover two rounds and two load surveys, so that all routers have learned of
	// the announcement.
	UnloadDelay time.Duration
	Timeout     time.Duration // of one call to the store
	Clock       func() time.Time
	Log         hclog.Logger
}

// Engines reads load reports from engines and sends orders to them.
type Engines interface {
	Load(ctx context.Context, up configuration.Upstream) (engine.Load, error)
	Order(ctx context.Context, up configuration.Upstream, order engine.Order) error
}

// Members returns the member that owns a page. Owner returns false if there is
// none.
type Members interface {
	Owner(page int) (membership.Member, bool)
}

// Issuer plans and sends orders for the services that this router owns, once per
// interval.
type Issuer struct {
	settings    Settings
	tomb        tomb.Tomb
	calls       sync.WaitGroup // calls with orders in progress
	sendContext context.Context
	cancelSends context.CancelFunc // cancels sendContext

	mu          sync.Mutex // held during a round
	controllers map[ident.Service]*serviceController

	viewMu sync.Mutex
	views  map[ident.Upstream]view
}

// New returns an issuer and starts its rounds. Close stops them.
func New(s Settings) *Issuer {
	i := newIssuer(s)
	i.tomb.Go(i.loop)
	return i
}

func newIssuer(s Settings) *Issuer {
	i := &Issuer{settings: s, controllers: make(map[ident.Service]*serviceController), views: make(map[ident.Upstream]view)}
	i.sendContext, i.cancelSends = context.WithCancel(context.Background())
	return i
}

// Close stops the rounds, waits for calls with orders that are in progress,
// cancelling them after closeTimeout, and records their outcomes.
func (i *Issuer) Close() error {
	i.tomb.Kill(nil)
	err := i.tomb.Wait()
	timer := time.AfterFunc(closeTimeout, i.cancelSends)
	i.calls.Wait()
	timer.Stop()
	i.cancelSends()
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

// Round runs one round for each service: it plans and sends orders for the
// services that this router owns, and records the outcomes of earlier orders. It
// does not wait until the new orders are executed.
func (i *Issuer) Round(ctx context.Context) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range i.settings.Services() {
		if s.Kind != configuration.KindEngine || !hasReplicas(s) {
			continue
		}
		c := i.controller(s)
		c.round(ctx, i.owns(s.ID))
	}
}

// flush records the outcomes of the last orders.
func (i *Issuer) flush() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.controllers {
		for range 2 { // the first round resolves a write with unknown outcome
			c.skipRounds = 0
			c.round(context.Background(), false)
		}
	}
}

// Clear removes the outstanding orders of an upstream. An operator requests it
// after making sure that no former holder can still send them. It may be called on
// any router.
func (i *Issuer) Clear(ctx context.Context, service ident.Service, up ident.Upstream) (err error) {
	defer func() { err = merry.Prependf(err, "clearing orders of %s", up) }()
	ctx, cancel := context.WithTimeout(ctx, i.settings.Timeout)
	defer cancel()
	entry, err := i.settings.Store.Get(ctx, orders.Key(service))
	if err != nil {
		return err
	}
	state, err := orders.Decode(entry.Value)
	if err != nil {
		return err
	}
	if !state.Clear(up, i.settings.Clock()) {
		return orders.ErrNoRecord
	}
	data, err := state.Encode()
	if err != nil {
		return err
	}
	_, err = i.settings.Store.Put(ctx, entry.Key, data, store.If(entry.Revision), store.NoLease)
	event.OrdersCleared.Info(i.settings.Log, "service", service, "upstream", up, "error", err)
	return err
}

func (i *Issuer) controller(s configuration.Service) *serviceController {
	c := i.controllers[s.ID]
	if c == nil {
		c = &serviceController{issuer: i, planner: placement.New(i.settings.Policy)}
		i.controllers[s.ID] = c
	}
	c.service = s
	return c
}

func (i *Issuer) owns(s ident.Service) bool {
	page := int(xxhash.Sum64String(string(s)) & math.MaxInt32)
	owner, ok := i.settings.Members.Owner(page)
	return ok && owner.Incarnation == i.settings.Self && i.settings.MayOrder(i.settings.Clock())
}

func hasReplicas(s configuration.Service) bool {
	for _, m := range s.Models {
		if m.Replicas > 0 {
			return true
		}
	}
	return false
}

// notExecuted reports whether an order whose call failed with err was certainly
// not executed.
func notExecuted(err error) bool {
	return !engineclient.MayHaveRun(err) || errors.Is(err, engineclient.ErrStaleOrder)
}
