package event

// Events of the key-value service and of the copy of its entries at each router.
var (
	StoreLost = define(801, "key-value service lost",
		"The service could not be read. The router continues with its copy. Fields: error, age, revision, era.")
	StoreRegained = define(802, "key-value service regained",
		"The service can be read again. Fields: revision, era.")
	MirrorFetched = define(803, "copy fetched",
		"The entries of the service were copied from another router. Fields: peer, revision, era.")
	MirrorNotFetched = define(804, "copy not fetched",
		"Another router did not provide its copy. Fields: peer, error.")
	RoutesInstalled = define(805, "routes installed",
		"A revision of the routes is in force. Fields: revision, routes, services, customers, bytes (of the configuration), took (decoding and installing).")
	RoutesUnreadable = define(806, "routes unreadable",
		"The configuration in the service cannot be read. The configuration in force stays. Fields: error.")
	UpstreamListed = define(807, "upstream listed",
		"An upstream was listed, or its properties changed. Fields: upstream, service, address, leaving, warming (remaining time of its warm-up by the record).")
	UpstreamUnlisted = define(808, "upstream gone",
		"An upstream is no longer listed and receives no new requests. Fields: upstream.")
	UpstreamUnreadable = define(809, "upstream record unreadable",
		"A record of an upstream does not describe a usable upstream. Fields: key, error.")
	PresenceFailed = define(810, "presence not announced",
		"The record of this router could not be written or renewed; the operation is retried. Fields: error.")
	StoreRestored = define(812, "key-value service restored",
		"The service came back from an older copy: its era is later than that of the router's copy of the entries. Fields: mirror, era, revision, heldEra, heldRevision.")
	ConnectionSilent = define(813, "connection to the key-value service silent",
		"A call got no response on a connection that had worked before. The idle connections were closed, and the call is repeated on a new one. Fields: mirror, error.")
	CopyOverdue = define(814, "copy read again too late",
		"The entries were older than allowed when they were read again, although the service could be read. Fields: mirror, age (of the entries), late (by how much), waits (what was waited for since the read before, with the time since it began and how long it took).")
	RelayFailed = define(811, "relay failed",
		"The router through which this router reads the service did not respond, refused, or its response did not arrive in time. The service or another router is read instead. Of refusals in series, the first is logged. Fields: mirror, relay, revision and era (already held), error (which says how much had arrived).")
)
