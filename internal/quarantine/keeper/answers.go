package keeper

import (
	"time"

	"example.org/lagoonfork/internal/quarantine"
)

// answersPeriod is the period of recentAnswers.
const answersPeriod = 300 * time.Millisecond

// recentAnswers remembers for one to two periods which parts of prompts upstreams have
// begun to answer. It holds the answers that this router has seen itself: routers that
// renewed what they hear from each other would excuse a part for ever. The zero value is
// empty. A call of advance must precede others.
type recentAnswers struct {
	start             time.Time // of the current period
	current, previous map[quarantine.Digest]struct{}
}

// advance forgets the answers of earlier periods.
func (a *recentAnswers) advance(now time.Time) {
	elapsed := now.Sub(a.start)
	switch {
	case elapsed >= 0 && elapsed < answersPeriod:
		return
	case elapsed >= 0 && elapsed < 2*answersPeriod:
		a.previous = a.current
	default:
		a.previous = nil
	}
	a.start, a.current = now, make(map[quarantine.Digest]struct{})
}

func (a *recentAnswers) add(digests ...quarantine.Digest) {
	for _, d := range digests {
		a.current[d] = struct{}{}
	}
}

func (a *recentAnswers) has(d quarantine.Digest) bool {
	if _, ok := a.current[d]; ok {
		return true
	}
	_, ok := a.previous[d]
	return ok
}
