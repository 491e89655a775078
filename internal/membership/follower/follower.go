// Package follower keeps a membership.View up to date from the key-value
// service and the platform's list.
//
// One loop lists the records and then watches them until the next listing is
// due. The listing is what tells an idle watch from one whose connection has
// gone silent, and it is the evidence for the absence of holders: while one is
// being counted, it recurs well within membership.Settings.MaxGap, otherwise
// after Settings.Resync. A failure of the service leaves the last known
// records in use. A second loop reads the platform's list.
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
	defaultTimeout = 2 * time.Second
	defaultResync  = time.Minute
	defaultPoll    = 5 * time.Second
	defaultRetry   = time.Second
)

// countsPerGap is the default number of listings within
// membership.Settings.MaxGap while an absence is being counted.
const countsPerGap = 3

// VMs is the platform's list of VMs.
type VMs interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// Settings sets up a Follower.
type Settings struct {
	Store store.Store
	// VMs may be nil where there is no list.
	VMs   VMs
	View  membership.Settings
	Clock func() time.Time
	Log   hclog.Logger
	// Lifetime returns how long a holder's absence is counted.
	Lifetime func() time.Duration
	// Timeout bounds each call of the store and of the list. The default is
	// 2 s.
	Timeout time.Duration
	// Count is the time between listings of the records while the absence of
	// a holder is being counted. It is below membership.Settings.MaxGap; the
	// default is a third of that.
	Count time.Duration
	// Resync is the time between listings otherwise. The default is 1 min.
	Resync time.Duration
	// Poll is the time between readings of the platform's list. The default
	// is 5 s.
	Poll time.Duration
	// Retry is the time to wait after a failure of the store. The default is
	// 1 s.
	Retry time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Timeout = cmp.Or(s.Timeout, defaultTimeout)
	s.View.MaxGap = cmp.Or(s.View.MaxGap, membership.DefaultMaxGap)
	s.Count = cmp.Or(s.Count, s.View.MaxGap/countsPerGap)
	s.Resync = cmp.Or(s.Resync, defaultResync)
	s.Poll = cmp.Or(s.Poll, defaultPoll)
	s.Retry = cmp.Or(s.Retry, defaultRetry)
	return s
}

func (s Settings) check() error {
	if s.Store == nil || s.Clock == nil || s.Log == nil || s.Lifetime == nil {
		return errors.New("no store, clock, log or lifetime")
	}
	if s.Count >= s.View.MaxGap {
		return errors.New("the time between listings is not below the greatest gap")
	}
	return nil
}

// Follower is a View that is kept up to date. Its methods are safe for
// concurrent use.
type Follower struct {
	settings Settings
	tomb     tomb.Tomb
	ready    chan struct{} // closed after the first listing

	mu        sync.Mutex
	view      *membership.View
	reported  map[ident.Incarnation]struct{} // holders logged as gone
	interrupt context.CancelFunc             // makes the next listing due
}

// New begins to follow the records and the platform's list.
func New(settings Settings) (f *Follower, err error) {
	defer func() { err = merry.Prepend(err, "setting up the follower of the members") }()
	settings = settings.withDefaults()
	if err := settings.check(); err != nil {
		return nil, err
	}
	f = &Follower{
		settings:  settings,
		ready:     make(chan struct{}),
		view:      membership.NewView(settings.View),
		reported:  make(map[ident.Incarnation]struct{}),
		interrupt: func() {},
	}
	f.tomb.Go(func() error {
		if settings.VMs != nil {
			f.tomb.Go(f.pollVMs)
		}
		return f.follow()
	})
	return f, nil
}

// Close ends the follower and waits.
func (f *Follower) Close() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

// Ready is closed once the records have been listed for the first time.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Probe takes the result of a probe of vm, as View.Probe does.
func (f *Follower) Probe(now time.Time, vm ident.VM, answered bool) {
	f.update(func(v *membership.View) []membership.Transition {
		return v.Probe(now, vm, answered)
	})
}

// Track begins to count the absence of holders that are not registered.
func (f *Follower) Track(now time.Time, holders ...ident.Incarnation) {
	f.update(func(v *membership.View) []membership.Transition {
		v.Track(now, holders...)
		return nil
	})
}

// Forget ends the count of the absence of a holder.
func (f *Follower) Forget(holder ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Forget(holder)
	delete(f.reported, holder)
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

// Gone returns View.Gone.
func (f *Follower) Gone(lifetime time.Duration) []ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Gone(lifetime)
}

// Witnesses returns View.Witnesses.
func (f *Follower) Witnesses(n int, own ident.FailureDomain) []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Witnesses(n, own)
}

// update changes the view, logs what changed, and makes the next listing due
// if a count of absence has begun.
func (f *Follower) update(change func(v *membership.View) []membership.Transition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.pending()
	for _, t := range change(f.view) {
		event.MemberChanged.Info(f.settings.Log, "vm", t.Member.VM, "incarnation", t.Member.Incarnation,
			"from", t.From, "to", t.Member.State, "reason", t.Member.Reason)
	}
	f.reportGone()
	if !before && f.pending() {
		f.interrupt()
	}
}

// reportGone logs each holder once. The caller holds mu.
func (f *Follower) reportGone() {
	for _, holder := range f.view.Gone(f.settings.Lifetime()) {
		if _, ok := f.reported[holder]; ok {
			continue
		}
		f.reported[holder] = struct{}{}
		event.HolderGone.Info(f.settings.Log, "incarnation", holder)
	}
}

// pending reports whether an absence is being counted. The caller holds mu.
func (f *Follower) pending() bool {
	return f.view.Pending(f.settings.Lifetime())
}
