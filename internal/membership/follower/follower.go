// Package follower feeds a membership.View from the key-value service and the
// platform's list.
//
// # Usage
//
//	f := follower.New(follower.Settings{Store: s, VMs: client, View: settings, Clock: time.Now, Log: log})
//	defer f.Close()
//	for _, peer := range f.Peers(now) { ... }
package follower

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// VMs is the platform's list of VMs.
type VMs interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// Settings sets up a Follower.
type Settings struct {
	Store store.Store
	VMs   VMs
	View  membership.Settings
	Clock func() time.Time
	Log   hclog.Logger
	// Timeout bounds each call of the store and of the list.
	Timeout time.Duration
	// Resync is the time between listings of the records while no holder's
	// absence is being counted.
	Resync time.Duration
	// Poll is the time between readings of the platform's list.
	Poll time.Duration
	// Lifetime returns how long a holder's absence is counted.
	Lifetime func() time.Duration
}

// Follower is a View that is kept up to date. Its methods are safe for
// concurrent use.
type Follower struct{}

// New begins to follow the records and the platform's list.
func New(settings Settings) *Follower { return &Follower{} }

// Close ends the follower and waits.
func (f *Follower) Close() error { return nil }

// Ready is closed once the records have been listed for the first time.
func (f *Follower) Ready() <-chan struct{} { return nil }

// Probe takes the result of a probe of vm.
func (f *Follower) Probe(now time.Time, vm ident.VM, answered bool) {}

// Track begins to count the absence of holders that are not registered.
func (f *Follower) Track(holders ...ident.Incarnation) {}

// Forget ends the count of the absence of a holder.
func (f *Follower) Forget(holder ident.Incarnation) {}

// Peers returns View.Peers.
func (f *Follower) Peers(now time.Time) []membership.Member { return nil }

// Owner returns View.Owner.
func (f *Follower) Owner(page int) (owner membership.Member, ok bool) {
	return membership.Member{}, false
}

// Gone returns View.Gone.
func (f *Follower) Gone(lifetime time.Duration) []ident.Incarnation { return nil }

// Witnesses returns View.Witnesses.
func (f *Follower) Witnesses(n int, own ident.FailureDomain) []membership.Member { return nil }
