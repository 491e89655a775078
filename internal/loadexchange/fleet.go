package loadexchange

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"example.org/lagoonfork/internal/loadexchange/collector"
	"example.org/lagoonfork/internal/loadexchange/plan"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
)

// lapsedRetention is how long the load of a router counts after its record has lapsed. A router that
// is cut off from the key-value service loses its record and still sends requests.
const lapsedRetention = time.Hour

// fleet is the routers in the order of their rank.
type fleet struct {
	records   []membership.Record // from which ranked and addresses were made
	ranked    []plan.Router
	addresses map[ident.VM]netip.AddrPort
	lapsed    map[ident.VM]time.Time // when the routers that have left were seen last
}

// update ranks the records. It does nothing if they are the same slice as before, because ranking
// 390 records at each exchange would take most of its time.
func (f *fleet) update(now time.Time, records []membership.Record) {
	if len(records) == len(f.records) && len(records) > 0 && &records[0] == &f.records[0] {
		return
	}
	next := fleet{records: records, addresses: make(map[ident.VM]netip.AddrPort, len(records)), lapsed: make(map[ident.VM]time.Time)}
	for _, r := range membership.Ranked(dutyName, records) {
		next.ranked = append(next.ranked, plan.Router{VM: r.VM, Domain: r.FailureDomain})
		next.addresses[r.VM] = r.Address
	}
	maps.Copy(next.lapsed, f.lapsed)
	for vm := range f.addresses {
		next.lapsed[vm] = now
	}
	maps.DeleteFunc(next.lapsed, func(vm ident.VM, at time.Time) bool {
		_, current := next.addresses[vm]
		return current || now.Sub(at) > lapsedRetention
	})
	*f = next
}

// knows reports whether a router of the VM has a record, or had one not long ago.
func (f *fleet) knows(now time.Time, vm ident.VM) bool {
	if _, current := f.addresses[vm]; current {
		return true
	}
	at, ok := f.lapsed[vm]
	return ok && now.Sub(at) <= lapsedRetention
}

// known returns the batches of routers that are known, without the names of unknown members, and the
// number of the other batches.
func (f *fleet) known(now time.Time, batches []collector.Batch) (known []collector.Batch, unknown int64) {
	for _, b := range batches {
		joined := len(b.Members) > 0
		b.Members = slices.DeleteFunc(b.Members, func(vm ident.VM) bool { return !f.knows(now, vm) })
		if !f.knows(now, b.VM) || joined && len(b.Members) == 0 {
			unknown++
			continue
		}
		known = append(known, b)
	}
	return known, unknown
}

// mean returns the moving average of a size. The first value counts whole.
func mean(average, size int) int {
	if average == 0 {
		return size
	}
	return (7*average + size) / 8
}
