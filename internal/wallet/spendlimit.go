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
// same boot can free the tokens that the wallet has not spent (ledger.FreePredecessors).
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
)

// spendLimit is the wallet's side of a ledger.SpendLimit: the sum of the tokens spent
// and reserved stays within total plus perSecond for each second since at.
type spendLimit struct {
	at        time.Time
	total     tokens.Count
	perSecond float64
}

// allowed returns the largest sum of spent and reserved tokens allowed at now.
func (p *spendLimit) allowed(now time.Time) tokens.Count {
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
	perSecond := rate
	if h := w.policyFor(a, now).Horizon; h > 0 {
		perSecond = max(rate, float64(a.free()+want)/h.Seconds())
	}
	committed := a.reserved + tokens.Count(perSecond*burstDuration.Seconds())
	for _, q := range a.queue {
		committed += q.tokens
	}
	return &ledger.SpendLimit{VM: w.Boot.VM, Boot: w.Boot.ID, AsOf: asOf, Committed: committed, PerSecond: perSecond},
		&spendLimit{at: now, total: a.spent + committed, perSecond: perSecond}
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
