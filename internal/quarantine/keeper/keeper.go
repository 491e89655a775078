// Package keeper keeps the list of requests that crash upstreams, in memory and
// in the key-value service.
//
// A Keeper answers from memory. Accusations are written to the service by
// compare-and-swap in the background, joined with those of other routers. A
// mirror or a watch brings each change of the list; without one it is read at an
// interval.
// While the service is out of reach, the router's own accusations stand.
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
	"errors"
	"slices"
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

// Settings of a Keeper. All fields but Mirror are required.
type Settings struct {
	Store store.Store
	// Mirror tells of changes. Without it the service is watched.
	Mirror   Mirror
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
	pending   []change
	known     store.Entry // as last read or written
	following bool        // a watch tells of each change
}

// change is an accusation, or a clearance if upstream is empty.
type change struct {
	at       time.Time
	digest   quarantine.Digest
	upstream ident.Upstream
}

// New returns a keeper and starts its background work.
func New(s Settings) *Keeper {
	k := &Keeper{settings: s, wake: make(chan struct{}, 1)}
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
		k.enqueue(change{at: now, digest: d, upstream: upstream})
	}
}

// Clear records that the request completed.
func (k *Keeper) Clear(d quarantine.Digest) {
	k.mu.Lock()
	changed := k.list.Clear(d)
	k.mu.Unlock()
	if changed {
		k.enqueue(change{digest: d})
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

func (k *Keeper) enqueue(c change) {
	k.mu.Lock()
	k.pending = append(k.pending, c)
	k.mu.Unlock()
	k.rouse()
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
			if err := k.synchronise(k.tomb.Context(context.Background())); err != nil {
				event.QuarantineNotWritten.Info(k.settings.Log, "error", err)
			}
		}
		select {
		case <-ticker.C:
		case <-k.wake:
		case <-k.tomb.Dying():
			return nil
		}
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
	apply(&list, k.pending)
	k.list = list
	return nil
}

// synchronise joins the pending changes with the list and writes it back.
func (k *Keeper) synchronise(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "synchronising the quarantine") }()
	for n := range maxConflicts {
		err = k.exchange(ctx, n > 0)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

// exchange writes the pending changes once. It reads the list if that is asked
// for, or if no watch keeps it.
func (k *Keeper) exchange(ctx context.Context, read bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := k.entry(ctx, read)
	if err != nil {
		return err
	}
	list, err := quarantine.Decode(entry.Value)
	if err != nil {
		return err
	}
	changes := k.unwritten()
	if !apply(&list, changes) {
		k.take(list, entry, len(changes))
		return nil
	}
	data, err := list.Encode()
	if err != nil {
		return err
	}
	entry.Revision, err = k.settings.Store.Put(ctx, quarantine.Key, data, store.If(entry.Revision), store.NoLease)
	if err == nil {
		entry.Value = data
		k.take(list, entry, len(changes))
	}
	return err
}

// entry returns the list as it is in the service, as far as is known.
func (k *Keeper) entry(ctx context.Context, read bool) (store.Entry, error) {
	k.mu.Lock()
	known, following := k.known, k.following
	k.mu.Unlock()
	if following && !read {
		return known, nil
	}
	return k.settings.Store.Get(ctx, quarantine.Key)
}

func (k *Keeper) unwritten() []change {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.pending)
}

// take replaces the list in memory by that of an entry, unless a later one is
// known, and drops the first n pending changes.
func (k *Keeper) take(list quarantine.List, e store.Entry, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = k.pending[n:]
	if e.Revision < k.known.Revision {
		return
	}
	k.known = e
	apply(&list, k.pending)
	k.list = list
}

func apply(list *quarantine.List, changes []change) (changed bool) {
	for _, c := range changes {
		if c.upstream == "" {
			changed = list.Clear(c.digest) || changed
			continue
		}
		changed = list.Accuse(c.at, c.digest, c.upstream) || changed
	}
	return changed
}
