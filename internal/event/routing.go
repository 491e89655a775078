package event

// Events of routing and upstreams.
var (
	RouteChosen = define(301, "route chosen",
		"A request goes to an upstream. Fields: reason, expectedWait, cachedTokens, candidates.")
	RouteMissing = define(302, "no upstream available",
		"All upstreams of a service are leaving or failed. Check the upstreams.")
	RetryDecided = define(303, "retry decided",
		"An attempt failed; field reason tells why it is or is not repeated.")
	RequestAccused = define(304, "request accused",
		"An upstream died with the request in flight; the request is accused.")
	CancelNotSent = define(305, "cancel not sent",
		"A run that nobody waits for could not be cancelled at its upstream.")
)

// Events of the surveillance of upstreams.
var (
	QuarantineNotWritten = define(310, "quarantine not written",
		"The list of crashing requests could not be exchanged with the key-value service; it is tried again.")
	QuarantineNotFollowed = define(315, "quarantine not followed",
		"The watch of the list of crashing requests has ended; the list is read at an interval until there is another. Fields: error.")
	QuarantineNotPassed = define(316, "quarantine not passed",
		"Another router did not write changes of the list of crashing requests for this one, which writes them itself. Fields: error.")
	LoadNotRead = define(311, "load not read",
		"An upstream did not report its load. It takes no new work for a while.")
	ListNotRead = define(314, "list of VMs not read",
		"The platform's list of VMs could not be read; what it said last stands.")
	UpstreamLeaving = define(312, "upstream leaving",
		"An upstream takes no new work. Field source tells who said so.")
	UpstreamStaying = define(313, "upstream staying",
		"An upstream takes new work again.")
)
