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

// Members returns all members other than the own VM, in order of VM, with the
// gone ones that the platform still lists. A router probes these.
func (v *View) Members(now time.Time) []Member {
	members := make([]Member, 0, len(v.peers))
	for _, vm := range slices.Sorted(maps.Keys(v.peers)) {
		if vm != v.settings.Self.VM {
			members = append(members, v.memberAt(now, v.peers[vm]))
		}
	}
	return members
}

// Peers returns the members other than the own VM that are not gone: live,
// then suspect, then leaving ones, and among these the same failure domain
// first, then the same region, then in an order that differs between VMs. The
// caller must not change the slice, which the view does not change either.
func (v *View) Peers(now time.Time) []Member {
	if v.ranked == nil || (!v.rankedUntil.IsZero() && now.After(v.rankedUntil)) {
		v.rank(now)
	}
	return v.ranked
}

// rank sets ranked, and rankedUntil to the time at which the first answered
// probe that counts for it loses its effect.
func (v *View) rank(now time.Time) {
	order := v.nearest()
	v.ranked = make([]Member, 0, len(order))
	v.rankedUntil = time.Time{}
	for _, state := range []State{StateLive, StateSuspect, StateLeaving} {
		for _, p := range order {
			if m := v.memberAt(now, p); m.State == state {
				v.ranked = append(v.ranked, m)
			}
		}
	}
	for _, p := range order {
		until := p.answered.Add(v.settings.ProbeValidity)
		if p.registered || p.answered.IsZero() || now.After(until) {
			continue
		}
		if v.rankedUntil.IsZero() || until.Before(v.rankedUntil) {
			v.rankedUntil = until
		}
	}
}

// Owner returns the live member that does the work of a ledger page, by
// rendezvous hashing: when a member comes or goes, only its own pages move. It
// returns false if no member is live. Views of two VMs may differ, so that the
// work needs a guard of its own.
func (v *View) Owner(page int) (owner Member, ok bool) {
	var (
		best  *peer
		score uint64
		key   [16]byte
	)
	binary.LittleEndian.PutUint64(key[8:], uint64(page))
	for _, p := range v.liveMembers() {
		binary.LittleEndian.PutUint64(key[:8], p.hash)
		if s := xxhash.Sum64(key[:]); best == nil || s > score {
			best, score = p, s
		}
	}
	if best == nil {
		return Member{}, false
	}
	return best.member(), true
}

// Witnesses returns live peers in n failure domains other than own, one in
// each and the nearest first, or in as many as there are.
func (v *View) Witnesses(n int, own ident.FailureDomain) []Member {
	var members []Member
	taken := map[ident.FailureDomain]bool{own: true}
	for _, p := range v.nearest() {
		if len(members) >= n {
			break
		}
		if p.state != StateLive || taken[p.record.FailureDomain] {
			continue
		}
		taken[p.record.FailureDomain] = true
		members = append(members, p.member())
	}
	return members
}

// Gone returns the holders that were absent for lifetime without a break, and
// so can act no longer.
func (v *View) Gone(lifetime time.Duration) []ident.Incarnation {
	return v.absences.gone(lifetime)
}

// Pending reports whether the absence of a holder over lifetime is still being
// counted, so that the records have to be listed at least once in
// Settings.MaxGap.
func (v *View) Pending(lifetime time.Duration) bool {
	return v.absences.pending(lifetime)
}

// memberAt returns the member as it is now. An answered probe loses its effect
// with time alone.
func (v *View) memberAt(now time.Time, p *peer) Member {
	m := p.member()
	m.State, m.Reason = p.decide(v.settings, now)
	return m
}

// nearest returns the peers other than the own VM in order of place.
func (v *View) nearest() []*peer {
	if v.order != nil {
		return v.order
	}
	v.order = make([]*peer, 0, len(v.peers))
	for vm, p := range v.peers {
		if vm != v.settings.Self.VM {
			v.order = append(v.order, p)
		}
	}
	slices.SortFunc(v.order, func(a, b *peer) int {
		return cmp.Or(
			cmp.Compare(v.distance(a), v.distance(b)),
			cmp.Compare(a.place, b.place),
			cmp.Compare(a.record.VM, b.record.VM),
		)
	})
	return v.order
}

// distance is 0 for the own failure domain, 1 for the own region, else 2.
func (v *View) distance(p *peer) int {
	switch {
	case p.record.FailureDomain == v.settings.Self.FailureDomain:
		return 0
	case p.record.Region == v.settings.Self.Region:
		return 1
	}
	return 2
}

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
