package sharetest

import (
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// holder simulates one router and its share of the budget.
type holder struct {
	run          *run
	index        int
	id           ident.Incarnation
	meter        share.Meter
	fleetMeter   share.FleetMeter
	standbyRate  float64
	granted      tokens.Count
	reserved     tokens.Count
	withheld     tokens.Count
	poolFree     tokens.Count
	lastUsed     time.Time
	lastNotified time.Duration // when the standby holders were last notified, if announced
	announced    bool
	shareEpoch   int
	sequence     uint64
	pendingOp    *ledger.Op
	pendingBills []*job
	// localConfirmed is the time of the last confirmation of the lease on the
	// holder's clock, which does not advance while the holder is stopped.
	// leaseConfirmed is the same time on the store's clock.
	localConfirmed, leaseConfirmed time.Duration
	stoppedAt                      time.Duration // start of the last stop
	stopped                        bool
	reclaimed                      bool
	splitTokens                    tokens.Count // part of the prepaid tokens drawn so far, for StaticSplit
	exhausted                      bool
	recallRounds                   int
	holders                        []ledger.Holding
}

func (h *holder) free() tokens.Count {
	return h.granted - h.reserved - h.withheld
}

func (h *holder) reaches() bool {
	return h.run.faults.reaches(h.index, h.run.elapsed)
}

// updateStopped updates the state of the holder when a stop begins or ends.
func (h *holder) updateStopped() {
	stopped := h.run.faults.stopped(h.index, h.run.elapsed)
	switch {
	case stopped && !h.stopped:
		h.stoppedAt = h.run.elapsed
	case !stopped && h.stopped:
		h.localConfirmed += h.run.elapsed - h.stoppedAt
	}
	h.stopped = stopped
}

// maintain confirms the lease, settles pending bills, and lets the strategy draw
// or return tokens. A holder whose share was reclaimed discards it first, but not
// earlier than leaseLossDelay after the start of its last stop.
func (h *holder) maintain() {
	if !h.reaches() {
		return
	}
	if h.reclaimed && h.run.elapsed-h.stoppedAt < leaseLossDelay {
		return
	}
	if h.reclaimed {
		h.invalidate()
		h.reclaimed = false
	}
	h.localConfirmed, h.leaseConfirmed = h.run.elapsed, h.run.elapsed
	due := h.pendingBills
	h.pendingBills = nil
	for _, j := range due {
		h.settle(j)
	}
	h.run.strategy.maintain(h)
}

// invalidate discards the share and the pending op after the ledger has reclaimed
// the share.
func (h *holder) invalidate() {
	h.granted, h.reserved, h.withheld = 0, 0, 0
	h.shareEpoch++
	h.pendingOp = nil
	h.splitTokens = 0
}

// reserve reserves n tokens for a request and reports whether it succeeded. It
// fails if the lease is older than the share lifetime on the holder's clock.
func (h *holder) reserve(n tokens.Count) bool {
	if h.run.elapsed-h.localConfirmed > h.run.strategy.lifetime {
		return false
	}
	h.meter.Reserve(h.run.now(), n)
	h.lastUsed = h.run.now()
	if !h.run.strategy.reserve(h, n) {
		h.meter.Add(h.run.now(), -n)
		return false
	}
	return true
}

func (h *holder) reserveFromShare(n tokens.Count) bool {
	if h.free() < n {
		return false
	}
	h.reserved += n
	return true
}

// endJob reduces the reservation of an ended request to its cost, which stays
// reserved until the bill is settled.
func (h *holder) endJob(j *job) {
	h.meter.Add(h.run.now(), j.cost-j.tokens)
	if j.shareEpoch == h.shareEpoch {
		h.reserved -= j.tokens - j.cost
	}
	h.pendingBills = append(h.pendingBills, j)
	if !h.reaches() {
		return
	}
	due := h.pendingBills
	h.pendingBills = nil
	for _, b := range due {
		h.settle(b)
	}
}

func (h *holder) settle(j *job) {
	outcome := h.run.bill(j)
	if j.shareEpoch == h.shareEpoch {
		h.reserved -= j.cost
	}
	switch {
	case outcome == ledger.Applied:
		h.granted -= j.cost
	case j.shareEpoch == h.shareEpoch:
		h.invalidate()
	}
	h.run.strategy.settled(h, j)
}

// submit sends a draw or return and applies its result to the holder. It first
// retries the previous op if its response was lost. It returns false if the
// outcome is unknown or the store cannot be reached.
func (h *holder) submit(op ledger.Op) (result ledger.Result, ok bool) {
	if h.pendingOp != nil {
		if _, ok := h.sendPending(); !ok {
			return result, false
		}
	}
	h.sequence++
	if op.Draw != nil {
		op.Draw.Holder, op.Draw.Sequence = h.id, h.sequence
		op.Draw.Funding = ledger.Funding{Customer: "customer", Prepaid: h.run.Scenario.prepaid(), Revision: 1}
	} else {
		op.Return.Holder, op.Return.Sequence = h.id, h.sequence
		h.withheld += op.Return.Tokens
	}
	h.pendingOp = &op
	return h.sendPending()
}

func (h *holder) sendPending() (result ledger.Result, ok bool) {
	if !h.reaches() {
		return result, false
	}
	h.run.result.ShareCalls++
	loss := h.run.faults.responseLoss
	if h.run.lossRand.Float64() < loss/2 {
		return result, false
	}
	result = h.run.apply(*h.pendingOp)
	if h.run.lossRand.Float64() < loss/2 {
		retry := h.pendingOp.AsRetry()
		h.pendingOp = &retry
		return ledger.Result{}, false
	}
	h.applyResult(result)
	return result, true
}

func (h *holder) applyResult(result ledger.Result) {
	op := *h.pendingOp
	h.pendingOp = nil
	h.poolFree = result.Free
	h.fleetMeter.Observe(h.run.now(), result.Settled)
	if op.Return != nil {
		h.withheld -= op.Return.Tokens
		h.granted -= result.Granted
		return
	}
	h.exhausted, h.holders = result.Outcome == ledger.Exhausted, result.Holders
	h.granted += result.Granted
}

func (h *holder) draw(want, least tokens.Count) (ledger.Result, bool) {
	return h.submit(ledger.Op{Draw: &ledger.Draw{Want: want, Least: least}})
}

// returnTokens returns up to want free tokens to the budget, and the number of
// tokens that the page accepted.
func (h *holder) returnTokens(want tokens.Count) tokens.Count {
	n := min(want, h.free())
	if n <= 0 || !h.reaches() || h.stopped {
		return 0
	}
	result, _ := h.submit(ledger.Op{Return: &ledger.Return{Tokens: n}})
	return result.Granted
}
