// Package lending transfers loans and repayments of tokens between routers.
//
// For each budget, one router in each failure domain is the holder, which draws
// tokens from the ledger for the other routers of the domain (see
// membership.Holders). A router borrows the tokens that its requests need from
// the holder in its own domain, from the next router of the domain while the
// holder does not respond, and then from the holders in other domains. It repays
// the tokens that its requests did not use. Before a holder refuses a request,
// it collects spare tokens from the other holders.
//
// A loan does not involve the ledger: the lender accounts for it as spent. If the
// message of a loan or repayment is lost, or its receiver crashes, the tokens are
// lost, but tokens are never spent twice. Each message has an identifier, and
// repeated messages are rejected.
//
// # Usage
//
//	l := lending.New(lending.Settings{Self: vm, FailureDomain: domain, Members: records, OnLateLoan: wallet.AcceptLateLoan, ...})
//	defer l.Close()
//	w := wallet.New(wallet.Settings{Lenders: l, ...})
//	mux.Handle(pat.Post(lending.Path+"/:kind"), lending.Handler(lending.HandlerSettings{Lender: w, ...}))
package lending

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/peerlink"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// emptyOfferTTL is how long a router that had nothing to spare is not asked
	// again for tokens of the same budget.
	emptyOfferTTL = time.Second
	// maxLenders is the maximum number of routers that are asked, one after
	// another, by one call of Borrow or BorrowSpare.
	maxLenders = 4
	// maxCacheEntries is the maximum number of entries in each of the caches of
	// offers and of holders. A full cache is cleared.
	maxCacheEntries = 1 << 14
)

// errTimeout reports that a router did not respond before the timeout expired or
// the context was done. A loan in a late response is passed to
// Settings.OnLateLoan.
var errTimeout = errors.New("timed out waiting for a response")

// Settings are the settings of a Client. All fields are required.
type Settings struct {
	Self          ident.VM
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	// Members returns the records of all routers, including this one. It must
	// return the same slice until a record changes; a different slice invalidates
	// the cache of holders.
	Members func() []membership.Record
	// Timeout limits each call. LoanFailoverDelay is how long Borrow waits for a
	// response before it asks the next router. SpareFailoverDelay is the same for
	// BorrowSpare, for which the other holder does not have to draw.
	Timeout, LoanFailoverDelay, SpareFailoverDelay time.Duration
	// OnLateLoan is called with the tokens lent by a response that arrived after
	// LoanFailoverDelay or SpareFailoverDelay, or after the caller's context was
	// done.
	OnLateLoan func(now time.Time, budget ident.Budget, n tokens.Count)
	Clock      func() time.Time
}

// Client is a client for the holders of budgets. It implements wallet.Lenders.
// Its methods are safe for concurrent use.
type Client struct {
	settings Settings
	links    *peerlink.Links
	tomb     tomb.Tomb
	sequence atomic.Uint64

	mu            sync.Mutex
	offers        map[remoteShare]offer
	cachedMembers []membership.Record // from which cachedHolders is computed
	cachedHolders map[ident.Budget][]membership.Record
}

// remoteShare identifies the share of a budget on another router.
type remoteShare struct {
	address netip.AddrPort
	budget  ident.Budget
}

// offer is the number of tokens that a router could spare after its last
// response.
type offer struct {
	remaining tokens.Count
	received  time.Time
}

// New returns a Client without connections.
func New(s Settings) *Client {
	l := &Client{
		settings:      s,
		links:         peerlink.New(peerlink.Settings{Timeout: s.Timeout, Clock: s.Clock}),
		offers:        make(map[remoteShare]offer),
		cachedHolders: make(map[ident.Budget][]membership.Record),
	}
	l.tomb.Go(func() error {
		<-l.tomb.Dying()
		return nil
	})
	return l
}

// Close cancels the calls in progress, closes all connections, and waits for all
// goroutines to exit.
func (c *Client) Close() error {
	c.tomb.Kill(nil)
	c.links.Close()
	return c.tomb.Wait()
}

// IsFirstHolder implements wallet.Lenders. It reports whether this router is the
// first holder of the budget.
func (c *Client) IsFirstHolder(budget ident.Budget) bool {
	holders := c.holders(budget)
	return len(holders) > 0 && holders[0].VM == c.settings.Self
}

// holders returns the holders of a budget in the order in which they are asked.
// It caches them until the members change.
func (c *Client) holders(budget ident.Budget) []membership.Record {
	members := c.settings.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !sameSlice(members, c.cachedMembers) || len(c.cachedHolders) >= maxCacheEntries {
		c.cachedMembers = members
		clear(c.cachedHolders)
	}
	holders, ok := c.cachedHolders[budget]
	if !ok {
		holders = membership.Holders(budget, c.settings.FailureDomain, members)
		c.cachedHolders[budget] = holders
	}
	return holders
}

// sameSlice reports whether a and b have the same length and underlying array.
func sameSlice(a, b []membership.Record) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Borrow implements wallet.Lenders. It asks only the holders that come before
// this router in the order, and at most maxLenders of them.
func (c *Client) Borrow(ctx context.Context, loan wallet.Loan) (lent tokens.Count, err error) {
	defer func() { err = merry.Prependf(err, "borrowing tokens of budget %s", loan.Budget) }()
	err = merry.Prepend(store.ErrUnavailable, "no other holder is available")
	asked := 0
	for _, h := range c.holders(loan.Budget) {
		if h.VM == c.settings.Self || asked == maxLenders {
			break
		}
		if c.links.InBackoff(h.Address) {
			continue
		}
		asked++
		var resp response
		if resp, err = c.request(ctx, h.Address, kindLoan, loan, c.settings.LoanFailoverDelay); err == nil {
			if refused := resp.err(); refused != nil {
				return 0, merry.Prependf(refused, "refused by holder %s", h.VM)
			}
			return resp.Lent, nil
		}
		if ctx.Err() != nil {
			break
		}
		c.links.StartBackoff(h.Address)
	}
	return 0, merry.Prepend(store.ErrUnavailable, err.Error())
}

// BorrowSpare implements wallet.Lenders.
func (c *Client) BorrowSpare(ctx context.Context, budget ident.Budget, want tokens.Count, u share.Urgency) (lent tokens.Count) {
	for _, s := range c.lenders(budget) {
		if lent >= want || ctx.Err() != nil {
			break
		}
		resp, err := c.request(ctx, s.address, kindSpare, wallet.Loan{Budget: budget, Want: want - lent, Urgency: u}, c.settings.SpareFailoverDelay)
		if err != nil {
			resp = response{} // recorded as an empty offer, which expires
		}
		c.recordOffer(s, offer{remaining: resp.Remaining, received: c.settings.Clock()})
		lent += resp.Lent
	}
	return lent
}

// KnownSpare implements wallet.Lenders.
func (c *Client) KnownSpare(budget ident.Budget) (n tokens.Count) {
	now, holders := c.settings.Clock(), c.holders(budget)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range holders {
		if o := c.offers[remoteShare{address: h.Address, budget: budget}]; now.Sub(o.received) < emptyOfferTTL {
			n += o.remaining
		}
	}
	return n
}

// Repay implements wallet.Lenders.
func (c *Client) Repay(ctx context.Context, loan wallet.Loan) (err error) {
	defer func() { err = merry.Prependf(err, "repaying %d tokens of budget %s", loan.Want, loan.Budget) }()
	err = merry.Prepend(store.ErrUnavailable, "no other holder is available")
	for _, h := range c.holders(loan.Budget) {
		if h.VM == c.settings.Self || c.links.InBackoff(h.Address) {
			continue
		}
		var resp response
		err = c.links.Post(ctx, h.Address, Path+"/"+kindRepayment, c.message(loan), &resp)
		if !errors.Is(err, store.ErrUnavailable) {
			return err
		}
	}
	return err
}

// message returns the wire form of a loan, with a unique identifier.
func (c *Client) message(loan wallet.Loan) message {
	id := string(c.settings.Incarnation) + "/" + strconv.FormatUint(c.sequence.Add(1), 10)
	return message{Version: version, ID: id, Loan: loan}
}

// request sends a message and waits for the response. It returns errTimeout if the
// timeout expires or ctx is done before the response arrives. Tokens lent by a
// later response are passed to Settings.OnLateLoan.
func (c *Client) request(ctx context.Context, address netip.AddrPort, kind string, loan wallet.Loan, timeout time.Duration) (resp response, err error) {
	if !c.tomb.Alive() {
		return resp, store.ErrUnavailable
	}
	type result struct {
		response
		err error
	}
	done := make(chan result, 1)
	c.tomb.Go(func() error {
		var r result
		r.err = c.links.Post(c.tomb.Context(context.Background()), address, Path+"/"+kind, c.message(loan), &r.response)
		if r.err == nil && !r.validFor(loan) {
			r.response, r.err = response{}, store.ErrUnknown
		}
		done <- r
		return nil
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-done:
		return r.response, r.err
	case <-timer.C:
	case <-ctx.Done():
	}
	if c.tomb.Alive() {
		c.tomb.Go(func() error {
			if r := <-done; r.err == nil && r.Lent > 0 {
				c.settings.OnLateLoan(c.settings.Clock(), loan.Budget, r.Lent)
			}
			return nil
		})
	}
	return resp, errTimeout
}

// lenders returns the routers to ask for spare tokens, in descending order of
// expected spare tokens. Routers with a recent empty offer are left out.
func (c *Client) lenders(budget ident.Budget) (candidates []remoteShare) {
	now := c.settings.Clock()
	holders := c.holders(budget)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range holders {
		s := remoteShare{address: h.Address, budget: budget}
		if h.VM == c.settings.Self || c.links.InBackoff(h.Address) {
			continue
		}
		if o, ok := c.offers[s]; !ok || o.remaining > 0 || now.Sub(o.received) >= emptyOfferTTL {
			candidates = append(candidates, s)
		}
	}
	slices.SortStableFunc(candidates, func(a, b remoteShare) int { return cmp.Compare(c.expectedSpare(now, b), c.expectedSpare(now, a)) })
	return candidates[:min(len(candidates), maxLenders)]
}

// expectedSpare returns the remaining tokens of the last offer of a router, or
// math.MaxInt if there is no recent one. The caller must hold c.mu.
func (c *Client) expectedSpare(now time.Time, s remoteShare) tokens.Count {
	o, ok := c.offers[s]
	if !ok || now.Sub(o.received) >= emptyOfferTTL {
		return math.MaxInt
	}
	return o.remaining
}

// recordOffer caches the last offer of a router.
func (c *Client) recordOffer(s remoteShare, o offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.offers) >= maxCacheEntries {
		clear(c.offers)
	}
	c.offers[s] = o
}
