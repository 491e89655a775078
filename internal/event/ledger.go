package event

// Events of budgets, claims and the ledger pages that record them.
var (
	DrawRefused = define(201, "draw refused",
		"A budget has fewer free tokens than a router requested. Top up the budget, or look for unused shares.")
	BudgetToppedUp = define(202, "budget topped up",
		"Tokens were added to a budget.")
	ShareReclaimed = define(203, "share reclaimed",
		"The share of a router that can no longer act was freed. Its open claims were removed or marked uncertain.")
	ClaimTakenOver = define(204, "claim taken over",
		"A router took over an open claim of another router.")
	BillWrittenOff = define(205, "bill written off",
		"A delivered request was not charged because its budget had no free tokens. Top up the budget.")
	RecordExpired = define(206, "record expired",
		"The record of a request reached the ledger after the retention period of claims. The request was not billed. Compare it with the router's log.")
	LedgerWriteUnknown = define(207, "ledger write unknown",
		"The response to a ledger write was lost. The page is read back and the operations are applied again.")
	LedgerUnavailable = define(208, "ledger unavailable",
		"A ledger page can be neither read nor written. Writes are retried until the key-value service is available again.")
	LedgerAvailable = define(209, "ledger available",
		"A ledger page can be written again.")
	LedgerPageTooLarge = define(210, "ledger page too large",
		"An operation does not fit into a ledger page. Increase the number of pages or shorten the retention of claims.")
	LedgerPageInvalid = define(211, "ledger page invalid",
		"A ledger page cannot be decoded or breaks an invariant. It is left unchanged, and requests on its budgets are refused.")
	LedgerRecordsDropped = define(212, "ledger records dropped",
		"A router stopped before all its records were written. The requests recorded in them may not be billed.")
	LedgerForwardFailed = define(213, "ledger forward failed",
		"The owner of a ledger page could not be reached. The operations are written directly.")
	ClaimsSealed = define(214, "claims sealed",
		"Ended claims of a ledger page were moved to a separate segment.")
	LedgerSegmentLost = define(215, "ledger segment lost",
		"A segment referenced by a ledger page no longer exists. Late records of requests as old as its claims are refused.")
	LedgerPageRecovered = define(216, "ledger page recovered",
		"The key-value service was restored from an older copy, and a page of the ledger was recovered from what the routers know. Fields: page, era, revision (of the restored page), newestEra, newest (revision of the newest version), routers (that were asked), complete (whether all routers and holders responded), restated (shares), withheld (tokens that may have been drawn by routers that did not respond).")
	LedgerRouterSilent = define(217, "router did not say what it knows of the ledger",
		"A router did not respond when a page of the ledger was recovered. Tokens that it may have drawn are withheld. Fields: page, router, incarnation, error.")
)
