// Package sharetest simulates budget shares and measures how well strategies
// for drawing and returning tokens perform.
//
// A run simulates a few holders that share one ledger page, in steps of fixed
// length: requests arrive, a Strategy draws, returns and recalls tokens, bills
// are settled, and faults stop holders or disconnect them from the store. The
// run counts what callers observe. A refused reservation is a false refusal if
// the tokens that are neither billed, spent nor reserved by any holder would
// have covered it. Whether an answer is delivered before its bill is in the
// ledger does not depend on shares and is not simulated.
//
// # Usage
//
//	s := sharetest.Scenario{Drawing: sharetest.Bursty, Fault: sharetest.Partition, Supply: 0.7, Seed: 1}
//	result := sharetest.Run(s, sharetest.Shares(1, sharetest.LongLifetime))
package sharetest

import (
	"math/rand/v2"
	"time"

	"example.org/lagoonfork/pkg/tokens"
)

// Drawing is a pattern of request arrivals.
type Drawing string

// Patterns of request arrivals.
const (
	Steady   Drawing = "steady"
	Bursty   Drawing = "bursty"
	OneLarge Drawing = "one large, many small"
	// OneDomain sends steady requests to the holders of one failure domain only.
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
	// Failover is an outage of the store during which the holders of one
	// failure domain are stopped, so that its callers fail over to another.
	Failover Fault = "failover in outage"
	// Mixed combines several faults at random times with lost requests and
	// responses of the store. The seed determines them.
	Mixed Fault = "mixed"
)

// Scenario is the input of a run.
type Scenario struct {
	Drawing Drawing
	Fault   Fault
	// Supply is the ratio of prepaid tokens to the expected demand.
	Supply float64
	Seed   uint64
	// Length is the simulated duration of the run, 20 minutes if 0.
	Length time.Duration
}

// Result contains the counts of a run, or their sums over several runs.
type Result struct {
	Runs, Requests, Served, Refused, FalseRefusals int
	// ShareCalls counts the calls of the strategy to a reachable store, without
	// calls that settle bills.
	ShareCalls int
	// Stranded is the fraction of the prepaid tokens that was left at the end of
	// a run and could have served falsely refused requests, summed over the runs.
	Stranded float64
	// Wasted counts requests that were served but whose bill the ledger refused.
	Wasted int
	// Overspend is the largest excess of billed over prepaid tokens.
	Overspend tokens.Count
	// Err is the first violation of a page invariant.
	Err error
}

// Add adds the counts of o to r.
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
	holderCount      = 9
	domainCount      = 3
	stepLength       = 100 * time.Millisecond
	maintainInterval = time.Second // between two calls of holder.maintain
	runLength        = 20 * time.Minute
	requestRate      = 4.0 // requests per second
	minCostBound     = 200 // smallest cost bound of a request in tokens
	maxCostBound     = 3800
	meanCost         = 1000
	burstLength      = 5 * time.Second
	burstPause       = 25 * time.Second
	largeFraction    = 0.7             // fraction of the requests that OneLarge sends to one holder
	restartTime      = 5 * time.Second // how long a restarted holder is stopped
	leaseLossDelay   = 2 * time.Second
)

// prepaid returns the initial tokens of the budget.
func (s Scenario) prepaid() tokens.Count {
	return tokens.Count(s.Supply * s.Length.Seconds() * requestRate * meanCost)
}

// arrivals returns the number of requests that arrive in a step.
func (s Scenario) arrivals(rng *rand.Rand, elapsed time.Duration) int {
	rate := requestRate
	if s.Drawing == Bursty {
		cycle := burstLength + burstPause
		if elapsed%cycle >= burstLength {
			return 0
		}
		rate *= float64(cycle) / float64(burstLength)
	}
	n, expected := 0, rate*stepLength.Seconds()
	for t := rng.ExpFloat64(); t < expected; t += rng.ExpFloat64() {
		n++
	}
	return n
}

// target returns the index of the holder that a request is sent to.
func (s Scenario) target(rng *rand.Rand) int {
	if s.Drawing == OneLarge && rng.Float64() < largeFraction {
		return 0
	}
	if s.Drawing == OneDomain {
		return domainCount * rng.IntN(holderCount/domainCount)
	}
	return rng.IntN(holderCount)
}
