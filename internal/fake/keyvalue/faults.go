package keyvalue

import "time"

// Faults describes the faults injected into the calls of one client or of all
// clients. The zero value injects none. Faults of writes apply to lease calls
// too.
type Faults struct {
	// Outage makes all calls fail with store.ErrUnavailable and ends the
	// watches.
	Outage bool
	// Delay is the time by which each call is delayed before it takes effect.
	// A write whose context ends during the delay still takes effect and
	// returns store.ErrUnknown.
	Delay time.Duration
	// LoseResponses is the number of next writes that take effect but return
	// store.ErrUnknown.
	LoseResponses int
	// LoseWrites is the number of next writes that take no effect and return
	// store.ErrUnknown.
	LoseWrites int
	// HoldWrites is the number of next writes that return store.ErrUnknown and
	// take effect when Service.ReleaseHeld is called.
	HoldWrites int
	// ResponseLossProbability is the probability that a write takes effect but returns
	// store.ErrUnknown.
	ResponseLossProbability float64
	// WriteLossProbability is the probability that a write takes no effect and returns
	// store.ErrUnknown.
	WriteLossProbability float64
}

// faultState holds the faults in force for one client or for all clients. It is
// guarded by Service.mu.
type faultState struct {
	Faults
	outageCount int // outages begun so far; a watch ends when the number changes
}

// setFaults replaces the faults in target and wakes the watches, which end if an
// outage has begun.
func (s *Service) setFaults(target *faultState, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Outage && !target.Outage {
		target.outageCount++
	}
	target.Faults = f
	s.broadcast()
}

// writeOutcome tells whether a write takes effect and whether its caller gets the
// response.
type writeOutcome int

const (
	outcomeApplied      writeOutcome = iota
	outcomeResponseLost              // takes effect; the caller gets store.ErrUnknown
	outcomeWriteLost                 // takes no effect; the caller gets store.ErrUnknown
	outcomeHeld                      // takes effect later; the caller gets store.ErrUnknown
)

// nextOutcome determines the outcome of one write from the faults of the client
// and then those of the service, and decrements the counted fault that applies.
// The caller holds mu.
func (s *Service) nextOutcome(clientFaults *faultState) writeOutcome {
	for _, f := range []*faultState{clientFaults, s.faults} {
		if outcome := f.nextOutcome(s.rng.Float64); outcome != outcomeApplied {
			return outcome
		}
	}
	return outcomeApplied
}

// nextOutcome determines the outcome of one write. Counted faults take precedence
// over random ones. The caller holds Service.mu.
func (f *faultState) nextOutcome(random func() float64) writeOutcome {
	switch {
	case consumeOne(&f.LoseResponses):
		return outcomeResponseLost
	case consumeOne(&f.LoseWrites):
		return outcomeWriteLost
	case consumeOne(&f.HoldWrites):
		return outcomeHeld
	case f.ResponseLossProbability > 0 && random() < f.ResponseLossProbability:
		return outcomeResponseLost
	case f.WriteLossProbability > 0 && random() < f.WriteLossProbability:
		return outcomeWriteLost
	}
	return outcomeApplied
}

// consumeOne decrements n and returns true, or returns false if n is not positive.
func consumeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
