package event

// Events of the connections to upstreams.
var (
	StreamResumed = define(350, "stream resumed",
		"The connection of a stream broke or went silent, and the stream was resumed after the last token received. "+
			"Many of these events for one upstream indicate a network path that drops connections.")
	StreamLost = define(351, "stream lost",
		"An answer could not be read to its end while its caller was waiting for it. The request may have run.")
	AnswerMismatched = define(352, "answer crossed",
		"An upstream sent the answer of another attempt. None of it was delivered. "+
			"Report this to the operators of the upstream.")
	UpstreamCrashed = define(353, "upstream crashed",
		"An engine crashed with runs in progress. Field inFlight counts the runs of this router.")
	AnswerTruncated = define(354, "answer cut",
		"An engine generated past the token limit of a request. The answer was truncated and the run cancelled.")
	CancelFailed = define(355, "cancel failed",
		"A run could not be cancelled at an engine. The engine stops it at its token limit.")
	OrderStale = define(356, "order stale",
		"An engine refused an order because its fencing number is outdated.")
	CallLost = define(357, "call lost",
		"The response of a plain service could not be read. The call may have run.")
	ResponseMismatched = define(358, "response crossed",
		"A plain service sent the response of another attempt. None of it was delivered.")
	StreamAbandoned = define(359, "stream left",
		"The router stopped reading an answer because its caller disconnected, its deadline passed, or the router is shutting down.")
)
