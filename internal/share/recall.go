package share

import (
	"cmp"
	"slices"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/tokens"
)

// planRecall asks the other holders for what the waiting reservations lack,
// largest free share first. Nobody is asked if all together cannot cover the
// reservation to be served next.
func planRecall(s State, d Decision, short, least tokens.Count) Decision {
	d.Recalls = recalls(s.Holders, short-s.Pool)
	if s.Pool+total(d.Recalls) < least {
		d.Action, d.Reason, d.Recalls = ActionRefuse, ReasonSpent, nil
		return d
	}
	if len(d.Recalls) == 0 {
		d.Action, d.Reason = ActionDraw, ReasonLast
		d.Want, d.Least = min(short, s.Pool), least
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

func total(asked []Recall) (n tokens.Count) {
	for _, r := range asked {
		n += r.Want
	}
	return n
}

func free(h ledger.Holding) tokens.Count {
	return h.Granted - h.Reserved
}
