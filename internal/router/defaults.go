package router

import "time"

const (
	// journalSize is the number of requests whose decisions are retained.
	journalSize = 10_000
	// maxNotices bounds the queue of notices to standby holders.
	maxNotices = 256
	// closeReserve is the time kept at the end of a stop for the return of shares, or a quarter of a
	// shorter stop.
	closeReserve = 5 * time.Second

	defaultLeaseTTL   = 10 * time.Second
	defaultSurvey     = time.Second
	defaultProbe      = 2 * time.Second
	defaultReclaim    = 30 * time.Second
	defaultMaintain   = time.Second
	defaultQuarantine = 2 * time.Second
	// quarantineTrialSpread is the time over which the routers try a request again after
	// the term of its quarantine.
	quarantineTrialSpread = time.Minute
	defaultOrders         = 5 * time.Second

	defaultReclaimGrace = time.Minute

	defaultMaxBody        = 4 << 20
	defaultMaxHeader      = 32 << 10
	defaultMaxStreams     = 2000
	defaultMaxConnections = 4000
	defaultReadTimeout    = 15 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultIdleTimeout    = time.Minute
	defaultStoreTimeout   = 2 * time.Second
	defaultPeerTimeout    = time.Second

	// vmListInterval is the time between two reads of the platform's list of VMs.
	vmListInterval = 2 * time.Second
	// resyncInterval is the time between two listings of the registered VMs.
	resyncInterval = 30 * time.Second
	// probeFailures is the number of consecutive failed probes after which a peer is
	// suspect.
	probeFailures = 2
	// probeRounds is the number of probe rounds for which a successful probe is
	// valid.
	probeRounds = 4
)

func (s Settings) withDefaults() Settings {
	t := &s.Timing
	setDefault(&t.LeaseTTL, defaultLeaseTTL)
	setDefault(&t.Survey, defaultSurvey)
	setDefault(&t.Probe, defaultProbe)
	setDefault(&t.Reclaim, defaultReclaim)
	setDefault(&t.Maintain, defaultMaintain)
	setDefault(&t.Quarantine, defaultQuarantine)
	setDefault(&t.Orders, defaultOrders)
	setDefault(&t.ReclaimGrace, defaultReclaimGrace)
	l := &s.Limits
	setDefault(&l.MaxBody, defaultMaxBody)
	setDefault(&l.MaxHeader, defaultMaxHeader)
	setDefault(&l.ReadTimeout, defaultReadTimeout)
	setDefault(&l.MaxStreams, defaultMaxStreams)
	setDefault(&l.MaxConnections, defaultMaxConnections)
	setDefault(&l.WriteTimeout, defaultWriteTimeout)
	setDefault(&l.IdleTimeout, defaultIdleTimeout)
	setDefault(&l.StoreTimeout, defaultStoreTimeout)
	setDefault(&l.PeerTimeout, defaultPeerTimeout)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
