package keyvalue

import "time"

// Faults is what goes wrong with the calls of one client or of all. The zero
// value is no fault. A fault that concerns writes concerns lease calls too.
type Faults struct {
	// Outage refuses all calls with store.ErrUnavailable and ends the watches.
	Outage bool
	// Delay is how long each call waits before it takes effect. A write whose
	// context ends while it waits takes effect, and its outcome is unknown.
	Delay time.Duration
	// LoseAnswers is the number of writes from now on that take effect and
	// return store.ErrUnknown.
	LoseAnswers int
	// LoseWrites is the number of writes from now on that take no effect and
	// return store.ErrUnknown.
	LoseWrites int
	// HoldWrites is the number of writes from now on that return
	// store.ErrUnknown and take effect at Service.ReleaseHeld.
	HoldWrites int
	// AnswerLoss is the probability that a write takes effect and returns
	// store.ErrUnknown.
	AnswerLoss float64
	// WriteLoss is the probability that a write takes no effect and returns
	// store.ErrUnknown.
	WriteLoss float64
}

// faults is a set of faults in force. Service.mu guards it.
type faults struct {
	Faults
	outages int // begun so far; a watch ends when the number changes
}

func (s *Service) setFaults(target *faults, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Outage && !target.Outage {
		target.outages++
	}
	target.Faults = f
	s.broadcast()
}

// fate is what becomes of one write.
type fate int

const (
	fateDone       fate = iota
	fateAnswerLost      // takes effect, outcome unknown
	fateLost            // no effect, outcome unknown
	fateHeld            // takes effect later, outcome unknown
)

// fate decides on one write and uses up counted faults. The caller holds mu.
func (s *Service) fate(own *faults) fate {
	for _, f := range []*faults{own, s.faults} {
		if fate := f.next(s.rng.Float64); fate != fateDone {
			return fate
		}
	}
	return fateDone
}

func (f *faults) next(random func() float64) fate {
	switch {
	case take(&f.LoseAnswers):
		return fateAnswerLost
	case take(&f.LoseWrites):
		return fateLost
	case take(&f.HoldWrites):
		return fateHeld
	case f.AnswerLoss > 0 && random() < f.AnswerLoss:
		return fateAnswerLost
	case f.WriteLoss > 0 && random() < f.WriteLoss:
		return fateLost
	}
	return fateDone
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
