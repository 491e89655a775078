package routing

import (
	"slices"
	"time"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxPrefixHolders bounds the holders recorded for one prefix, maxPrefixes
	// the prefixes of a table.
	maxPrefixHolders = 4
	maxPrefixes      = 1 << 16

	// Assumed network delays to upstreams in another failure domain of the same
	// region and in another region.
	crossDomainDelay = 2 * time.Millisecond
	crossRegionDelay = 40 * time.Millisecond

	defaultTimePerToken       = 20 * time.Millisecond  // per generated token
	defaultTimePerPromptToken = 200 * time.Microsecond // per prompt token

	// queueThreshold is the fraction of the slots' mean work above which
	// further requests are assumed to queue.
	queueThreshold = 0.75
	// batchingCost is the fraction of the work in the slots that counts as
	// wait, since requests in the same batch slow each other down.
	batchingCost = 0.02

	// defaultCachedFraction is the assumed fraction of a prompt that is cached
	// with its prefix, until answers have reported it.
	defaultCachedFraction = 0.25

	// reportHalfLife is the age at which the weight of a load report is one
	// half.
	reportHalfLife = 500 * time.Millisecond
	// isolationPenalty is added to the expected wait of an isolated request for
	// each request that it would run beside.
	isolationPenalty = 500 * time.Millisecond
	// averageWeight is the weight of a new observation in the moving averages.
	averageWeight = 0.2
	// promptTimeIncrease is the relative increase of the estimated time per
	// prompt token with each observation that is not below it.
	promptTimeIncrease = 0.01
	// minPause and maxPause bound the time for which an upstream gets no
	// requests after a failure.
	minPause = 500 * time.Millisecond
	maxPause = 15 * time.Second
	// maxRecentStarts is the number of dispatched requests that are remembered
	// per upstream to correct load reports for their age.
	maxRecentStarts = 64
)

// member is the state of one upstream in a table.
type member struct {
	upstream     configuration.Upstream
	networkDelay time.Duration

	outstandingTokens tokens.Count // of requests that this router has in flight
	running           map[*InFlight]struct{}
	isolated          int                             // number of isolated requests in running
	recent            [maxRecentStarts]startedRequest // ring buffer of the last starts
	nextRecent        int                             // index of the oldest entry in recent

	reportedBacklog    tokens.Count // tokens, as in the last load report
	reportedAt         time.Time    // time to which the last load report refers
	models             []ident.Model
	timePerToken       time.Duration // per generated token
	timePerPromptToken time.Duration // per prompt token

	leavingSources LeavingSource // set of sources that report m as leaving
	failures       int           // consecutive
	pausedUntil    time.Time
	cacheEpoch     int    // incremented when the cache state is invalidated
	cacheSequence  uint64 // of the last cache event
}

// startedRequest records the dispatch of a request.
type startedRequest struct {
	at     time.Time
	tokens tokens.Count
}

// prefixHolder records that a member cached a prefix in one of its cache
// epochs.
type prefixHolder struct {
	member *member
	epoch  int
}

func newMember(u configuration.Upstream, location Location) *member {
	return &member{
		upstream:           u,
		networkDelay:       networkDelay(u, location),
		running:            make(map[*InFlight]struct{}),
		timePerToken:       defaultTimePerToken,
		timePerPromptToken: defaultTimePerPromptToken,
	}
}

// networkDelay returns the assumed network delay between the router and an
// upstream.
func networkDelay(u configuration.Upstream, location Location) time.Duration {
	switch {
	case u.FailureDomain == location.FailureDomain:
		return 0
	case u.Region == location.Region:
		return crossDomainDelay
	}
	return crossRegionDelay
}

// available reports whether m is neither leaving nor paused.
func (m *member) available(now time.Time) bool {
	return m.leavingSources == 0 && !now.Before(m.pausedUntil)
}

// serves reports whether m has the model loaded. An upstream that has not
// reported its models is assumed to serve all models.
func (m *member) serves(model ident.Model) bool {
	return model == "" || len(m.models) == 0 || slices.Contains(m.models, model)
}

// startedSince returns the tokens of the requests that this router has started
// after t, among the last maxRecentStarts.
func (m *member) startedSince(t time.Time) (sum tokens.Count) {
	for _, s := range m.recent {
		if s.at.After(t) {
			sum += s.tokens
		}
	}
	return sum
}

// recordStart stores s in place of the oldest entry in m.recent.
func (m *member) recordStart(s startedRequest) {
	m.recent[m.nextRecent] = s
	m.nextRecent = (m.nextRecent + 1) % maxRecentStarts
}

// movingAverage returns the exponential moving average after a new observation.
func movingAverage(old, observed time.Duration) time.Duration {
	return old + time.Duration(averageWeight*float64(observed-old))
}
