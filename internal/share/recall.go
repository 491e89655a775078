package share

import (
	"cmp"
	"slices"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/tokens"
)

// planRecall asks the other holders for what the reservation to be served next
// lacks, largest free share first. They may have reserved more than the ledger
// knows, so each round asks at least twice as many of them as the one before.
// Nobody is asked if all together cannot cover the reservation.
func planRecall(s State, d Decision, short, least tokens.Count) Decision {
	if s.Pool >= least {
		d.Action, d.Reason = ActionDraw, ReasonLast
		d.Want, d.Least = min(short, s.Pool), least
		return d
	}
	missing := least - s.Pool
	if d.Recalls = recalls(s.Holders, missing, 1<<min(s.Round, maxDoublings)); total(d.Recalls) < missing {
		d.Action, d.Reason, d.Recalls = ActionRefuse, ReasonSpent, nil
		return d
	}
	d.Action, d.Reason = ActionRecall, ReasonExhausted
	d.Want, d.Least = short, least
	return d
}

// maxDoublings bounds how often the number of holders asked is doubled.
const maxDoublings = 10

// recalls returns whom to ask for want tokens: as many holders as have them,
// and at least least holders.
func recalls(holders []ledger.Holding, want tokens.Count, least int) (asked []Recall) {
	largest := slices.Clone(holders)
	slices.SortFunc(largest, func(a, b ledger.Holding) int {
		return cmp.Or(cmp.Compare(free(b), free(a)), cmp.Compare(a.Holder, b.Holder))
	})
	var sum tokens.Count
	for _, h := range largest {
		if free(h) <= 0 || sum >= want && len(asked) >= least {
			break
		}
		n := min(free(h), want)
		asked = append(asked, Recall{Holding: h, Want: n})
		sum += n
	}
	return asked
}

// Spent reports whether the ledger and all holders together had too little for
// the reservation to be served next when a draw was last refused.
func (s State) Spent() bool {
	left := s.Free + s.Pool
	for _, h := range s.Holders {
		left += max(free(h), 0)
	}
	return s.Exhausted && left < s.Least
}

// Returned takes into holders that r brought back n tokens. A holder that
// returned less than it was asked for has no more.
func (r Recall) Returned(holders []ledger.Holding, n tokens.Count) {
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

func total(asked []Recall) (n tokens.Count) {
	for _, r := range asked {
		n += r.Want
	}
	return n
}

func free(h ledger.Holding) tokens.Count {
	return h.Granted - h.Reserved
}
