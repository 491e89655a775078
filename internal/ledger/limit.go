package ledger

import (
	"math"
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// SpendLimit is a holder's promise about how fast it spends its share. Until a later
// SpendLimit of the holder is on the page, it spends at most Committed tokens beyond
// Share.Spent, plus PerSecond tokens for each second since AsOf. A successor
// derives from this how much of a dead holder's share was never spent.
type SpendLimit struct {
	VM ident.VM `json:"vm"`
	// Boot identifies the boot of the VM from which AsOf is measured.
	Boot string `json:"boot"`
	// AsOf is the time since the boot, including suspensions.
	AsOf      time.Duration `json:"asOf"`
	Committed tokens.Count  `json:"committed"`
	PerSecond float64       `json:"perSecond"`
}

// FreePredecessors frees the tokens that dead holders on a VM cannot have spent, in all
// budgets of the page. The process that replaced them sends it during the same
// boot of the VM. Tokens that they may have spent stay in their shares.
type FreePredecessors struct {
	VM   ident.VM      `json:"vm"`
	Boot string        `json:"boot"`
	AsOf time.Duration `json:"asOf"`
	// Holder is the process that sends the op.
	Holder ident.Incarnation `json:"holder"`
}

// spendable returns the maximum that the holder can have spent beyond
// Share.Spent at the given time since the boot.
func (l *SpendLimit) spendable(at time.Duration) tokens.Count {
	n := float64(l.Committed) + math.Ceil(l.PerSecond*(at-l.AsOf).Seconds())
	if n >= float64(maxCount) {
		return maxCount
	}
	return tokens.Count(n)
}

// appliesTo reports whether the holder ran on the VM and boot of the op before
// its sender, with a limit from which the unspent tokens can be derived.
func (s FreePredecessors) appliesTo(holder ident.Incarnation, l *SpendLimit) bool {
	return l != nil && holder != s.Holder && l.VM == s.VM && l.Boot == s.Boot && l.AsOf <= s.AsOf
}

// succeed frees the tokens that the dead holders on a VM cannot have spent, and
// returns their number.
func (b *Budget) succeed(s FreePredecessors) (freed tokens.Count) {
	for holder, share := range b.Shares {
		if !s.appliesTo(holder, share.Limit) {
			continue
		}
		remaining := min(share.Granted, max(share.Limit.spendable(s.AsOf), share.Reserved))
		freed += share.Granted - remaining
		share.Granted = remaining
		share.Limit = nil
		share.Ended = true
		b.lowerExcess()
		b.changed = true
	}
	return freed
}

func (l *SpendLimit) wellFormed() bool {
	return l == nil || l.VM != "" && l.Boot != "" && l.AsOf >= 0 && inRange(l.Committed) && l.PerSecond >= 0 && l.PerSecond <= float64(maxCount)
}

func (s FreePredecessors) wellFormed() bool {
	return s.VM != "" && s.Boot != "" && s.Holder != "" && s.AsOf >= 0
}
