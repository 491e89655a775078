// Package sharetest measures decisions on budget shares.
//
// A run drives a handful of holders over one ledger page in steps of given
// time: callers arrive, shares are drawn and recalled as a Strategy decides,
// bills are settled, and faults cut holders off. It counts what the callers
// see. A reservation that is refused although the tokens that are neither
// billed, spent nor reserved by anyone would have covered it is a false
// refusal. Whether an answer whose bill is not yet in the ledger is delivered
// is no matter of shares and is not part of the run.
//
// # Usage
//
//	s := sharetest.Scenario{Drawing: sharetest.Bursty, Fault: sharetest.Partition, Supply: 0.7, Seed: 1}
//	result := sharetest.Run(s, sharetest.Shares(1))
package sharetest

import (
	"math/rand/v2"
	"time"

	"example.org/lagoonfork/pkg/tokens"
)

// Drawing is a pattern of requests.
type Drawing string

// Patterns of requests.
const (
	Steady   Drawing = "steady"
	Bursty   Drawing = "bursty"
	OneLarge Drawing = "one large, many small"
	// OneDomain is steady drawing on the holders of one failure domain.
	OneDomain Drawing = "one domain"
)

// Fault is a kind of fault schedule.
type Fault string

// Kinds of fault schedules.
const (
	Healthy   Fault = "healthy"
	Partition Fault = "60 s partition"
	Outage    Fault = "10 min outage"
	TopUp     Fault = "top-up in partition"
	Dead      Fault = "dead holder"
	Restarted Fault = "restarted holder"
	Paused    Fault = "paused holder"
	// Failover is an outage during which the holders of one failure domain
	// are halted, so that its callers change to another.
	Failover Fault = "failover in outage"
	// Mixed draws several faults of random times from the seed, with lost
	// answers besides.
	Mixed Fault = "mixed"
)

// Scenario is one run's input.
type Scenario struct {
	Drawing Drawing
	Fault   Fault
	// Supply is the prepaid tokens as a part of the expected demand.
	Supply float64
	Seed   uint64
	// Length is the length of the run; 0 stands for 20 minutes.
	Length time.Duration
}

// Result is what a run counted.
type Result struct {
	Runs, Requests, Served, Refused, FalseRefusals int
	// ShareCalls counts the calls of the strategy that reached the store,
	// beside those that settle bills.
	ShareCalls int
	// Stranded is the part of the prepaid tokens that was left at the end of
	// the run although requests were refused for which it would have served,
	// summed over the runs.
	Stranded float64
	// Wasted counts requests that ran and whose bill the ledger refused.
	Wasted int
	// Overspend is the highest excess of billed over prepaid tokens.
	Overspend tokens.Count
	// Err is the first violation of the page's invariant.
	Err error
}

// Add adds the counts of another run.
func (r *Result) Add(o Result) {
	r.Runs += o.Runs
	r.Requests += o.Requests
	r.Served += o.Served
	r.Refused += o.Refused
	r.FalseRefusals += o.FalseRefusals
	r.ShareCalls += o.ShareCalls
	r.Wasted += o.Wasted
	r.Stranded += o.Stranded
	r.Overspend = max(r.Overspend, o.Overspend)
	if r.Err == nil {
		r.Err = o.Err
	}
}

const (
	holderCount   = 9
	domainCount   = 3
	step          = 100 * time.Millisecond
	upkeep        = time.Second // between two runs of a holder's upkeep
	runLength     = 20 * time.Minute
	perSecond     = 4.0 // requests
	smallest      = 200 // tokens of the smallest cost bound
	largest       = 3800
	meanCost      = 1000
	burstLength   = 5 * time.Second
	burstGap      = 25 * time.Second
	largeFraction = 0.7 // of the requests go to one holder under OneLarge
	restartTime   = 5 * time.Second
	noticeDelay   = 2 * time.Second
)

// prepaid returns the tokens that the budget starts with.
func (s Scenario) prepaid() tokens.Count {
	return tokens.Count(s.Supply * s.Length.Seconds() * perSecond * meanCost)
}

// arrivals returns how many requests arrive in a step.
func (s Scenario) arrivals(rng *rand.Rand, elapsed time.Duration) int {
	rate := perSecond
	if s.Drawing == Bursty {
		cycle := burstLength + burstGap
		if elapsed%cycle >= burstLength {
			return 0
		}
		rate *= float64(cycle) / float64(burstLength)
	}
	n, expected := 0, rate*step.Seconds()
	for t := rng.ExpFloat64(); t < expected; t += rng.ExpFloat64() {
		n++
	}
	return n
}

// target returns the holder that a request arrives at.
func (s Scenario) target(rng *rand.Rand) int {
	if s.Drawing == OneLarge && rng.Float64() < largeFraction {
		return 0
	}
	if s.Drawing == OneDomain {
		return domainCount * rng.IntN(holderCount/domainCount)
	}
	return rng.IntN(holderCount)
}
