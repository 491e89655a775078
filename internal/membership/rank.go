package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranked returns the records in the order in which their VMs take on a duty for
// all routers: those with most capacity first, and among equals by a hash of the
// duty and the VM. Routers that know the same records agree on the order, and a
// record that comes or goes does not change that of the others.
func Ranked(duty string, records []Record) []Record {
	type candidate struct {
		Record
		hash uint64
	}
	all := make([]candidate, 0, len(records))
	for _, r := range records {
		all = append(all, candidate{r, xxhash.Sum64String(duty + " " + string(r.VM))})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.hash, a.hash), cmp.Compare(a.VM, b.VM))
	})
	ranked := make([]Record, 0, len(all))
	for _, c := range all {
		ranked = append(ranked, c.Record)
	}
	return ranked
}
