package event

// Events of routers that are gone.
var (
	HolderReclaimed = define(240, "holder reclaimed",
		"The shares on a ledger page of a router that can act no longer were freed.")
	ReclaimFailed = define(241, "reclaim failed",
		"The shares of a router that is gone could not be freed; it is tried again.")
)

// KeeperNotTold is the event of a reserve that may be missing.
var KeeperNotTold = define(242, "keeper not told",
	"The router that should hold a reserve of a budget in another failure domain could not be reached.")
