// Package membership decides which routers of the fleet are live, suspect,
// leaving or gone, from the records in the key-value service, the platform's
// list of VMs and probes of peers.
//
// A router registers a Record bound to a lease (package registration) and
// follows the records of the others (package follower). Package follower passes
// what it reads to a View, which reads no clock and does no I/O.
//
// The sources differ in reliability. An existing record makes a VM live unless
// its probes fail. A VM without a record is suspect while it answers probes, or
// while the platform lists it as live and its probes do not fail, so that peers
// cut off from the key-value service stay in use; otherwise it is gone. A VM that
// the platform lists as leaving is leaving if it is registered or answers probes.
// A listing as live does not take precedence in this way, since the list lags.
//
// # Absence of holders
//
// A holder of shares may act until a lifetime after it requested the last
// successful renewal of its lease, and an incarnation past that time never
// registers again. View.GoneHolders returns the holders whose lifetime has passed as
// shown by listings of the records: all listings over the lifetime lacked the
// holder, and no two consecutive ones were further apart than Settings.MaxGap. A
// holder that registered in between would have been seen, because its record
// stays for at least the time to live of its lease. Time during which the
// service returned no listings is not counted.
//
// # Usage
//
//	v := membership.NewView(membership.Settings{Self: record, ...})
//	transitions := v.ApplyListing(requestedAt, answeredAt, records) // after each listing
//	transitions = v.ApplyChanges(now, changes)                      // after each watch batch
//	transitions = v.ApplyVMList(now, vms)                           // the platform's list
//	transitions = v.RecordProbe(now, vm, true)                      // a peer answered
//
//	peers := v.Peers(now)
//	owner, ok := v.Owner(page)
package membership

import (
	"cmp"
	"slices"
	"time"

	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/ident"
)

// Settings configures a View.
type Settings struct {
	// Self is the record of the router's own VM.
	Self Record
	// ProbeFailures is the number of consecutive failed probes after which a
	// registered VM is suspect, and one that is only listed is gone. The default
	// is 3.
	ProbeFailures int
	// ProbeValidity is how long an answered probe keeps a VM that is not
	// registered from being gone. The default is 10 s.
	ProbeValidity time.Duration
	// MaxGap is the longest time between two listings of the records over which
	// an absence counts as unbroken. It must be less than the time to live of
	// the leases of the records. The default is DefaultMaxGap.
	MaxGap time.Duration
}

// Defaults of Settings.
const (
	defaultProbeFailures = 3
	defaultProbeValidity = 10 * time.Second
)

// DefaultMaxGap is the default of Settings.MaxGap.
const DefaultMaxGap = 5 * time.Second

func (s Settings) withDefaults() Settings {
	s.ProbeFailures = cmp.Or(s.ProbeFailures, defaultProbeFailures)
	s.ProbeValidity = cmp.Or(s.ProbeValidity, defaultProbeValidity)
	s.MaxGap = cmp.Or(s.MaxGap, DefaultMaxGap)
	return s
}

// View holds the membership state of all known VMs. It is not safe for concurrent
// use.
type View struct {
	settings Settings
	peers    map[ident.VM]*peer // including the own VM
	absences absenceTracker

	// Cached results of queries; a change of the peers resets them to nil.
	// byDistance holds the peers other than the own VM, the nearest first; live
	// the live peers including the own VM, sorted by VM; and ranked the result
	// of Peers, which is out of date after rankedUntil even without a change.
	byDistance  []*peer
	live        []*peer
	ranked      []Member
	rankedUntil time.Time // zero if ranked does not expire
}

// NewView returns a view that knows only its own VM.
func NewView(settings Settings) *View {
	settings = settings.withDefaults()
	v := &View{
		settings: settings,
		peers:    make(map[ident.VM]*peer),
		absences: newAbsenceTracker(settings.MaxGap),
	}
	v.peers[settings.Self.VM] = v.newPeer(settings.Self)
	return v
}

// ApplyListing replaces the records by a complete listing. The arguments
// requestedAt and answeredAt are the times of its request and of its answer. It
// returns the resulting changes of state.
func (v *View) ApplyListing(requestedAt, answeredAt time.Time, records []Record) []Transition {
	present := make(map[ident.VM]struct{}, len(records))
	for _, r := range records {
		v.register(answeredAt, r)
		present[r.VM] = struct{}{}
	}
	for vm, p := range v.peers {
		if _, ok := present[vm]; !ok {
			v.unregister(answeredAt, p)
		}
	}
	v.absences.recordListing(requestedAt, answeredAt)
	return v.updateStates(answeredAt)
}

// Change is the change of one record. If Removed is set, only Record.VM is known.
type Change struct {
	Record  Record
	Removed bool
}

// ApplyChanges applies the changes reported by a watch, in order. It returns the
// resulting changes of state.
func (v *View) ApplyChanges(now time.Time, changes []Change) []Transition {
	for _, c := range changes {
		if !c.Removed {
			v.register(now, c.Record)
			continue
		}
		if p, ok := v.peers[c.Record.VM]; ok {
			v.unregister(now, p)
		}
	}
	return v.updateStates(now)
}

// ApplyVMList replaces what is known from the platform's list of VMs. It returns
// the resulting changes of state.
func (v *View) ApplyVMList(now time.Time, vms []vmlist.VM) []Transition {
	for _, p := range v.peers {
		p.listedState = ""
	}
	for _, vm := range vms {
		p, ok := v.peers[vm.ID]
		if !ok {
			p = v.newPeer(recordFromVM(vm))
			v.peers[vm.ID] = p
			v.byDistance, v.ranked = nil, nil
		}
		p.listedState = vm.State
	}
	return v.updateStates(now)
}

// RecordProbe records the result of a probe of vm. It returns the resulting change
// of state, if any. Probes of unknown VMs and of the own VM are ignored.
func (v *View) RecordProbe(now time.Time, vm ident.VM, answered bool) []Transition {
	p, ok := v.peers[vm]
	switch {
	case !ok || vm == v.settings.Self.VM:
		return nil
	case answered:
		p.failedProbes = 0
		p.lastAnswer = now
	default:
		p.failedProbes++
		p.lastAnswer = time.Time{}
	}
	if !p.registered {
		v.ranked = nil // may hold a state that an expired probe has already changed
	}
	return v.updateState(nil, now, p)
}

// TrackAbsence starts tracking the absence of holders that are not registered, such as
// those that a new router finds in the ledger.
func (v *View) TrackAbsence(now time.Time, holders ...ident.Incarnation) {
	for _, holder := range holders {
		if !v.isRegistered(holder) {
			v.absences.add(now, holder)
		}
	}
}

// StopTracking stops tracking the absence of a holder.
func (v *View) StopTracking(holder ident.Incarnation) {
	v.absences.remove(holder)
}

// register records that r exists. An earlier incarnation of the VM becomes
// unregistered.
func (v *View) register(now time.Time, r Record) {
	p, ok := v.peers[r.VM]
	if !ok {
		p = v.newPeer(r)
		v.peers[r.VM] = p
		v.byDistance, v.ranked = nil, nil
	}
	if p.record.Incarnation != r.Incarnation {
		v.unregister(now, p)
		p.failedProbes = 0
	}
	if p.record != r {
		p.record = r
		v.byDistance, v.ranked = nil, nil
	}
	p.registered = true
	v.absences.remove(r.Incarnation)
}

// unregister records that the peer has no record, and starts tracking the absence
// of its incarnation.
func (v *View) unregister(now time.Time, p *peer) {
	if !p.registered {
		return
	}
	p.registered = false
	v.absences.add(now, p.record.Incarnation)
}

// isRegistered reports whether the incarnation has a record.
func (v *View) isRegistered(holder ident.Incarnation) bool {
	for _, p := range v.peers {
		if p.registered && p.record.Incarnation == holder {
			return true
		}
	}
	return false
}

// updateStates evaluates all peers, removes those that no source reports any more,
// and returns the changes of state, sorted by VM.
func (v *View) updateStates(now time.Time) (transitions []Transition) {
	for vm, p := range v.peers {
		transitions = v.updateState(transitions, now, p)
		if p.state == StateGone && p.listedState == "" && vm != v.settings.Self.VM {
			delete(v.peers, vm)
			v.byDistance, v.ranked = nil, nil
		}
	}
	slices.SortFunc(transitions, func(a, b Transition) int {
		return cmp.Compare(a.Member.VM, b.Member.VM)
	})
	return transitions
}

// updateState evaluates one peer and appends its change of state, if any.
func (v *View) updateState(transitions []Transition, now time.Time, p *peer) []Transition {
	state, reason := p.evaluate(v.settings, now)
	from := p.state
	if state != from || reason != p.reason {
		v.live, v.ranked = nil, nil
	}
	p.state, p.reason = state, reason
	if state == from {
		return transitions
	}
	return append(transitions, Transition{Member: p.member(), From: from, Time: now})
}
