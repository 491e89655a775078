// Package routing decides which upstream runs a request.
//
// A Table holds what a router knows of the upstreams of one service: the work
// that it sent there itself, the load that the upstream reported and when, the
// pace that earlier answers showed, and which prompt prefixes the upstream has
// probably cached. Choose estimates for a few sampled candidates how long the
// request would wait for its first token, and takes the least.
//
// Reports lag. The weight of a report falls with its age towards the mean of
// the service, so that a frozen report neither attracts nor repels work for
// long; the router's own work since the report is always added. Cache events
// are hints: a gap in their sequence forgets what the upstream had cached.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	t := routing.NewTable(service, place)
//	d, err := t.Choose(now, query, rng)
//	if err != nil {
//		return err // nothing was dispatched
//	}
//	work := t.Start(now, d.Upstream.ID, query.Work())
//	defer func() { t.Finish(time, work, observation) }()
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

// ErrNoUpstream reports that no upstream of the service may take the request.
var ErrNoUpstream = errors.New("no upstream available")

// Place is where a router runs.
type Place struct {
	FailureDomain ident.FailureDomain
	Region        ident.Region
}

// Table knows the upstreams of one service. Its methods are safe for
// concurrent use.
type Table struct {
	place Place

	mu       sync.Mutex
	members  map[ident.Upstream]*member
	all      []*member
	near     []*member // those in the router's failure domain
	prefixes map[Prefix][]cached
	routers  int     // that send to the upstreams, this one included
	typical  float64 // moving average of the work of a request
	// cachedPart is the moving average of the part of a prompt that was cached
	// where its prefix was expected.
	cachedPart float64
}

// NewTable returns a table of the service's upstreams for a router at place.
func NewTable(service configuration.Service, place Place) *Table {
	t := &Table{
		place:    place,
		members:  make(map[ident.Upstream]*member),
		prefixes: make(map[Prefix][]cached),

		cachedPart: defaultCachedPart,
	}
	t.Configure(service)
	return t
}

// Query describes a request to be routed.
type Query struct {
	Model ident.Model
	// Prompt is the length of the prompt.
	Prompt tokens.Count
	// Output bounds the length of the answer.
	Output tokens.Count
	// Prefix is the prompt's prefix, if it has one.
	Prefix Prefix
	// Exclude lists the upstreams that this request has been tried on.
	Exclude []ident.Upstream
	// Isolate keeps the request apart from others that were in flight on a
	// crashed upstream.
	Isolate bool
}

// Reason tells why an upstream was chosen.
type Reason string

// Reasons of decisions.
const (
	ReasonLeastWait Reason = "leastWait"
	ReasonPrefix    Reason = "prefixCached"
	ReasonHome      Reason = "prefixHome"
	ReasonIsolated  Reason = "isolated"
	ReasonFullScan  Reason = "fullScan"
	// ReasonAllPaused tells that all upstreams have failed lately, so that the
	// pauses after failures are disregarded.
	ReasonAllPaused Reason = "allPaused"
)

// Sizes of the candidate samples.
const (
	sampledNear      = 3
	sampledAnywhere  = 3
	samplingAttempts = 4
	// homes is the number of upstreams that all routers agree on for a prefix,
	// homeStride the distance between them.
	homes      = 2
	homeStride = 0x9e3779b97f4a7c15
)

// Decision is the upstream chosen for a request.
type Decision struct {
	Upstream   configuration.Upstream
	Wait       time.Duration // expected until the first token
	Cached     tokens.Count  // expected length of the cached prefix
	Candidates int
	Reason     Reason
}

// Choose returns the upstream with the least expected wait among sampled
// candidates. It returns ErrNoUpstream if none may take the request.
func (t *Table) Choose(now time.Time, q Query, rng *rand.Rand) (Decision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := choice{table: t, now: now, query: &q}
	best.considerPrefixHolders()
	best.considerSample(t.near, sampledNear, rng)
	best.considerSample(t.all, sampledAnywhere, rng)
	if best.member == nil {
		best.considerAll(ReasonFullScan)
	}
	if best.member == nil {
		best.paused = true
		best.considerAll(ReasonAllPaused)
	}
	if best.member == nil {
		return Decision{}, ErrNoUpstream
	}
	return best.decision(), nil
}
