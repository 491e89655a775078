package keeper

import (
	"context"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/pkg/store"
)

// synchronise joins the pending changes with the list and writes it back.
func (k *Keeper) synchronise(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "synchronising the quarantine") }()
	changes, foreign := k.unwritten()
	if !foreign && k.pass(ctx, changes) {
		return nil
	}
	for n := range maxConflicts {
		err = k.exchange(ctx, changes, n > 0)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

// pass has changes written by another router. It reports false if that did not
// succeed, or if there are none.
func (k *Keeper) pass(ctx context.Context, changes []quarantine.Change) bool {
	if k.settings.Writer == nil || len(changes) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.settings.Writer.Write(ctx, changes); err != nil {
		event.QuarantineNotPassed.Debug(k.settings.Log, "error", err)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(len(changes))
	return true
}

// exchange writes the changes once, which are the first that are pending. It reads
// the list if that is asked for, or if nothing tells of its changes.
func (k *Keeper) exchange(ctx context.Context, changes []quarantine.Change, read bool) error {
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
	if !list.Apply(changes) {
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

// unwritten returns the pending changes, and whether some are of other routers.
func (k *Keeper) unwritten() (changes []quarantine.Change, foreign bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.pending), k.foreign
}

// take replaces the list in memory by that of an entry, unless a later one is
// known, and drops the first n pending changes.
func (k *Keeper) take(list quarantine.List, e store.Entry, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(n)
	if e.Revision < k.known.Revision {
		return
	}
	k.known = e
	list.Apply(k.pending)
	k.list = list
}

// drop forgets the first n pending changes, which are written. The lock is held.
func (k *Keeper) drop(n int) {
	k.pending = k.pending[n:]
	k.foreign = k.foreign && len(k.pending) > 0
	k.written += n
	close(k.progress)
	k.progress = make(chan struct{})
}
