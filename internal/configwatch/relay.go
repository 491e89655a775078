package configwatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// minRelays is the minimum number of relays. It applies to fleets of up to 81 VMs. In
// a fleet of fewer than minRelays VMs, all VMs are relays.
const minRelays = 9

// Relays returns the VMs that watch the key-value service: the first of the
// live VMs in order of their hashes. Their number is the square root of the
// number of VMs, rounded up, but at least 9. All VMs that see the same list
// select the same relays, and a VM that joins or leaves changes at most two of
// them.
func Relays(live []ident.VM) []ident.VM {
	ordered := slices.Clone(live)
	slices.SortFunc(ordered, func(x, y ident.VM) int {
		return cmp.Or(cmp.Compare(rendezvousHash(x, ""), rendezvousHash(y, "")), cmp.Compare(x, y))
	})
	ordered = slices.Compact(ordered)
	n := max(minRelays, int(math.Ceil(math.Sqrt(float64(len(ordered))))))
	return ordered[:min(n, len(ordered))]
}

// pollOrder returns the relays other than vm in the order in which vm polls
// them. The order differs between VMs, which balances the load on the relays.
func pollOrder(vm ident.VM, relays []ident.VM) []ident.VM {
	others := slices.DeleteFunc(slices.Clone(relays), func(r ident.VM) bool { return r == vm })
	slices.SortFunc(others, func(x, y ident.VM) int { return cmp.Compare(rendezvousHash(x, vm), rendezvousHash(y, vm)) })
	return others
}

// rendezvousHash returns the sort key of vm in the order that belongs to key.
func rendezvousHash(vm, key ident.VM) uint64 {
	return xxhash.Sum64String(string(vm) + "/" + string(key))
}
