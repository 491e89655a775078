// Package router is the process of one entry VM, composed of its parts.
//
// Start registers the VM, waits for a configuration, and serves callers and
// peers. Close drains: the VM is no longer ready, requests in progress are
// finished, bills are written, shares are handed back and the lease is dropped,
// in this order.
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
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/configwatch"
	"example.org/lagoonfork/internal/directory"
	"example.org/lagoonfork/internal/dispatch"
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

// Settings of a Router. VMs may be nil, and an empty Incarnation stands for a
// new one; the other fields without a default are required.
type Settings struct {
	VM            ident.VM
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	Region        ident.Region
	CallerAddress netip.AddrPort // port 0 takes any free one
	PeerAddress   netip.AddrPort
	Secret        string
	Store         store.Store
	VMs           VMs
	Limits        Limits
	Timing        Timing
	Clock         func() time.Time
	Log           hclog.Logger
}

// VMs reads the platform's list.
type VMs interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// Limits bound what one caller may ask of the process.
type Limits struct {
	MaxBody        int64 // in bytes
	MaxHeader      int   // in bytes
	MaxStreams     int   // requests in progress
	MaxConnections int   // of callers
	ReadTimeout    time.Duration
	WriteTimeout   time.Duration // for each part of a response
	IdleTimeout    time.Duration
	StoreTimeout   time.Duration
	PeerTimeout    time.Duration
}

// Timing holds the intervals of the background work. Zero values stand for
// defaults.
type Timing struct {
	LeaseTTL   time.Duration
	Survey     time.Duration
	Probe      time.Duration
	Reclaim    time.Duration
	Maintain   time.Duration
	Quarantine time.Duration
	Orders     time.Duration
	// ReclaimGrace is how long other routers have to push the bills that they
	// hold for a router which is gone.
	ReclaimGrace time.Duration
	// DrainDelay is how long a stopping router still takes new requests, until
	// the platform's balancer has seen that it is not ready.
	DrainDelay time.Duration
}

// Router is a running process. Its methods are safe for concurrent use.
type Router struct {
	settings    Settings
	incarnation ident.Incarnation
	tomb        tomb.Tomb

	callers *http.Server
	peers   *http.Server
	// Addresses in use, after port 0 was resolved.
	callerAddress netip.AddrPort
	peerAddress   netip.AddrPort
	callerHandler handlerSlot
	peerHandler   handlerSlot

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

	lifetime atomic.Int64 // of shares, in nanoseconds
	serving  atomic.Bool
	draining atomic.Bool
}

// Start runs a router and waits until it serves callers, or until ctx ends.
func Start(ctx context.Context, s Settings) (r *Router, err error) {
	defer func() { err = merry.Prependf(err, "starting the router of VM %s", s.VM) }()
	r = &Router{
		settings:    s.withDefaults(),
		incarnation: cmp.Or(s.Incarnation, newIncarnation(s.VM)),
		journal:     journal.New(journalSize),
		metrics:     metrics.New(),
		notices:     make(chan wallet.Notice, maxNotices),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	if err := r.join(); err != nil {
		return nil, errors.Join(err, r.callers.Close(), r.peers.Close())
	}
	if err := r.watcher.AwaitFirst(ctx); err != nil {
		return nil, errors.Join(err, r.abort())
	}
	r.compose()
	r.serve()
	event.RouterReady.Info(s.Log, "vm", s.VM, "incarnation", r.incarnation,
		"callers", r.callerAddress, "peers", r.peerAddress, "revision", r.watcher.Revision())
	return r, nil
}

// newIncarnation returns an identifier that no other run of a router has.
func newIncarnation(vm ident.VM) ident.Incarnation {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return ident.Incarnation(string(vm) + "-" + hex.EncodeToString(b[:]))
}

// Close drains the router. When ctx ends, what is still in progress is cut
// off.
func (r *Router) Close(ctx context.Context) (err error) {
	defer func() { err = merry.Prependf(err, "stopping the router of VM %s", r.settings.VM) }()
	r.draining.Store(true)
	event.RouterDraining.Info(r.settings.Log, "vm", r.settings.VM)
	r.delay(ctx)
	err = errors.Join(
		r.callers.Shutdown(ctx),
		r.dispatcher.Close(ctx),
		r.reclaimer.Close(),
		r.surveyor.Close(),
		r.issuer.Close(),
		r.prober.Close(),
		r.quarantine.Close(),
		r.wallet.Close(ctx),
		r.ledger.Close(ctx),
		r.engines.Close(),
		r.plain.Close(),
		r.leave(),
	)
	event.RouterStopped.Info(r.settings.Log, "vm", r.settings.VM, "error", err)
	return err
}

// Kill closes all connections at once and finishes nothing, as if the process
// had died. It is for tests; Close still has to be called to free resources.
func (r *Router) Kill() error {
	r.draining.Store(true)
	return errors.Join(r.callers.Close(), r.peers.Close(), r.client.Close())
}

// abort ends what runs before the router has a configuration.
func (r *Router) abort() error {
	return r.leave()
}

// leave ends the connections to peers and the key-value service.
func (r *Router) leave() error {
	r.tomb.Kill(nil)
	return errors.Join(
		r.callers.Close(),
		r.peers.Close(),
		r.watcher.Close(),
		r.members.Close(),
		r.registration.Close(),
		r.client.Close(),
		r.tomb.Wait(),
	)
}

// delay waits until the balancer has had time to see that the router is not
// ready.
func (r *Router) delay(ctx context.Context) {
	timer := time.NewTimer(r.settings.Timing.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// listen opens the sockets, so that the addresses are known.
func (r *Router) listen() error {
	callers, err := net.Listen("tcp", r.settings.CallerAddress.String())
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", r.settings.PeerAddress.String())
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	r.callerAddress = callers.Addr().(*net.TCPAddr).AddrPort()
	r.peerAddress = peers.Addr().(*net.TCPAddr).AddrPort()
	r.callers = r.server(&r.callerHandler)
	r.peers = r.server(&r.peerHandler)
	r.run(r.callers, newLimitedListener(callers, r.settings.Limits.MaxConnections))
	r.run(r.peers, peers)
	return nil
}

func (r *Router) server(h http.Handler) *http.Server {
	limits := r.settings.Limits
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: limits.ReadTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeader,
		ErrorLog:          r.settings.Log.StandardLogger(nil),
	}
}

func (r *Router) run(s *http.Server, l net.Listener) {
	r.tomb.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}
