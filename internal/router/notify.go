package router

import (
	"context"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/internal/wallet"
)

// defaultShareLifetime is the lifetime of shares until a configuration is known.
const defaultShareLifetime = 10 * time.Minute

// sendNotice tells the budget's standby holders in the other failure domains that this
// router serves it.
func (r *Router) sendNotice(ctx context.Context, n wallet.Notice) {
	var members []share.Member
	for _, m := range r.members.Peers(r.settings.Clock()) {
		if m.State == membership.StateLive {
			members = append(members, share.Member{Holder: m.Incarnation, Domain: m.FailureDomain})
		}
	}
	for domain, holder := range share.StandbyHolders(n.Budget, members) {
		if domain == r.settings.FailureDomain {
			continue
		}
		if err := r.client.HoldStandby(ctx, holder, n); err != nil {
			event.ReserveRequestFailed.Info(r.settings.Log, "budget", n.Budget, "keeper", holder, "error", err)
		}
	}
}
