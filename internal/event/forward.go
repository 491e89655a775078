package event

// Events of forwarded requests. Each but the last has the field request.
var (
	ForwardReceived = define(130, "request received",
		"A request was accepted for forwarding. Fields: route, service, customer, left (time until the deadline), revision.")
	ForwardSent = define(131, "request sent",
		"A request was sent to an upstream. Fields: upstream, attempt, resumes, after (the last event received before a resumption), left (time until the deadline), predicted (time to the first event, 0 if it is not predicted), unread (tokens to be prefilled before those of the request), work (prompt tokens to be prefilled).")
	ForwardFailed = define(132, "attempt failed",
		"An upstream returned no usable answer. Fields: upstream, reason, run (whether the request may have run), took, events, answerBegan (whether the header of a response was received), parts (of the prompt).")
	ForwardEnded = define(133, "request ended",
		"A forwarded request received its final answer. Fields: status, outcome, upstream, attempts, runs, events, customer, cost, prompt, firstEvent, longestGap, took.")
	ForwardRefused = define(134, "request not forwarded",
		"A request was refused before it was sent to an upstream. With the reason domainsClosed, all upstreams of its service are in failure domains that the operator has closed (event 324). With the reason queueTooLong, it would not have been started in time (within half of the time that it had when it arrived, or two thirds of it if it has waited), or too many requests waited: waiting, running, capacity, hold and viewed are those of event 136, expected is the time until it would have been started, estimateAge how long ago the capacity was calculated, why the rule that refused it. Fields: status, reason, retryAfter, and for refusals because of a budget customer, tokens, error and took.")
	QueueFormed = define(136, "requests wait",
		"Requests wait at this router because the upstreams of a service have all that they can run. Logged when that begins and every 10 s while it lasts. Fields: service, waiting and running (requests of this router), capacity (that it may have in progress), hold (mean time that a request is in progress), viewed (whether the requests of the other routers are known), admitted, refused and left (requests that waited, since the last line).")
	QueueEnded = define(137, "no requests wait",
		"Requests to a service no longer wait at this router. Fields as those of event 136.")
	RetryRefused = define(135, "repeat refused",
		"A request was not retried because the fleet's retry budget is used up. Fields: service.")
	SlowCallersEnded = define(139, "slow callers ended",
		"Connections of callers that do not read their responses were closed, or a response failed because there was no memory for it; logged at most every 10 s. Counted since the start. It has no field request. Fields: callersStopped (streams of which nothing was read for 5 s), callersSlow (in favour of responses that needed their memory), memoryRefused (responses that failed), held and limit (bytes of responses) and readAhead (streams that are read ahead) now.")
)

// Events of an edge router.
var (
	EdgeStarted = define(140, "edge router started",
		"The process accepts connections. Fields: vm, incarnation, failureDomain.")
	EdgeReady = define(141, "edge router ready",
		"The router has a configuration and accepts requests. Fields: revision.")
	EdgeStopping = define(142, "edge router stopping",
		"The router is no longer ready and is completing the requests in progress. Fields: inFlight.")
	EdgeStopped = define(143, "edge router stopped",
		"The process exits. Fields: left (requests that were cut off).")
	PredecessorSharesFreed = define(145, "shares of predecessors freed",
		"The ledger was asked to free the tokens that earlier processes of the VM cannot have spent. The request is retried after an error. Fields: page, freed, error.")
	BootUnknown = define(146, "boot unknown",
		"The boot identifier of the VM could not be read. The shares of a router process that crashes are therefore lost. Fields: error.")
	EdgeStatistics = define(147, "edge router figures",
		"Statistics of the router since it started, logged every 10 s. Fields: storeCalls (by kind and key), outcomes (of requests), budgets, free, reserved and borrowed (tokens).")
	CallersLimited = define(148, "callers limited",
		"Connections or requests were refused or closed because the memory or the descriptors of the VM were used up, logged every 10 s while that goes on. Counted since the start. Fields: endpoint (callers, peers or ready), connectionsRefused, waitingClosed (connections without a request), headsClosed, uploadsClosed (slow bodies), memoryRefused (requests), connections and memory (of requests, in bytes) now.")
	LinkSaturated = define(149, "link saturated",
		"Requests take so much of the network link of the VM that the router is not ready and closes connections after their responses, so that callers use other routers (full), or no longer so (not full). Fields: full, utilization (part of the link that callers and upstreams send), inFlight.")
	RequestUnanswered = define(150, "request unanswered",
		"A connection ended after the head of a request had arrived, with no byte of a response, although the caller had not closed it. If the log has no line that says why the request was ended, this is a fault of the router. Fields: endpoint (callers, peers or ready), caller (address), since (time since the head arrived), givenUp (closed to make room for other connections).")
	EndpointError = define(151, "endpoint error",
		"The HTTP server of an endpoint reported an error, for example a panic that ended a request without a response. Fields: endpoint, message.")
	SettingsReloaded = define(144, "settings read again",
		"The settings file was read again after a signal. Fields: error.")
)
