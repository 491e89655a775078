package share

import (
	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// Member is a live router and its failure domain.
type Member struct {
	Holder ident.Incarnation
	Domain ident.FailureDomain
}

// StandbyHolders returns the standby holder of the budget in each failure domain: the
// router that holds a reserve of it there even if it does not serve it. Routers
// with the same members choose the same standby holders, by rendezvous hashing, so
// that a change of one member moves only that member's budgets.
func StandbyHolders(budget ident.Budget, members []Member) map[ident.FailureDomain]ident.Incarnation {
	standbyHolders := make(map[ident.FailureDomain]ident.Incarnation)
	highest := make(map[ident.FailureDomain]uint64)
	for _, m := range members {
		score := xxhash.Sum64String(string(budget) + "/" + string(m.Holder))
		if _, ok := standbyHolders[m.Domain]; !ok || score > highest[m.Domain] {
			standbyHolders[m.Domain], highest[m.Domain] = m.Holder, score
		}
	}
	return standbyHolders
}
