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

// sync writes the pending changes to the list in the service and replaces the list
// in memory by the result. If all changes are of this router, it first tries the
// configured Writer. After a conflict it tries again, up to maxConflicts times in
// all.
func (k *Keeper) sync(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "syncing the quarantine list") }()
	changes, fromPeers := k.pendingChanges()
	if !fromPeers && k.delegate(ctx, changes) {
		return nil
	}
	for n := range maxConflicts {
		err = k.writeChanges(ctx, changes, n > 0)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

// delegate has the configured Writer write the changes. It returns false if there
// are no changes or no Writer, or if the write failed.
func (k *Keeper) delegate(ctx context.Context, changes []quarantine.Change) bool {
	if k.settings.Writer == nil || len(changes) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.settings.Writer.Write(ctx, changes); err != nil {
		event.QuarantineNotForwarded.Debug(k.settings.Log, "error", err)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.addUnseen(changes)
	k.removePending(len(changes))
	return true
}

// writeChanges tries once to write the changes, which must be the first pending
// ones. It reads the list from the service if read is set or if no mirror or watch
// is delivering changes.
func (k *Keeper) writeChanges(ctx context.Context, changes []quarantine.Change, read bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := k.currentEntry(ctx, read)
	if err != nil {
		return err
	}
	list, err := quarantine.Decode(entry.Value)
	if err != nil {
		return err
	}
	if !list.Apply(k.settings.Clock(), changes) {
		k.setWritten(list, entry, len(changes))
		return nil
	}
	data, err := list.Encode()
	if err != nil {
		return err
	}
	entry.Revision, err = k.settings.Store.Put(ctx, quarantine.Key, data, store.If(entry.Revision), store.NoLease)
	if err == nil {
		entry.Value = data
		k.setWritten(list, entry, len(changes))
	}
	return err
}

// currentEntry returns the last known entry if a mirror or a watch keeps it up to
// date and read is false. Otherwise it reads the entry from the service.
func (k *Keeper) currentEntry(ctx context.Context, read bool) (store.Entry, error) {
	k.mu.Lock()
	known, following := k.lastEntry, k.following
	k.mu.Unlock()
	if following && !read {
		return known, nil
	}
	return k.settings.Store.Get(ctx, quarantine.Key)
}

// pendingChanges returns a copy of the pending changes, and whether some of them
// may have come from other routers.
func (k *Keeper) pendingChanges() (changes []quarantine.Change, fromPeers bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.pending), k.peerChanges
}

// setWritten removes the first n pending changes, which are written, and replaces
// the list in memory by that of e unless a later revision is known.
func (k *Keeper) setWritten(list quarantine.List, e store.Entry, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removePending(n)
	if e.Revision < k.lastEntry.Revision {
		return
	}
	k.setEntry(e, list)
}

// removePending removes the first n pending changes, which are written, and wakes
// the callers that wait in Write. The caller holds mu.
func (k *Keeper) removePending(n int) {
	k.pending = k.pending[n:]
	k.peerChanges = k.peerChanges && len(k.pending) > 0
	k.writtenCount += n
	close(k.progress)
	k.progress = make(chan struct{})
}
