package wallet

import (
	"math"
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Boot identifies the boot of the VM that the wallet runs on. A successor on the
// same boot can free the tokens that the wallet has not spent
// (ledger.FreePredecessors).
type Boot struct {
	VM ident.VM
	ID string
	// Elapsed returns the time since the boot, including time suspended.
	Elapsed func() time.Duration
}

const (
	// burstDuration is the burst that a spend limit allows, as a time at its rate.
	burstDuration = 3 * time.Second
	// reportInterval is the time after which spending that no draw or return has
	// reported is reported by itself. A longer interval leaves more tokens that a
	// successor cannot free.
	reportInterval = time.Second
	// calmBurstDuration and calmBurstRequests are the burst that a calm phase allows: as a
	// time at the present rate and as a number of requests of typical size. With 1 s, 0.2%
	// of the requests were refused in an outage of 8 s, and ops for requests that the limit
	// kept waiting were 9% of all.
	calmBurstDuration = 2 * time.Second
	calmBurstRequests = 3
)

// spendLimit is the wallet's side of a ledger.SpendLimit: the sum of the tokens spent
// and reserved stays within total plus perSecond for each second since at, and until calm.For
// after at also within spentBefore plus what calm allows.
type spendLimit struct {
	at          time.Time
	total       tokens.Count
	perSecond   float64
	calm        ledger.CalmPhase
	spentBefore tokens.Count
}

// allowed returns the largest sum of spent and reserved tokens allowed at now.
func (p *spendLimit) allowed(now time.Time) tokens.Count {
	n := p.allowedAfterCalm(now)
	if age := max(now.Sub(p.at), 0); p.calm.For > 0 && age <= p.calm.For {
		calm := p.spentBefore + p.calm.Committed + tokens.Count(math.Floor(float64(p.calm.PerSecond)*age.Seconds()))
		n = min(n, calm)
	}
	return n
}

// allowedAfterCalm is allowed without the calm phase.
func (p *spendLimit) allowedAfterCalm(now time.Time) tokens.Count {
	n := float64(p.total) + math.Floor(p.perSecond*max(now.Sub(p.at).Seconds(), 0))
	return tokens.Count(min(n, float64(wholeShare)))
}

// declareLimit returns the limit that an op declares to the ledger, and the
// spendLimit that enforces it. The shard's lock must be held.
func (w *Wallet) declareLimit(a *account, want tokens.Count) (*ledger.SpendLimit, *spendLimit) {
	if w.Boot == nil {
		return nil, nil
	}
	asOf, now := w.Boot.Elapsed(), w.Clock()
	rate, _ := a.meter.Rates(now)
	policy, perSecond := w.policyFor(a, now), rate
	if h := policy.Horizon; h > 0 {
		perSecond = max(rate, float64(a.free()+want)/h.Seconds())
	}
	needed := a.reserved
	for _, q := range a.queue {
		needed += q.tokens
	}
	committed := needed + tokens.Count(perSecond*burstDuration.Seconds())
	calmBurst := max(tokens.Count(rate*calmBurstDuration.Seconds()), calmBurstRequests*a.meter.RequestSize())
	var calm ledger.CalmPhase
	if a.meter.RateKnown(now) { // the first request tells nothing of those that follow
		calm = ledger.CalmPhase{For: policy.CalmFor, Committed: min(committed, needed+calmBurst), PerSecond: tokens.Count(math.Ceil(rate))}
	}
	return &ledger.SpendLimit{VM: w.Boot.VM, Boot: calm.AppendTo(w.Boot.ID), AsOf: asOf, Committed: committed, PerSecond: perSecond},
		&spendLimit{at: now, total: a.spent + committed, perSecond: perSecond, calm: calm, spentBefore: a.spent}
}

// spendable returns the tokens of the share that can be reserved now. The limit of
// a pending op also applies, because it may already be in force.
func (a *account) spendable(now time.Time) tokens.Count {
	n := a.free()
	for _, p := range []*spendLimit{a.limit, a.pendingLimit} {
		if p != nil {
			n = min(n, p.allowed(now)-a.spent-a.reserved)
		}
	}
	return n
}

// limitedByRate reports whether only the spend limit keeps the first waiter from
// being served.
func (a *account) limitedByRate(now time.Time) bool {
	return len(a.queue) > 0 && a.queue[0].tokens <= a.free() && a.queue[0].tokens > a.spendable(now)
}

// unreported reports whether spending has gone unreported for reportInterval.
func (a *account) unreported(now time.Time) bool {
	return a.limit != nil && now.Sub(a.limit.at) >= reportInterval && (a.spent > a.reported || a.reserved > 0)
}

// planReport returns the decision to report spending.
func planReport() share.Decision {
	return share.Decision{Action: actionReport, Reason: reasonReport}
}

const (
	actionReport share.Action = "report"
	reasonReport share.Reason = "spending is reported"
)
