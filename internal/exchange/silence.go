package exchange

import (
	"net/netip"
	"slices"
	"time"
)

// suspectAfter is how long a call may wait on a reused connection before the idle connections
// that are as old are no longer used. Most responses begin sooner.
const suspectAfter = 500 * time.Millisecond

// beginWait records that a call waits for the response on a reused connection.
func (p *Pool) beginWait(address netip.AddrPort, c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[address] == nil {
		p.waiting[address] = make(map[*conn]time.Time)
	}
	p.waiting[address][c] = now
}

// endWait records that a call no longer waits. If it got no response, the idle connections that
// have carried none since its start are closed, unless the caller canceled it early.
func (p *Pool) endWait(address netip.AddrPort, c *conn, now time.Time, responded, canceled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	start := p.waiting[address][c]
	delete(p.waiting[address], c)
	if len(p.waiting[address]) == 0 {
		delete(p.waiting, address)
	}
	if responded || canceled && now.Sub(start) < suspectAfter {
		return
	}
	p.setIdle(address, slices.DeleteFunc(p.idle[address], func(other *conn) bool {
		old := other.lastUsed.Before(start)
		if old {
			_ = other.Close()
		}
		return old
	}))
}

// suspect reports whether an idle connection may have gone silent: a call has waited for
// suspectAfter on another one, and this one has carried no response since that call began.
func (p *Pool) suspect(address netip.AddrPort, c *conn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, start := range p.waiting[address] {
		if now.Sub(start) >= suspectAfter && c.lastUsed.Before(start) {
			return true
		}
	}
	return false
}
