package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"example.org/lagoonfork/internal/callerapi"
	"example.org/lagoonfork/internal/configwatch"
	"example.org/lagoonfork/internal/directory"
	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/issuer"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/membership/follower"
	"example.org/lagoonfork/internal/membership/registration"
	"example.org/lagoonfork/internal/peerapi"
	"example.org/lagoonfork/internal/peerclient"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/internal/probe"
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/internal/reclaim"
	"example.org/lagoonfork/internal/routing"
	"example.org/lagoonfork/internal/survey"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// register registers the VM and begins to watch its peers and the configuration.
func (r *Router) register() (err error) {
	s := r.settings
	record := membership.Record{
		VM:            s.VM,
		Incarnation:   r.incarnation,
		Address:       r.peers.Address(),
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Started:       s.Clock(),
	}
	r.registration, err = registration.New(registration.Settings{
		Store:          s.Store,
		Record:         record,
		Clock:          s.Clock,
		Log:            s.Log,
		TTL:            s.Timing.LeaseTTL,
		Interval:       s.Timing.LeaseTTL / 4,
		Timeout:        s.Limits.StoreTimeout,
		Lifetime:       r.shareLifetime,
		NewIncarnation: r.invalidateShares,
	})
	if err != nil {
		return err
	}
	r.members, err = follower.New(follower.Settings{
		Store: s.Store,
		VMs:   s.VMs,
		View: membership.Settings{
			Self:          record,
			ProbeFailures: probeFailures,
			ProbeValidity: probeRounds * s.Timing.Probe,
			MaxGap:        s.Timing.LeaseTTL / 2,
		},
		Clock:          s.Clock,
		Log:            s.Log,
		Timeout:        s.Limits.StoreTimeout,
		ListInterval:   resyncInterval,
		VMListInterval: vmListInterval,
		Lifetime:       r.reclaimDelay,
	})
	if err != nil {
		return errors.Join(err, r.registration.Close())
	}
	r.client = peerclient.New(peerclient.Settings{
		Members: r.members,
		Self:    r.incarnation,
		Domain:  s.FailureDomain,
		Secret:  s.Secret,
		Timeout: s.Limits.PeerTimeout,
		Clock:   s.Clock,
	})
	r.watcher = configwatch.Start(configwatch.Settings{
		VM:      s.VM,
		Store:   s.Store,
		Peers:   r.client,
		LiveVMs: r.liveVMs,
		Log:     s.Log,
	})
	return nil
}

// invalidateShares is called when the router was disconnected for longer than the
// lifetime of shares, so that its shares may have been reclaimed. The router keeps
// its incarnation, since the ledger refuses bills on a share that is gone. It only
// drops the tokens that it may no longer hold, and returns the same incarnation.
func (r *Router) invalidateShares() ident.Incarnation {
	if r.serving.Load() {
		r.wallet.InvalidateAll()
	}
	return r.incarnation
}

// build creates the components that need a configuration.
func (r *Router) build() {
	s := r.settings
	policy := r.watcher.Current().Policy
	r.ledger = committer.New(committer.Settings{
		Store:     s.Store,
		Pages:     policy.LedgerPages,
		Retention: time.Duration(policy.ClaimRetentionSeconds) * time.Second,
		Clock:     s.Clock,
		Log:       s.Log,
		Timeout:   s.Limits.StoreTimeout,
		Forwarder: r.client,
	})
	r.wallet = wallet.New(wallet.Settings{
		Holder:   r.incarnation,
		Ledger:   r.ledger,
		Peers:    r.client,
		Policy:   r.policy,
		Live:     r.liveRouters,
		Clock:    s.Clock,
		Log:      s.Log,
		Interval: s.Timing.Maintain,
		Announce: r.queueNotice,
	})
	r.engines = engineclient.New(engineclient.Settings{IdleTimeout: r.silenceLimit, Log: s.Log, Clock: s.Clock})
	r.plain = plainclient.New(plainclient.Settings{IdleTimeout: r.silenceLimit, Log: s.Log})
	r.directory = directory.New(routing.Location{FailureDomain: s.FailureDomain, Region: s.Region}, r.liveRouters)
	r.applyConfiguration()
	r.quarantine = keeper.New(keeper.Settings{
		Store:      s.Store,
		TrialDelay: rand.N(quarantineTrialSpread),
		Clock:      s.Clock,
		Log:        s.Log,
		Interval:   s.Timing.Quarantine,
	})
	r.dispatcher = dispatch.New(dispatch.Settings{
		Holder:       r.incarnation,
		Wallet:       r.wallet,
		Ledger:       r.ledger,
		EngineClient: r.engines,
		PlainClient:  r.plain,
		Directory:    r.directory,
		Quarantine:   r.quarantine,
		Peers:        r.client,
		Policy:       r.policy,
		AnswerMemory: r.answerMemory(),
		MayDeliver:   r.mayDeliver,
		Journal:      r.journal,
		Metrics:      r.metrics,
		Clock:        s.Clock,
		Log:          s.Log,
	})
	r.registerMetrics()
	r.startBackground()
}

// registerMetrics registers the metrics that are computed when they are read.
func (r *Router) registerMetrics() {
	r.metrics.Gauge("revision", func() any { return r.watcher.Revision() })
	r.metrics.Gauge("livePeers", func() any { return r.LivePeers() })
	r.metrics.Gauge("leaseConfirmed", func() any { return r.registration.Confirmed() })
	r.metrics.Add("ledger", r.ledger.Counters())
	r.metrics.Gauge("callerLimits", func() any { return r.callerLimits.State() })
	r.metrics.Gauge("peerLimits", func() any { return r.peerLimits.State() })
	r.metrics.Gauge("shares", func() any { return len(r.wallet.Snapshot()) })
}

// startBackground starts the periodic and background tasks.
func (r *Router) startBackground() {
	s := r.settings
	r.issuer = issuer.New(issuer.Settings{
		Services:    func() []configuration.Service { return r.watcher.Current().Services },
		Engines:     r.engines,
		Store:       s.Store,
		Members:     r.members,
		Self:        r.incarnation,
		MayOrder:    r.mayIssueOrders,
		Leaving:     r.leavingUpstreams,
		Interval:    s.Timing.Orders,
		UnloadDelay: 2 * (s.Timing.Orders + s.Timing.Survey),
		Timeout:     s.Limits.StoreTimeout,
		Clock:       s.Clock,
		Log:         s.Log,
	})
	r.surveyor = survey.New(survey.Settings{
		Directory: r.directory,
		Engines:   surveyEngines{r.engines, r.issuer},
		VMs:       s.VMs,
		Interval:  s.Timing.Survey,
		Clock:     s.Clock,
		Log:       s.Log,
	})
	r.prober = probe.New(probe.Settings{Members: r.members, Peers: r.client, Interval: s.Timing.Probe, Clock: s.Clock})
	r.reclaimer = reclaim.New(reclaim.Settings{
		Members:  r.members,
		Ledger:   r.ledger,
		Self:     r.incarnation,
		Lifetime: r.reclaimDelay,
		Interval: s.Timing.Reclaim,
		Clock:    s.Clock,
		Log:      s.Log,
	})
	r.tomb.Go(r.watchConfiguration)
	r.tomb.Go(r.sendNotices)
}

// startServing installs the handlers of both endpoints and starts accepting
// requests.
func (r *Router) startServing() {
	s := r.settings
	r.peerHandler.set(peerapi.New(peerapi.Settings{
		Secret:        s.Secret,
		Dispatcher:    r.dispatcher,
		Wallet:        r.wallet,
		Ledger:        r.ledger,
		Directory:     r.directory,
		Quarantine:    r.quarantine,
		Journal:       r.journal,
		Metrics:       r.metrics,
		Status:        r.Status,
		Configuration: r.watcher,
		BodyTimeout:   s.Limits.ReadTimeout,
		Clock:         s.Clock,
		Log:           s.Log,
	}))
	r.callerHandler.set(callerapi.New(callerapi.Settings{
		Dispatcher:   r.dispatcher,
		Index:        r.watcher.Index,
		Ready:        r.ready,
		Accepting:    r.serving.Load,
		MaxBody:      s.Limits.MaxBody,
		MaxRequests:  s.Limits.MaxStreams,
		WriteTimeout: s.Limits.WriteTimeout,
		Clock:        s.Clock,
		Log:          s.Log,
	}))
	r.serving.Store(true)
}

// watchConfiguration applies each new revision of the configuration.
func (r *Router) watchConfiguration() error {
	for {
		changed := r.watcher.Changed()
		r.applyConfiguration()
		select {
		case <-changed:
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// queueNotice queues a notice for the budget's standby holders. If the queue is
// full the notice is dropped; the wallet repeats it.
func (r *Router) queueNotice(n wallet.Notice) {
	select {
	case r.notices <- n:
	default:
	}
}

func (r *Router) sendNotices() error {
	ctx := r.tomb.Context(context.Background())
	for {
		select {
		case n := <-r.notices:
			r.sendNotice(ctx, n)
		case <-r.tomb.Dying():
			return nil
		}
	}
}
