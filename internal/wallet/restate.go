package wallet

import (
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// known returns what the account knows of its share, or nil before the first result of an
// op. The shard's lock must be held.
func (a *account) known() *ledger.Standing {
	if a.sequence == 0 {
		return nil
	}
	return &ledger.Standing{Era: a.era, Sequence: a.sequence, Granted: max(a.granted, 0), Funding: a.funding}
}

// Restatements returns an op for each share that this wallet has had of a budget that
// selects reports true for. Applied to a page of the ledger that was restored from an older
// copy, they record what the wallet has drawn, spent and returned. From then on the wallet
// takes no result from a page of an era before the given one, in which the page is recovered:
// the recovered page may lack the op.
func (w *Wallet) Restatements(era store.Era, selects func(ident.Budget) bool) (ops []ledger.Op) {
	w.accounts.Each(func(_ ident.Budget, a *account) {
		if !selects(a.budget) {
			return
		}
		a.restatedFor = max(a.restatedFor, era)
		known := a.known()
		if known == nil {
			return
		}
		ops = append(ops, ledger.Op{Budget: a.budget, Restate: &ledger.Restate{
			Holder: w.Holder, Known: *known, Spent: a.spent, Limit: w.currentLimit(a),
		}})
	})
	return ops
}

// currentLimit returns the spend limit in force in the form of the ledger, or nil if there
// is none. The shard's lock must be held.
func (w *Wallet) currentLimit(a *account) *ledger.SpendLimit {
	if w.Boot == nil || a.limit == nil {
		return nil
	}
	// The calm phase is left out: without it the limit still bounds what is spent.
	asOf, committed := w.Boot.Elapsed(), a.limit.allowedAfterCalm(w.Clock())-a.spent
	return &ledger.SpendLimit{VM: w.Boot.VM, Boot: w.Boot.ID, AsOf: asOf, Committed: max(committed, a.reserved), PerSecond: a.limit.perSecond}
}
