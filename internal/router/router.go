// Package router assembles the router process of one entry VM from its components.
//
// Start registers the VM, waits for a configuration, and serves callers and peers.
// Close drains the router: it stops being ready, finishes the requests in progress,
// writes the bills, returns the shares and revokes the lease, in this order.
//
// # Usage
//
//	r, err := router.Start(ctx, settings)
//	if err != nil {
//		return err
//	}
//	defer r.Close(ctx)
package router

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/configwatch"
	"example.org/lagoonfork/internal/directory"
	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/endpoint"
	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/issuer"
	"example.org/lagoonfork/internal/journal"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/membership/follower"
	"example.org/lagoonfork/internal/membership/registration"
	"example.org/lagoonfork/internal/metrics"
	"example.org/lagoonfork/internal/peerclient"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/internal/probe"
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/internal/reclaim"
	"example.org/lagoonfork/internal/survey"
	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Settings configures a Router. VMs may be nil, and a new incarnation is generated
// if Incarnation is empty. The other fields without a default are required.
type Settings struct {
	VM            ident.VM
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	Region        ident.Region
	CallerAddress netip.AddrPort // port 0 selects a free port
	PeerAddress   netip.AddrPort
	Secret        string
	Store         store.Store
	VMs           VMLister
	Limits        Limits
	Timing        Timing
	Clock         func() time.Time
	Log           hclog.Logger
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// Limits bounds the resources that callers can use and the time that calls may take.
type Limits struct {
	MaxBody        int64 // in bytes
	MaxHeader      int   // in bytes
	MaxStreams     int   // requests in progress
	MaxConnections int   // connections from callers
	// VM holds the resources of the VM, which limit what callers and other routers may make the
	// router hold. Zero means that a resource limits nothing.
	VM           callerlimit.VM
	ReadTimeout  time.Duration
	WriteTimeout time.Duration // for each part of a response
	IdleTimeout  time.Duration
	StoreTimeout time.Duration
	PeerTimeout  time.Duration
}

// Timing holds the intervals of the background tasks and related times. Zero values mean
// the defaults; the default of DrainDelay is no delay.
type Timing struct {
	LeaseTTL   time.Duration // time to live of the registration's lease
	Survey     time.Duration // between two polls of the upstreams
	Probe      time.Duration // between two probe rounds
	Reclaim    time.Duration // between two scans for shares of routers that are gone
	Maintain   time.Duration // between two maintenance runs of the wallet
	Quarantine time.Duration // between two reads of the quarantine list
	Orders     time.Duration // between two rounds of orders to engines
	// ReclaimGrace is how long other routers have to write the bills that they hold
	// for a router that is gone.
	ReclaimGrace time.Duration
	// DrainDelay is how long a stopping router still accepts new requests, until the
	// platform's load balancer has noticed that it is not ready.
	DrainDelay time.Duration
}

// Router is a running router process. Its methods are safe for concurrent use.
type Router struct {
	settings    Settings
	incarnation ident.Incarnation
	tomb        tomb.Tomb

	callers       *endpoint.Endpoint
	peers         *endpoint.Endpoint
	callerLimits  *callerlimit.Registry
	peerLimits    *callerlimit.Registry
	callerHandler deferredHandler
	peerHandler   deferredHandler

	registration *registration.Registration
	members      *follower.Follower
	client       *peerclient.Client
	watcher      *configwatch.Watcher
	ledger       *committer.Committer
	wallet       *wallet.Wallet
	engines      *engineclient.Client
	plain        *plainclient.Client
	directory    *directory.Directory
	quarantine   *keeper.Keeper
	dispatcher   *dispatch.Dispatcher
	surveyor     *survey.Surveyor
	prober       *probe.Prober
	reclaimer    *reclaim.Reclaimer
	issuer       *issuer.Issuer
	journal      *journal.Journal
	metrics      *metrics.Metrics
	notices      chan wallet.Notice

	shareLifetimeNanos atomic.Int64
	serving            atomic.Bool
	draining           atomic.Bool
}

// Start starts a router and waits until it serves callers or ctx ends.
func Start(ctx context.Context, s Settings) (r *Router, err error) {
	defer func() { err = merry.Prependf(err, "starting the router of VM %s", s.VM) }()
	r = &Router{
		settings:    s.withDefaults(),
		incarnation: cmp.Or(s.Incarnation, ident.NewIncarnation(s.VM)),
		journal:     journal.New(journalSize),
		metrics:     metrics.New(),
		notices:     make(chan wallet.Notice, maxNotices),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	if err := r.register(); err != nil {
		return nil, errors.Join(err, r.callers.Kill(), r.peers.Kill())
	}
	if err := r.watcher.AwaitFirst(ctx); err != nil {
		return nil, errors.Join(err, r.abort())
	}
	r.build()
	r.startServing()
	event.RouterReady.Info(s.Log, "vm", s.VM, "incarnation", r.incarnation,
		"callers", r.callers.Address(), "peers", r.peers.Address(), "revision", r.watcher.Revision())
	return r, nil
}

// Close drains the router. Requests still in progress are cut off a little before ctx ends, so that
// time is left to return the shares. The error joins those of all components.
func (r *Router) Close(ctx context.Context) (err error) {
	defer func() { err = merry.Prependf(err, "stopping the router of VM %s", r.settings.VM) }()
	r.draining.Store(true)
	event.RouterDraining.Info(r.settings.Log, "vm", r.settings.VM)
	drain, done := withoutReserve(ctx, r.settings.Clock())
	defer done()
	r.awaitDrainDelay(drain)
	err = errors.Join(
		r.callers.Close(drain),
		r.dispatcher.Close(drain),
		r.reclaimer.Close(),
		r.surveyor.Close(),
		r.issuer.Close(),
		r.prober.Close(),
		r.quarantine.Close(),
		r.wallet.Close(ctx),
		r.ledger.Close(ctx),
		r.engines.Close(),
		r.plain.Close(),
		r.watcher.Close(), // ends the polls of other routers
		r.peers.Close(drain),
		r.disconnect(),
	)
	event.RouterStopped.Info(r.settings.Log, "vm", r.settings.VM, "error", err)
	return err
}

// withoutReserve returns a context that ends before ctx.
func withoutReserve(ctx context.Context, now time.Time) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, end.Add(-min(closeReserve, end.Sub(now)/4)))
}

// Kill closes all connections at once without finishing anything, as if the process
// had died. It is for tests; Close still has to be called to free resources.
func (r *Router) Kill() error {
	r.draining.Store(true)
	return errors.Join(r.callers.Kill(), r.peers.Kill(), r.client.Close())
}

// abort releases what was started before the router had a configuration.
func (r *Router) abort() error {
	return r.disconnect()
}

// disconnect closes the connections to callers, peers and the key-value service.
func (r *Router) disconnect() error {
	r.tomb.Kill(nil)
	return errors.Join(
		r.callers.Kill(),
		r.peers.Kill(),
		r.watcher.Close(),
		r.members.Close(),
		r.registration.Close(),
		r.client.Close(),
		r.tomb.Wait(),
	)
}

// awaitDrainDelay gives the load balancer time to notice that the router is not
// ready.
func (r *Router) awaitDrainDelay(ctx context.Context) {
	timer := time.NewTimer(r.settings.Timing.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
