package routing

import (
	"slices"
	"time"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	maxPrefixHolders = 4
	maxPrefixes      = 1 << 16

	domainPenalty = 2 * time.Millisecond
	regionPenalty = 40 * time.Millisecond

	defaultPace    = 20 * time.Millisecond  // per generated token
	defaultPrefill = 200 * time.Microsecond // per prompt token

	// slotFill is the part of the slots' usual work above which requests are
	// taken to queue.
	slotFill = 0.75
	// sharing is how much of the work in the slots counts as a wait, since
	// requests that run together slow each other down.
	sharing = 0.02

	// defaultCachedPart is the part of a prompt that is taken to be cached
	// with its prefix, before any answer has shown it.
	defaultCachedPart = 0.25

	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 500 * time.Millisecond
	// isolationPenalty is added for each request that an isolated one would
	// run beside.
	isolationPenalty = 500 * time.Millisecond
	// paceWeight is the weight of a new observation in the moving averages.
	paceWeight = 0.2
	// prefillRise is how much the time per prompt token rises with each
	// observation above it.
	prefillRise = 0.01
	// firstPause and lastPause bound how long an upstream that failed is left
	// alone.
	firstPause = 500 * time.Millisecond
	lastPause  = 15 * time.Second
	// recentStarts is the number of own starts that are remembered to correct
	// lagging reports.
	recentStarts = 64
)

// member is what the table knows of one upstream.
type member struct {
	upstream configuration.Upstream
	distance time.Duration

	outstanding tokens.Count // own work in flight
	running     map[*Work]struct{}
	isolated    int
	recent      [recentStarts]start
	next        int

	load     tokens.Count // reported backlog
	reported time.Time    // when the report was true
	models   []ident.Model
	pace     time.Duration // per generated token
	prefill  time.Duration // per prompt token

	leaving    Source // the sources that say so
	failures   int
	pausedTo   time.Time
	cacheEpoch int
	cacheSeq   uint64
}

type start struct {
	at   time.Time
	work tokens.Count
}

// cached records that a member had a prefix in its cache in an epoch.
type cached struct {
	member *member
	epoch  int
}

func newMember(u configuration.Upstream, place Place) *member {
	return &member{
		upstream: u,
		distance: distance(u, place),
		running:  make(map[*Work]struct{}),
		pace:     defaultPace,
		prefill:  defaultPrefill,
	}
}

func distance(u configuration.Upstream, place Place) time.Duration {
	switch {
	case u.FailureDomain == place.FailureDomain:
		return 0
	case u.Region == place.Region:
		return domainPenalty
	}
	return regionPenalty
}

func (m *member) available(now time.Time) bool {
	return m.leaving == 0 && !now.Before(m.pausedTo)
}

// serves reports whether m has the model loaded. An upstream that has not
// reported its models is taken to have all of its service.
func (m *member) serves(model ident.Model) bool {
	return model == "" || len(m.models) == 0 || slices.Contains(m.models, model)
}

// startedSince returns the own work started after t, as far as remembered.
func (m *member) startedSince(t time.Time) (sum tokens.Count) {
	for _, s := range m.recent {
		if s.at.After(t) {
			sum += s.work
		}
	}
	return sum
}

func (m *member) remember(s start) {
	m.recent[m.next] = s
	m.next = (m.next + 1) % recentStarts
}

// average moves old towards observed.
func average(old, observed time.Duration) time.Duration {
	return old + time.Duration(paceWeight*float64(observed-old))
}
