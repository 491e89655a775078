package edge

import (
	"net/netip"
	"sync"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/mirror"
	"example.org/lagoonfork/pkg/ident"
)

// members are the routers that have a record. The methods are safe for
// concurrent use.
type members struct {
	vm     ident.VM
	domain ident.FailureDomain
	log    hclog.Logger

	mu      sync.Mutex
	mirror  *mirror.Mirror // of the records
	changed <-chan struct{}
	records []membership.Record
}

func newMembers(vm ident.VM, domain ident.FailureDomain, log hclog.Logger) *members {
	return &members{vm: vm, domain: domain, log: log}
}

// follow sets the mirror of the records. Until then there are no members.
func (m *members) follow(records *mirror.Mirror) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mirror = records
}

// all returns the records of the routers. The caller does not change them.
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
	m.records = nil
	for _, e := range m.mirror.Entries() {
		record, err := membership.Decode(e.Key, e.Value)
		if err != nil {
			event.RecordMalformed.Warn(m.log, "key", e.Key, "err", err)
			continue
		}
		m.records = append(m.records, record)
	}
	return m.records
}

// readers returns the endpoints of the routers of this failure domain that read
// a mirror of the given name rather than this one, first those that do so rather
// than others. Before this router's own record is known there are none.
func (m *members) readers(name string) (endpoints []netip.AddrPort) {
	var near []membership.Record
	for _, r := range m.all() {
		if r.FailureDomain == m.domain {
			near = append(near, r)
		}
	}
	for _, r := range membership.Ranked(name, near) {
		if r.VM == m.vm {
			return endpoints
		}
		endpoints = append(endpoints, r.Address)
	}
	return nil
}
