// Package routing chooses the upstream that runs a request.
//
// A Table holds a router's state of the upstreams of one service: the requests
// that it has in flight there, the load that each upstream reported and when,
// moving averages of the speed of earlier answers, and the prompt prefixes that
// each upstream has probably cached. Choose samples a few candidates, estimates
// for each how long the request would wait for its first token, and returns the
// one with the shortest wait.
//
// Load reports arrive late. The weight of a report decreases with its age in
// favour of an estimate from the router's own requests, so that an outdated
// report neither attracts nor repels requests for long. The requests that the
// router has started since the report are always added. Cache events are hints:
// a gap in their sequence invalidates what is known of the upstream's cache.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	t := routing.NewTable(service, location)
//	d, err := t.Choose(now, query, rng)
//	if err != nil {
//		return err // nothing was dispatched
//	}
//	inFlight := t.Start(now, d.Upstream.ID, size, false)
//	defer func() { t.Finish(time.Now(), inFlight, observation) }()
package routing

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// ErrNoUpstream reports that no upstream of the service is eligible for the
// request.
var ErrNoUpstream = errors.New("no upstream available")

// Location is the location of a router.
type Location struct {
	FailureDomain ident.FailureDomain
	Region        ident.Region
}

// Table holds the state of the upstreams of one service. Its methods are safe
// for concurrent use.
type Table struct {
	location Location

	mu                sync.Mutex
	members           map[ident.Upstream]*member
	all               []*member
	local             []*member // members in the router's failure domain
	prefixes          map[Prefix][]prefixHolder
	routers           int     // number of routers that send to the upstreams, including this one
	meanRequestTokens float64 // moving average of the size of a request
	// cachedFraction is the moving average of the fraction of a prompt that was
	// cached on upstreams expected to have its prefix cached.
	cachedFraction float64
}

// NewTable returns a table of the service's upstreams for a router at the given
// location.
func NewTable(service configuration.Service, location Location) *Table {
	t := &Table{
		location: location,
		members:  make(map[ident.Upstream]*member),
		prefixes: make(map[Prefix][]prefixHolder),

		cachedFraction: defaultCachedFraction,
	}
	t.Configure(service)
	return t
}

// Query describes a request to be routed.
type Query struct {
	Model ident.Model
	// PromptTokens is the length of the prompt.
	PromptTokens tokens.Count
	// MaxOutputTokens bounds the length of the answer.
	MaxOutputTokens tokens.Count
	// Prefix is the prompt's prefix, if it has one.
	Prefix Prefix
	// Exclude lists the upstreams that have already been tried for this
	// request.
	Exclude []ident.Upstream
	// Isolate keeps the request apart from other isolated requests. It is set
	// for requests that were in flight on a crashed upstream and may have
	// caused the crash.
	Isolate bool
}

// Reason is the reason for which an upstream was chosen.
type Reason string

// Reasons of decisions.
const (
	ReasonLeastWait    Reason = "leastWait"
	ReasonPrefixCached Reason = "prefixCached"
	ReasonPrefixHome   Reason = "prefixHome"
	ReasonIsolated     Reason = "isolated"
	ReasonFullScan     Reason = "fullScan"
	// ReasonAllPaused reports that every otherwise eligible upstream was paused
	// after a failure, so that the pauses were ignored.
	ReasonAllPaused Reason = "allPaused"
)

// Parameters of the candidate sampling.
const (
	localSamples     = 3 // candidates sampled from the router's failure domain
	globalSamples    = 3 // candidates sampled from all upstreams
	samplingAttempts = 4 // random draws for one candidate until an eligible one is found
	// homesPerPrefix is the number of home upstreams of a prefix. homeHashStep
	// is added to the hash of the prefix for each further home.
	homesPerPrefix = 2
	homeHashStep   = 0x9e3779b97f4a7c15
)

// Decision is the upstream chosen for a request.
type Decision struct {
	Upstream     configuration.Upstream
	ExpectedWait time.Duration // until the first token
	CachedTokens tokens.Count  // expected length of the cached prefix
	Candidates   int
	Reason       Reason
}

// Choose returns the upstream with the shortest expected wait among sampled
// candidates. If no sampled candidate is eligible, it considers all upstreams,
// first without and then with those paused after a failure. It returns
// ErrNoUpstream if none is eligible.
func (t *Table) Choose(now time.Time, q Query, rng *rand.Rand) (Decision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := search{table: t, now: now, query: &q}
	best.considerPrefixHolders()
	best.considerSample(t.local, localSamples, rng)
	best.considerSample(t.all, globalSamples, rng)
	if best.member == nil {
		best.considerAll(ReasonFullScan)
	}
	if best.member == nil {
		best.allowPaused = true
		best.considerAll(ReasonAllPaused)
	}
	if best.member == nil {
		return Decision{}, ErrNoUpstream
	}
	return best.decision(), nil
}
