// Package audit compares the ledger with the responses that callers received.
//
// From the ledger pages alone, a Report counts the billed requests, those billed
// more than once, and the tokens spent beyond the prepaid budgets. From the
// responses it counts the completely answered requests that were not billed and
// the requests that were refused although their budget sufficed.
//
// # Usage
//
//	pages, err := audit.Read(ctx, s, n)
//	report := audit.Check(pages, answered, refused)
//	if !report.Clean() {
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

// Report is the result of an audit.
type Report struct {
	// Requests is the number of answered and refused requests that were checked.
	Requests int `json:"requests"`
	// Billed is the number of settled claims in the ledger.
	Billed int `json:"billed"`
	// BilledTwice counts requests with several settled claims, and budgets
	// whose settled tokens exceed the sum of their claims.
	BilledTwice int `json:"billedTwice"`
	// Unbilled counts requests with a complete answer and no settled claim.
	Unbilled int `json:"unbilled"`
	// OverspentTokens is the number of tokens settled beyond the prepaid budgets.
	OverspentTokens tokens.Count `json:"overspentTokens"`
	// FalseRefusals counts requests that were refused because of an exhausted
	// budget although the budget had enough tokens left.
	FalseRefusals int `json:"falseRefusals"`
}

// Answered is a request whose caller received a complete answer.
type Answered struct {
	Budget  ident.Budget
	Request ident.Request
}

// Refused is a request that was refused because its budget was exhausted.
type Refused struct {
	Budget  ident.Budget
	MaxCost tokens.Count // upper bound of the cost of the request
}

// Read returns all pages of a ledger of n pages, including the claims that were
// moved to segments.
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
	entry, err := s.Get(ctx, ledger.PageKey(n))
	if err != nil {
		return nil, err
	}
	page, err := ledger.Decode(entry.Value)
	if err != nil {
		return nil, err
	}
	for _, ref := range page.Segments {
		if err := restoreClaims(ctx, s, n, page, ref); err != nil {
			return nil, err
		}
	}
	return page, nil
}

// restoreClaims adds the claims of a segment to its page. A segment that no longer
// exists is skipped.
func restoreClaims(ctx context.Context, s store.Store, n int, page *ledger.Page, ref ledger.SegmentRef) error {
	entry, err := s.Get(ctx, ledger.SegmentKey(n, ref.ID))
	if err != nil || !entry.Exists() {
		return err
	}
	segment, err := ledger.DecodeSegment(entry.Value)
	if err != nil {
		return err
	}
	for budget, claims := range segment.Claims {
		for _, c := range claims {
			page.RestoreClaim(budget, *c)
		}
	}
	return nil
}

// Check audits the pages. Pruned claims count as missing, so an audit has to run
// within the retention period of claims.
func Check(pages []*ledger.Page, answered []Answered, refused []Refused) Report {
	a := auditor{budgets: make(map[ident.Budget]*ledger.Budget), settled: make(map[ident.Request]int)}
	a.report.Requests = len(answered) + len(refused)
	for _, p := range pages {
		for id, b := range p.Budgets {
			a.budgets[id] = b
			a.countClaims(b)
		}
	}
	for _, r := range answered {
		a.checkBilled(r)
	}
	for _, r := range refused {
		a.checkRefusal(r)
	}
	return a.report
}

// Clean reports whether the audit found no violation.
func (r Report) Clean() bool {
	return r.BilledTwice == 0 && r.Unbilled == 0 && r.OverspentTokens == 0 && r.FalseRefusals == 0
}

// auditor accumulates a report. settled counts the settled claims of each request.
type auditor struct {
	budgets map[ident.Budget]*ledger.Budget
	settled map[ident.Request]int
	report  Report
}

// countClaims adds the settled claims of a budget to the report and checks them for
// double billing and overspending.
func (a *auditor) countClaims(b *ledger.Budget) {
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

// checkBilled counts an answered request without a settled claim as unbilled.
func (a *auditor) checkBilled(r Answered) {
	b := a.budgets[r.Budget]
	if b == nil || b.Claims[r.Request] == nil || b.Claims[r.Request].State != ledger.StateSettled {
		a.report.Unbilled++
	}
}

// checkRefusal counts a refusal as false if the budget had enough tokens left.
func (a *auditor) checkRefusal(r Refused) {
	if b := a.budgets[r.Budget]; b != nil && b.Prepaid()-b.Settled >= r.MaxCost {
		a.report.FalseRefusals++
	}
}
