package event

// Events of orders to engines.
var (
	OrdersTakenOver = define(600, "orders taken over",
		"This router now issues the orders to the engines of a service, under a new fencing number.")
	OrdersLost = define(601, "orders lost",
		"Another router has taken over the orders to the engines of a service.")
	OrderRecorded = define(602, "order recorded",
		"An order to an engine was recorded before sending. Field reason says why it is issued.")
	OrderEnded = define(603, "order ended",
		"The call that sent an order returned. Field error holds its error; without an error the engine has executed the order.")
	OrderWithdrawn = define(604, "order withdrawn",
		"An order was not sent, or the engine is known not to have executed it. The next plan considers it again.")
	UpstreamTainted = define(605, "upstream tainted",
		"An order of a former holder may still take effect at an engine. The engine receives no other order until a report "+
			"shows the effect. If this persists, make sure that the former holder's process has ended and clear the engine.")
	OrdersNotWritten = define(606, "orders not written",
		"The record of a service's orders could not be read or written. No order is sent, and the operation is retried.")
	OrdersCleared = define(607, "orders cleared",
		"An operator cleared the outstanding orders of an engine.")
)
