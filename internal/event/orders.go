package event

// Events of orders to engines.
var (
	OrdersTakenOver = define(600, "orders taken over",
		"This router gives the orders to the engines of a service from now on, under a new fencing number.")
	OrdersLost = define(601, "orders lost",
		"Another router has taken over the orders to the engines of a service.")
	OrderRecorded = define(602, "order recorded",
		"An order to an engine was decided on, for the reason given. It is sent next.")
	OrderEnded = define(603, "order ended",
		"The call with an order ended. Field error tells how; without it the engine has carried the order out.")
	OrderWithdrawn = define(604, "order withdrawn",
		"An order was not sent, or the engine certainly did not carry it out. The next plan takes it up again.")
	UpstreamTainted = define(605, "upstream tainted",
		"An order of a former holder may yet take effect at an engine, which gets no other order until a report "+
			"shows the effect. If it stays so, make sure that the former holder's process is gone and clear the engine.")
	OrdersNotWritten = define(606, "orders not written",
		"The book of a service's orders could not be read or written. No order is sent; it is tried again.")
	OrdersCleared = define(607, "orders cleared",
		"An operator cleared the orders outstanding at an engine.")
)
