package event

// Events of budgets, claims and the ledger pages that record them.
var (
	DrawRefused = define(201, "draw refused",
		"A budget has less free than a router asked for. Top the budget up, or look for shares that idle.")
	BudgetToppedUp = define(202, "budget topped up",
		"Tokens were added to a budget.")
	ShareReclaimed = define(203, "share reclaimed",
		"The share of a router that can act no longer was freed. Its open claims were removed or became uncertain.")
	ClaimTakenOver = define(204, "claim taken over",
		"A router took over the open claim of another.")
	BillWrittenOff = define(205, "bill written off",
		"A delivered request was not charged, because its budget had nothing free. Top the budget up.")
	RecordExpired = define(206, "record expired",
		"The record of a request reached the ledger after the retention of claims. It was not billed. Compare the request with the router's log.")
	LedgerWriteUnknown = define(207, "ledger write unknown",
		"The answer to a ledger write was lost. The page is read back and its ops are applied again.")
	LedgerUnavailable = define(208, "ledger unavailable",
		"A ledger page can be neither read nor written. The writes are repeated until the key-value service is back.")
	LedgerAvailable = define(209, "ledger available",
		"A ledger page can be written again.")
	LedgerPageTooLarge = define(210, "ledger page too large",
		"A ledger page has no room for an op. Raise the number of pages or shorten the retention of claims.")
	LedgerPageInvalid = define(211, "ledger page invalid",
		"A ledger page cannot be decoded or breaks an invariant. It is left as it is; budgets on it are refused.")
	LedgerRecordsDropped = define(212, "ledger records dropped",
		"A router stopped before all its records were written. Requests in them may be unbilled.")
	LedgerForwardFailed = define(213, "ledger forward failed",
		"The owner of a ledger page could not be reached. The ops are written directly.")
	ClaimsSealed = define(214, "claims sealed",
		"Ended claims of a ledger page were moved to a segment of their own.")
	LedgerSegmentLost = define(215, "ledger segment lost",
		"A segment that a ledger page lists is gone. Late records of requests as old as its claims are refused.")
)
