// Package follower keeps a membership.View up to date from the key-value
// service and the platform's list.
//
// One loop lists the records and then watches them until the next listing is
// due. Listings detect watches that deliver nothing because their connection is
// broken, and they show which holders are absent. While the absence of a holder
// is being measured, listings are Settings.AbsenceInterval apart, which is well
// below membership.Settings.MaxGap; at other times they are Settings.ListInterval
// apart. If the service fails, the last known records stay in use. A second loop
// reads the platform's list.
//
// # Usage
//
//	f, err := follower.New(follower.Settings{Store: s, VMs: client, View: settings, Clock: time.Now, Log: log, Lifetime: lifetime})
//	...
//	defer f.Close()
//	for _, peer := range f.Peers(now) {
//		...
//	}
package follower

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Defaults of Settings.
const (
	defaultTimeout        = 2 * time.Second
	defaultListInterval   = time.Minute
	defaultVMListInterval = 5 * time.Second
	defaultRetryInterval  = time.Second
)

// listingsPerGap is the default number of listings within
// membership.Settings.MaxGap while the absence of a holder is being measured.
const listingsPerGap = 3

// VMLister returns the platform's list of VMs.
type VMLister interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// Settings configures a Follower.
type Settings struct {
	Store store.Store
	// VMs may be nil if the platform provides no list.
	VMs   VMLister
	View  membership.Settings
	Clock func() time.Time
	Log   hclog.Logger
	// Lifetime returns how long a holder must be absent to count as gone.
	Lifetime func() time.Duration
	// Timeout is the limit for each call to the store and to the list. The
	// default is 2 s.
	Timeout time.Duration
	// AbsenceInterval is the time between listings of the records while the
	// absence of a holder is being measured. It must be less than
	// membership.Settings.MaxGap; the default is a third of that.
	AbsenceInterval time.Duration
	// ListInterval is the time between listings of the records at other times. The
	// default is 1 min.
	ListInterval time.Duration
	// VMListInterval is the time between reads of the platform's list. The default is 5 s.
	VMListInterval time.Duration
	// RetryInterval is the time between a failure of the store and the next
	// attempt. The default is 1 s.
	RetryInterval time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Timeout = cmp.Or(s.Timeout, defaultTimeout)
	s.View.MaxGap = cmp.Or(s.View.MaxGap, membership.DefaultMaxGap)
	s.AbsenceInterval = cmp.Or(s.AbsenceInterval, s.View.MaxGap/listingsPerGap)
	s.ListInterval = cmp.Or(s.ListInterval, defaultListInterval)
	s.VMListInterval = cmp.Or(s.VMListInterval, defaultVMListInterval)
	s.RetryInterval = cmp.Or(s.RetryInterval, defaultRetryInterval)
	return s
}

func (s Settings) check() error {
	if s.Store == nil || s.Clock == nil || s.Log == nil || s.Lifetime == nil {
		return errors.New("store, clock, log and lifetime are required")
	}
	if s.AbsenceInterval >= s.View.MaxGap {
		return errors.New("the absence interval must be less than the maximum gap")
	}
	return nil
}

// Follower keeps a View up to date. Its methods are safe for concurrent use.
type Follower struct {
	settings Settings
	tomb     tomb.Tomb
	ready    chan struct{} // closed after the first listing

	mu          sync.Mutex
	view        *membership.View
	loggedGone  map[ident.Incarnation]struct{} // holders logged as gone
	cancelWatch context.CancelFunc             // starts the next listing early
}

// New returns a Follower and starts following the records and the platform's list.
func New(settings Settings) (f *Follower, err error) {
	defer func() { err = merry.Prepend(err, "creating the membership follower") }()
	settings = settings.withDefaults()
	if err := settings.check(); err != nil {
		return nil, err
	}
	f = &Follower{
		settings:    settings,
		ready:       make(chan struct{}),
		view:        membership.NewView(settings.View),
		loggedGone:  make(map[ident.Incarnation]struct{}),
		cancelWatch: func() {},
	}
	f.tomb.Go(func() error {
		if settings.VMs != nil {
			f.tomb.Go(f.pollVMs)
		}
		return f.follow()
	})
	return f, nil
}

// Close stops both loops and waits until they have ended.
func (f *Follower) Close() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

// Ready returns a channel that is closed after the first listing of the records.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// RecordProbe records the result of a probe of vm, as View.RecordProbe does.
func (f *Follower) RecordProbe(now time.Time, vm ident.VM, answered bool) {
	f.update(func(v *membership.View) []membership.Transition {
		return v.RecordProbe(now, vm, answered)
	})
}

// TrackAbsence starts tracking the absence of holders that are not registered.
func (f *Follower) TrackAbsence(now time.Time, holders ...ident.Incarnation) {
	f.update(func(v *membership.View) []membership.Transition {
		v.TrackAbsence(now, holders...)
		return nil
	})
}

// StopTracking stops tracking the absence of a holder.
func (f *Follower) StopTracking(holder ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.StopTracking(holder)
	delete(f.loggedGone, holder)
}

// Members returns View.Members.
func (f *Follower) Members(now time.Time) []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Members(now)
}

// Peers returns a copy of View.Peers.
func (f *Follower) Peers(now time.Time) []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.view.Peers(now))
}

// Owner returns View.Owner.
func (f *Follower) Owner(page int) (owner membership.Member, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Owner(page)
}

// GoneHolders returns View.GoneHolders.
func (f *Follower) GoneHolders(lifetime time.Duration) []ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.GoneHolders(lifetime)
}

// LivePeersInOtherDomains returns View.LivePeersInOtherDomains.
func (f *Follower) LivePeersInOtherDomains(n int, own ident.FailureDomain) []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LivePeersInOtherDomains(n, own)
}

// update changes the view, logs the changes of state, and starts the next listing
// early if the view has started to measure an absence.
func (f *Follower) update(change func(v *membership.View) []membership.Transition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.absencePending()
	for _, t := range change(f.view) {
		event.MemberChanged.Info(f.settings.Log, "vm", t.Member.VM, "incarnation", t.Member.Incarnation,
			"from", t.From, "to", t.Member.State, "reason", t.Member.Reason)
	}
	f.logGone()
	if !before && f.absencePending() {
		f.cancelWatch()
	}
}

// logGone logs each gone holder once. The caller holds mu.
func (f *Follower) logGone() {
	for _, holder := range f.view.GoneHolders(f.settings.Lifetime()) {
		if _, ok := f.loggedGone[holder]; ok {
			continue
		}
		f.loggedGone[holder] = struct{}{}
		event.HolderGone.Info(f.settings.Log, "incarnation", holder)
	}
}

// absencePending reports whether the absence of a holder is being measured. The
// caller holds mu.
func (f *Follower) absencePending() bool {
	return f.view.AbsencePending(f.settings.Lifetime())
}
