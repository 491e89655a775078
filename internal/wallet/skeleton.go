package wallet

import (
	"context"
	"time"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Wallet is the shares of one router. Its methods are safe for concurrent use.
type Wallet struct{}

// New returns a wallet without tokens and starts its background work.
func New(s Settings) *Wallet { return nil }

// Reserve takes tokens from the share.
func (w *Wallet) Reserve(ctx context.Context, now time.Time, r Request) (*Reservation, error) {
	return nil, ErrOutOfReach
}

// Maintain refills and hands back shares.
func (w *Wallet) Maintain(ctx context.Context, now time.Time) {}

// GiveBack returns up to want unreserved tokens to the budget.
func (w *Wallet) GiveBack(ctx context.Context, budget ident.Budget, want tokens.Count) tokens.Count {
	return 0
}

// Keep holds a reserve of a budget that another failure domain serves.
func (w *Wallet) Keep(now time.Time, budget ident.Budget, funding ledger.Funding) {}

// Invalidate drops the unreserved tokens of a reclaimed share.
func (w *Wallet) Invalidate(budget ident.Budget) {}

// InvalidateAll drops the unreserved tokens of all shares.
func (w *Wallet) InvalidateAll() {}

// Close returns all unreserved tokens and waits.
func (w *Wallet) Close(ctx context.Context) error { return nil }

// Balance returns what the wallet holds of a budget.
func (w *Wallet) Balance(budget ident.Budget) Balance { return Balance{} }

// Snapshot returns the balances of all budgets.
func (w *Wallet) Snapshot() []Balance { return nil }

// Reservation is tokens set aside for one request.
type Reservation struct{}

// Budget returns the budget.
func (r *Reservation) Budget() ident.Budget { return "" }

// Tokens returns the tokens reserved.
func (r *Reservation) Tokens() tokens.Count { return 0 }

// Settle ends the reservation with a bill of cost.
func (r *Reservation) Settle(cost tokens.Count) {}

// Release ends the reservation without a bill.
func (r *Reservation) Release() {}

// Forfeit ends the reservation because the share is gone.
func (r *Reservation) Forfeit() {}
