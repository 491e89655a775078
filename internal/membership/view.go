// Package membership decides which routers of the fleet are live, suspect,
// leaving or gone, from the records in the key-value service, the platform's
// list of VMs and probes of peers.
//
// # Usage
//
//	v := membership.NewView(membership.Settings{Self: record})
//	transitions := v.Observe(asked, answered, records) // after each listing
//	v.Apply(now, changed, removed)                     // after each watch batch
//	v.List(now, vms)                                   // the platform's list
//	v.Probe(now, vm, true)                             // a peer answered
//
//	peers := v.Peers(now)
//	owner, ok := v.Owner(page)
package membership

import (
	"time"

	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/ident"
)

// Settings sets up a View.
type Settings struct {
	// Self is the record of the router's own VM.
	Self Record
	// ProbeFailures is the number of failed probes in a row that make a
	// member suspect.
	ProbeFailures int
	// ProbeValidity is how long an answered probe counts.
	ProbeValidity time.Duration
	// MaxGap is the longest time between two listings of the records over
	// which absence counts as unbroken. It is less than the time to live of
	// the leases of the records.
	MaxGap time.Duration
}

// View is the state of the decisions. It is not safe for concurrent use.
type View struct {
	settings Settings
}

// NewView returns a view that knows its own VM alone.
func NewView(settings Settings) *View { return &View{settings: settings} }

// Observe takes a whole listing of the records, asked for and answered at the
// given times.
func (v *View) Observe(asked, answered time.Time, records []Record) []Transition { return nil }

// Apply takes the changes of a watch.
func (v *View) Apply(now time.Time, put []Record, removed []ident.VM) []Transition { return nil }

// List takes the platform's list of VMs.
func (v *View) List(now time.Time, vms []vmlist.VM) []Transition { return nil }

// Probe takes the result of a probe of vm.
func (v *View) Probe(now time.Time, vm ident.VM, answered bool) []Transition { return nil }

// Track begins to count the absence of holders that are not registered.
func (v *View) Track(holders ...ident.Incarnation) {}

// Forget ends the count of the absence of a holder.
func (v *View) Forget(holder ident.Incarnation) {}

// Peers returns the members other than the own VM that are not gone, the ones
// to be used first at the front.
func (v *View) Peers(now time.Time) []Member { return nil }

// Owner returns the live member that does the work of a ledger page.
func (v *View) Owner(page int) (owner Member, ok bool) { return Member{}, false }

// Gone returns the holders that were seen to be absent for lifetime without a
// break, and so can act no longer.
func (v *View) Gone(lifetime time.Duration) []ident.Incarnation { return nil }

// Witnesses returns live peers in n failure domains other than own, one in
// each, or in as many as there are.
func (v *View) Witnesses(n int, own ident.FailureDomain) []Member { return nil }
