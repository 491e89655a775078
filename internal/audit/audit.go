// Package audit checks the ledger against what callers were told.
//
// A Report counts, from the pages of the ledger alone, what was billed, what
// was billed more than once, and what was spent beyond the prepaid budgets; and
// which of the requests that callers received whole answers to are not billed.
//
// # Usage
//
//	pages, err := audit.Read(ctx, s, n)
//	report := audit.Check(pages, answered, refused)
//	if !report.Sound() {
//		...
//	}
package audit

import (
	"context"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// Report is the outcome of an audit.
type Report struct {
	// Requests is the number of requests that were to be looked up.
	Requests int `json:"requests"`
	// Billed is the number of settled claims in the ledger.
	Billed int `json:"billed"`
	// BilledTwice counts requests with several settled claims, and budgets
	// whose settled tokens exceed the sum of their claims.
	BilledTwice int `json:"billedTwice"`
	// Unbilled counts requests with a whole answer and no settled claim.
	Unbilled int `json:"unbilled"`
	// OverspentTokens is what was settled beyond the prepaid budgets.
	OverspentTokens tokens.Count `json:"overspentTokens"`
	// FalseRefusals counts the refusals for an exhausted budget that had
	// enough left.
	FalseRefusals int `json:"falseRefusals"`
}

// Answered is a request whose caller received a whole answer.
type Answered struct {
	Budget  ident.Budget
	Request ident.Request
}

// Refused is a request that was refused because its budget was exhausted.
type Refused struct {
	Budget ident.Budget
	Bound  tokens.Count // upper bound of its cost
}

// Read returns all pages of a ledger of n pages, with the claims that were
// moved off them.
func Read(ctx context.Context, s store.Store, n int) (pages []*ledger.Page, err error) {
	defer func() { err = merry.Prepend(err, "reading the ledger") }()
	for i := range n {
		page, err := readPage(ctx, s, i)
		if err != nil {
			return nil, err
		}
		pages = append(pages, page)
	}
	return pages, nil
}

func readPage(ctx context.Context, s store.Store, n int) (*ledger.Page, error) {
	entry, err := s.Get(ctx, ledger.Key(n))
	if err != nil {
		return nil, err
	}
	page, err := ledger.Decode(entry.Value)
	if err != nil {
		return nil, err
	}
	for _, ref := range page.Sealed {
		if err := recall(ctx, s, n, page, ref); err != nil {
			return nil, err
		}
	}
	return page, nil
}

// recall puts the claims of a segment back on its page.
func recall(ctx context.Context, s store.Store, n int, page *ledger.Page, ref ledger.SegmentRef) error {
	entry, err := s.Get(ctx, ledger.SegmentKey(n, ref.ID))
	if err != nil || entry.Revision == 0 {
		return err
	}
	segment, err := ledger.DecodeSegment(entry.Value)
	if err != nil {
		return err
	}
	for budget, claims := range segment.Claims {
		for _, c := range claims {
			page.Recall(budget, *c)
		}
	}
	return nil
}

// Check audits the pages. Claims that were pruned count as missing, so that an
// audit has to take place within the retention of claims.
func Check(pages []*ledger.Page, answered []Answered, refused []Refused) Report {
	a := audit{budgets: make(map[ident.Budget]*ledger.Budget), settled: make(map[ident.Request]int)}
	a.report.Requests = len(answered) + len(refused)
	for _, p := range pages {
		for id, b := range p.Budgets {
			a.budgets[id] = b
			a.add(b)
		}
	}
	for _, r := range answered {
		a.lookUp(r)
	}
	for _, r := range refused {
		a.judge(r)
	}
	return a.report
}

// Sound reports whether nothing was found wrong.
func (r Report) Sound() bool {
	return r.BilledTwice == 0 && r.Unbilled == 0 && r.OverspentTokens == 0 && r.FalseRefusals == 0
}

type audit struct {
	budgets map[ident.Budget]*ledger.Budget
	settled map[ident.Request]int
	report  Report
}

// add counts the claims of one budget.
func (a *audit) add(b *ledger.Budget) {
	var sum tokens.Count
	for _, c := range b.Claims {
		if c.State != ledger.StateSettled {
			continue
		}
		sum += c.Cost
		a.report.Billed++
		a.settled[c.Request]++
		if a.settled[c.Request] > 1 {
			a.report.BilledTwice++
		}
	}
	if b.Settled > sum {
		a.report.BilledTwice++
	}
	a.report.OverspentTokens += max(0, b.Settled-b.Prepaid())
}

func (a *audit) lookUp(r Answered) {
	b := a.budgets[r.Budget]
	if b == nil || b.Claims[r.Request] == nil || b.Claims[r.Request].State != ledger.StateSettled {
		a.report.Unbilled++
	}
}

func (a *audit) judge(r Refused) {
	if b := a.budgets[r.Budget]; b != nil && b.Prepaid()-b.Settled >= r.Bound {
		a.report.FalseRefusals++
	}
}
