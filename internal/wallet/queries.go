package wallet

import (
	"cmp"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Balance describes the tokens of one budget that a wallet holds.
type Balance struct {
	Budget   ident.Budget `json:"budget"`
	Free     tokens.Count `json:"free"`
	Reserved tokens.Count `json:"reserved"`
	// Borrowed is the number of unreserved tokens lent by other routers. It is not
	// part of Free.
	Borrowed tokens.Count `json:"borrowed,omitempty"`
	// Pool is the undistributed part of the budget as of the last ledger result.
	Pool tokens.Count `json:"pool"`
	// Rate is the drawing rate in tokens per second.
	Rate float64 `json:"rate"`
	// Waiting is the number of requests waiting for tokens.
	Waiting int `json:"waiting"`
	// Uncertain reports whether a draw or return has an unknown outcome.
	Uncertain bool `json:"uncertain"`
}

// Balance returns the tokens that the wallet holds of a budget.
func (w *Wallet) Balance(budget ident.Budget) (b Balance) {
	now := w.Clock()
	b.Budget = budget
	w.accounts.Do(budget, func(accounts map[ident.Budget]*account) {
		if a := accounts[budget]; a != nil {
			b = a.balance(now)
		}
	})
	return b
}

// Snapshot returns the balances of all budgets that have an account, sorted by
// budget.
func (w *Wallet) Snapshot() (all []Balance) {
	now := w.Clock()
	w.accounts.Each(func(_ ident.Budget, a *account) {
		all = append(all, a.balance(now))
	})
	slices.SortFunc(all, func(a, b Balance) int { return cmp.Compare(a.Budget, b.Budget) })
	return all
}

func (a *account) balance(now time.Time) Balance {
	rate, _ := a.meter.Rates(now)
	return Balance{
		Budget:    a.budget,
		Free:      a.free(),
		Reserved:  a.reserved,
		Borrowed:  a.borrowed,
		Pool:      a.pool,
		Rate:      rate,
		Waiting:   len(a.queue),
		Uncertain: a.pending != nil && a.uncertain,
	}
}

// Budget returns the budget that the tokens belong to.
func (r *Reservation) Budget() ident.Budget {
	return r.account.budget
}

// Tokens returns the number of tokens reserved.
func (r *Reservation) Tokens() (n tokens.Count) {
	r.wallet.withLock(r.account, func() { n = r.tokens })
	return n
}
