package share

import (
	"cmp"
	"slices"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/tokens"
)

// maxDoublings bounds how often the number of tokens asked for is doubled.
const maxDoublings = 8

// planRecall asks the other holders for what the reservation to be served next
// lacks, largest free share first. They may have reserved more than the ledger
// knows, so each round asks for twice as much as the one before. Nobody is
// asked if all together cannot cover the reservation.
func planRecall(s State, d Decision, short, least tokens.Count) Decision {
	if s.Pool >= least {
		d.Action, d.Reason = ActionDraw, ReasonLast
		d.Want, d.Least = min(short, s.Pool), least
		return d
	}
	missing := least - s.Pool
	if d.Recalls = recalls(s.Holders, missing<<min(s.Round, maxDoublings)); total(d.Recalls) < missing {
		d.Action, d.Reason, d.Recalls = ActionRefuse, ReasonSpent, nil
		return d
	}
	d.Action, d.Reason = ActionRecall, ReasonExhausted
	d.Want, d.Least = short, least
	return d
}

// recalls returns whom to ask for want tokens.
func recalls(holders []ledger.Holding, want tokens.Count) (asked []Recall) {
	if want <= 0 {
		return nil
	}
	largest := slices.Clone(holders)
	slices.SortFunc(largest, func(a, b ledger.Holding) int {
		return cmp.Or(cmp.Compare(free(b), free(a)), cmp.Compare(a.Holder, b.Holder))
	})
	for _, h := range largest {
		n := min(free(h), want)
		if n <= 0 {
			break
		}
		asked = append(asked, Recall{Holding: h, Want: n})
		want -= n
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
