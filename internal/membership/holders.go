package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// ownDomainHolders is how many routers of its own failure domain a router asks for
// tokens of a budget before it asks routers of other domains.
const ownDomainHolders = 2

// Holders returns the routers that hold the tokens of a budget, in the order in
// which routers of the failure domain ask them: the holder of that domain, its
// replacement while the holder does not answer, and the holders of the other
// domains. A domain's holder is its first router in the order of Ranked, so that
// the VMs with the most capacity hold budgets and the budgets are spread over
// them. Routers that know the same records compute the same holders.
func Holders(budget ident.Budget, domain ident.FailureDomain, records []Record) (holders []Record) {
	prefix := holderHashPrefix(budget)
	bestInDomain := make(map[ident.FailureDomain]candidate)
	var ownDomain []candidate
	for _, r := range records {
		c := candidate{r, xxhash.Sum64String(prefix + string(r.VM))}
		if r.FailureDomain == domain {
			ownDomain = append(ownDomain, c)
			continue
		}
		if best, ok := bestInDomain[r.FailureDomain]; !ok || c.compare(best) < 0 {
			bestInDomain[r.FailureDomain] = c
		}
	}
	slices.SortFunc(ownDomain, candidate.compare)
	for _, c := range ownDomain[:min(len(ownDomain), ownDomainHolders)] {
		holders = append(holders, c.Record)
	}
	var otherDomains []candidate
	for _, c := range bestInDomain {
		otherDomains = append(otherDomains, c)
	}
	slices.SortFunc(otherDomains, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	for _, c := range otherDomains {
		holders = append(holders, c.Record)
	}
	return holders
}

// holderHashPrefix returns the text that is hashed together with a VM to rank
// the VM as a holder of a budget.
func holderHashPrefix(budget ident.Budget) string { return "budget " + string(budget) + " " }

// CountDomains returns the number of distinct failure domains in the records.
func CountDomains(records []Record) int {
	domains := make(map[ident.FailureDomain]struct{})
	for _, r := range records {
		domains[r.FailureDomain] = struct{}{}
	}
	return len(domains)
}
