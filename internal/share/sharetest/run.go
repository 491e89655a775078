package sharetest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const budget ident.Budget = "budget"

// run is the state of one run. Faults and requests use separate random number
// generators, so that they are the same for all strategies.
type run struct {
	Scenario
	strategy    Strategy
	faults      faultSchedule
	requestRand *rand.Rand
	lossRand    *rand.Rand
	page        ledger.Page
	holders     []*holder
	members     []share.Member
	jobs        []*job
	elapsed     time.Duration
	lastRequest int
	result      Result
	// prepaid, billed, spent and reserved are counted independently of the page.
	// spent is the cost of ended requests that are not yet billed.
	prepaid, billed, spent, reserved tokens.Count
	falselyRefused                   tokens.Count // sum of the cost bounds of falsely refused requests
}

// job is a running request, or an ended request with a pending bill.
type job struct {
	holder     *holder
	id         ident.Request
	tokens     tokens.Count // reserved
	cost       tokens.Count
	end        time.Duration
	shareEpoch int
	ended      bool // the request has ended and its bill is pending
	closed     bool // no longer counted in run.reserved or run.spent
}

// Run simulates a scenario with a strategy and returns the counts of the run.
func Run(s Scenario, strategy Strategy) Result {
	if s.Length == 0 {
		s.Length = runLength
	}
	r := &run{Scenario: s, strategy: strategy, result: Result{Runs: 1}}
	r.faults = s.newFaultSchedule(rand.New(rand.NewPCG(s.Seed, 1)))
	r.requestRand = rand.New(rand.NewPCG(s.Seed, 2))
	r.lossRand = rand.New(rand.NewPCG(s.Seed, 3))
	r.prepaid = s.prepaid()
	for i := range holderCount {
		h := &holder{run: r, index: i, id: ident.Incarnation(fmt.Sprint("holder", i)), poolFree: r.prepaid}
		r.holders = append(r.holders, h)
		domain := ident.FailureDomain(fmt.Sprint(i % domainCount))
		r.members = append(r.members, share.Member{Holder: h.id, Domain: domain})
	}
	for r.elapsed = 0; r.elapsed < s.Length; r.elapsed += stepLength {
		r.step()
	}
	left := r.prepaid - r.billed - r.spent - r.reserved
	r.result.Stranded = float64(min(left, r.falselyRefused)) / float64(r.prepaid)
	return r.result
}

func (r *run) now() time.Time {
	return time.Unix(1_000_000, 0).Add(r.elapsed)
}

func (r *run) step() {
	r.topUp()
	for _, h := range r.holders {
		h.updateStopped()
	}
	if r.elapsed%maintainInterval == 0 {
		r.maintainHolders()
	}
	r.endJobs()
	for range r.arrivals(r.requestRand, r.elapsed) {
		r.startRequest()
	}
}

// topUp applies the top-ups that are due in this step. They reach the store even
// during a partition or an outage.
func (r *run) topUp() {
	for i, at := range r.faults.topUps {
		if at < r.elapsed || at >= r.elapsed+stepLength {
			continue
		}
		n := r.Scenario.prepaid() / 3
		r.prepaid += n
		id := ident.TopUp(fmt.Sprint(i))
		r.apply(ledger.Op{TopUp: &ledger.TopUp{ID: id, Tokens: n}})
	}
}

func (r *run) maintainHolders() {
	if err := r.page.Check(); err != nil && r.result.Err == nil {
		r.result.Err = err
	}
	for _, h := range r.holders {
		if r.faults.stopped(h.index, r.elapsed) {
			r.reclaim(h)
			continue
		}
		h.maintain()
		r.reclaim(h)
	}
}

// reclaim frees the share of a holder whose lease has expired or that is proven
// dead by its successor, if any other running holder can reach the store.
func (r *run) reclaim(h *holder) {
	lapsed := r.elapsed-h.leaseConfirmed > r.strategy.lifetime
	provenDead := r.faults.hasSuccessor && h.stopped && r.elapsed-h.stoppedAt >= restartTime-maintainInterval
	if h.reclaimed || !lapsed && !provenDead {
		return
	}
	for _, other := range r.holders {
		if other != h && other.reaches() && !r.faults.stopped(other.index, r.elapsed) {
			r.apply(ledger.Op{Reclaim: &ledger.Reclaim{Holder: h.id}})
			h.reclaimed = true
			r.closeJobs(h)
			return
		}
	}
}

// closeJobs removes the requests of a reclaimed holder from the counts,
// because the ledger will refuse their bills.
func (r *run) closeJobs(h *holder) {
	for _, j := range r.jobs {
		if j.holder == h {
			r.close(j)
		}
	}
	for _, j := range h.pendingBills {
		r.close(j)
	}
}

// close removes a billed, refused or reclaimed request from the counts.
func (r *run) close(j *job) {
	switch {
	case j.closed:
		return
	case j.ended:
		r.spent -= j.cost
	default:
		r.reserved -= j.tokens
	}
	j.closed = true
}

func (r *run) endJobs() {
	running := r.jobs[:0]
	for _, j := range r.jobs {
		if j.end > r.elapsed || r.faults.stopped(j.holder.index, r.elapsed) {
			running = append(running, j)
			continue
		}
		if !j.closed {
			r.reserved -= j.tokens
			r.spent += j.cost
		}
		j.ended = true
		j.holder.endJob(j)
	}
	r.jobs = running
}

// startRequest sends one request to a holder that is not stopped.
func (r *run) startRequest() {
	n := tokens.Count(minCostBound + r.requestRand.IntN(maxCostBound-minCostBound))
	cost := tokens.Count(float64(n) * (0.2 + 0.6*r.requestRand.Float64()))
	length := time.Duration(float64(time.Second) * (1 + 9*r.requestRand.Float64()))
	i := r.target(r.requestRand)
	for r.faults.stopped(i, r.elapsed) {
		i = (i + 1) % holderCount
	}
	h := r.holders[i]
	r.result.Requests++
	left := r.prepaid - r.billed - r.spent - r.reserved
	if !h.reserve(n) {
		r.result.Refused++
		if left >= n {
			r.result.FalseRefusals++
			r.falselyRefused += n
		}
		return
	}
	r.result.Served++
	r.reserved += n
	r.lastRequest++
	id := ident.Request(fmt.Sprint(r.lastRequest))
	r.jobs = append(r.jobs, &job{holder: h, id: id, tokens: n, cost: cost, end: r.elapsed + length, shareEpoch: h.shareEpoch})
}

// apply applies op to the page and updates the highest overspend.
func (r *run) apply(op ledger.Op) ledger.Result {
	op.Budget = budget
	if op.Reclaim != nil && r.page.Budgets[budget] == nil {
		return ledger.Result{Outcome: ledger.Applied}
	}
	result := r.page.Apply(op, r.now())
	r.result.Overspend = max(r.result.Overspend, r.billed-r.prepaid, r.page.Budgets[budget].Settled-r.prepaid)
	return result
}

// bill settles a request on the page and in the independent counts.
func (r *run) bill(j *job) ledger.Outcome {
	claim := ledger.Claim{Request: j.id, Holder: j.holder.id, Attempt: "1", Idempotent: true, Reserved: j.tokens, Cost: j.cost}
	result := r.apply(ledger.Op{Settle: &ledger.Settle{Claim: claim}})
	if result.Outcome == ledger.Applied {
		r.billed += j.cost
	} else {
		r.result.Wasted++
	}
	r.close(j)
	delete(r.page.Budgets[budget].Claims, j.id) // as if pruned after the retention time
	return result.Outcome
}
