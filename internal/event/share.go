package event

// Events of budget shares.
var (
	ShareDrawn = define(250, "share drawn",
		"Tokens were added to this router's share. Fields: budget, granted, want, pool, reason.")
	ShareReturned = define(251, "share returned",
		"Unreserved tokens of the share were returned to the budget. Fields: budget, returned, reason.")
	ShareRecalled = define(252, "share recalled",
		"Another router was asked to return tokens of an exhausted budget. Fields: budget, holder, want, returned, error.")
	RecalledShareReturned = define(253, "share given back",
		"Tokens were returned at the request of another router. Fields: budget, want, returned.")
	TokensLent = define(261, "tokens lent",
		"Tokens of this router's share were lent to another router. They count as spent at this router. Fields: budget, want, lent, left.")
	TokensBorrowed = define(262, "tokens borrowed",
		"This router asked other routers to lend it tokens. A router that holds the budget asks the other holders before it refuses a request (served reports whether the loans sufficed); a router that does not hold it asks a holder for its requests (logged if that fails; error names the holder). Fields: budget, want, least, lent, served, error.")
	TokensRepaid = define(263, "tokens repaid",
		"The unused tokens of loans were repaid to a router that holds the budget. They are lost after any error other than an unreachable router. Fields: budget, tokens, error.")
	LoanMessageRefused = define(264, "loan message refused",
		"A loan message of another router was refused because it is malformed, has another version, or repeats an earlier one. It changed no balance of this router. Fields: path, router, reason.")
	BudgetExhausted = define(254, "budget exhausted",
		"A request was refused, not run: no router has tokens left for it. Top up the budget. Fields: budget, tokens, pool.")
	BudgetOutOfReach = define(255, "budget out of reach",
		"A request was refused, not run: the share is used up and the key-value service did not respond. Fields: budget, tokens, pool, free, spendable, error.")
	ShareOutcomeUnknown = define(256, "share outcome unknown",
		"The response to a draw or return was lost; the operation is repeated until its outcome is known. Fields: budget, sequence, error.")
	ShareInvalidated = define(257, "share invalidated",
		"This router's share was reclaimed, and the router starts with an empty share. Frequent events indicate pauses of the process or a short lease. Fields: budget, dropped.")
	ReserveHeld = define(258, "reserve kept",
		"This router holds a reserve of a budget that another failure domain serves. Fields: budget.")
	SharesClosed = define(259, "shares closed",
		"All unreserved tokens were returned at shutdown. Fields: budgets, left.")
)
