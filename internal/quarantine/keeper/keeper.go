// Package keeper keeps the list of requests that crash upstreams, in memory and
// in the key-value service.
//
// A Keeper answers from memory. Accusations are written to the service by
// compare-and-swap in the background, joined with those of other routers. A
// mirror or a watch brings each change of the list; without one it is read at an
// interval. While the service is out of reach, the router's own accusations stand.
//
// In a large fleet routers pass their changes to one that writes for all, which
// waits a little for those of others.
//
// # Usage
//
//	k := keeper.New(keeper.Settings{Store: s, Clock: time.Now, Log: log, Interval: 2 * time.Second})
//	defer k.Close()
//	if k.Refused(now, digest, limit) {
//		...
//	}
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

const (
	// callTimeout bounds a call of the key-value service.
	callTimeout = 2 * time.Second
	// refusalMemory is how long changes of other routers are refused after a call
	// that did not succeed.
	refusalMemory = time.Second
	// maxConflicts bounds the writes of one round that lose against others.
	maxConflicts = 8
)

// Mirror is a copy of the list's entry in the key-value service.
type Mirror interface {
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	Get(key string) (store.Entry, bool)
	// Away reports whether the service counts as out of reach.
	Away() bool
}

// Writer writes changes for this router.
type Writer interface {
	// Write returns nil once the changes are in the key-value service.
	Write(ctx context.Context, changes []quarantine.Change) error
}

// Settings of a Keeper. All fields but Mirror, Writer and Linger are required.
type Settings struct {
	Store store.Store
	// Mirror tells of changes. Without it the service is watched.
	Mirror Mirror
	// Writer is tried before this router writes itself.
	Writer Writer
	// Linger is how long a change waits for others to be written with it.
	Linger   time.Duration
	Clock    func() time.Time
	Log      hclog.Logger
	Interval time.Duration // between two readings of the list without a watch
}

// Keeper holds the list. Its methods are safe for concurrent use.
type Keeper struct {
	settings Settings
	tomb     tomb.Tomb
	wake     chan struct{}

	mu        sync.Mutex
	list      quarantine.List // with the pending changes
	pending   []quarantine.Change
	foreign   bool          // some of pending are of other routers
	failed    time.Time     // when the service last refused this router
	written   int           // how many changes were pending and are written
	progress  chan struct{} // closed when written grows
	known     store.Entry   // as last read or written
	following bool          // a mirror or a watch tells of each change
}

// New returns a keeper and starts its background work.
func New(s Settings) *Keeper {
	k := &Keeper{settings: s, wake: make(chan struct{}, 1), progress: make(chan struct{})}
	k.tomb.Go(k.loop)
	k.tomb.Go(k.follow)
	return k
}

// Close ends the background work and waits.
func (k *Keeper) Close() error {
	k.tomb.Kill(nil)
	return k.tomb.Wait()
}

// Accuse records that upstream crashed while it ran the request.
func (k *Keeper) Accuse(now time.Time, d quarantine.Digest, upstream ident.Upstream) {
	k.mu.Lock()
	changed := k.list.Accuse(now, d, upstream)
	k.mu.Unlock()
	if changed {
		k.enqueue(quarantine.Change{At: now, Digest: d, Upstream: upstream})
	}
}

// Clear records that the request completed.
func (k *Keeper) Clear(d quarantine.Digest) {
	k.mu.Lock()
	changed := k.list.Clear(d)
	k.mu.Unlock()
	if changed {
		k.enqueue(quarantine.Change{Digest: d})
	}
}

// Refused reports whether the request is refused under the crash limit.
func (k *Keeper) Refused(now time.Time, d quarantine.Digest, limit int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Refused(now, d, limit)
}

// Suspect reports whether the request stands accused at all.
func (k *Keeper) Suspect(now time.Time, d quarantine.Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Suspect(now, d)
}

// Write takes over changes of another router, and returns once they are in the
// key-value service or ctx ends. While the service refuses this router, Write
// returns an error that wraps store.ErrUnavailable at once.
func (k *Keeper) Write(ctx context.Context, changes []quarantine.Change) error {
	k.mu.Lock()
	if !k.failed.IsZero() && k.settings.Clock().Sub(k.failed) < refusalMemory {
		k.mu.Unlock()
		return merry.Prepend(store.ErrUnavailable, "the key-value service refused the last call")
	}
	k.foreign = true
	k.list.Apply(changes)
	k.mu.Unlock()
	last := k.enqueue(changes...)
	for {
		k.mu.Lock()
		written, progress := k.written, k.progress
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

// enqueue returns how many changes are written once these are.
func (k *Keeper) enqueue(changes ...quarantine.Change) (last int) {
	k.mu.Lock()
	k.pending = append(k.pending, changes...)
	last = k.written + len(k.pending)
	k.mu.Unlock()
	k.rouse()
	return last
}

// rouse has the list exchanged with the service soon.
func (k *Keeper) rouse() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) loop() error {
	ticker := time.NewTicker(k.settings.Interval)
	defer ticker.Stop()
	for {
		if k.due() {
			err := k.synchronise(k.tomb.Context(context.Background()))
			if err != nil {
				event.QuarantineNotWritten.Info(k.settings.Log, "error", err)
			}
			k.note(err)
		}
		select {
		case <-ticker.C:
		case <-k.wake:
			if !k.linger() {
				return nil
			}
		case <-k.tomb.Dying():
			return nil
		}
	}
}

// note remembers whether the service refused this router.
func (k *Keeper) note(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failed = time.Time{}
	if err != nil {
		k.failed = k.settings.Clock()
	}
}

// linger waits for further changes. It reports false if the keeper closes.
func (k *Keeper) linger() bool {
	timer := time.NewTimer(k.settings.Linger)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-k.tomb.Dying():
		return false
	}
}

// due reports whether the list has to be exchanged with the service.
func (k *Keeper) due() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.pending) > 0 || !k.following
}

// follow takes in the changes of other routers.
func (k *Keeper) follow() error {
	if k.settings.Mirror != nil {
		return k.followMirror()
	}
	ctx := k.tomb.Context(context.Background())
	for k.tomb.Alive() {
		if err := k.watch(ctx); err != nil {
			event.QuarantineNotFollowed.Debug(k.settings.Log, "error", err)
		}
		select {
		case <-time.After(k.settings.Interval):
		case <-k.tomb.Dying():
		}
	}
	return nil
}

// followMirror takes in each change of the mirror.
func (k *Keeper) followMirror() error {
	for {
		changed := k.settings.Mirror.Changed()
		if e, ok := k.settings.Mirror.Get(quarantine.Key); ok {
			if err := k.learn(e); err != nil {
				event.QuarantineNotFollowed.Debug(k.settings.Log, "error", err)
			}
		}
		k.setFollowing(!k.settings.Mirror.Away())
		select {
		case <-changed:
		case <-time.After(k.settings.Interval):
		case <-k.tomb.Dying():
			return nil
		}
	}
}

// watch takes in each change until the watch ends.
func (k *Keeper) watch(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "following the quarantine") }()
	entries, revision, err := k.settings.Store.List(ctx, quarantine.Key)
	if err != nil {
		return err
	}
	w, err := k.settings.Store.Watch(ctx, quarantine.Key, revision)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }() // a watch that has ended anyway
	for _, e := range entries {
		if err := k.learn(e); err != nil {
			return err
		}
	}
	k.setFollowing(true)
	defer k.setFollowing(false)
	for {
		b, err := w.Next(ctx)
		if err != nil {
			return err
		}
		for _, e := range b.Events {
			if err := k.learn(e.Entry); err != nil {
				return err
			}
		}
	}
}

func (k *Keeper) setFollowing(is bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.following = is
}

// learn takes in the list as it is in the service, unless a later one is known.
func (k *Keeper) learn(e store.Entry) error {
	if e.Key != quarantine.Key {
		return nil
	}
	list, err := quarantine.Decode(e.Value)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.Revision <= k.known.Revision {
		return nil
	}
	k.known = e
	list.Apply(k.pending)
	k.list = list
	return nil
}
