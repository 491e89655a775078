// Package wallet manages one router's shares of budgets.
//
// A Wallet reserves tokens for requests from the shares that the ledger has
// granted to its incarnation. It draws more tokens when a share runs low, asks
// other routers to return theirs when a budget is exhausted, and returns idle
// shares. Package share makes these decisions.
//
// If Lenders are set, only some routers hold each budget. A wallet that is not a
// holder borrows the tokens that its requests need from one that is, and repays
// those they did not use. It draws for itself only while no holder responds.
//
// The ledger decides on every bill. A wallet never counts more tokens than the
// ledger has granted: if the response to a draw is lost, the draw is repeated with
// the same sequence number until its outcome is known, and tokens are withheld
// before their return is sent. A holder that was paused while its share was
// reclaimed may still reserve from the old share; the ledger refuses its bills.
//
// # Usage
//
//	w := wallet.New(wallet.Settings{Holder: incarnation, Ledger: committer, Peers: peers, ...})
//	defer w.Close(ctx)
//	r, err := w.Reserve(ctx, now, wallet.Request{Budget: id, Funding: funding, Tokens: bound})
//	...                     // run the request, settle its claim in the ledger
//	r.Settle(cost) // the ledger billed it
//	r.Spend(cost)  // or: it is charged to the share without a claim
//	r.Release()    // or: it is not billed
//	r.Forfeit()    // or: the ledger returned ShareGone
package wallet

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/shard"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Errors of Reserve. Nothing was reserved.
var (
	// ErrExhausted reports that the budget has too few tokens left.
	ErrExhausted = errors.New("budget exhausted")
	// ErrOutOfReach reports that the share is used up and no more tokens could be
	// obtained in time, because the key-value service or a router that holds tokens
	// of the budget was unreachable or slow.
	ErrOutOfReach = errors.New("share used up and no more tokens available in time")
	// ErrLedgerUnreachable wraps ErrOutOfReach. It reports that the ledger is unreachable and
	// that no holder is known to have the tokens, so that a retry within a second is hardly
	// served, here or at another router.
	ErrLedgerUnreachable = fmt.Errorf("%w: the ledger is unreachable", ErrOutOfReach)
	// errKept reports that the rest of the share is kept for more urgent requests.
	errKept = fmt.Errorf("%w: the rest of the share is kept for more urgent requests", ErrLedgerUnreachable)
	// ErrClosed reports that the wallet is closing or closed, or no longer lends.
	ErrClosed = errors.New("wallet closed")
)

// Ledger applies ops to the pages of the ledger.
type Ledger interface {
	// Apply applies op and returns its result. An error that wraps
	// store.ErrUnavailable or store.ErrConflict means that op was not applied; after
	// any other error it may have been.
	Apply(ctx context.Context, op ledger.Op) (ledger.Result, error)
}

// Peers sends requests to the other routers.
type Peers interface {
	// Recall asks holder to return want tokens to the budget, and reports how many it
	// returned.
	Recall(ctx context.Context, holder ident.Incarnation, budget ident.Budget, want tokens.Count) (tokens.Count, error)
}

// Lenders reaches the other routers in a fleet where only some routers hold each
// budget. The ledger counts lent tokens as spent by the lender. They are lost if
// the borrower dies or the lender's response is lost.
type Lenders interface {
	// IsFirstHolder reports whether this router is the first holder of the budget.
	IsFirstHolder(budget ident.Budget) bool
	// Borrow requests a loan from the holders of its budget, which draw if they have
	// too few tokens. The error wraps ErrExhausted, ErrOutOfReach or ErrLedgerUnreachable
	// if a holder refused the loan, and store.ErrUnavailable if no holder can be reached.
	Borrow(ctx context.Context, loan Loan) (lent tokens.Count, err error)
	// BorrowSpare asks other holders to lend want of their available tokens for a request
	// of urgency u, and returns how many they lent.
	BorrowSpare(ctx context.Context, budget ident.Budget, want tokens.Count, u share.Urgency) (lent tokens.Count)
	// KnownSpare returns the number of tokens that other holders have lately reported to
	// have available.
	KnownSpare(budget ident.Budget) tokens.Count
	// Repay returns loan.Want tokens to a holder. An error that wraps
	// store.ErrUnavailable means that no holder has taken or will take them; after
	// any other error they may be lost.
	Repay(ctx context.Context, loan Loan) error
}

// Loan is a request for tokens of a budget. The lender grants up to Want tokens
// and at least Least.
type Loan struct {
	Budget  ident.Budget   `json:"budget"`
	Funding ledger.Funding `json:"funding"`
	Want    tokens.Count   `json:"want"`
	Least   tokens.Count   `json:"least"`
	// Urgency is that of the most urgent request that waits for the tokens. Earlier
	// releases neither send nor read it.
	Urgency share.Urgency `json:"urgency,omitempty"`
}

// Settings configures a Wallet. Holder, Ledger, Peers, Policy, Live and Clock are
// required; Policy may be nil if Shares is set.
type Settings struct {
	Holder ident.Incarnation
	Ledger Ledger
	Peers  Peers
	Policy func() configuration.Policy
	// Lenders, if set, makes the wallet borrow from the holders of a budget instead of
	// drawing, and makes a holder borrow from the other holders before it refuses a
	// request. It is meant for requests that are charged without claims.
	Lenders Lenders
	// Shares, if set, returns the share policy to use instead of the one derived from
	// Policy.
	Shares func() share.Policy
	// LedgerUnreachable, if set, reports whether the ledger is known to be unreachable.
	// Requests then wait only briefly for a draw.
	LedgerUnreachable func() bool
	// Boot, if set, makes the wallet limit its spending rate and declare the limit to
	// the ledger, so that a successor can free most of its tokens if it dies.
	Boot *Boot
	// Live returns the number of live routers, or of holders of a budget.
	Live func() int
	// Replaced, if set, reports whether another process runs in place of a holder. What such
	// holders have left does not come back, and a budget of which nothing else is left is
	// exhausted.
	Replaced func(holder ident.Incarnation) bool
	Clock    func() time.Time
	Log      hclog.Logger
	// Interval is the period at which Maintain runs in the background. If it is 0, the
	// owner must call Maintain.
	Interval time.Duration
	// Announce, if set, is called when the router begins to serve a budget and
	// periodically while it does, under a policy that holds reserves in all failure
	// domains. It should deliver the notice to the standby holders of the budget in
	// the other domains, whose wallets then hold a reserve. It must not block.
	Announce func(Notice)
}

// Notice tells the standby holders of a budget that a router serves it.
type Notice struct {
	Budget  ident.Budget   `json:"budget"`
	Funding ledger.Funding `json:"funding"`
	// RequestSize is the typical size of a reservation.
	RequestSize tokens.Count `json:"request"`
	// Rate is the estimated spending rate of the whole fleet in tokens per second.
	Rate float64 `json:"rate"`
}

// Request describes a reservation to make.
type Request struct {
	Budget  ident.Budget
	Funding ledger.Funding
	// Tokens is the upper bound of the request's cost.
	Tokens tokens.Count
	// Urgency decides which requests are refused first while the ledger is unreachable.
	Urgency share.Urgency
	// Deadline bounds the wait for tokens. If it is zero, only the limits of the
	// wallet apply.
	Deadline time.Time
}

// Wallet manages the shares of one router. Its methods are safe for concurrent
// use.
type Wallet struct {
	Settings
	accounts *shard.Map[ident.Budget, *account]
	sequence atomic.Uint64
	retired  atomic.Bool
	closed   atomic.Bool
	tomb     tomb.Tomb
	ctx      context.Context // for background ops
}

// New returns a wallet without tokens and starts its background work, which runs
// until Close.
func New(s Settings) *Wallet {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	w := &Wallet{Settings: s, accounts: shard.NewMap[ident.Budget, *account]()}
	w.ctx = w.tomb.Context(context.Background())
	w.tomb.Go(w.run)
	return w
}

// run calls Maintain periodically until the wallet closes.
func (w *Wallet) run() error {
	if w.Interval <= 0 {
		<-w.tomb.Dying()
		return nil
	}
	ticker := time.NewTicker(w.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.Maintain(w.ctx, w.Clock())
		case <-w.tomb.Dying():
			return nil
		}
	}
}

// Retire stops the wallet from holding budgets for other routers, in preparation
// for Close. A retired wallet returns its shares, or transfers them to other
// holders while the ledger is unreachable, and borrows for its own requests.
func (w *Wallet) Retire() {
	w.retired.Store(true)
}

// Close refuses new reservations, returns all unreserved tokens to their budgets
// and waits for the result. Open reservations should end before Close is called.
// An error means that some tokens could not be returned; the ledger reclaims them
// when the holder's lease ends.
func (w *Wallet) Close(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "closing shares") }()
	w.closed.Store(true)
	w.accounts.Each(func(ident.Budget, *account) {}) // waits for reservations that found the wallet open
	w.tomb.Kill(nil)
	if err := w.tomb.Wait(); err != nil {
		return err
	}
	return w.returnAll(ctx)
}
