package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// candidate is a router that may perform a duty.
type candidate struct {
	Record
	hash uint64 // of the duty and the VM
}

// compare orders candidates for a duty: by capacity, largest first, then by hash
// and by VM.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.Capacity, c.Capacity), cmp.Compare(other.hash, c.hash), cmp.Compare(c.VM, other.VM))
}

// Ranked returns the records in the order in which their VMs are chosen for a duty
// that one router performs for all: by capacity, largest first, and among equals
// by a hash of the duty and the VM. Routers that know the same records compute
// the same order, and adding or removing a record does not reorder the others.
func Ranked(duty string, records []Record) []Record {
	all := make([]candidate, 0, len(records))
	for _, r := range records {
		all = append(all, candidate{r, xxhash.Sum64String(duty + " " + string(r.VM))})
	}
	slices.SortFunc(all, candidate.compare)
	ranked := make([]Record, 0, len(all))
	for _, c := range all {
		ranked = append(ranked, c.Record)
	}
	return ranked
}

// FirstPerDomain returns the first record of each failure domain, in the order of
// ranked.
func FirstPerDomain(ranked []Record) (first []Record) {
	seen := make(map[ident.FailureDomain]bool)
	for _, r := range ranked {
		if !seen[r.FailureDomain] {
			seen[r.FailureDomain] = true
			first = append(first, r)
		}
	}
	return first
}
