package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/internal/vmlist"
)

// peer is what the sources tell about one VM.
type peer struct {
	record     Record // the last one known
	registered bool
	listed     vmlist.State // empty if the VM is not on the platform's list
	failures   int          // of probes in a row
	answered   time.Time    // the last probe, unless one has failed since

	state  State
	reason Reason

	hash  uint64 // of the VM, for Owner
	place uint64 // of the VM as seen from the own VM, for Peers
}

func (v *View) newPeer(r Record) *peer {
	return &peer{
		record: r,
		hash:   xxhash.Sum64String(string(r.VM)),
		place:  xxhash.Sum64String(string(v.settings.Self.VM) + "/" + string(r.VM)),
	}
}

// recordOf returns what the platform's list tells of a record.
func recordOf(vm vmlist.VM) Record {
	return Record{
		VM:            vm.ID,
		Address:       vm.Address,
		FailureDomain: vm.FailureDomain,
		Region:        vm.Region,
	}
}

// decide returns the state that the sources give the peer.
func (p *peer) decide(s Settings, now time.Time) (State, Reason) {
	silent := p.failures >= s.ProbeFailures
	answers := !p.answered.IsZero() && now.Sub(p.answered) <= s.ProbeValidity
	switch {
	case p.listed == vmlist.StateLeaving && (p.registered || answers):
		return StateLeaving, ReasonLeaving
	case p.registered && silent:
		return StateSuspect, ReasonSilent
	case p.registered:
		return StateLive, ReasonRegistered
	case answers:
		return StateSuspect, ReasonUnregistered
	case p.listed == vmlist.StateLive && !silent:
		return StateSuspect, ReasonListed
	}
	return StateGone, ReasonAbsent
}

func (p *peer) member() Member {
	return Member{Record: p.record, State: p.state, Reason: p.reason}
}
