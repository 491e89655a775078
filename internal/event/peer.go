package event

// Events between routers.
var (
	PeerRefused = define(120, "peer refused",
		"A call of the endpoint for peers did not carry the fleet's secret.")
	RecordsTaken = define(121, "records taken",
		"This router holds bills of another one that cannot reach the key-value service, and pushes them to the ledger.")
)
