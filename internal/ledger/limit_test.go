package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/pkg/ident"
)

// drawWithLimit returns a draw with a spending limit.
func drawWithLimit(holder ident.Incarnation, vm ident.VM, sequence uint64) Op {
	op := drawOp(holder, sequence, 100)
	op.Draw.Limit = &SpendLimit{VM: vm, Boot: "b", AsOf: time.Second, Committed: 40}
	return op
}

// TestOthersLeavesOutEndedShares replaces the process on one of two VMs. The
// share of the old process must not count in Result.SharedByOthers.
func TestOthersLeavesOutEndedShares(t *testing.T) {
	var p Page
	p.Apply(drawWithLimit("a1", "a", 1), start)
	assert.EqualValues(t, 100, p.Apply(drawWithLimit("b1", "b", 1), start).SharedByOthers)
	assert.EqualValues(t, 100, p.Apply(drawWithLimit("a2", "a", 1), start).SharedByOthers, "the share of a1 has ended")
	assert.EqualValues(t, 100, p.Apply(drawWithLimit("b1", "b", 2), start).SharedByOthers)
	p.Apply(Op{FreePredecessors: &FreePredecessors{VM: "a", Boot: "b", AsOf: 2 * time.Second, Holder: "a2"}}, start)
	assert.EqualValues(t, 40, p.Budgets["b"].Shares["a1"].Granted, "unspent tokens of the ended share are freed")
	assert.EqualValues(t, 660, p.Budgets["b"].Free())
}
