// Package membership decides which routers of the fleet are live, suspect,
// leaving or gone, from the records in the key-value service, the platform's
// list of VMs and probes of peers.
//
// A router registers a Record bound to a lease (package registration) and
// follows the records of the others (package follower). The View takes what
// they observe and decides; it reads no clock and does no I/O.
//
// The sources differ in what they can tell. A record that is there makes a VM
// live unless its probes fail. A record that is missing makes it suspect while
// it answers probes or the platform lists it as live, so that peers cut off
// from the key-value service stay in use; else it is gone. The platform's word
// that a VM is leaving goes before the rest, its word that a VM is live does
// not, since the list lags.
//
// # Absence of holders
//
// A holder of shares may act until a lifetime after it asked for the last
// renewal of its lease that succeeded, and an incarnation that has passed that
// time never registers again. View.Gone returns the holders for which this is
// proved by listings of the records: all listings over the lifetime lacked the
// holder, and no two in a row were further apart than Settings.MaxGap. A
// holder that registered in between would have been seen, because its record
// stays for at least the time to live of its lease. Time over which the
// service gave no listings is not counted.
//
// # Usage
//
//	v := membership.NewView(membership.Settings{Self: record, ...})
//	transitions := v.Observe(asked, answered, records) // after each listing
//	transitions = v.Apply(now, changes)                // after each watch batch
//	transitions = v.List(now, vms)                     // the platform's list
//	transitions = v.Probe(now, vm, true)               // a peer answered
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

// Settings sets up a View.
type Settings struct {
	// Self is the record of the router's own VM.
	Self Record
	// ProbeFailures is the number of failed probes in a row that make a
	// member suspect. The default is 3.
	ProbeFailures int
	// ProbeValidity is how long an answered probe counts for a VM that is not
	// registered. The default is 10 s.
	ProbeValidity time.Duration
	// MaxGap is the longest time between two listings of the records over
	// which absence counts as unbroken. It is less than the time to live of
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

// View is the state of the decisions. It is not safe for concurrent use.
type View struct {
	settings Settings
	peers    map[ident.VM]*peer // with the own VM
	absences absences

	// These hold what queries return until a change of the peers makes them
	// nil: the peers other than the own VM, the nearest first; the live peers
	// with the own VM, in order of VM; and the members for Peers, which time
	// alone may change after rankedUntil.
	order       []*peer
	live        []*peer
	ranked      []Member
	rankedUntil time.Time // zero if time changes nothing
}

// NewView returns a view that knows its own VM alone.
func NewView(settings Settings) *View {
	settings = settings.withDefaults()
	v := &View{
		settings: settings,
		peers:    make(map[ident.VM]*peer),
		absences: newAbsences(settings.MaxGap),
	}
	v.peers[settings.Self.VM] = v.newPeer(settings.Self)
	return v
}

// Observe takes a whole listing of the records, asked for and answered at the
// given times.
func (v *View) Observe(asked, answered time.Time, records []Record) []Transition {
	present := make(map[ident.VM]struct{}, len(records))
	for _, r := range records {
		v.register(answered, r)
		present[r.VM] = struct{}{}
	}
	for vm, p := range v.peers {
		if _, ok := present[vm]; !ok {
			v.unregister(answered, p)
		}
	}
	v.absences.observe(asked, answered)
	return v.settle(answered)
}

// Change is the change of one record. Of a removed one only the VM is known.
type Change struct {
	Record  Record
	Removed bool
}

// Apply takes the changes of a watch in their order.
func (v *View) Apply(now time.Time, changes []Change) []Transition {
	for _, c := range changes {
		if !c.Removed {
			v.register(now, c.Record)
			continue
		}
		if p, ok := v.peers[c.Record.VM]; ok {
			v.unregister(now, p)
		}
	}
	return v.settle(now)
}

// List takes the platform's list of VMs.
func (v *View) List(now time.Time, vms []vmlist.VM) []Transition {
	for _, p := range v.peers {
		p.listed = ""
	}
	for _, vm := range vms {
		p, ok := v.peers[vm.ID]
		if !ok {
			p = v.newPeer(recordOf(vm))
			v.peers[vm.ID] = p
			v.order, v.ranked = nil, nil
		}
		p.listed = vm.State
	}
	return v.settle(now)
}

// Probe takes the result of a probe of vm.
func (v *View) Probe(now time.Time, vm ident.VM, answered bool) []Transition {
	p, ok := v.peers[vm]
	switch {
	case !ok || vm == v.settings.Self.VM:
		return nil
	case answered:
		p.failures = 0
		p.answered = now
	default:
		p.failures++
		p.answered = time.Time{}
	}
	if !p.registered {
		v.ranked = nil // time may have changed the peer there already
	}
	return v.settlePeer(nil, now, p)
}

// Track begins to count the absence of holders that are not registered, such
// as those that a new router finds in the ledger.
func (v *View) Track(now time.Time, holders ...ident.Incarnation) {
	for _, holder := range holders {
		if !v.registered(holder) {
			v.absences.add(now, holder)
		}
	}
}

// Forget ends the count of the absence of a holder.
func (v *View) Forget(holder ident.Incarnation) {
	v.absences.remove(holder)
}

func (v *View) register(now time.Time, r Record) {
	p, ok := v.peers[r.VM]
	if !ok {
		p = v.newPeer(r)
		v.peers[r.VM] = p
		v.order, v.ranked = nil, nil
	}
	if p.record.Incarnation != r.Incarnation {
		v.unregister(now, p)
		p.failures = 0
	}
	if p.record != r {
		p.record = r
		v.order, v.ranked = nil, nil
	}
	p.registered = true
	v.absences.remove(r.Incarnation)
}

func (v *View) unregister(now time.Time, p *peer) {
	if !p.registered {
		return
	}
	p.registered = false
	v.absences.add(now, p.record.Incarnation)
}

func (v *View) registered(holder ident.Incarnation) bool {
	for _, p := range v.peers {
		if p.registered && p.record.Incarnation == holder {
			return true
		}
	}
	return false
}

// settle decides on all peers, drops those that no source knows, and returns
// the changes in order of VM.
func (v *View) settle(now time.Time) (transitions []Transition) {
	for vm, p := range v.peers {
		transitions = v.settlePeer(transitions, now, p)
		if p.state == StateGone && p.listed == "" && vm != v.settings.Self.VM {
			delete(v.peers, vm)
			v.order, v.ranked = nil, nil
		}
	}
	slices.SortFunc(transitions, func(a, b Transition) int {
		return cmp.Compare(a.Member.VM, b.Member.VM)
	})
	return transitions
}

// settlePeer decides on one peer and appends the change, if any.
func (v *View) settlePeer(transitions []Transition, now time.Time, p *peer) []Transition {
	state, reason := p.decide(v.settings, now)
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
