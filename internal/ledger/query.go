package ledger

import (
	"cmp"
	"slices"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Prepaid returns the prepaid tokens: the current funding plus all top-ups.
func (b *Budget) Prepaid() tokens.Count {
	return b.prepaid()
}

// Free returns the number of tokens that are neither settled nor granted.
func (b *Budget) Free() tokens.Count {
	return max(0, b.prepaid()-b.used())
}

// Shared returns the number of tokens in all shares.
func (b *Budget) Shared() (n tokens.Count) {
	for _, s := range b.Shares {
		n += s.Granted
	}
	return n
}

// Holders returns the shares of the budget, sorted by holder.
func (b *Budget) Holders() []Holding {
	return b.holdings("")
}

// Find returns a copy of the claim of a request, if the page contains it.
func (p *Page) Find(budget ident.Budget, request ident.Request) (c Claim, ok bool) {
	b := p.Budgets[budget]
	if b == nil || b.Claims[request] == nil {
		return Claim{}, false
	}
	return *b.Claims[request], true
}

// Total is the sum over the budgets of one customer.
type Total struct {
	Prepaid    tokens.Count `json:"prepaid"`
	Settled    tokens.Count `json:"settled"`
	Shared     tokens.Count `json:"shared"`
	Reserved   tokens.Count `json:"reserved"`
	WrittenOff tokens.Count `json:"writtenOff"`
	Requests   int          `json:"requests"` // settled claims on the page
}

// Totals returns the sums over the budgets of the page by customer.
func (p *Page) Totals() map[ident.Customer]Total {
	totals := make(map[ident.Customer]Total)
	for _, b := range p.Budgets {
		t := totals[b.Funding.Customer]
		t.add(b)
		totals[b.Funding.Customer] = t
	}
	return totals
}

func (t *Total) add(b *Budget) {
	t.Prepaid += b.prepaid()
	t.Settled += b.Settled
	t.WrittenOff += b.WrittenOff
	for _, s := range b.Shares {
		t.Shared += s.Granted
		t.Reserved += s.Reserved
	}
	for _, c := range b.Claims {
		if c.State == StateSettled {
			t.Requests++
		}
	}
}

func (b *Budget) prepaid() tokens.Count {
	n := b.Funding.Prepaid
	for _, t := range b.TopUps {
		n += t
	}
	return n
}

// used returns the number of tokens settled or granted.
func (b *Budget) used() tokens.Count {
	return b.Settled + b.Shared()
}

// sharedByOthers returns the number of tokens in the shares of other holders,
// without ended shares.
func (b *Budget) sharedByOthers(except ident.Incarnation) (n tokens.Count) {
	for id, s := range b.Shares {
		if id != except && !s.Ended {
			n += s.Granted
		}
	}
	return n
}

// holdings returns the shares of all holders except one, sorted by holder.
func (b *Budget) holdings(except ident.Incarnation) []Holding {
	return b.holdingsIf(func(id ident.Incarnation, _ *Share) bool { return id != except })
}

// runningHoldings returns the shares of the other holders from which tokens may come back, sorted by
// holder. Nothing comes back from ended ones but Unaccounted, which shrinks when the routers of
// which nothing was known respond.
func (b *Budget) runningHoldings(except ident.Incarnation) []Holding {
	return b.holdingsIf(func(id ident.Incarnation, s *Share) bool { return id != except && (!s.Ended || id == Unaccounted) })
}

func (b *Budget) holdingsIf(include func(ident.Incarnation, *Share) bool) []Holding {
	var hs []Holding
	for id, s := range b.Shares {
		if include(id, s) {
			hs = append(hs, Holding{Holder: id, Granted: s.Granted, Reserved: s.Reserved})
		}
	}
	slices.SortFunc(hs, func(a, b Holding) int { return cmp.Compare(a.Holder, b.Holder) })
	return hs
}
