package edge

import (
	"net/netip"
	"slices"

	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/mirror"
	"example.org/lagoonfork/internal/quarantine"
)

// buildMirrors starts the mirrors.
func (r *Router) buildMirrors() {
	t := r.settings.Translator
	configuration, upstreams := t.Prefixes()
	r.routerRecords = r.newMirror(mirror.Settings{
		Name: "routers", Prefix: membership.KeyPrefix, Interval: recordInterval, PollWait: relaxedPollWait, RelayWait: relaxedPollWait, MinCallInterval: relaxedCallInterval,
		MaxAge: presenceTTL,
	})
	r.members.setMirror(r.routerRecords)
	r.configurations = r.newMirror(mirror.Settings{
		Name: operatorMirror, Prefix: configuration, Interval: mirrorInterval, PollWait: mirrorPollWait, RelayWait: relayWait, MaxAge: mirrorMaxAge,
		Older: t.OlderConfiguration, LearnRecent: learnTimeout,
	})
	r.upstreams = r.newMirror(mirror.Settings{
		Name: "upstreams", Prefix: upstreams, Interval: mirrorInterval, PollWait: mirrorPollWait, RelayWait: relayWait, MaxAge: mirrorMaxAge,
		Equivalent: t.SameUpstream, Older: t.OlderUpstream, LearnRecent: learnTimeout,
	})
	r.quarantineList = r.newMirror(mirror.Settings{
		Name: "suspects", Prefix: quarantine.Key, Interval: mirrorInterval, PollWait: relaxedPollWait, RelayWait: relayWait, MinCallInterval: relaxedCallInterval,
		MaxAge: quarantineMaxAge,
	})
}

// newMirror returns a mirror with m's settings and those that all mirrors share.
func (r *Router) newMirror(m mirror.Settings) *mirror.Mirror {
	s := r.settings
	m.Source, m.Clock, m.Log = s.Source, s.Clock, s.Log
	m.Timeout, m.GracePeriod = mirrorTimeout, expiryGracePeriod
	m.UnavailableAfter = mirrorUnavailableDelay + max(m.Interval, m.PollWait)
	m.Peers, m.PeersKnown = r.peerAddresses, r.knowsRouters
	m.OnRecovery = r.resumeAfterOutage
	m.OnRestoration = func() { r.presence.Wake() }
	m.Outage = &r.outage
	m.Dial = r.dialPeer
	if !slices.Contains(s.Seeds, s.PeerAddress) {
		m.BootstrapAttempts = bootstrapAttempts
	}
	m.Relays = func() []netip.AddrPort { return r.members.relays(m.Name) }
	return mirror.New(m)
}

// resumeAfterOutage ends the delays that failed calls to the key-value service or to
// other routers have caused.
func (r *Router) resumeAfterOutage() {
	r.pageOwner.ResetBackoff()
	r.duties.ResetBackoff()
	r.ledger.Wake()
}

// mirrors returns all mirrors by the name that they have in the metrics.
func (r *Router) mirrors() map[string]*mirror.Mirror {
	return map[string]*mirror.Mirror{
		"configuration": r.configurations, "upstreams": r.upstreams, "routers": r.routerRecords, "suspects": r.quarantineList,
	}
}

// peerAddresses returns the endpoints of the other routers, or the seeds if none is
// known.
func (r *Router) peerAddresses() (all []netip.AddrPort) {
	for _, m := range r.members.all() {
		if m.VM != r.settings.VM {
			all = append(all, m.Address)
		}
	}
	if len(all) > 0 {
		return all
	}
	for _, a := range r.settings.Seeds {
		if a != r.settings.PeerAddress {
			all = append(all, a)
		}
	}
	return all
}
