package event

// Events of routing and upstreams.
var (
	RouteChosen = define(301, "route chosen",
		"An upstream was chosen for a request. Fields: reason, expectedWait, cachedTokens, candidates.")
	NoUpstreamAvailable = define(302, "no upstream available",
		"All upstreams of a service are leaving or failed. Check the upstreams.")
	RetryDecided = define(303, "retry decided",
		"An attempt failed; field reason says why it is or is not retried.")
	RequestAccused = define(304, "request accused",
		"An upstream crashed with the request in progress; the request is counted as a possible cause.")
	CancelNotSent = define(305, "cancel not sent",
		"A run whose answer is no longer needed could not be cancelled at its upstream.")
)

// Events of monitoring upstreams and of the quarantine of crashing requests.
var (
	QuarantineNotWritten = define(310, "quarantine not written",
		"The list of crashing requests could not be read from or written to the key-value service; the operation is retried.")
	QuarantineWatchEnded = define(315, "quarantine not followed",
		"The watch of the list of crashing requests has ended; the list is polled until a new watch is established. Fields: error.")
	QuarantineNotForwarded = define(316, "quarantine not passed",
		"Another router did not accept this router's changes to the list of crashing requests. This router writes them itself. Fields: error.")
	CrashRecorded = define(317, "crash recorded",
		"An upstream ended while it ran a request, which is counted as a possible cause. Fields: digest, upstream.")
	CrashesCleared = define(318, "crashes cleared",
		"A request that was a possible cause of crashes has completed; its crashes no longer count. Fields: digest.")
	LoadNotRead = define(311, "load not read",
		"An upstream did not report its load. It temporarily receives no new requests.")
	VMListNotRead = define(314, "list of VMs not read",
		"The platform's list of VMs could not be read; the last known list stays in use.")
	UpstreamLeaving = define(312, "upstream leaving",
		"An upstream is leaving and receives no new requests. Field source says who reported it.")
	UpstreamNotLeaving = define(313, "upstream staying",
		"An upstream receives new requests again.")
)
