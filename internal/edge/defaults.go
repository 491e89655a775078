package edge

import (
	"context"
	"time"

	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// mirrorMaxAge is the time in which a change has to take effect. The mirrors cut all
	// waits to it, among them those below.
	mirrorMaxAge = 2 * time.Second
	// quarantineMaxAge is the maximum age of the quarantine list. Routers also tell each
	// other of changes directly.
	quarantineMaxAge = 6 * time.Second
	// mirrorInterval is the time between two reads of changes.
	mirrorInterval = 600 * time.Millisecond
	mirrorTimeout  = 600 * time.Millisecond
	// mirrorUnavailableDelay is how long a read may be overdue before the key-value
	// service is considered unavailable and other routers are asked for their copies.
	mirrorUnavailableDelay = 700 * time.Millisecond
	// mirrorPollWait is how long a read waits for changes. It bounds how long a router
	// that was partitioned without notice is still trusted as a relay. With two waits
	// of relayWait it stays below mirrorMaxAge, so that routers which read through two
	// relays do not call the key-value service in normal operation.
	mirrorPollWait = 900 * time.Millisecond
	// relaxedPollWait is how long a read of the routers' records or of the quarantine
	// list waits for changes. These may be some seconds old.
	relaxedPollWait = 4 * time.Second
	// relaxedCallInterval is the MinCallInterval of these mirrors. It keeps their reads
	// from adding to the load of reads of changes that have to take effect soon.
	relaxedCallInterval = 500 * time.Millisecond
	// relayWait is how long a read from a relay waits for changes.
	relayWait = 400 * time.Millisecond
	// operatorMirror is the name of the mirror of the configuration and the closed failure
	// domains. Routers of earlier releases have a mirror "configuration" without the closed
	// domains, whose copies and changes must not be taken for those of this one.
	operatorMirror = "operator"
	// recordInterval is the time between two reads of the routers' records while
	// they change.
	recordInterval = time.Second
	// expiryGracePeriod is how long records that expired during an outage are kept
	// after it, so that the platform can write them again.
	expiryGracePeriod = 2 * time.Second

	// storeTimeout bounds a write to the key-value service, which takes some
	// milliseconds unless the service is slow.
	storeTimeout = time.Second

	// bootstrapAttempts is how often a starting router asks others for their copies
	// before it lists the key-value service. Seeds, which other routers ask first,
	// list it at once.
	bootstrapAttempts = 5
	// learnTimeout is the LearnRecent of the mirrors. Routers that wait for the copy of a
	// seed that starts with them give up after 250 ms.
	learnTimeout = 100 * time.Millisecond
	// recordsTimeout bounds how long the ledger waits at the start for the routers'
	// records, which determine the router that writes it on behalf of all.
	recordsTimeout = time.Second

	// presenceTTL is longer than most outages. After a longer one, each router's
	// record has to be written again.
	presenceTTL      = 12 * time.Second
	presenceInterval = 3 * time.Second

	// quarantineInterval is the time between two reads of the list of requests that
	// crash upstreams.
	quarantineInterval = 4 * time.Second
	// quarantineLinger is how long a change waits to be batched with others.
	// The other routers have received it directly by then.
	quarantineLinger = 400 * time.Millisecond
	// quarantineTrialSpread is the time over which the routers try a request again after
	// the term of its quarantine.
	quarantineTrialSpread = time.Minute
	// minReminderInterval and reminderIntervalPerRouter give the time between two reminders
	// of the limits of upstreams.
	minReminderInterval       = 5 * time.Second
	reminderIntervalPerRouter = 100 * time.Millisecond
	// broadcastTimeout bounds the call that sends news to another router.
	broadcastTimeout = 400 * time.Millisecond
	// dutyTimeout bounds a call to a router that writes on behalf of all routers.
	// That router batches writes and may have to repeat one after a conflict.
	dutyTimeout = 1500 * time.Millisecond

	// queueInterval is the time between two reviews of the requests that wait for upstreams. A
	// review takes 0.2 ms for 2,048 requests of 690 customers.
	queueInterval = 100 * time.Millisecond

	// recoveryTimeout bounds the call that asks another router what it knows of a page of
	// the ledger. Ops wait meanwhile at the owner of the page, which other routers call
	// again after 400 ms.
	recoveryTimeout = 250 * time.Millisecond

	ledgerPages = 1
	// ledgerLinger batches the reports and refills of all holders into few writes. A
	// share lasts many times as long.
	ledgerLinger = 200 * time.Millisecond
	// ledgerBackoff and ledgerBackoffLimit bound the delays of the ledger after
	// failed calls. A mirror that reaches the key-value service again ends a delay
	// early.
	ledgerBackoff      = time.Second
	ledgerBackoffLimit = 3 * time.Second
	// ledgerMaxCacheAge is the maximum age of the cached page from which the owner of
	// the page refuses a draw. It is shorter than the time after which callers retry.
	ledgerMaxCacheAge        = 300 * time.Millisecond
	walletInterval           = time.Second
	predecessorRetryInterval = 200 * time.Millisecond
	// closeTimeout bounds the return of shares to the ledger. It begins at the drain timeout at the
	// latest, with the responses to requests that are cut off.
	closeTimeout = time.Second
	// maxCutTimeout bounds the time for these responses. On a VM with a seventh of a processor, 100 ms
	// may pass before any of them is written.
	maxCutTimeout = 500 * time.Millisecond
	// loanTimeout bounds a call that borrows tokens from another router. Tokens lent
	// by a response after it are lost.
	loanTimeout = time.Second
	// loanFailoverDelay is how long the holder of a budget may take to respond,
	// including the wait for a draw, before the next router is asked.
	loanFailoverDelay = 150 * time.Millisecond
	// spareFailoverDelay is the same for a holder that is asked for tokens it has
	// available. This takes some milliseconds, so that several holders can be asked
	// within the time a caller waits.
	spareFailoverDelay = 40 * time.Millisecond

	// metricsLogInterval is the time between two log lines with the router's
	// metrics.
	metricsLogInterval = 10 * time.Second

	connectTimeout = 500 * time.Millisecond
	// upstreamIdleTimeout is how long an idle connection to an upstream is reused if
	// the upstream announces no limit.
	upstreamIdleTimeout = 3 * time.Second

	// peerBodyFactor is the memory that a call of another router takes for each byte of its
	// body: a buffer of up to twice the size, and what is decoded from it.
	peerBodyFactor = 4
	// peerBodyTimeout bounds the time to read the body of such a call. Its sender waits for less.
	peerBodyTimeout = 5 * time.Second

	readHeaderTimeout = 10 * time.Second
	// unusedWait is how long a stopping router waits for the first request on a connection that a
	// caller has opened.
	unusedWait        = 5 * time.Second
	serverIdleTimeout = 75 * time.Second
	maxHeaderBytes    = 32 << 10
)

const (
	// smallFleet and largeFleet are the numbers of routers up to which and from which the
	// share policy is that of a small or a large fleet. In between it is interpolated.
	smallFleet, largeFleet = 16, 48
	// smallFleetHorizon and largeFleetHorizon are how long a share lasts at the current
	// rate.
	smallFleetHorizon, largeFleetHorizon = 9 * time.Second, 12 * time.Second
	// The fractions bound the tokens that a loss of power of all VMs destroys. Such a loss
	// is rarer in a large fleet, while outages of the key-value service are as frequent.
	smallFleetFree, largeFleetFree     = 0.2, 0.35
	smallFleetShared, largeFleetShared = 0.3, 0.5
	// maxHeldFraction is what all shares together may hold in a fleet that is not small.
	// With the tokens that requests wait for, and those that routers keep of loans, 2% of a budget
	// that runs down, it leaves half of each budget after a loss of power of all VMs.
	maxHeldFraction = 0.46
	// calmDuration covers the time to the next report and the restart of a process that has
	// crashed.
	calmDuration = 3 * time.Second
)

// sharePolicy returns the policy by which shares of budgets are drawn in a fleet of the
// given number of routers. A share lasts through an outage of the key-value service of
// some seconds. Part of it is lost if the router dies, so shares shrink as a budget runs
// down.
func sharePolicy(routers int) share.Policy {
	size := float64(min(max(routers, smallFleet), largeFleet)-smallFleet) / (largeFleet - smallFleet)
	interpolate := func(atSmall, atLarge float64) float64 { return atSmall*(1-size) + atLarge*size }
	horizon := time.Duration(interpolate(float64(smallFleetHorizon), float64(largeFleetHorizon)))
	held, calm := 0.0, time.Duration(0)
	if routers > smallFleet { // the shares of a small fleet are far from the bound
		held, calm = maxHeldFraction, calmDuration
	}
	return share.Policy{
		Horizon:         horizon,
		ReserveRequests: 2,
		FreeFraction:    interpolate(smallFleetFree, largeFleetFree),
		MaxSplitRatio:   3,
		SharedFraction:  interpolate(smallFleetShared, largeFleetShared),
		MaxHeldFraction: held,
		CalmFor:         calm,
		RefillLevel:     0.85,
		ActiveFraction:  0.75,
		IdleLimit:       3 * horizon,
	}
}

// noPeers is the wallet.Peers of a fleet in which shares are not recalled.
type noPeers struct{}

// Recall returns store.ErrUnavailable.
func (noPeers) Recall(context.Context, ident.Incarnation, ident.Budget, tokens.Count) (tokens.Count, error) {
	return 0, store.ErrUnavailable
}
