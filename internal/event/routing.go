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
		"An upstream was lost while it ran a request, and the loss counts against the digest of the request's content or of a part of its prompt. Fields: digest, part, upstream, customer, prior (crashes that counted before), answerBegan, ended (whether the upstream is known to have ended).")
	CrashesCleared = define(318, "crashes cleared",
		"An answer to a request with a suspect digest began or was completed, or an operator cleared the digest; its crashes no longer count. With an upstream, only the crash of that one does not count, because an answer had just begun at another router. Fields: digest, upstream.")
	NotBroadcast = define(319, "news not accepted",
		"Another router did not accept news that was sent to it directly, of crashing requests or of the limits of upstreams. Fields: path, peer, error.")
	UpstreamEnded = define(320, "upstream lost",
		"The connection to an upstream was lost before the answer to a request began, and a new connection was tried. Fields: request, upstream, ended (whether it was refused), error, parts (of the prompt), digests (of the parts but the last).")
	LimitReceived = define(321, "limit received",
		"The response to a request names the number of requests per second that the upstream accepts from all routers together. Fields: request, upstream, state (1 named, 2 unreadable), perSecond.")
	LimitChanged = define(322, "limit changed",
		"An upstream names another number of requests per second that it accepts from all routers together, or none any more. The other routers are told. Fields: upstream, named, perSecond.")
	DigestQuarantined = define(323, "digest quarantined",
		"Requests with a digest, of a content or of a part of prompts, are refused by all routers after crashes of upstreams. Event 320 names the parts. Fields: digest, part, customer (of the last crash).")
	DomainClosed = define(324, "failure domain closed",
		"The operator has closed a failure domain: nothing is sent to its upstreams. Fields: failureDomain, upstreams (known there).")
	DomainReopened = define(325, "failure domain reopened",
		"The operator has reopened a failure domain. Its upstreams get few requests for the time of their warm-up. Fields: failureDomain, upstreams (known there).")
	UpstreamMayBeCold = define(326, "upstream may be cold",
		"A connection to an upstream of a service with a warm-up was refused or lost, so that its process may have restarted. This router treats it as cold for the time of the warm-up. Fields: request, upstream, error.")
	LoadNotRead = define(311, "load not read",
		"An upstream did not report its load. It temporarily receives no new requests.")
	VMListNotRead = define(314, "list of VMs not read",
		"The platform's list of VMs could not be read; the last known list stays in use.")
	UpstreamLeaving = define(312, "upstream leaving",
		"An upstream is leaving and receives no new requests. Field source says who reported it.")
	UpstreamNotLeaving = define(313, "upstream staying",
		"An upstream receives new requests again.")
)
