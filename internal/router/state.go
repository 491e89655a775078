package router

import (
	"time"

	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// policy returns the policy of the configuration in force.
func (r *Router) policy() configuration.Policy {
	return r.watcher.Current().Policy
}

// silenceLimit returns how long an upstream may send nothing during a call.
func (r *Router) silenceLimit() time.Duration {
	return time.Duration(r.policy().SilenceLimitMillis) * time.Millisecond
}

// shareLifetime returns the lifetime of shares under the policy in force, or a
// default before the first configuration.
func (r *Router) shareLifetime() time.Duration {
	if d := time.Duration(r.shareLifetimeNanos.Load()); d > 0 {
		return d
	}
	return defaultShareLifetime
}

// reclaimDelay returns how long a router has to be absent before its shares are
// reclaimed.
func (r *Router) reclaimDelay() time.Duration {
	return r.shareLifetime() + r.settings.Timing.ReclaimGrace
}

// applyConfiguration updates the components that hold a copy of the configuration.
func (r *Router) applyConfiguration() {
	c := r.watcher.Current()
	r.shareLifetimeNanos.Store(int64(c.Policy.ShareLifetimeSeconds) * int64(time.Second))
	r.directory.Configure(r.settings.Clock(), c)
}

// mayDeliver reports whether the lease was confirmed less than the lifetime of shares
// ago, so that answers may be delivered whose bills only other routers hold.
func (r *Router) mayDeliver(now time.Time) bool {
	confirmed := r.registration.Confirmed()
	return !confirmed.IsZero() && now.Sub(confirmed) < r.shareLifetime()
}

// liveVMs returns the VMs of the other live routers.
func (r *Router) liveVMs() []ident.VM {
	var vms []ident.VM
	for _, m := range r.members.Peers(r.settings.Clock()) {
		if m.State == membership.StateLive {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// liveRouters returns the number of live routers, including this one.
func (r *Router) liveRouters() int {
	return len(r.liveVMs()) + 1
}
