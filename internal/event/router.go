package event

// Events of requests and their callers.
var (
	RequestServed = define(101, "request served",
		"A caller's whole answer is ready and billed. Fields: request, customer, budget, upstream, cost.")
	RequestRefused = define(102, "request refused",
		"A caller receives an error. Field notRun tells whether it is certain that nothing ran.")
	RouterReady = define(103, "router ready",
		"The router holds a configuration and accepts callers.")
	RouterDraining = define(104, "router draining",
		"Readiness is off; requests in progress are being finished.")
	RouterStopped = define(105, "router stopped",
		"All requests are finished, bills are flushed, shares are handed back.")
	ClaimRejected = define(110, "claim rejected",
		"The ledger did not record a claim; outcome shareGone means that the router was taken for dead.")
	BillRejected = define(111, "bill rejected",
		"The ledger did not bill a run, whose answer was therefore not completed.")
	BillHeld = define(112, "bill held by other routers",
		"The key-value service was out of reach; two routers in other failure domains hold the bill.")
	BillNotHeld = define(113, "bill not held",
		"No two routers in other failure domains could take the bill; the answer's end waits.")
	RequestTakenOver = define(114, "request taken over",
		"A retried request continues here, since its former router is gone.")
	AnswerNotFetched = define(115, "answer not fetched",
		"The router that ran a retried request does not hold or give its answer.")
	RequestQuarantined = define(116, "request quarantined",
		"A request was refused because it crashed several upstreams. See the page on operations.")
)
