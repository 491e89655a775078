package event

// Events of the connections to upstreams.
var (
	StreamResumed = define(350, "stream resumed",
		"A stream's connection broke or went silent and the answer is fetched from the last token on. "+
			"Many of these for one upstream point to a network path that loses connections.")
	StreamLost = define(351, "stream lost",
		"An answer could not be read to its end, although its caller waits for it. The request may have run.")
	AnswerCrossed = define(352, "answer crossed",
		"An upstream sent an answer of another attempt. Nothing of it was delivered. "+
			"Report the upstream to those who run it.")
	UpstreamCrashed = define(353, "upstream crashed",
		"An engine died with runs in flight. Field inFlight counts those of this router.")
	AnswerCut = define(354, "answer cut",
		"An engine generated past the token limit of a request. The answer was ended and the run cancelled.")
	CancelFailed = define(355, "cancel failed",
		"An engine could not be told to stop a run. It stops at the run's token limit.")
	OrderStale = define(356, "order stale",
		"An engine refused an order because of its old fencing number.")
	CallLost = define(357, "call lost",
		"The response of a plain service is out of reach. The call may have run.")
	ResponseCrossed = define(358, "response crossed",
		"A plain service sent the response of another attempt. Nothing of it was delivered.")
	StreamLeft = define(359, "stream left",
		"The router stopped reading an answer: its caller is gone, its deadline has passed, or the router is closing.")
)
