package exchange

import "net/netip"

// Process identifies a process that listens on an address.
type Process struct {
	Address netip.AddrPort
	Owner   string // as in Call
}

// Retain closes the idle connections to all processes but the given ones. Connections to others
// that are in use are closed at the end of their exchanges. It is meant to be called when the set
// of upstreams changes.
func (p *Pool) Retain(all []Process) {
	present := make(map[Process]bool, len(all))
	for _, process := range all {
		present[process] = true
	}
	var gone []*conn
	p.mu.Lock()
	p.present = present
	for address, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if present[Process{address, c.owner}] {
				kept = append(kept, c)
			} else {
				gone = append(gone, c)
			}
		}
		p.setIdle(address, kept)
	}
	p.mu.Unlock()
	for _, c := range gone {
		_ = c.Close()
	}
}

// setIdle sets the idle connections to an address. The caller holds mu.
func (p *Pool) setIdle(address netip.AddrPort, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

// Close closes all idle connections. Connections in use are closed at the end of
// their exchanges.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = make(map[netip.AddrPort][]*conn), true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
