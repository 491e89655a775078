package event

// Events of the membership of the fleet.
var (
	MemberChanged = define(501, "member changed",
		"A VM has another state in the view of this router. Fields: vm, incarnation, from, to, reason.")
	Registered = define(502, "router registered",
		"The record of this router is in the key-value service. Fields: vm, incarnation, lease.")
	RegistrationLapsed = define(503, "registration lapsed",
		"The lease of this router's record has ended. It registers again. Fields: vm, incarnation, confirmed.")
	RegistrationFailed = define(504, "registration failed",
		"A call to register or renew failed and will be repeated. Check the key-value service if it persists. Fields: vm, incarnation, err.")
	IncarnationReplaced = define(505, "incarnation replaced",
		"The lifetime of shares passed without a renewal. The router goes on as a new incarnation; the shares of the old one are reclaimed. Fields: vm, from, to.")
	RegistrationEnded = define(506, "registration ended",
		"A younger router process has registered for the same VM. This one has to stop. Fields: vm, incarnation, younger.")
	RegistrationRevoked = define(507, "registration revoked",
		"The router removed its record at its stop. Field err tells if that failed; the record then lapses. Fields: vm, incarnation, err.")
	RecordsUnavailable = define(508, "records unavailable",
		"The records of the routers could not be listed or watched. The last known ones stay in use. Fields: err.")
	RecordMalformed = define(509, "record malformed",
		"The record of a VM cannot be read and is left out. Fields: key, err.")
	VMListUnavailable = define(510, "VM list unavailable",
		"The platform's list of VMs could not be read. The last known one stays in use. Fields: err.")
	HolderGone = define(511, "holder gone",
		"A holder of shares has been absent for the lifetime of shares, so that its shares may be reclaimed. Fields: incarnation.")
)
