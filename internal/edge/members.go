package edge

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/allowance"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/mirror"
	"example.org/lagoonfork/pkg/ident"
)

// members holds the routers that have a record. The methods are safe for concurrent
// use.
type members struct {
	vm     ident.VM
	domain ident.FailureDomain
	clock  func() time.Time
	log    hclog.Logger

	mu          sync.Mutex
	mirror      *mirror.Mirror // of the routers' records
	changed     <-chan struct{}
	records     []membership.Record
	domainCount int                            // failure domains of the records
	running     map[ident.VM]ident.Incarnation // by the records
	lapsed      map[ident.VM]lapsedRecord      // of VMs that had a record, and have none
	routers     *allowance.Fleet
}

// lapsedRecord is the last record of a VM, and when it was found to be gone.
type lapsedRecord struct {
	membership.Record
	at time.Time
}

// lapsedRetention is how long a router counts as one that may hold tokens after its record is gone. A
// router that is cut off from the key-value service, or whose record a restoration of the service has
// lost, goes on spending.
const lapsedRetention = time.Hour

func newMembers(vm ident.VM, domain ident.FailureDomain, clock func() time.Time, log hclog.Logger) *members {
	return &members{vm: vm, domain: domain, clock: clock, log: log, lapsed: make(map[ident.VM]lapsedRecord), routers: &allowance.Fleet{Self: vm}}
}

// setMirror sets the mirror of the records. Before that there are no members.
func (m *members) setMirror(records *mirror.Mirror) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mirror = records
}

// all returns the records of the routers. The caller must not modify the slice.
func (m *members) all() []membership.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mirror == nil {
		return nil
	}
	select {
	case <-m.changed:
	default:
		if m.changed != nil {
			return m.records
		}
	}
	m.changed = m.mirror.Changed()
	before := m.records
	m.records = nil
	for _, e := range m.mirror.Entries() {
		record, err := membership.Decode(e.Key, e.Value)
		if err != nil {
			event.RecordMalformed.Warn(m.log, "key", e.Key, "err", err)
			continue
		}
		m.records = append(m.records, record)
	}
	m.domainCount = membership.CountDomains(m.records)
	m.routers = &allowance.Fleet{Self: m.vm}
	m.running = make(map[ident.VM]ident.Incarnation, len(m.records))
	for _, r := range m.records {
		m.running[r.VM] = r.Incarnation
		m.routers.Routers = append(m.routers.Routers, r.VM)
		delete(m.lapsed, r.VM)
	}
	for _, r := range before {
		if _, listed := m.running[r.VM]; !listed {
			m.lapsed[r.VM] = lapsedRecord{r, m.clock()}
		}
	}
	return m.records
}

// recent returns the records of the routers, and the last ones of VMs that have lost theirs within
// lapsedRetention.
func (m *members) recent() []membership.Record {
	records := slices.Clone(m.all())
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	maps.DeleteFunc(m.lapsed, func(_ ident.VM, r lapsedRecord) bool { return now.Sub(r.at) > lapsedRetention })
	for _, r := range m.lapsed {
		records = append(records, r.Record)
	}
	return records
}

// replaced reports whether a process has a record in place of the given one, on the same VM. A
// process that has just started is taken for replaced until its record is read.
func (m *members) replaced(process ident.Incarnation) bool {
	m.all()
	m.mu.Lock()
	defer m.mu.Unlock()
	current, known := m.running[process.VM()]
	return known && current != process
}

// fleet returns the routers that share the limits of upstreams.
func (m *members) fleet() *allowance.Fleet {
	m.all()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.routers
}

// failureDomains returns the number of failure domains that have routers, or 1 while
// no router is known.
func (m *members) failureDomains() int {
	m.all()
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.domainCount, 1)
}

// relays returns the endpoints of the relays from which this router reads the named
// mirror, in order of preference: those that rank before it in its failure domain or,
// if it ranks first there, the first routers of the other domains that rank before
// it. The list is empty if this router reads the key-value service itself, which the
// highest-ranked router does, or if no record of its failure domain is known yet.
func (m *members) relays(name string) (endpoints []netip.AddrPort) {
	ranked := membership.Ranked(name, m.all())
	candidates := slices.DeleteFunc(slices.Clone(ranked), func(r membership.Record) bool { return r.FailureDomain != m.domain })
	if len(candidates) > 0 && candidates[0].VM == m.vm {
		candidates = membership.FirstPerDomain(ranked)
	}
	for _, r := range candidates {
		if r.VM == m.vm {
			return endpoints
		}
		endpoints = append(endpoints, r.Address)
	}
	return endpoints
}

// knowsRouters reports whether the records of the routers have been read.
func (r *Router) knowsRouters() bool {
	age, _ := r.routerRecords.Age(r.settings.Clock())
	return age >= 0
}
