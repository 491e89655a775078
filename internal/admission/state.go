package admission

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Resize changes the capacity and admits what fits into it.
func (g *Gate) Resize(capacity tokens.Count) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = capacity
	g.admit(g.now)
}

// Load is the load of one customer on a Gate.
type Load struct {
	InFlight tokens.Count `json:"inFlightTokens"`
	Waiting  int          `json:"waitingRequests"`
}

// Loads returns the loads of the customers with requests in flight or waiting.
func (g *Gate) Loads() map[ident.Customer]Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := make(map[ident.Customer]Load, len(g.customers))
	for c, q := range g.customers {
		if q.running > 0 || q.waiting > 0 {
			loads[c] = Load{InFlight: q.inFlight, Waiting: q.waiting}
		}
	}
	return loads
}

// WouldWait reports whether a request with the given tokens would be the first that has to wait.
func (g *Gate) WouldWait(n tokens.Count) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting == 0 && !g.hasRoom(n)
}

// State is the state of a Gate.
type State struct {
	Capacity, InFlight tokens.Count
	Waiting            int           // requests
	Hold               time.Duration // mean time that a request is in flight
}

// State returns the state of the gate.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Capacity: g.capacity, InFlight: g.inFlight, Waiting: g.waiting, Hold: time.Duration(g.pace.hold * float64(time.Second))}
}

// Refusal returns the refusal of a request that has waited, or nil.
func (t *Ticket) Refusal() *Refusal {
	select {
	case <-t.admitted:
		return t.refusal
	default:
		return nil
	}
}

// Admitted reports whether the request of the ticket was admitted.
func (t *Ticket) Admitted() bool {
	select {
	case <-t.admitted:
		return t.refusal == nil
	default:
		return false
	}
}
