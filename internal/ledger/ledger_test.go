package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func drawOp(holder ident.Incarnation, sequence uint64, want tokens.Count) Op {
	f := Funding{Customer: "parish", Prepaid: 1000, Revision: 1}
	return Op{Budget: "b", Draw: &Draw{Holder: holder, Sequence: sequence, Want: want, Least: 1, Funding: f}}
}

func newClaim(request ident.Request, holder ident.Incarnation, reserved, cost tokens.Count) Claim {
	return Claim{
		Request: request, Holder: holder, Attempt: ident.Attempt(holder), Idempotent: true,
		Reserved: reserved, Cost: cost, Opened: start,
	}
}

func openOp(c Claim) Op { return Op{Budget: "b", Open: &Open{Claim: c}} }
func settleOp(c Claim, delivered bool) Op {
	return Op{Budget: "b", Settle: &Settle{Claim: c, Delivered: delivered}}
}
func reclaimOp(id ident.Incarnation) Op { return Op{Budget: "b", Reclaim: &Reclaim{Holder: id}} }

func releaseOp(request ident.Request, holder ident.Incarnation, uncertain bool) Op {
	r := &Release{Request: request, Holder: holder, Attempt: ident.Attempt(holder), Uncertain: uncertain}
	return Op{Budget: "b", Release: r}
}

func takeOverOp(request ident.Request, from, to ident.Incarnation) Op {
	return Op{Budget: "b", TakeOver: &TakeOver{Request: request, From: from, To: to, Attempt: ident.Attempt(to)}}
}

func topUpOp(id ident.TopUp, n tokens.Count) Op {
	return Op{Budget: "b", TopUp: &TopUp{ID: id, Tokens: n}}
}

func drawWithFunding(revision int64, prepaid tokens.Count) Op {
	op := drawOp("funder", 1, 1)
	op.Draw.Least = 1
	op.Draw.Funding.Revision = revision
	op.Draw.Funding.Prepaid = prepaid
	return op
}

func returnOp(holder ident.Incarnation, sequence uint64, n tokens.Count) Op {
	return Op{Budget: "b", Return: &Return{Holder: holder, Sequence: sequence, Tokens: n}}
}

func nonIdempotent(c Claim) Claim {
	c.Idempotent = false
	return c
}

// TestApply applies ops in order and checks the outcome of the last one and the
// settled and free tokens. The last op is then repeated, which must return the
// same result and change nothing.
func TestApply(t *testing.T) {
	tests := []struct {
		name    string
		ops     []Op
		want    Outcome
		settled tokens.Count
		free    tokens.Count
	}{
		{"draw", []Op{drawOp("a", 1, 300)}, Applied, 0, 700},
		{"draw of what is left", []Op{drawOp("a", 1, 700), drawOp("b", 1, 700)}, Applied, 0, 0},
		{"draw from nothing", []Op{drawOp("a", 1, 1000), drawOp("b", 1, 1)}, Exhausted, 0, 0},
		{"late copy of a draw", []Op{drawOp("a", 1, 10), drawOp("a", 2, 10), drawOp("a", 1, 10)}, Invalid, 0, 980},
		{"two commands", []Op{{Budget: "b", Reclaim: &Reclaim{Holder: "a"}, TopUp: &TopUp{ID: "t", Tokens: 1}}}, Invalid, 0, 0},
		{"return", []Op{drawOp("a", 1, 300), returnOp("a", 2, 100)}, Applied, 0, 800},
		{"return more than unreserved", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 200, 0)), returnOp("a", 2, 300)}, Applied, 0, 800},
		{"open", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 200, 0))}, Applied, 0, 700},
		{"open beyond the share", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 301, 0))}, ShareGone, 0, 700},
		{"open of another's claim", []Op{drawOp("a", 1, 300), drawOp("b", 1, 300), openOp(newClaim("r", "a", 1, 0)), openOp(newClaim("r", "b", 1, 0))}, Existing, 0, 400},
		{"settle", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 200, 0)), settleOp(newClaim("r", "a", 200, 50), false)}, Applied, 50, 700},
		{"settle above the bound", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 20, 0)), settleOp(newClaim("r", "a", 200, 50), false)}, Invalid, 0, 700},
		{"settle without a claim", []Op{drawOp("a", 1, 300), settleOp(newClaim("r", "a", 200, 50), false)}, Applied, 50, 700},
		{"settle after reclaim", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 200, 0)), reclaimOp("a"), settleOp(newClaim("r", "a", 200, 50), false)}, ShareGone, 0, 1000},
		{"delivered settle after reclaim", []Op{drawOp("a", 1, 300), reclaimOp("a"), settleOp(newClaim("r", "a", 200, 50), true)}, Applied, 50, 950},
		{"delivered settle without free tokens", []Op{drawOp("a", 1, 300), reclaimOp("a"), drawOp("b", 1, 990), settleOp(newClaim("r", "a", 200, 50), true)}, WrittenOff, 0, 10},
		{"settle of another's open claim", []Op{drawOp("a", 1, 300), drawOp("b", 1, 300), openOp(newClaim("r", "a", 20, 0)), settleOp(newClaim("r", "b", 20, 5), false)}, Existing, 0, 400},
		{"delivered settle of another's open claim", []Op{drawOp("a", 1, 300), drawOp("b", 1, 300), openOp(newClaim("r", "a", 20, 0)), settleOp(newClaim("r", "b", 20, 5), true)}, Applied, 5, 420},
		{"settle after another's delivered settle", []Op{drawOp("a", 1, 300), drawOp("b", 1, 300), openOp(newClaim("r", "a", 20, 0)), settleOp(newClaim("r", "b", 20, 5), true), settleOp(newClaim("r", "a", 20, 5), false)}, Existing, 5, 420},
		{"delivered settle of another's claim that may not repeat", []Op{drawOp("a", 1, 300), drawOp("b", 1, 300), openOp(nonIdempotent(newClaim("r", "a", 20, 0))), settleOp(nonIdempotent(newClaim("r", "b", 20, 5)), true)}, Existing, 0, 400},
		{"settle of a settled claim", []Op{drawOp("a", 1, 300), drawOp("b", 1, 300), settleOp(newClaim("r", "a", 20, 5), false), settleOp(newClaim("r", "b", 20, 5), true)}, Existing, 5, 400},
		{"release", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 20, 0)), releaseOp("r", "a", false), returnOp("a", 2, 300)}, Applied, 0, 1000},
		{"release by another attempt", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 20, 0)), releaseOp("r", "b", false)}, Existing, 0, 700},
		{"release of a settled claim", []Op{drawOp("a", 1, 300), settleOp(newClaim("r", "a", 20, 5), false), releaseOp("r", "a", false)}, Existing, 5, 700},
		{"take over from another than the holder", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 20, 0)), takeOverOp("r", "c", "b")}, Existing, 0, 700},
		{"settle of an uncertain claim", []Op{drawOp("a", 1, 300), openOp(nonIdempotent(newClaim("r", "a", 20, 0))), releaseOp("r", "a", true), settleOp(nonIdempotent(newClaim("r", "a", 20, 5)), false)}, Applied, 5, 700},
		{"open of an uncertain claim", []Op{drawOp("a", 1, 300), drawOp("b", 1, 300), openOp(nonIdempotent(newClaim("r", "a", 20, 0))), reclaimOp("a"), openOp(nonIdempotent(newClaim("r", "b", 20, 0)))}, Existing, 0, 700},
		{"take over", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 20, 0)), takeOverOp("r", "a", "b")}, Applied, 0, 700},
		{"settle after take over", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 20, 0)), takeOverOp("r", "a", "b"), settleOp(newClaim("r", "b", 20, 5), false)}, Applied, 5, 700},
		{"settle by the superseded holder", []Op{drawOp("a", 1, 300), openOp(newClaim("r", "a", 20, 0)), takeOverOp("r", "a", "b"), settleOp(newClaim("r", "a", 20, 5), false)}, Existing, 0, 700},
		{"take over of what may not repeat", []Op{drawOp("a", 1, 300), openOp(nonIdempotent(newClaim("r", "a", 20, 0))), takeOverOp("r", "a", "b")}, Existing, 0, 700},
		{"take over of no claim", []Op{drawOp("a", 1, 300), takeOverOp("r", "a", "b")}, NotFound, 0, 700},
		{"top-up", []Op{drawOp("a", 1, 300), topUpOp("t", 50)}, Applied, 0, 750},
		{"top-up before the first draw", []Op{topUpOp("t", 50), drawOp("a", 1, 300)}, Applied, 0, 750},
		{"top-up identifier used again", []Op{drawOp("a", 1, 300), topUpOp("t", 50), topUpOp("t", 60)}, Invalid, 0, 750},
		{"lower funding", []Op{drawOp("a", 1, 600), drawWithFunding(2, 500)}, Exhausted, 0, 0},
		{"return under lower funding", []Op{drawOp("a", 1, 600), drawWithFunding(2, 500), returnOp("a", 2, 300)}, Applied, 0, 200},
		{"late copy of a refused draw", []Op{drawOp("b", 1, 1000), drawOp("a", 1, 300).AsRetry(), returnOp("b", 2, 1000), drawOp("a", 1, 300)}, Exhausted, 0, 1000},
		{"draw after a refused one", []Op{drawOp("b", 1, 1000), drawOp("a", 1, 300).AsRetry(), returnOp("b", 2, 1000), drawOp("a", 2, 300)}, Applied, 0, 700},
		{"older funding", []Op{drawWithFunding(2, 500), drawOp("a", 1, 100)}, Applied, 0, 399},
		{"settle on no budget", []Op{settleOp(newClaim("r", "a", 200, 50), false)}, ShareGone, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p Page
			var r Result
			for _, op := range tt.ops {
				r = p.Apply(op, start)
				require.NoError(t, p.Check())
			}
			assert.Equal(t, tt.want, r.Outcome)
			if b := p.Budgets["b"]; b != nil {
				assert.Equal(t, tt.settled, b.Settled, "settled")
				assert.Equal(t, tt.free, b.Free(), "free")
			}
			changes := p.Changes()
			again := p.Apply(tt.ops[len(tt.ops)-1], start.Add(time.Minute))
			assert.Equal(t, r, again, "result of the repeated op")
			assert.Equal(t, changes, p.Changes(), "the repeated op changed the page")
		})
	}
}

func TestPruneKeepsOpenClaimsAndRefusesLateRecords(t *testing.T) {
	var p Page
	keyed := newClaim("settled", "a", 10, 5)
	keyed.Keyed = true
	p.Apply(drawOp("a", 1, 500), start)
	p.Apply(openOp(newClaim("open", "a", 10, 0)), start)
	p.Apply(settleOp(keyed, false), start)
	p.Apply(settleOp(newClaim("keyless", "a", 10, 7), false), start)
	p.Apply(settleOp(newClaim("delivered", "a", 10, 8), true), start)
	assert.Zero(t, p.Prune(start.Add(unkeyedRetention-time.Second), time.Hour))
	assert.Equal(t, 1, p.Prune(start.Add(unkeyedRetention), time.Hour))
	assert.Zero(t, p.Prune(start.Add(time.Hour-time.Second), time.Hour))
	assert.Equal(t, 2, p.Prune(start.Add(time.Hour), time.Hour))
	_, found := p.Find("b", "open")
	assert.True(t, found)
	late := p.Apply(settleOp(keyed, true), start.Add(time.Hour))
	assert.Equal(t, Expired, late.Outcome)
	assert.EqualValues(t, 20, p.Budgets["b"].Settled)
}

func TestLongRunIsBilledAfterYoungerClaimsWerePruned(t *testing.T) {
	var p Page
	long := newClaim("long", "a", 10, 5)
	long.Opened = start
	p.Apply(drawOp("a", 1, 500), start)
	p.Apply(settleOp(newClaim("short", "a", 10, 5), false), start.Add(time.Minute))
	now := start.Add(10 * time.Minute)
	assert.Equal(t, 1, p.Prune(now, time.Hour))
	long.Ended = now
	assert.Equal(t, Applied, p.Apply(settleOp(long, false), now).Outcome)
}

// TestRecordsOfALongOutageAreBilledOnce guards against double billing after an
// outage that is longer than any retention. Three routers push the same bills
// when the outage is over, one of them settled before it and one made during it.
func TestRecordsOfALongOutageAreBilledOnce(t *testing.T) {
	var p Page
	p.RecordWrite(start)
	p.Apply(drawOp("a", 1, 500), start)
	before := newClaim("before", "a", 10, 3)
	before.Ended = start
	p.Apply(settleOp(before, false), start)
	during := newClaim("during", "a", 10, 5)
	during.Ended = start.Add(time.Minute)
	restored := start.Add(2 * time.Hour)
	for i := range 3 {
		now := restored.Add(time.Duration(i) * time.Second)
		p.RecordWrite(now)
		assert.Equal(t, Applied, p.Apply(settleOp(before, true), now).Outcome, "its response was lost")
		assert.Equal(t, Applied, p.Apply(settleOp(during, true), now).Outcome)
		p.Prune(now, time.Hour)
	}
	assert.EqualValues(t, 8, p.Budgets["b"].Settled)
	require.NoError(t, p.Check())
	assert.Zero(t, p.Prune(restored.Add(pruneHold-time.Second), time.Hour), "pruning is suspended after the gap")
}

func TestExcessShrinksAsTokensComeBack(t *testing.T) {
	var p Page
	p.Apply(drawOp("a", 1, 600), start)
	p.Apply(drawWithFunding(2, 500), start)
	assert.EqualValues(t, 100, p.Budgets["b"].Excess)
	p.Apply(returnOp("a", 2, 40), start)
	assert.EqualValues(t, 60, p.Budgets["b"].Excess)
	p.Apply(topUpOp("t", 50), start)
	assert.EqualValues(t, 10, p.Budgets["b"].Excess)
	p.Apply(reclaimOp("a"), start)
	assert.Zero(t, p.Budgets["b"].Excess)
	assert.EqualValues(t, 550, p.Budgets["b"].Free())
}
