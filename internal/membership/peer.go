package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/internal/vmlist"
)

// peer holds what the sources report about one VM, and the resulting state.
type peer struct {
	record       Record // the last known one
	registered   bool
	listedState  vmlist.State // empty if the VM is not on the platform's list
	failedProbes int          // consecutive failed probes
	lastAnswer   time.Time    // when a probe was last answered; zero if one has failed since

	state  State
	reason Reason

	ownerHash uint64 // of the VM, for Owner
	peerHash  uint64 // of the VM as seen from the own VM, for Peers
}

func (v *View) newPeer(r Record) *peer {
	return &peer{
		record:    r,
		ownerHash: xxhash.Sum64String(string(r.VM)),
		peerHash:  xxhash.Sum64String(string(v.settings.Self.VM) + "/" + string(r.VM)),
	}
}

// recordFromVM returns the part of a record that the platform's list provides.
func recordFromVM(vm vmlist.VM) Record {
	return Record{
		VM:            vm.ID,
		Address:       vm.Address,
		FailureDomain: vm.FailureDomain,
		Region:        vm.Region,
	}
}

// evaluate returns the state that the sources imply for the peer, and the reason.
func (p *peer) evaluate(s Settings, now time.Time) (State, Reason) {
	probesFail := p.failedProbes >= s.ProbeFailures
	probeValid := !p.lastAnswer.IsZero() && now.Sub(p.lastAnswer) <= s.ProbeValidity
	switch {
	case p.listedState == vmlist.StateLeaving && (p.registered || probeValid):
		return StateLeaving, ReasonLeaving
	case p.registered && probesFail:
		return StateSuspect, ReasonSilent
	case p.registered:
		return StateLive, ReasonRegistered
	case probeValid:
		return StateSuspect, ReasonUnregistered
	case p.listedState == vmlist.StateLive && !probesFail:
		return StateSuspect, ReasonListed
	}
	return StateGone, ReasonAbsent
}

func (p *peer) member() Member {
	return Member{Record: p.record, State: p.state, Reason: p.reason}
}
