package configwatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// leastRelays is the number of relays in a small fleet.
const leastRelays = 9

// Relays returns the VMs that watch the key-value service: the first of the
// live VMs in the order of their hashes, as many as the square root of their
// number but at least 9. All VMs that see the same list choose the same
// relays, and a VM that joins or leaves changes at most two of them.
func Relays(live []ident.VM) []ident.VM {
	ordered := slices.Clone(live)
	slices.SortFunc(ordered, func(x, y ident.VM) int {
		return cmp.Or(cmp.Compare(rank(x, ""), rank(y, "")), cmp.Compare(x, y))
	})
	ordered = slices.Compact(ordered)
	n := max(leastRelays, int(math.Ceil(math.Sqrt(float64(len(ordered))))))
	return ordered[:min(n, len(ordered))]
}

// preferred returns the relays other than vm in an order of its own, so that
// the VMs spread over the relays.
func preferred(vm ident.VM, relays []ident.VM) []ident.VM {
	others := slices.DeleteFunc(slices.Clone(relays), func(r ident.VM) bool { return r == vm })
	slices.SortFunc(others, func(x, y ident.VM) int { return cmp.Compare(rank(x, vm), rank(y, vm)) })
	return others
}

func rank(vm, viewer ident.VM) uint64 {
	return xxhash.Sum64String(string(vm) + "/" + string(viewer))
}
