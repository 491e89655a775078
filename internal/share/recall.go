package share

import (
	"cmp"
	"slices"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/tokens"
)

// planRecall asks other holders for the tokens that the next reservation lacks,
// starting with the largest free share. Holders may have reserved more than the
// ledger knows, so each round asks at least twice as many of them as the one before.
// If the pool covers the reservation by now, planRecall draws instead. If pool and
// holders together cannot cover it, it is refused and nobody is asked.
func planRecall(s State, d Decision, shortfall, least tokens.Count) Decision {
	if s.Pool >= least {
		d.Action, d.Reason = ActionDraw, ReasonExactDraw
		d.Want, d.Least = min(shortfall, s.Pool), least
		return d
	}
	missing := least - s.Pool
	if d.Recalls = selectRecalls(s.Holders, missing, 1<<min(s.Rounds, maxDoublings)); totalWant(d.Recalls) < missing {
		d.Action, d.Reason, d.Recalls = ActionRefuse, ReasonNoTokens, nil
		return d
	}
	d.Action, d.Reason = ActionRecall, ReasonExhausted
	d.Want, d.Least = shortfall, least
	return d
}

// maxDoublings bounds how often the number of holders asked is doubled.
const maxDoublings = 10

// selectRecalls returns recalls for want tokens: from as many holders as needed to
// cover want, and from at least minHolders if there are as many with free tokens.
func selectRecalls(holders []ledger.Holding, want tokens.Count, minHolders int) (recalls []Recall) {
	sorted := slices.Clone(holders)
	slices.SortFunc(sorted, func(a, b ledger.Holding) int {
		return cmp.Or(cmp.Compare(free(b), free(a)), cmp.Compare(a.Holder, b.Holder))
	})
	var sum tokens.Count
	for _, h := range sorted {
		if free(h) <= 0 || sum >= want && len(recalls) >= minHolders {
			break
		}
		n := min(free(h), want)
		recalls = append(recalls, Recall{Holding: h, Want: n})
		sum += n
	}
	return recalls
}

// Unservable reports whether the last draw was refused for lack of tokens and the
// share, the pool and all other holders together have too few for the next
// reservation.
func (s State) Unservable() bool {
	left := s.Free + s.Pool
	for _, h := range s.Holders {
		left += max(free(h), 0)
	}
	return s.Exhausted && left < s.Next
}

// RecordReturn updates holders after r returned n tokens. A holder that returned fewer
// than requested has no more.
func (r Recall) RecordReturn(holders []ledger.Holding, n tokens.Count) {
	for i := range holders {
		h := &holders[i]
		switch {
		case h.Holder != r.Holding.Holder:
		case n < r.Want:
			h.Granted = h.Reserved
		default:
			h.Granted -= n
		}
	}
}

func totalWant(recalls []Recall) (n tokens.Count) {
	for _, r := range recalls {
		n += r.Want
	}
	return n
}

func free(h ledger.Holding) tokens.Count {
	return h.Granted - h.Reserved
}
