package ledger

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// SpendLimit is an upper bound on what a holder spends from its share. Until a
// later SpendLimit of the holder is on the page, the holder spends at most
// Committed tokens beyond Share.Spent, plus PerSecond tokens for each second since
// AsOf, and during the calm phase at most what CalmPhase allows. FreePredecessors
// derives from this how much of a dead holder's share was never spent.
type SpendLimit struct {
	VM ident.VM `json:"vm"`
	// Boot identifies the boot of the VM from which AsOf is measured. The calm phase may
	// be appended to it; see CalmPhase.AppendTo.
	Boot string `json:"boot"`
	// AsOf is the time since the boot, including suspensions.
	AsOf      time.Duration `json:"asOf"`
	Committed tokens.Count  `json:"committed"`
	PerSecond float64       `json:"perSecond"`
}

// CalmPhase is a tighter bound that a holder observes for a while after its last op, when
// it can expect to report again before the phase ends. Until For after SpendLimit.AsOf, the
// holder spends at most Committed tokens beyond Share.Spent, plus PerSecond tokens for each
// second. The zero value is no phase, as in the limits of earlier releases.
type CalmPhase struct {
	For       time.Duration // whole milliseconds
	Committed tokens.Count
	PerSecond tokens.Count
}

// FreePredecessors frees the tokens that dead holders on a VM cannot have spent,
// in all budgets of the page. The process that replaced them sends it during the
// same boot of the VM. Tokens that they may have spent stay in their shares.
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
	n := allowance(l.Committed, l.PerSecond, at-l.AsOf)
	if _, calm, ok := l.boot(); ok && at-l.AsOf <= calm.For {
		n = min(n, allowance(calm.Committed, float64(calm.PerSecond), at-l.AsOf))
	}
	return n
}

// allowance returns the tokens that may be spent within a time, rounded up.
func allowance(committed tokens.Count, perSecond float64, within time.Duration) tokens.Count {
	n := float64(committed) + math.Ceil(perSecond*within.Seconds())
	if n >= float64(maxCount) {
		return maxCount
	}
	return tokens.Count(n)
}

// maxCalm is the longest calm phase that a limit may have.
const maxCalm = time.Hour

// calmSeparator separates the identifier of the boot from the calm phase.
const calmSeparator = ";calm="

// AppendTo returns SpendLimit.Boot for a limit with this phase. Earlier releases reject
// pages with fields that they do not know, so the phase is part of a field that they copy.
// They free nothing from the share then, because no process runs on a boot of that name. An
// identifier that contains the separator is returned as it is.
func (c CalmPhase) AppendTo(boot string) string {
	if c.For == 0 || strings.Contains(boot, calmSeparator) {
		return boot
	}
	return fmt.Sprintf("%s%s%d,%d,%d", boot, calmSeparator, c.For.Milliseconds(), c.Committed, c.PerSecond)
}

// boot returns the identifier of the boot and the calm phase. It returns false if the phase
// is malformed.
func (l *SpendLimit) boot() (id string, c CalmPhase, ok bool) {
	id, calm, found := strings.Cut(l.Boot, calmSeparator)
	if !found {
		return id, c, true
	}
	var values [3]int64
	fields := strings.Split(calm, ",")
	if len(fields) != len(values) {
		return id, c, false
	}
	for i, f := range fields {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil || !inRange(tokens.Count(n)) {
			return id, c, false
		}
		values[i] = n
	}
	c = CalmPhase{For: time.Duration(values[0]) * time.Millisecond, Committed: tokens.Count(values[1]), PerSecond: tokens.Count(values[2])}
	return id, c, id != "" && values[0] > 0 && values[0] <= maxCalm.Milliseconds()
}

// appliesTo reports whether holder, whose limit is l, ran before the sender of the
// op during the same boot of the same VM. Without a limit, this and its unspent
// tokens are not known, and appliesTo returns false.
func (s FreePredecessors) appliesTo(holder ident.Incarnation, l *SpendLimit) bool {
	if l == nil || holder == s.Holder || l.VM != s.VM || l.AsOf > s.AsOf {
		return false
	}
	boot, _, ok := l.boot()
	return ok && boot == s.Boot
}

// freePredecessors frees the tokens that the dead holders on a VM cannot have
// spent, and returns their number.
func (b *Budget) freePredecessors(s FreePredecessors) (freed tokens.Count) {
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
	if l == nil {
		return true
	}
	_, _, ok := l.boot()
	return ok && l.VM != "" && l.Boot != "" && l.AsOf >= 0 && inRange(l.Committed) && l.PerSecond >= 0 && l.PerSecond <= float64(maxCount)
}

func (s FreePredecessors) wellFormed() bool {
	return s.VM != "" && s.Boot != "" && s.Holder != "" && s.AsOf >= 0
}
