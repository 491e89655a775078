package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/pkg/ident"
)

// recordsInDomains returns records of VMs spread evenly over failure domains.
// Every fifth VM of a domain has capacity 4, the others 1.
func recordsInDomains(vms, domains int) (all []Record) {
	for i := range vms {
		r := Record{VM: ident.VM(fmt.Sprint("vm-", i)), FailureDomain: ident.FailureDomain(fmt.Sprint("domain-", i%domains)), Capacity: 1}
		if i/domains%5 == 0 {
			r.Capacity = 4
		}
		all = append(all, r)
	}
	return all
}

func TestHolders(t *testing.T) {
	const vms, domains, budgets = 195, 5, 40
	all := recordsInDomains(vms, domains)
	held := make(map[ident.VM]int)
	for b := range budgets {
		budget := ident.Budget(fmt.Sprint("budget-", b))
		firsts := make(map[ident.FailureDomain]ident.VM)
		for d := range domains {
			domain := ident.FailureDomain(fmt.Sprint("domain-", d))
			holders := Holders(budget, domain, all)
			assert.Len(t, holders, ownDomainHolders+domains-1)
			for _, h := range holders[:ownDomainHolders] {
				assert.Equal(t, domain, h.FailureDomain)
				assert.Equal(t, 4, h.Capacity)
			}
			firsts[domain] = holders[0].VM
			held[holders[0].VM]++
			shuffled := append([]Record(nil), all...)
			rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			assert.Equal(t, holders, Holders(budget, domain, shuffled))
		}
		for d := range domains {
			domain := ident.FailureDomain(fmt.Sprint("domain-", d))
			for _, h := range Holders(budget, domain, all)[ownDomainHolders:] {
				assert.Equal(t, firsts[h.FailureDomain], h.VM, "all domains agree on the holder of a domain")
			}
		}
	}
	for vm, n := range held {
		assert.LessOrEqual(t, n, 4*budgets*domains/(vms/5), "%s holds too many budgets", vm)
	}
	assert.Empty(t, Holders("b", "domain-0", nil))
	assert.Len(t, Holders("b", "elsewhere", all), domains, "a domain without routers asks the others")
	assert.Equal(t, domains, CountDomains(all))
}

// TestLostHolderMovesItsBudgetsAlone checks that removing a VM moves only the
// budgets that it held.
func TestLostHolderMovesItsBudgetsAlone(t *testing.T) {
	all := recordsInDomains(60, 3)
	for b := range 50 {
		budget := ident.Budget(fmt.Sprint("budget-", b))
		before := Holders(budget, "domain-0", all)
		after := Holders(budget, "domain-0", all[3:]) // without vm-0, the first of domain-0
		if before[0].VM == "vm-0" {
			assert.Equal(t, before[1], after[0], "the second takes its place")
		} else {
			assert.Equal(t, before[0], after[0])
		}
	}
}

func BenchmarkHolders(b *testing.B) {
	for _, vms := range []int{9, 77, 195, 390} {
		all := recordsInDomains(vms, max(3, vms/28))
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			for b.Loop() {
				Holders("budget-1", "domain-0", all)
			}
		})
	}
}
