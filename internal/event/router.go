package event

// Events of requests and their callers.
var (
	RequestServed = define(101, "request served",
		"A caller received its whole answer. Fields: request, customer, budget, upstream, cost.")
	RequestRefused = define(102, "request refused",
		"A caller received an error. Field notRun tells whether it is certain that nothing ran.")
	RouterReady = define(103, "router ready",
		"The router holds a configuration and accepts callers.")
	RouterDraining = define(104, "router draining",
		"Readiness is off; requests in progress are being finished.")
	RouterStopped = define(105, "router stopped",
		"All requests are finished, bills are flushed, shares are handed back.")
)
