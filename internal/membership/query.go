package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

// Members returns all members other than the own VM, sorted by VM, including the
// members that are gone but still on the platform's list, which Peers leaves out.
func (v *View) Members(now time.Time) []Member {
	members := make([]Member, 0, len(v.peers))
	for _, vm := range slices.Sorted(maps.Keys(v.peers)) {
		if vm != v.settings.Self.VM {
			members = append(members, v.evaluatedMember(now, v.peers[vm]))
		}
	}
	return members
}

// Peers returns the members other than the own VM that are not gone: live, then
// suspect, then leaving ones. Within a state, members of the own failure domain
// come first, then those of the own region, and the rest of the order differs
// from VM to VM. The caller must not modify the slice; the view does not modify
// it either.
func (v *View) Peers(now time.Time) []Member {
	if v.ranked == nil || (!v.rankedUntil.IsZero() && now.After(v.rankedUntil)) {
		v.updateRanked(now)
	}
	return v.ranked
}

// updateRanked computes ranked, and sets rankedUntil to the earliest time at which
// an answered probe that affects it expires.
func (v *View) updateRanked(now time.Time) {
	order := v.peersByDistance()
	v.ranked = make([]Member, 0, len(order))
	v.rankedUntil = time.Time{}
	for _, state := range []State{StateLive, StateSuspect, StateLeaving} {
		for _, p := range order {
			if m := v.evaluatedMember(now, p); m.State == state {
				v.ranked = append(v.ranked, m)
			}
		}
	}
	for _, p := range order {
		until := p.lastAnswer.Add(v.settings.ProbeValidity)
		if p.registered || p.lastAnswer.IsZero() || now.After(until) {
			continue
		}
		if v.rankedUntil.IsZero() || until.Before(v.rankedUntil) {
			v.rankedUntil = until
		}
	}
}

// Owner returns the live member that owns a page, selected by rendezvous hashing:
// when a member joins or leaves, only its own pages move. A page is a page of the
// ledger or any other number that identifies a piece of work. It returns false if
// no member is live. The views of two VMs may differ, so the
// work needs its own protection against concurrent owners.
func (v *View) Owner(page int) (owner Member, ok bool) {
	var (
		best  *peer
		score uint64
		key   [16]byte
	)
	binary.LittleEndian.PutUint64(key[8:], uint64(page))
	for _, p := range v.liveMembers() {
		binary.LittleEndian.PutUint64(key[:8], p.ownerHash)
		if s := xxhash.Sum64(key[:]); best == nil || s > score {
			best, score = p, s
		}
	}
	if best == nil {
		return Member{}, false
	}
	return best.member(), true
}

// LivePeersInOtherDomains returns up to n live peers from different failure domains
// other than own, the nearest first. It returns fewer if fewer domains have a live peer.
func (v *View) LivePeersInOtherDomains(n int, own ident.FailureDomain) []Member {
	var members []Member
	usedDomains := map[ident.FailureDomain]bool{own: true}
	for _, p := range v.peersByDistance() {
		if len(members) >= n {
			break
		}
		if p.state != StateLive || usedDomains[p.record.FailureDomain] {
			continue
		}
		usedDomains[p.record.FailureDomain] = true
		members = append(members, p.member())
	}
	return members
}

// GoneHolders returns the holders that were absent for lifetime without a break and
// therefore can no longer act.
func (v *View) GoneHolders(lifetime time.Duration) []ident.Incarnation {
	return v.absences.absentFor(lifetime)
}

// AbsencePending reports whether a tracked holder has not yet been absent for
// lifetime. While it is true, the records must be listed at least once every
// Settings.MaxGap.
func (v *View) AbsencePending(lifetime time.Duration) bool {
	return v.absences.hasAbsenceShorterThan(lifetime)
}

// evaluatedMember returns the member with its state at the given time, which can
// differ from the stored one because answered probes expire.
func (v *View) evaluatedMember(now time.Time, p *peer) Member {
	m := p.member()
	m.State, m.Reason = p.evaluate(v.settings, now)
	return m
}

// peersByDistance returns the peers other than the own VM sorted by distance, then
// by peerHash.
func (v *View) peersByDistance() []*peer {
	if v.byDistance != nil {
		return v.byDistance
	}
	v.byDistance = make([]*peer, 0, len(v.peers))
	for vm, p := range v.peers {
		if vm != v.settings.Self.VM {
			v.byDistance = append(v.byDistance, p)
		}
	}
	slices.SortFunc(v.byDistance, func(a, b *peer) int {
		return cmp.Or(
			cmp.Compare(v.distance(a), v.distance(b)),
			cmp.Compare(a.peerHash, b.peerHash),
			cmp.Compare(a.record.VM, b.record.VM),
		)
	})
	return v.byDistance
}

// distance returns 0 for a peer in the own failure domain, 1 for one in the own
// region and 2 for any other.
func (v *View) distance(p *peer) int {
	switch {
	case p.record.FailureDomain == v.settings.Self.FailureDomain:
		return 0
	case p.record.Region == v.settings.Self.Region:
		return 1
	}
	return 2
}

// liveMembers returns the live peers, including the own VM, sorted by VM.
func (v *View) liveMembers() []*peer {
	if v.live != nil {
		return v.live
	}
	v.live = make([]*peer, 0, len(v.peers))
	for _, p := range v.peers {
		if p.state == StateLive {
			v.live = append(v.live, p)
		}
	}
	slices.SortFunc(v.live, func(a, b *peer) int {
		return cmp.Compare(a.record.VM, b.record.VM)
	})
	return v.live
}
