package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/pkg/store"
)

// follow applies changes of the list in the service, from the mirror if there is
// one and otherwise from a watch, until the keeper closes.
func (k *Keeper) follow() error {
	if k.settings.Mirror != nil {
		return k.followMirror()
	}
	ctx := k.tomb.Context(context.Background())
	for k.tomb.Alive() {
		if err := k.watch(ctx); err != nil {
			event.QuarantineWatchEnded.Debug(k.settings.Log, "error", err)
		}
		select {
		case <-time.After(k.settings.Interval):
		case <-k.tomb.Dying():
		}
	}
	return nil
}

// followMirror applies each change of the mirror.
func (k *Keeper) followMirror() error {
	for {
		changed := k.settings.Mirror.Changed()
		if e, ok := k.settings.Mirror.Get(quarantine.Key); ok {
			if err := k.applyEntry(e); err != nil {
				event.QuarantineWatchEnded.Debug(k.settings.Log, "error", err)
			}
		}
		k.setFollowing(!k.settings.Mirror.Unavailable())
		select {
		case <-changed:
		case <-time.After(k.settings.Interval):
		case <-k.tomb.Dying():
			return nil
		}
	}
}

// watch reads the list, then applies each change until the watch fails.
func (k *Keeper) watch(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "watching the quarantine list") }()
	entries, revision, err := k.settings.Store.List(ctx, quarantine.Key)
	if err != nil {
		return err
	}
	w, err := k.settings.Store.Watch(ctx, quarantine.Key, revision)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }() // the watch has failed or is no longer needed
	for _, e := range entries {
		if err := k.applyEntry(e); err != nil {
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
			if err := k.applyEntry(e.Entry); err != nil {
				return err
			}
		}
	}
}

// setFollowing records whether a mirror or a watch delivers each change.
func (k *Keeper) setFollowing(following bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.following = following
}

// applyEntry replaces the list by that of e, unless e is not newer than the last known
// entry.
func (k *Keeper) applyEntry(e store.Entry) error {
	if e.Key != quarantine.Key {
		return nil
	}
	list, err := quarantine.Decode(e.Value)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.Revision <= k.lastEntry.Revision {
		return nil
	}
	k.setEntry(e, list)
	return nil
}

// setEntry replaces the last known entry and its list. If the service was restored since
// the entry before, what the list lacks is written again. The caller holds mu.
func (k *Keeper) setEntry(e store.Entry, list quarantine.List) {
	restored := k.lastEntry.Exists() && e.Revision.Era() > k.lastEntry.Revision.Era()
	k.lastEntry = e
	if restored {
		lost := k.list.Since(k.settings.Clock(), list)
		k.addUnseen(lost)
		k.pending = append(k.pending, lost...)
		if len(lost) > 0 {
			k.requestSync()
		}
	}
	k.replaceList(list)
}

// replaceList replaces the list in memory by one that was read or written, with the
// changes applied that it does not show yet. The caller holds mu.
func (k *Keeper) replaceList(list quarantine.List) {
	now := k.settings.Clock()
	k.unseen = slices.DeleteFunc(k.unseen, func(c quarantine.Change) bool {
		return list.Shows(c) || now.Sub(c.At).Abs() > unseenPeriod
	})
	list.Apply(now, k.unseen)
	list.Apply(now, k.pending)
	k.list = list
}
