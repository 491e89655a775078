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

// run is the state of one run. Faults and requests come from generators of
// their own, so that all strategies meet the same ones.
type run struct {
	Scenario
	strategy Strategy
	faults   schedule
	requests *rand.Rand
	losses   *rand.Rand
	page     ledger.Page
	holders  []*holder
	members  []share.Member
	jobs     []*job
	elapsed  time.Duration
	serial   int
	result   Result
	// prepaid, billed, spent and reserved are counted beside the page. spent
	// is the cost of ended requests whose bill is on its way.
	prepaid, billed, spent, reserved tokens.Count
	missed                           tokens.Count // by requests refused falsely
}

// job is a request that runs.
type job struct {
	holder *holder
	id     ident.Request
	tokens tokens.Count // reserved
	cost   tokens.Count
	end    time.Duration
	epoch  int
	ended  bool // and its bill is on its way
	closed bool // no longer counted as reserved or spent
}

// Run plays a scenario with a strategy.
func Run(s Scenario, strategy Strategy) Result {
	if s.Length == 0 {
		s.Length = runLength
	}
	r := &run{Scenario: s, strategy: strategy, result: Result{Runs: 1}}
	r.faults = s.faults(rand.New(rand.NewPCG(s.Seed, 1)))
	r.requests = rand.New(rand.NewPCG(s.Seed, 2))
	r.losses = rand.New(rand.NewPCG(s.Seed, 3))
	r.prepaid = s.prepaid()
	for i := range holderCount {
		h := &holder{run: r, index: i, id: ident.Incarnation(fmt.Sprint("holder", i)), pool: r.prepaid}
		r.holders = append(r.holders, h)
		domain := ident.FailureDomain(fmt.Sprint(i % domainCount))
		r.members = append(r.members, share.Member{Holder: h.id, Domain: domain})
	}
	for r.elapsed = 0; r.elapsed < s.Length; r.elapsed += step {
		r.step()
	}
	left := r.prepaid - r.billed - r.spent - r.reserved
	r.result.Stranded = float64(min(left, r.missed)) / float64(r.prepaid)
	return r.result
}

func (r *run) now() time.Time {
	return time.Unix(1_000_000, 0).Add(r.elapsed)
}

func (r *run) step() {
	r.topUp()
	for _, h := range r.holders {
		h.wake()
	}
	if r.elapsed%upkeep == 0 {
		r.upkeep()
	}
	r.endJobs()
	for range r.arrivals(r.requests, r.elapsed) {
		r.arrive()
	}
}

// topUp adds tokens on a side of the network that reaches the store.
func (r *run) topUp() {
	for i, at := range r.faults.topUps {
		if at < r.elapsed || at >= r.elapsed+step {
			continue
		}
		n := r.Scenario.prepaid() / 3
		r.prepaid += n
		id := ident.TopUp(fmt.Sprint(i))
		r.apply(ledger.Op{TopUp: &ledger.TopUp{ID: id, Tokens: n}})
	}
}

func (r *run) upkeep() {
	if err := r.page.Check(); err != nil && r.result.Err == nil {
		r.result.Err = err
	}
	for _, h := range r.holders {
		if r.faults.halted(h.index, r.elapsed) {
			r.reclaim(h)
			continue
		}
		h.upkeep()
		r.reclaim(h)
	}
}

// reclaim frees the share of a holder whose lease has lapsed, if any other
// holder reaches the store.
func (r *run) reclaim(h *holder) {
	lapsed := r.elapsed-h.lease > r.strategy.lifetime
	replaced := r.faults.restart && h.halted && r.elapsed-h.paused >= restartTime-upkeep
	if h.reclaimed || !lapsed && !replaced {
		return
	}
	for _, other := range r.holders {
		if other != h && other.reaches() && !r.faults.halted(other.index, r.elapsed) {
			r.apply(ledger.Op{Reclaim: &ledger.Reclaim{Holder: h.id}})
			h.reclaimed = true
			r.closeJobs(h)
			return
		}
	}
}

// closeJobs ends the count of requests whose bills the ledger will refuse.
func (r *run) closeJobs(h *holder) {
	for _, j := range r.jobs {
		if j.holder == h {
			r.close(j)
		}
	}
	for _, j := range h.bills {
		r.close(j)
	}
}

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
		if j.end > r.elapsed || r.faults.halted(j.holder.index, r.elapsed) {
			running = append(running, j)
			continue
		}
		if !j.closed {
			r.reserved -= j.tokens
			r.spent += j.cost
		}
		j.ended = true
		j.holder.end(j)
	}
	r.jobs = running
}

// arrive sends one request to a live holder.
func (r *run) arrive() {
	n := tokens.Count(smallest + r.requests.IntN(largest-smallest))
	cost := tokens.Count(float64(n) * (0.2 + 0.6*r.requests.Float64()))
	length := time.Duration(float64(time.Second) * (1 + 9*r.requests.Float64()))
	i := r.target(r.requests)
	for r.faults.halted(i, r.elapsed) {
		i = (i + 1) % holderCount
	}
	h := r.holders[i]
	r.result.Requests++
	left := r.prepaid - r.billed - r.spent - r.reserved
	if !h.reserve(n) {
		r.result.Refused++
		if left >= n {
			r.result.FalseRefusals++
			r.missed += n
		}
		return
	}
	r.result.Served++
	r.reserved += n
	r.serial++
	id := ident.Request(fmt.Sprint(r.serial))
	r.jobs = append(r.jobs, &job{holder: h, id: id, tokens: n, cost: cost, end: r.elapsed + length, epoch: h.epoch})
}

// apply applies op to the page and checks the page.
func (r *run) apply(op ledger.Op) ledger.Result {
	op.Budget = budget
	if op.Reclaim != nil && r.page.Budgets[budget] == nil {
		return ledger.Result{Outcome: ledger.Applied}
	}
	result := r.page.Apply(op, r.now())
	r.result.Overspend = max(r.result.Overspend, r.billed-r.prepaid, r.page.Budgets[budget].Settled-r.prepaid)
	return result
}

// bill settles a request and counts it beside the page.
func (r *run) bill(j *job) ledger.Outcome {
	claim := ledger.Claim{Request: j.id, Holder: j.holder.id, Attempt: "1", Idempotent: true, Reserved: j.tokens, Cost: j.cost}
	result := r.apply(ledger.Op{Settle: &ledger.Settle{Claim: claim}})
	if result.Outcome == ledger.Applied {
		r.billed += j.cost
	} else {
		r.result.Wasted++
	}
	r.close(j)
	delete(r.page.Budgets[budget].Claims, j.id) // as after the retention time
	return result.Outcome
}
