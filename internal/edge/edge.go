// Package edge assembles a router that forwards opaque requests on a platform that
// keeps the configuration and the records of upstreams in its key-value service.
//
// A Translator interprets the platform's formats. The router reads the service
// through mirrors, draws budgets from the ledger, and keeps no persistent state on
// its VM.
//
// # Usage
//
//	r, err := edge.Start(edge.Settings{VM: vm, Store: client, Source: client, Translator: t, ...})
//	...
//	<-stop
//	err = r.Close(ctx)
package edge

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/affinity"
	"example.org/lagoonfork/internal/allowance"
	"example.org/lagoonfork/internal/broadcast"
	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/congestion"
	"example.org/lagoonfork/internal/drain"
	"example.org/lagoonfork/internal/duty"
	"example.org/lagoonfork/internal/endpoint"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/exchange"
	"example.org/lagoonfork/internal/figures"
	"example.org/lagoonfork/internal/forward"
	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/internal/intake"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/ledger/recovery"
	"example.org/lagoonfork/internal/lending"
	"example.org/lagoonfork/internal/loadexchange"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/mirror"
	"example.org/lagoonfork/internal/outage"
	"example.org/lagoonfork/internal/pageowner"
	"example.org/lagoonfork/internal/presence"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/internal/quarantine/writer"
	"example.org/lagoonfork/internal/queue"
	"example.org/lagoonfork/internal/repeats"
	"example.org/lagoonfork/internal/roster"
	"example.org/lagoonfork/internal/route"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// Translator interprets the formats of the platform.
type Translator interface {
	forward.HeaderTranslator
	intake.Translator
	// Prefixes returns the prefixes of the keys that the operator writes, among them the
	// configuration, and of the records of upstreams.
	Prefixes() (configuration, upstreams string)
	// Table returns the routes that the entries hold, or nil if they hold none.
	Table(entries []store.Entry) (*route.Table, error)
	// ClosedDomains returns the failure domains that the entries close.
	ClosedDomains(entries []store.Entry) []ident.FailureDomain
	// Upstreams returns the upstreams that the entries describe, and by key the
	// errors of the entries that cannot be read.
	Upstreams(entries []store.Entry) ([]roster.Upstream, map[string]error)
	// SameUpstream reports whether two records of an upstream are equivalent.
	SameUpstream(a, b []byte) bool
	// OlderUpstream and OlderConfiguration report whether the second of two values of an
	// entry is older by its content. A service that was restored from a copy may hold such
	// a value at a later revision.
	OlderUpstream(held, read []byte) bool
	OlderConfiguration(held, read []byte) bool
}

// Settings configures a Router. All fields but Resources, Seeds, StoreCalls
// and Boot are required.
type Settings struct {
	VM            ident.VM
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Capacity is the Capacity of the router's membership.Record.
	Capacity int
	// LinkBytes is the capacity of the VM's link in each direction, in bytes per
	// second.
	LinkBytes float64
	// Resources are those of the VM. They limit what callers may make the router hold.
	Resources callerlimit.VM
	// The router listens on CallerAddress, ReadyAddress and PeerAddress.
	CallerAddress, ReadyAddress, PeerAddress netip.AddrPort
	ReadyPath                                string
	// Seeds are the endpoints of other routers to use until records of routers are
	// known.
	Seeds  []netip.AddrPort
	Store  store.Store
	Source mirror.Source
	// StoreCalls counts the calls of the key-value service. It may be nil.
	StoreCalls  expvar.Var
	Translator  Translator
	RetryLimits repeats.Limits
	// ColdBound bounds the requests to an upstream that warms up. The zero value is a default.
	ColdBound affinity.ColdBound
	// Boot identifies the boot of the VM. It is nil if the boot is not known; in
	// that case the shares of a router that dies are lost.
	Boot *wallet.Boot
	// DrainDelay is how long a stopping router still accepts new requests.
	// DrainTimeout bounds the drain, including the delay.
	DrainDelay, DrainTimeout time.Duration
	Clock                    func() time.Time
	Log                      hclog.Logger
}

// Router is a running router.
type Router struct {
	settings Settings
	tomb     tomb.Tomb
	table    atomic.Pointer[route.Table]
	stopping atomic.Bool
	drain    atomic.Pointer[drain.Plan] // nil before the stop

	metrics *figures.Metrics
	outage  outage.Outage // of the key-value service

	dialPeer transport.DialFunc // of the mirrors; nil for the default

	congestion  *congestion.Meter                // of the VM's link
	linkWasFull atomic.Bool                      // when it was asked last
	limits      map[string]*callerlimit.Registry // of the endpoints, by name

	configurations *mirror.Mirror
	upstreams      *mirror.Mirror
	routerRecords  *mirror.Mirror
	quarantineList *mirror.Mirror // requests that crash upstreams
	members        *members
	presence       *presence.Presence
	ledger         *committer.Committer
	pageOwner      *pageowner.Client
	recovery       *recovery.Recovery
	lending        *lending.Client
	wallet         *wallet.Wallet
	pool           *exchange.Pool
	duties         *duty.Caller
	quarantine     *keeper.Keeper
	crashNews      *broadcast.Sender[quarantine.Change, quarantine.CrashID]
	limitNews      *broadcast.Sender[allowance.News, string]
	loadExchange   *loadexchange.Exchange
	roster         *roster.Roster
	queue          *queue.Queue // before the upstreams
	intake         *intake.Intake
	callers        *endpoint.Endpoint // nil if there is none
	endpoints      []*endpoint.Endpoint
}

// Start starts a router. It listens at once, and is ready once it holds a
// configuration and knows an upstream.
func Start(s Settings) (r *Router, err error) {
	defer func() { err = merry.Prepend(err, "starting the edge router") }()
	r = &Router{settings: s, roster: roster.New(s.FailureDomain, s.Log), metrics: figures.New()}
	r.roster.SetColdBound(s.ColdBound)
	r.build()
	r.registerMetrics()
	r.tomb.Go(r.watchMirrors)
	if err := r.listen(); err != nil {
		return nil, errors.Join(err, r.Close(context.Background()))
	}
	r.tomb.Go(r.freePredecessorShares)
	r.tomb.Go(r.remindOfLimits)
	r.tomb.Go(r.maintainQueue)
	r.tomb.Go(r.logMetricsPeriodically)
	event.EdgeStarted.Info(s.Log, "vm", s.VM, "incarnation", s.Incarnation, "failureDomain", s.FailureDomain)
	return r, nil
}

func (r *Router) build() {
	s := r.settings
	r.congestion = congestion.New(congestion.Settings{BytesPerSecond: s.LinkBytes, Clock: s.Clock})
	r.limits = map[string]*callerlimit.Registry{
		"callers": callerlimit.New(s.Resources.Callers()), "ready": callerlimit.New(s.Resources.Ready()), "peers": callerlimit.New(s.Resources.Peers()),
	}
	r.members = newMembers(s.VM, s.FailureDomain, s.Clock, s.Log)
	r.duties = duty.New(duty.Settings{Self: s.VM, Members: r.members.all, Timeout: dutyTimeout, Clock: s.Clock})
	r.pageOwner = pageowner.New(pageowner.Settings{Self: s.VM, Members: r.members.all, Clock: s.Clock})
	r.recovery = recovery.New(recovery.Settings{
		VM: s.VM, Incarnation: s.Incarnation, Members: r.members.recent,
		Versions: func() recovery.Versions { return r.ledger },
		Shares:   func() recovery.Shares { return r.wallet },
		Timeout:  recoveryTimeout, Clock: s.Clock, Log: s.Log,
	})
	r.ledger = committer.New(committer.Settings{
		Store:     s.Store,
		Collector: r.recovery,
		Pages:     ledgerPages,
		Retention: time.Hour,
		Forwarder: r.pageOwner,
		HeldPart:  func() float64 { return sharePolicy(r.RouterCount()).MaxHeldFraction },
		Clock:     s.Clock,
		Log:       s.Log,
		Timeout:   storeTimeout,
		Linger:    ledgerLinger,
		Backoff:   ledgerBackoff,

		BackoffLimit: ledgerBackoffLimit,
		MaxCacheAge:  ledgerMaxCacheAge,
	})
	r.presence = presence.Start(presence.Settings{
		Store: s.Store,
		Record: membership.Record{
			VM: s.VM, Incarnation: s.Incarnation, Address: s.PeerAddress,
			FailureDomain: s.FailureDomain, Region: s.Region, Capacity: s.Capacity, Started: s.Clock(),
		},
		TTL:      presenceTTL,
		Interval: presenceInterval,
		Timeout:  storeTimeout,
		Log:      s.Log,
	})
	r.buildMirrors()
	r.lending = lending.New(lending.Settings{
		Self: s.VM, Incarnation: s.Incarnation, FailureDomain: s.FailureDomain, Members: r.members.all,
		Timeout: loanTimeout, LoanFailoverDelay: loanFailoverDelay, SpareFailoverDelay: spareFailoverDelay,
		OnLateLoan: func(now time.Time, b ident.Budget, n tokens.Count) { r.wallet.AcceptLateLoan(now, b, n) },
		Clock:      s.Clock,
	})
	r.wallet = wallet.New(wallet.Settings{
		Holder:            s.Incarnation,
		Ledger:            r.ledger,
		Peers:             noPeers{},
		Lenders:           r.lending,
		Shares:            func() share.Policy { return sharePolicy(r.RouterCount()) },
		Live:              r.members.failureDomains,
		Replaced:          r.members.replaced,
		LedgerUnreachable: r.upstreams.Unavailable,
		Boot:              s.Boot,
		Clock:             s.Clock,
		Log:               s.Log,
		Interval:          walletInterval,
	})
	r.crashNews = broadcast.New(broadcast.Settings[quarantine.Change, quarantine.CrashID]{
		Path:  crashNewsPath,
		Peers: r.peerAddresses,
		Receive: func(now time.Time, changes []quarantine.Change) []quarantine.CrashID {
			return r.quarantine.Receive(now, changes)
		},
		OnReplies: func(now time.Time, excused []quarantine.CrashID) { r.quarantine.Excuse(now, excused) },
		Timeout:   broadcastTimeout,
		Clock:     s.Clock,
		Log:       s.Log,
	})
	r.limitNews = broadcast.New(broadcast.Settings[allowance.News, string]{
		Path:    limitNewsPath,
		Peers:   r.peerAddresses,
		Receive: r.learnLimits,
		Timeout: broadcastTimeout,
		Clock:   s.Clock,
		Log:     s.Log,
	})
	r.loadExchange = loadexchange.New(loadexchange.Settings{
		VM: s.VM, Incarnation: s.Incarnation, FailureDomain: s.FailureDomain, LinkBytes: s.LinkBytes,
		Members: r.members.all,
		Samples: r.loadSamples,
		Clock:   s.Clock,
		Log:     s.Log,
	})
	r.quarantine = keeper.New(keeper.Settings{
		Store:      s.Store,
		Mirror:     r.quarantineList,
		Writer:     writer.New(r.duties),
		Peers:      r.crashNews,
		TrialDelay: rand.N(quarantineTrialSpread),
		Linger:     quarantineLinger,
		Clock:      s.Clock,
		Log:        s.Log,
		Interval:   quarantineInterval,
	})
	r.pool = exchange.NewPool(exchange.Settings{ConnectTimeout: connectTimeout, IdleLimit: upstreamIdleTimeout, OnReceive: r.congestion.Add, Clock: s.Clock})
	r.queue = queue.New(queue.Settings{
		Occupancy: r.roster.Occupancy, View: r.loadView, RouterCount: r.RouterCount, Configured: r.isConfigured, RecordWait: r.metrics.RecordWait, Clock: s.Clock, Log: s.Log,
	})
	r.intake = intake.New(intake.Settings{
		Translator: s.Translator,
		Forwarder: forward.New(forward.Settings{
			Pool:             r.pool,
			Roster:           r.roster,
			Wallet:           r.wallet,
			HeaderTranslator: s.Translator,
			ResponseMemory:   s.Resources.Responses(),
			Unread:           guard.Unread,
			Discard:          guard.Discard,

			Quarantine:  r.quarantine,
			RetryLimits: s.RetryLimits,
			RouterCount: r.RouterCount,
			Fleet:       r.members.fleet,
			View:        r.loadView,
			Queue:       r.queue,
			OnLimit:     func(n allowance.News) { r.limitNews.Send([]allowance.News{n}) },
			Metrics:     r.metrics,
			Clock:       s.Clock,
			Log:         s.Log,
		}),
		Table:    r.table.Load,
		Stopping: r.shedsLoad,
		Accepts:  r.accepts,
		Clock:    s.Clock,
		Log:      s.Log,
	})
}

// RouterCount returns the number of known routers, including this one, or 0 while no record
// is known.
func (r *Router) RouterCount() int {
	return r.routerRecords.Len()
}
