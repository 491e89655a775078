// Package callerlimit decides which connections and requests of untrusted callers a router holds
// with the memory and the descriptors of its VM.
//
// It addresses the load of callers that open very many connections, or send heads and bodies that
// each are within the limits of the configuration but together exhaust the VM, most of them
// without ever ending. Newcomers take the place of connections that wait or stall: first of those
// that have never had a request accepted, then of those that have been idle longest, then of
// slow uploads. A request in progress is never given up. If there is nothing to give up, the
// newcomer is refused.
//
// # Usage
//
//	r := callerlimit.New(callerlimit.VM{Memory: 112e6, Descriptors: 4096}.Callers())
//	c, ok := r.Open(now, closeConnection)
//	defer c.Close()
//	c.Enter(now, callerlimit.Receiving)
//	if !c.Reserve(now, bytes) {
//		// refuse the request
//	}
package callerlimit

import (
	"sync"
	"time"
)

const (
	// smallRequest is the memory up to which a request may use all of the limit. Larger ones
	// may use largeFraction of it, so that they do not keep ordinary requests out.
	smallRequest  = 160 << 10
	largeFraction = 0.75
	// memoryPatience is how long an unfinished head, or a body of which nothing arrives, is kept
	// if its memory is needed, and connectionPatience how long such a body is kept if its
	// connection is needed. In a trial with some 1,280 new
	// stalled uploads a second on 150 connections that were kept for 1 s, 44 of 60 ordinary
	// requests found no connection; with 100 ms, 14 of 60.
	memoryPatience     = 250 * time.Millisecond
	connectionPatience = 100 * time.Millisecond
	// Uploads that have received less than slowBytes, or less than one part in slowParts of the
	// memory that they hold, in the last slowWindow are slow. slowBytes is a 75th of what a link
	// of 10 Mbit/s carries. An upload that takes longer than four times the 10 s that a body may
	// take cannot succeed; slowParts keeps callers from holding much memory with little traffic.
	slowWindow = time.Second
	slowBytes  = 16 << 10
	slowParts  = 40
)

// Phase is what a connection is doing.
type Phase int

const (
	Waiting   Phase = iota // for the first byte of a request
	Receiving              // the head of a request
	Uploading              // the body of a request
	Running                // the request has arrived
)

// Counts holds how often the limits have applied.
type Counts struct {
	ConnectionsRefused int64 `json:"connectionsRefused"` // closed at once, all others were in use
	WaitingClosed      int64 `json:"waitingClosed"`      // to make room, while they waited for a request
	HeadsClosed        int64 `json:"headsClosed"`        // to make room, while their heads had not ended
	UploadsClosed      int64 `json:"uploadsClosed"`      // to make room, while their bodies were slow
	MemoryRefused      int64 `json:"memoryRefused"`      // requests or parts of them for which there was no memory
}

// Registry holds the connections of one endpoint. Its methods are safe for concurrent use.
type Registry struct {
	limits Limits

	mu          sync.Mutex
	connections map[*Connection]struct{}
	used        int64
	counts      Counts
}

// New returns a Registry without connections.
func New(l Limits) *Registry {
	return &Registry{limits: l, connections: make(map[*Connection]struct{})}
}

// State is a snapshot of a Registry.
type State struct {
	Counts
	Connections int    `json:"connections"`
	Memory      int64  `json:"memory"` // reserved for requests, in bytes
	Limits      Limits `json:"limits"`
}

// State returns a snapshot.
func (r *Registry) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Counts: r.counts, Connections: len(r.connections), Memory: r.used, Limits: r.limits}
}

// Connection is one connection of a Registry. Its methods are safe for concurrent use.
type Connection struct {
	registry *Registry
	giveUp   func(Phase) bool

	// Guarded by registry.mu.
	phase       Phase
	progress    time.Time // when a part of a body arrived last, or the phase began
	accepted    bool      // a request has been accepted
	reserved    int64
	windowStart time.Time
	windowBytes int64
	wasSlow     bool // in the last complete window
}

// Open adds a connection that waits for a request, or reports that it has to be closed. It may
// give up another one, whose giveUp it calls with the phase. giveUp must not block and not call the
// Registry. It returns false if the connection is about to enter another phase and stays.
func (r *Registry) Open(now time.Time, giveUp func(Phase) bool) (c *Connection, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.limits.Connections > 0 && len(r.connections) >= r.limits.Connections {
		victim := r.connectionToGiveUp(now)
		if victim == nil {
			r.counts.ConnectionsRefused++
			return nil, false
		}
		r.drop(now, victim)
	}
	c = &Connection{registry: r, giveUp: giveUp, phase: Waiting, progress: now}
	r.connections[c] = struct{}{}
	return c, true
}

// connectionToGiveUp returns the connection that takes its place with the least use, or nil if
// all are in use.
func (r *Registry) connectionToGiveUp(now time.Time) (victim *Connection) {
	const inUse = 4 // above the classes of connections that may be given up
	class := func(c *Connection) int {
		fresh := now.Sub(c.progress) < connectionPatience // its request may be on its way
		switch {
		case !fresh && (c.phase == Waiting && !c.accepted || c.phase == Receiving):
			return 0
		case c.phase == Waiting && c.accepted:
			return 1
		case c.stalls(now, connectionPatience):
			return 2
		case c.phase == Waiting, c.phase == Receiving:
			return 3
		}
		return inUse
	}
	least := inUse
	for c := range r.connections {
		if n := class(c); n < least || n < inUse && n == least && c.progress.Before(victim.progress) {
			least, victim = n, c
		}
	}
	return victim
}

// slow reports whether the connection uploads a body slowly.
func (c *Connection) slow(now time.Time) bool {
	return c.phase == Uploading && c.windowBytes < c.minProgress() && (c.wasSlow || now.Sub(c.windowStart) >= slowWindow)
}

// stalls reports whether the request of the connection has not arrived, and either a body is slow
// or nothing of it has arrived for the given time, or the head has taken that time.
func (c *Connection) stalls(now time.Time, patience time.Duration) bool {
	unfinished := c.phase == Receiving || c.phase == Uploading
	return unfinished && now.Sub(c.progress) >= patience || c.slow(now)
}

// minProgress returns how many bytes of a body have to arrive in slowWindow.
func (c *Connection) minProgress() int64 { return max(slowBytes, c.reserved/slowParts) }

// drop gives up a connection. One that stays counts as running until it enters the phase that it is
// about to enter. r.mu must be held.
func (r *Registry) drop(now time.Time, c *Connection) {
	if !c.giveUp(c.phase) {
		c.phase, c.progress = Running, now
		return
	}
	switch c.phase {
	case Receiving:
		r.counts.HeadsClosed++
	case Uploading:
		r.counts.UploadsClosed++
	default:
		r.counts.WaitingClosed++
	}
	c.remove()
}

// remove removes the connection and its reservation. registry.mu must be held.
func (c *Connection) remove() {
	if _, ok := c.registry.connections[c]; ok {
		delete(c.registry.connections, c)
		c.registry.used -= c.reserved
	}
	c.reserved = 0
}

// Enter changes the phase of the connection.
func (c *Connection) Enter(now time.Time, p Phase) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.phase, c.progress = p, now
	c.windowStart, c.windowBytes, c.wasSlow = now, 0, false
}

// Accept records that a request of the connection has been accepted, so that the connection is
// kept longer than others while it is idle.
func (c *Connection) Accept() {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.accepted = true
}

// Progress records that n bytes of a body have arrived.
func (c *Connection) Progress(now time.Time, n int) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if now.Sub(c.windowStart) >= slowWindow {
		c.wasSlow = c.windowBytes < c.minProgress()
		c.windowStart, c.windowBytes = now, 0
	}
	c.windowBytes += int64(n)
	c.progress = now
}

// Reserve reserves n more bytes for the request of the connection. It reports false, and reserves
// nothing, if there is no memory or if the connection has been given up. To make room it gives up
// connections whose heads do not end or whose uploads are slow.
func (c *Connection) Reserve(now time.Time, n int64) bool {
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.connections[c]; !ok {
		return false
	}
	if r.limits.Memory > 0 {
		limit := r.limits.Memory
		if c.reserved+n > smallRequest {
			limit = int64(float64(limit) * largeFraction)
		}
		for r.used+n > limit {
			victim := r.requestToGiveUp(now, c)
			if victim == nil || c.reserved+n > limit {
				r.counts.MemoryRefused++
				return false
			}
			r.drop(now, victim)
		}
	}
	c.reserved += n
	r.used += n
	return true
}

// requestToGiveUp returns the request, except that of c, of which nothing has arrived for longest,
// or nil if none stalls.
func (r *Registry) requestToGiveUp(now time.Time, c *Connection) (victim *Connection) {
	for other := range r.connections {
		if other != c && other.stalls(now, memoryPatience) && other.reserved > 0 && (victim == nil || other.progress.Before(victim.progress)) {
			victim = other
		}
	}
	return victim
}

// Release releases the reservation of the connection except for the given number of bytes.
func (c *Connection) Release(except int64) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.reserved > except {
		c.registry.used -= c.reserved - except
		c.reserved = except
	}
}

// Return releases n bytes of the reservation of the connection.
func (c *Connection) Return(n int64) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	n = min(n, c.reserved) // nothing is reserved for a connection that has been given up
	c.registry.used -= n
	c.reserved -= n
}

// Holds reports whether n more bytes could be reserved for the request of the connection if no other
// request held any.
func (c *Connection) Holds(n int64) bool {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	return c.registry.limits.Memory <= 0 || c.reserved+n <= c.registry.limits.LargestRequest()
}

// Detach takes the reservation off the connection, for a request that goes on without it. The
// returned function releases it and must be called once.
func (c *Connection) Detach() (release func()) {
	r := c.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	n := c.reserved
	c.reserved = 0
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.used -= n
	}
}

// Close removes the connection.
func (c *Connection) Close() {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.remove()
}
