package event

// Events of fleet membership.
var (
	MemberChanged = define(501, "member changed",
		"The state of a VM, as seen by this router, has changed. Fields: vm, incarnation, from, to, reason.")
	Registered = define(502, "router registered",
		"The record of this router was written to the key-value service. Fields: vm, incarnation, lease.")
	RegistrationLapsed = define(503, "registration lapsed",
		"The lease of this router's record has expired. The router registers again. Fields: vm, incarnation, confirmed.")
	RegistrationFailed = define(504, "registration failed",
		"A call to register or to renew the registration failed and will be retried. Check the key-value service if this persists. Fields: vm, incarnation, err.")
	IncarnationReplaced = define(505, "incarnation replaced",
		"The lifetime of shares passed without a renewal. The router continues as a new incarnation; the shares of the old one are reclaimed. Fields: vm, from, to.")
	RegistrationEnded = define(506, "registration ended",
		"A newer router process has registered for the same VM. This one must stop. Fields: vm, incarnation, err.")
	RegistrationRevoked = define(507, "registration revoked",
		"The router removed its record at shutdown. If this failed, field err has the error and the record expires with its lease. Fields: vm, incarnation, err.")
	RecordsUnavailable = define(508, "records unavailable",
		"The records of the routers could not be listed or watched. The last known records stay in use. Fields: err.")
	RecordMalformed = define(509, "record malformed",
		"The record of a VM cannot be decoded and is ignored. Fields: key, err.")
	VMListUnavailable = define(510, "VM list unavailable",
		"The platform's list of VMs could not be read. The last known list stays in use. Fields: err.")
	HolderGone = define(511, "holder gone",
		"A holder of shares has been absent for the lifetime of shares. Its shares may be reclaimed. Fields: incarnation.")
	LoadExchangeStarted = define(512, "load exchange started",
		"The fleet is large enough that routers tell each other of the load of upstreams. Fields: routers.")
	LoadRelayLost = define(513, "load relay lost",
		"The router through which this router exchanges the load of upstreams did not respond. Another one is used, or none. Logged once in 10 s. Fields: relay.")
	LoadRelayRegained = define(514, "load relay regained",
		"The load of upstreams is exchanged through the first router of the failure domain again. Fields: relay.")
)
