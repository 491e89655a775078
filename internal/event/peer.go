package event

// Events between routers.
var (
	PeerRefused = define(120, "peer refused",
		"A call to the peer endpoint did not carry the fleet's secret.")
	RecordsAccepted = define(121, "records taken",
		"This router accepted bills of a router that cannot reach the key-value service and writes them to the ledger.")
)
