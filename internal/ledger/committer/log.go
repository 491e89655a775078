package committer

import (
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
)

// logResult logs results of durable ops that are relevant to operators.
func (c *Committer) logResult(op ledger.Op, r ledger.Result) {
	log := c.settings.Log
	switch {
	case op.Draw != nil && r.Outcome == ledger.Exhausted:
		event.DrawRefused.Info(log, "budget", op.Budget, "holder", op.Draw.Holder, "least", op.Draw.Least, "free", r.Free,
			"prepaid", op.Draw.Funding.Prepaid, "settled", r.Settled, "others", r.SharedByOthers)
	case op.TopUp != nil && r.Outcome == ledger.Applied:
		event.BudgetToppedUp.Info(log, "budget", op.Budget, "id", op.TopUp.ID, "tokens", op.TopUp.Tokens)
	case op.Reclaim != nil && op.Budget != "" && r.Outcome == ledger.Applied:
		event.ShareReclaimed.Info(log, "budget", op.Budget, "holder", op.Reclaim.Holder)
	case op.TakeOver != nil && r.Outcome == ledger.Applied:
		event.ClaimTakenOver.Info(log, "budget", op.Budget, "request", op.TakeOver.Request, "from", op.TakeOver.From, "to", op.TakeOver.To)
	case op.Settle != nil && r.Outcome == ledger.WrittenOff:
		claim := op.Settle.Claim
		event.BillWrittenOff.Warn(log, "budget", op.Budget, "request", claim.Request, "holder", claim.Holder, "cost", claim.Cost)
	case op.Settle != nil && r.Outcome == ledger.Expired:
		claim := op.Settle.Claim
		event.RecordExpired.Warn(log, "budget", op.Budget, "request", claim.Request, "holder", claim.Holder, "cost", claim.Cost)
	}
}
