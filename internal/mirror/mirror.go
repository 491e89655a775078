// Package mirror maintains an in-memory copy of the entries under a key prefix of the
// key-value service.
//
// Changes are read in batches at an interval, so that the cost does not depend on how
// often entries change. If the service has compacted the change history, the mirror
// lists all entries. A router that cannot reach the service fetches the copies of
// other routers. Copies are ordered by revision, and a mirror never replaces its copy
// by an older one.
//
// A service that was restored from an older copy begins a new era, whose revisions are
// higher than those before. It may hold values that the mirror knows to be out of date.
// They are not taken: a deleted entry stays deleted, and a newer value stays, until the
// entry is written again.
//
// Routers send each other the values of large entries as deltas from the version that
// the other one holds, or compressed if there is none.
//
// In a large fleet most routers read through a relay: another router that reads the
// service, or reads through a further relay, and forwards each change as soon as it
// has read it. Each response carries the time since the service itself was last
// read. A router reads the service directly if its relay does not respond or if that
// time is too long. Routers that relay to each other therefore cannot keep each
// other's stale copies alive.
//
// A mirror keeps the time by which the service itself has to be read again, by this router or
// by one that it reads through. All waits are cut to it: for other routers' copies, between calls,
// and before the next read. A wait that is added must be cut, too. While a relay has not responded,
// the service is called beside.
//
// Entries that disappeared while the service was unavailable are kept for a grace
// period after its recovery, in which their owners can write them again. Only a failed
// call to the service shows that it was unavailable.
//
// # Usage
//
//	m := mirror.New(mirror.Settings{Name: "vms", Prefix: "vm/", Source: client, Peers: peers, ...})
//	defer m.Close()
//	for {
//		changed := m.Changed()
//		use(m.Entries())
//		<-changed
//	}
package mirror

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/outage"
	"example.org/lagoonfork/internal/peerlink"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/store"
)

// Source reads the key-value service.
type Source interface {
	// List returns all entries whose key begins with prefix, and a revision that is
	// not above the revision at which any of them was read.
	List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
	// Changes returns the changes after the revision from, as soon as there are any,
	// or an empty batch after wait. An error that wraps store.ErrCompacted reports
	// that the service no longer has these changes.
	Changes(ctx context.Context, prefix string, from store.Revision, wait time.Duration) (store.Batch, error)
}

// Settings configures a Mirror. All fields but Peers, Relays, RelayWait,
// BootstrapAttempts, LearnRecent, PeersKnown, MinCallInterval, MaxAge, Equivalent, Older, Outage, OnRecovery,
// OnRestoration and Dial are required.
type Settings struct {
	Source Source
	// Name identifies the mirror within the router. Prefix selects the keys that it
	// holds.
	Name, Prefix string
	// Interval is the time between two reads. Timeout bounds each read. The response to
	// a read that is large may take longer; see transfer.Limit.
	Interval, Timeout time.Duration
	// PollWait is how long a read of the service waits for changes (long poll). The next
	// read begins no sooner than Interval after the previous one began. It suits
	// entries that seldom change. Zero means no waiting.
	PollWait time.Duration
	// UnavailableAfter is the time without a successful read after which the copies of other
	// routers are fetched, and the service is considered unavailable if the last read failed.
	UnavailableAfter time.Duration
	// GracePeriod is how long entries that lapsed during an outage are kept after it.
	GracePeriod time.Duration
	// Peers returns the addresses of the other routers.
	Peers func() []netip.AddrPort
	// Relays returns the addresses of the routers to use as relays, in order of
	// preference. If it returns none, the service is read directly.
	Relays func() []netip.AddrPort
	// RelayWait is how long a read from a relay waits for changes.
	RelayWait time.Duration
	// BootstrapAttempts is how many times other routers are asked for their copies at
	// startup before the service is listed.
	BootstrapAttempts int
	// LearnRecent is how long a router that lists the service at startup asks other routers which
	// entries were deleted or changed shortly before, because the list does not tell. It is also
	// how long it waits for a response to begin. Zero means that it does not ask.
	LearnRecent time.Duration
	// PeersKnown reports whether Peers has been read, so that nobody else is there if it returns
	// none. The default is that it has.
	PeersKnown func() bool
	// MinCallInterval is the minimum time between two calls to the service by all
	// mirrors of a router that uses a relay. It suits entries that may be some
	// seconds old.
	MinCallInterval time.Duration
	// MaxAge is the maximum time from one read of the service itself, by this router or by one
	// that it reads through, to the next. After a failed call it is at least maxRecoveryTime, from
	// the beginning of that call on. The service is called before, whatever else is waited for.
	// Zero means no maximum.
	MaxAge time.Duration
	// Equivalent reports whether two values of an entry are equivalent to the router.
	// A change to an equivalent value neither wakes waiting goroutines nor is relayed.
	// The default is bytes.Equal.
	Equivalent func(a, b []byte) bool
	// Older reports whether the second of two values of an entry is older by its content.
	// It is asked where the revisions are of two eras. The default is that none is.
	Older func(held, read []byte) bool
	// Outage is the state of the service that all mirrors of a router share. If it
	// is nil, the mirror tracks the state by itself.
	Outage *outage.Outage
	// OnRecovery, if set, is called when a read succeeds after a failed one, or on a new
	// connection after an open one had gone silent.
	OnRecovery func()
	// OnRestoration, if set, is called when the service turns out to have been restored from
	// an older copy. It must not block or call the mirror.
	OnRestoration func()
	// Dial opens connections to other routers. It may be nil.
	Dial  transport.DialFunc
	Clock func() time.Time
	Log   hclog.Logger
}

// Mirror is a copy of the entries. Its methods are safe for concurrent use.
type Mirror struct {
	settings          Settings
	client            http.Client
	relayLinks        *peerlink.Links
	tomb              tomb.Tomb
	relayStopped      chan struct{}
	bootstrapAttempts int  // remaining; accessed only by the run goroutine
	relayRefused      bool // the last read from a relay was refused; accessed only by the run goroutine
	metrics           metrics
	relaying          atomic.Bool // whether another router has read through this one

	mu                  sync.Mutex
	probes              relayProbes
	waits               waitLog // since the service itself was last read
	view                view
	initialized         bool
	lastReadFailed      bool
	serviceReadAt       time.Time // last read of the service itself; zero after a failed read
	deletionsCheckedFor time.Time // outage.Span.Noticed of the outage after which a relay was asked about deletions
	changed             chan struct{}
}

// New returns an empty mirror and starts the goroutine that fills it until Close.
func New(s Settings) *Mirror {
	if s.Outage == nil {
		s.Outage = new(outage.Outage)
	}
	m := &Mirror{
		settings:          s,
		view:              newView(s.Equivalent),
		relayLinks:        peerlink.New(peerlink.Settings{Dial: s.Dial, Timeout: s.RelayWait + s.Timeout, Clock: s.Clock}),
		relayStopped:      make(chan struct{}),
		probes:            make(relayProbes),
		bootstrapAttempts: s.BootstrapAttempts,
		changed:           make(chan struct{}),
	}
	m.view.older = s.Older
	m.client.Transport = &http.Transport{DialContext: s.Dial.Within(s.Timeout), DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHeaderBytes}
	m.tomb.Go(m.run)
	return m
}

// Close stops the mirror and waits for its goroutine to end.
func (m *Mirror) Close() error {
	m.tomb.Kill(nil)
	defer m.relayLinks.Close()
	return m.tomb.Wait()
}

// Name returns the name of the mirror within the router.
func (m *Mirror) Name() string { return m.settings.Name }

// Deletions returns, by key, when the deletions of the last half minute became known to this
// router or to the one from which it got them.
func (m *Mirror) Deletions() map[string]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]time.Time, len(m.view.tombstones))
	for key, d := range m.view.tombstones {
		all[key] = d.at
	}
	return all
}

// Changes returns, by key, when the changes of the last seconds to values that are not equivalent
// became known to this router or to the one from which it got them. New entries are left out.
func (m *Mirror) Changes() map[string]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.recent.times(m.settings.Clock())
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Get returns the entry for key, and whether it exists.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.view.entries[key]
	return e, ok
}

// Entries returns all entries, ordered by key.
func (m *Mirror) Entries() (all []store.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(m.view.entries)) {
		all = append(all, m.view.entries[key])
	}
	return all
}

// Len returns the number of entries.
func (m *Mirror) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.view.entries)
}

// Age returns the time since the last successful read from the service or a relay,
// and the revision of the copy. Before the first such read the age is negative.
func (m *Mirror) Age(now time.Time) (age time.Duration, r store.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.lastRead.IsZero() {
		return -1, 0
	}
	return now.Sub(m.view.lastRead), m.view.revision
}

// CopyAge returns the time since the service itself was last read, by this router or by one that
// it reads through. Before the first read it is negative.
func (m *Mirror) CopyAge(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.serviceReadAt.IsZero() {
		return -1
	}
	return now.Sub(m.view.serviceReadAt)
}

func (m *Mirror) run() error {
	ctx := m.tomb.Context(context.Background())
	for {
		start, recovered := m.settings.Clock(), m.settings.Outage.Recovered()
		relayed, err := m.readOnce(ctx)
		m.recordReadResult(err)
		if err != nil && m.needsCopies() {
			began := m.settings.Clock()
			m.fetchFromPeers(ctx)
			m.recordWait("copies of other routers", began)
		}
		m.expireLapsed()
		if delay := m.nextDelay(relayed, m.settings.Clock().Sub(start), err); delay > 0 {
			m.pause(delay, recovered)
		}
		if !m.tomb.Alive() {
			return nil
		}
	}
}

// pause waits for a time, until an outage of the service ends, or until the mirror is closed.
func (m *Mirror) pause(delay time.Duration, recovered <-chan struct{}) {
	defer m.recordWait("pause", m.settings.Clock())
	select {
	case <-time.After(delay):
	case <-recovered:
	case <-m.tomb.Dying():
	}
}

// readOnce reads the changes since the last read, or all entries if the mirror is not
// initialized. It reports whether they came from another router.
func (m *Mirror) readOnce(ctx context.Context) (relayed bool, err error) {
	m.mu.Lock()
	from, initialized := m.view.revision, m.initialized
	m.mu.Unlock()
	if !initialized {
		if m.bootstrap(ctx) {
			return true, nil
		}
		return false, m.readService(ctx, from, initialized)
	}
	if m.readFromRelay(ctx, from) {
		return true, nil
	}
	now, intervals := m.settings.Clock(), m.callIntervals()
	if !m.settings.Outage.Allow(now, intervals) {
		m.recordWait("no call, because "+m.settings.Outage.Refusal(now, intervals), now)
		return false, errCallSkipped
	}
	return false, m.readService(ctx, from, initialized)
}

func (m *Mirror) applyBatch(b store.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeRestoration(b.Revision)
	now := m.settings.Clock()
	if m.view.apply(now, b, m.settings.GracePeriod) {
		m.notify()
	}
	m.view.lastRead = now
}

// noticeRestoration logs and reports that a revision that is about to be taken is of a later
// era than that of the copy. The caller holds m.mu.
func (m *Mirror) noticeRestoration(r store.Revision) {
	if held := m.view.revision; held != 0 && r.Era() > held.Era() {
		if m.settings.OnRestoration != nil {
			m.settings.OnRestoration()
		}
		event.StoreRestored.Warn(m.settings.Log, "mirror", m.settings.Name, "era", r.Era(), "revision", r.Counter(),
			"heldEra", held.Era(), "heldRevision", held.Counter())
	}
}

// applyConfirmedDeletions applies deletions that a relay has confirmed.
func (m *Mirror) applyConfirmedDeletions(deletions []store.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.applyConfirmedDeletions(deletions) {
		m.notify()
	}
}

// replaceAll applies a list of the service, and what the copy of another router shows of the time
// before.
func (m *Mirror) replaceAll(entries []store.Entry, r store.Revision, before snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noticeRestoration(r)
	now := m.settings.Clock()
	m.view.replace(now, entries, r, m.settings.GracePeriod)
	m.view.learnFrom(now, before)
	m.view.lastRead = now
	m.initialized = true
	m.notify()
}

func (m *Mirror) expireLapsed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.expireLapsed(m.settings.Clock()) {
		m.notify()
	}
}

// notify wakes the goroutines that wait for a change. The caller holds m.mu.
func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Unavailable reports whether the service is considered unavailable: the last read failed,
// and none has succeeded for Settings.UnavailableAfter.
func (m *Mirror) Unavailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.lastRead.IsZero() || m.lastReadFailed && m.stale()
}

// needsCopies reports whether the copies of other routers are needed after a read that did not
// succeed. A read that was skipped says nothing of the service, but no relay has responded either.
func (m *Mirror) needsCopies() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.lastRead.IsZero() || m.stale()
}

// stale reports whether no read has succeeded for Settings.UnavailableAfter. m.mu must be held.
func (m *Mirror) stale() bool {
	return m.settings.Clock().Sub(m.view.lastRead) > m.settings.UnavailableAfter
}

// recordReadResult logs when the service becomes unavailable and when it recovers. A call
// that was skipped says nothing of the service.
func (m *Mirror) recordReadResult(err error) {
	if errors.Is(err, errCallSkipped) {
		return
	}
	m.mu.Lock()
	failedBefore := m.lastReadFailed
	m.lastReadFailed = err != nil
	age := m.settings.Clock().Sub(m.view.lastRead)
	revision := m.view.revision
	m.mu.Unlock()
	switch {
	case err != nil && !failedBefore:
		event.StoreLost.Warn(m.settings.Log, "mirror", m.settings.Name, "error", err, "age", age, "revision", revision.Counter(), "era", revision.Era())
	case err == nil && failedBefore:
		event.StoreRegained.Info(m.settings.Log, "mirror", m.settings.Name, "revision", revision.Counter(), "era", revision.Era())
		if m.settings.OnRecovery != nil {
			m.settings.OnRecovery()
		}
	}
}
