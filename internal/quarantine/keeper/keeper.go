// Package keeper keeps the list of requests that crash upstreams, in memory and
// in the key-value service.
//
// A Keeper decides from memory. It sends each change to the other routers directly, and
// writes it to the service by compare-and-swap in the background, merged with those of
// other routers. A mirror or a watch delivers each change of the list in the service;
// otherwise the list is read at an interval. While the service is unavailable, the
// changes stay in effect in memory.
//
// In a large fleet, routers send their changes to one router that writes for all.
// It waits briefly before it writes, so that one write covers several changes.
//
// # Usage
//
//	k := keeper.New(keeper.Settings{Store: s, Clock: time.Now, Log: log, Interval: 2 * time.Second})
//	defer k.Close()
//	a := k.Begin(now, subject, limit)
//	if a.Verdict != keeper.Admitted {
//		...
//	}
//	defer a.End()
//	// send the request; then one of
//	a.RecordLoss(now, keeper.Loss{Upstream: upstream, Ended: true})
//	a.RecordAnswer(now)
//	a.RecordCompletion(now)
package keeper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/pkg/store"
)

const (
	// callTimeout is the limit for each call to the key-value service or to Writer.
	callTimeout = 2 * time.Second
	// failureBackoff is how long changes from other routers are rejected after a
	// failed sync.
	failureBackoff = time.Second
	// maxConflicts limits the attempts of one sync to write the list. An attempt
	// fails if another router has written in the meantime.
	maxConflicts = 8
	// unseenPeriod is how long a change that another router writes is applied to lists
	// that are read from the service and do not show it, and maxUnseen limits the number
	// of such changes.
	unseenPeriod = time.Minute
	maxUnseen    = 2000
)

// Mirror is a local copy of the list's entry in the key-value service.
type Mirror interface {
	// Changed returns a channel that is closed at the next change of the copy.
	Changed() <-chan struct{}
	// Get returns the copy of the entry of key, or false if there is none.
	Get(key string) (store.Entry, bool)
	// Unavailable reports whether the service is considered unavailable.
	Unavailable() bool
}

// Writer writes changes to the list on behalf of this router.
type Writer interface {
	// Write returns nil once the changes are in the key-value service.
	Write(ctx context.Context, changes []quarantine.Change) error
}

// Peers sends changes to the other routers.
type Peers interface {
	// Send sends the changes in the background.
	Send(changes []quarantine.Change)
}

// Settings configures a Keeper. All fields but Mirror, Writer, Peers, Linger and
// TrialDelay are required.
type Settings struct {
	Store store.Store
	// Mirror delivers changes of the list. If it is nil, the service is watched.
	Mirror Mirror
	// Writer, if set, is tried before this router writes the changes itself.
	Writer Writer
	// Peers, if set, receives each change that this router makes.
	Peers Peers
	// TrialDelay is how much longer than its term this router refuses a request. If it
	// differs between routers, few of them try the request at the end of the term.
	TrialDelay time.Duration
	// Linger is how long a change waits for others so that one write covers them.
	Linger   time.Duration
	Clock    func() time.Time
	Log      hclog.Logger
	Interval time.Duration // between reads of the list while no watch or mirror delivers changes
}

// Keeper holds a copy of the list and keeps it in sync with the key-value service.
// Its methods are safe for concurrent use.
type Keeper struct {
	settings      Settings
	tomb          tomb.Tomb
	syncRequested chan struct{}

	mu           sync.Mutex
	list         quarantine.List     // including the pending changes
	pending      []quarantine.Change // not yet written, the oldest first
	peerChanges  bool                // some pending changes may be from other routers
	lastFailure  time.Time           // time of the last failed sync, zero after a successful one
	writtenCount int                 // changes written so far
	progress     chan struct{}       // closed when writtenCount grows
	lastEntry    store.Entry         // entry of the list as last read or written
	following    bool                // a mirror or a watch delivers each change

	unseen   []quarantine.Change   // written by other routers, and not seen in the service yet
	answers  recentAnswers         // of this router
	attempts map[*Attempt]struct{} // that have been admitted and have not ended
	// trials holds the digests on trial of which a request is running, with the time
	// until which others wait for it. It has no end at the router that runs the request.
	trials map[quarantine.Digest]time.Time
}

// New returns a Keeper and starts its background goroutines.
func New(s Settings) *Keeper {
	k := &Keeper{
		settings:      s,
		syncRequested: make(chan struct{}, 1),
		progress:      make(chan struct{}),
		attempts:      make(map[*Attempt]struct{}),
		trials:        make(map[quarantine.Digest]time.Time),
	}
	k.tomb.Go(k.loop)
	k.tomb.Go(k.follow)
	return k
}

// Close stops the background goroutines and waits for them.
func (k *Keeper) Close() error {
	k.tomb.Kill(nil)
	return k.tomb.Wait()
}

// IsQuarantined reports whether the request is refused under the crash limit.
func (k *Keeper) IsQuarantined(now time.Time, s quarantine.Subject, limit int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(s.Digests(), func(d quarantine.Digest) bool {
		return k.list.IsQuarantined(now, d, s.Customer, limit)
	})
}

// IsSuspect reports whether any crash is recorded for the digest.
func (k *Keeper) IsSuspect(now time.Time, d quarantine.Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.IsSuspect(now, d)
}

// Len returns the number of suspect digests.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.list.Records)
}

// Records returns a copy of the list.
func (k *Keeper) Records() quarantine.List {
	k.mu.Lock()
	defer k.mu.Unlock()
	return quarantine.List{Records: maps.Clone(k.list.Records)}
}

// apply applies changes to the list in memory and returns those that changed it. The
// caller holds mu.
func (k *Keeper) apply(now time.Time, changes []quarantine.Change) (applied []quarantine.Change) {
	for _, c := range changes {
		if k.list.Apply(now, []quarantine.Change{c}) {
			applied = append(applied, c)
		}
	}
	for _, c := range applied {
		if !k.trials[c.Digest].IsZero() {
			delete(k.trials, c.Digest) // the request at the other router has ended
		}
	}
	k.revokeQuarantined(now, applied)
	return applied
}

// addUnseen adds changes that another router writes. The caller holds mu.
func (k *Keeper) addUnseen(changes []quarantine.Change) {
	k.unseen = append(k.unseen, changes...)
	k.unseen = k.unseen[max(len(k.unseen)-maxUnseen, 0):]
}

// change applies changes of this router to the list in memory, and adds those that changed
// it to the pending ones. It returns these for publish. The caller holds mu.
func (k *Keeper) change(now time.Time, changes []quarantine.Change) (applied []quarantine.Change) {
	applied = k.apply(now, changes)
	k.pending = append(k.pending, applied...)
	return applied
}

// publish sends changes of this router to the others and has them written.
func (k *Keeper) publish(changes []quarantine.Change) {
	if len(changes) == 0 {
		return
	}
	if k.settings.Peers != nil {
		k.settings.Peers.Send(changes)
	}
	k.requestSync()
}

// Receive applies changes that another router has made and writes. It ignores the crashes
// under parts that upstreams have just begun to answer at this router, and returns these
// crashes.
func (k *Keeper) Receive(now time.Time, changes []quarantine.Change) (excused []quarantine.CrashID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answers.advance(now)
	for _, c := range changes {
		if c.Trial {
			k.holdTrial(now, c.Digest)
			continue
		}
		if c.Upstream != "" && !c.Excused && k.answers.has(c.Digest) {
			excused = append(excused, c.CrashID())
			continue
		}
		k.addUnseen(k.apply(now, []quarantine.Change{c}))
	}
	return excused
}

// Write adds changes from another router and returns once they are in the
// key-value service or ctx is done. For a short time after a failed sync, it
// returns an error that wraps store.ErrUnavailable without adding them.
func (k *Keeper) Write(ctx context.Context, changes []quarantine.Change) error {
	k.mu.Lock()
	if !k.lastFailure.IsZero() && k.settings.Clock().Sub(k.lastFailure) < failureBackoff {
		k.mu.Unlock()
		return merry.Prepend(store.ErrUnavailable, "the last call to the key-value service failed")
	}
	k.peerChanges = true
	k.apply(k.settings.Clock(), changes)
	k.pending = append(k.pending, changes...)
	last := k.writtenCount + len(k.pending)
	k.mu.Unlock()
	k.requestSync()
	for {
		k.mu.Lock()
		written, progress := k.writtenCount, k.progress
		k.mu.Unlock()
		if written >= last {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		case <-k.tomb.Dying():
			return store.ErrUnknown
		}
	}
}

// requestSync wakes the loop. The sync follows after Linger.
func (k *Keeper) requestSync() {
	select {
	case k.syncRequested <- struct{}{}:
	default:
	}
}

// loop syncs the list at an interval and on request until the keeper closes.
func (k *Keeper) loop() error {
	ticker := time.NewTicker(k.settings.Interval)
	defer ticker.Stop()
	for {
		if k.needsSync() {
			err := k.sync(k.tomb.Context(context.Background()))
			if err != nil {
				event.QuarantineNotWritten.Info(k.settings.Log, "error", err)
			}
			k.recordResult(err)
		}
		select {
		case <-ticker.C:
		case <-k.syncRequested:
			if !k.waitForMore() {
				return nil
			}
		case <-k.tomb.Dying():
			return nil
		}
	}
}

// recordResult records whether the last sync failed.
func (k *Keeper) recordResult(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastFailure = time.Time{}
	if err != nil {
		k.lastFailure = k.settings.Clock()
	}
}

// waitForMore waits for further changes, for Linger. It returns false if the keeper
// closes.
func (k *Keeper) waitForMore() bool {
	timer := time.NewTimer(k.settings.Linger)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-k.tomb.Dying():
		return false
	}
}

// needsSync reports whether changes are pending, or no mirror or watch is
// delivering the changes of other routers.
func (k *Keeper) needsSync() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.pending) > 0 || !k.following
}
