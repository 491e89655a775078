package event

// Events of requests and their callers.
var (
	RequestServed = define(101, "request served",
		"The complete answer to a caller is ready and billed. Fields: request, customer, budget, upstream, cost.")
	RequestRefused = define(102, "request refused",
		"A caller receives an error. Field notRun reports whether it is certain that nothing ran.")
	RouterReady = define(103, "router ready",
		"The router has a configuration and accepts callers.")
	RouterDraining = define(104, "router draining",
		"The router is no longer ready and is completing the requests in progress.")
	RouterStopped = define(105, "router stopped",
		"All requests are complete, bills are written, and shares are returned.")
	ClaimRejected = define(110, "claim rejected",
		"The ledger did not record a claim; outcome shareGone means that the router was considered dead and its share was reclaimed.")
	BillRejected = define(111, "bill rejected",
		"The ledger did not bill a run. Its answer was therefore not completed.")
	BillHeld = define(112, "bill held by other routers",
		"The key-value service was unreachable; two routers in other failure domains hold the bill.")
	BillNotHeld = define(113, "bill not held",
		"No two routers in other failure domains could hold the bill; the end of the answer is delayed.")
	RequestTakenOver = define(114, "request taken over",
		"A retried request continues at this router because its previous router is gone.")
	AnswerNotFetched = define(115, "answer not fetched",
		"The router that ran a retried request does not have its answer or did not return it.")
	RequestQuarantined = define(116, "request quarantined",
		"A request was refused because it crashed several upstreams. See the page on operations.")
)
