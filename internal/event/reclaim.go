package event

// Events of reclaiming the shares of routers that are gone.
var (
	HolderReclaimed = define(240, "holder reclaimed",
		"The shares that a router that can no longer act held on a ledger page were freed.")
	ReclaimFailed = define(241, "reclaim failed",
		"The shares of a router that is gone could not be freed; the operation is retried.")
)

// ReserveRequestFailed is the event of a failed request to hold a reserve. The reserve may
// be missing.
var ReserveRequestFailed = define(242, "keeper not told",
	"The router that should hold a reserve of a budget in another failure domain could not be reached.")
