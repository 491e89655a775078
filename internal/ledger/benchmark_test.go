package ledger

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// newPage returns a page with the given number of budgets, each with one share.
// The first budgetsWithClaims of them also have the given number of settled claims
// each.
func newPage(budgets, budgetsWithClaims, claims int) *Page {
	p := new(Page)
	for n := range budgets {
		id := ident.Budget(fmt.Sprintf("budget-%06d", n))
		op := drawOp("entry-0123456789", 1, 1<<30)
		op.Budget = id
		op.Draw.Funding.Prepaid = 1 << 40
		op.Draw.Funding.Customer = "customer-0123"
		p.Apply(op, start)
		for m := range claims {
			if n >= budgetsWithClaims {
				break
			}
			settled := settleOp(typicalClaim(m), false)
			settled.Budget = id
			p.Apply(settled, start)
		}
	}
	return p
}

func typicalClaim(n int) Claim {
	return Claim{
		Request: ident.Request(fmt.Sprintf("request-%016x", n)), Customer: "customer-0123",
		Application: "application-01", Holder: "entry-0123456789", Attempt: ident.Attempt(fmt.Sprintf("attempt-%016x", n)),
		Idempotent: true, Reserved: 4096, Cost: 1024, Upstream: "orloj-llm-07", Opened: start,
	}
}

// BenchmarkApply measures opening and settling a claim, two ops, on a page with
// the given numbers of budgets and claims.
func BenchmarkApply(b *testing.B) {
	for _, budgets := range []int{16, 160, 1600} {
		for _, claims := range []int{0, 100, 1000} {
			b.Run(fmt.Sprintf("budgets=%d/claims=%d", budgets, claims), func(b *testing.B) {
				p := newPage(budgets, min(budgets, 16), claims)
				c := typicalClaim(1 << 20)
				b.ReportAllocs()
				for b.Loop() {
					opened, settled := openOp(c), settleOp(c, false)
					opened.Budget, settled.Budget = "budget-000000", "budget-000000"
					p.Apply(opened, start)
					p.Apply(settled, start)
					delete(p.Budgets["budget-000000"].Claims, c.Request)
				}
			})
		}
	}
}

// BenchmarkEncode measures encoding a page after a change of one budget.
func BenchmarkEncode(b *testing.B) {
	for _, budgets := range []int{16, 160, 1600} {
		for _, claims := range []int{0, 100} {
			b.Run(fmt.Sprintf("budgets=%d/claims=%d", budgets, claims), func(b *testing.B) {
				p := newPage(budgets, min(budgets, 16), claims)
				n := tokens.Count(0)
				var size int
				b.ReportAllocs()
				for b.Loop() {
					n++
					op := returnOp("entry-0123456789", uint64(n)+1, 1)
					op.Budget = "budget-000000"
					p.Apply(op, start)
					data, err := Encode(p)
					require.NoError(b, err)
					size = len(data)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}

// BenchmarkDecode measures decoding a page, as after a write conflict.
func BenchmarkDecode(b *testing.B) {
	for _, claims := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("budgets=16/claims=%d", claims), func(b *testing.B) {
			data, err := Encode(newPage(16, 16, claims))
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err := Decode(data)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkSize reports the encoded bytes that each budget, share and claim
// adds to a page, at three sizes.
func BenchmarkSize(b *testing.B) {
	size := func(p *Page) float64 {
		data, err := Encode(p)
		require.NoError(b, err)
		return float64(len(data))
	}
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			var perBudget, perShare, perClaim float64
			for b.Loop() {
				one := newPage(1, 1, 0)
				base := size(one)
				perBudget = (size(newPage(n+1, 0, 0)) - base) / float64(n)
				perClaim = (size(newPage(1, 1, n)) - base) / float64(n)
				for m := range n {
					op := drawOp(ident.Incarnation(fmt.Sprintf("entry-%010d", m)), 1, 1<<20)
					op.Budget = "budget-000000"
					one.Apply(op, start)
				}
				perShare = (size(one) - base) / float64(n)
			}
			b.ReportMetric(perBudget, "B/budget")
			b.ReportMetric(perShare, "B/share")
			b.ReportMetric(perClaim, "B/claim")
		})
	}
}
