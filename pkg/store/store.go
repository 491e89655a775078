// Package store defines the interface of the platform's key-value service:
// compare-and-swap on one key, leases and watches.
//
// All state that must be durable or agreed upon is kept in a Store. Values are
// limited to MaxValueSize. A caller must distinguish three kinds of failure:
// ErrConflict and ErrUnavailable mean that nothing was written, ErrUnknown means
// that the write may have taken effect.
//
// A store may be restored from an older copy. Writes that it had acknowledged since are
// then lost, and its era rises. Revisions compare by era first.
//
// # Usage
//
// A writer reads an entry, computes the new value, and writes it on the condition
// that the revision of the entry has not changed:
//
//	entry, err := s.Get(ctx, "ledger/17")
//	...
//	revision, err := s.Put(ctx, "ledger/17", next, store.If(entry.Revision))
//	switch {
//	case errors.Is(err, store.ErrConflict): // read again
//	case errors.Is(err, store.ErrUnknown):  // read back and look for the write
//	}
//
// Package storetest tests an implementation for conformance.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20

// Errors of a Store. An implementation wraps one of them in each error it
// returns, except for the error of a context that ended before the call began.
var (
	// ErrConflict reports that the condition of a write did not hold.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable reports that the service did not execute the call.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrUnknown reports that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of write unknown")
	// ErrNoResponse is wrapped, besides ErrUnavailable or ErrUnknown, by the error of a call
	// that got no response on a connection that had worked before. The connection may have
	// been lost without notice, so the error does not show that the service is unavailable.
	// The next call uses a new connection.
	ErrNoResponse = errors.New("no response on an open connection")
	// ErrLeaseNotFound reports that a lease has expired, never existed, or was granted
	// in an earlier era.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrTooLarge reports a value over MaxValueSize. Nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrCompacted reports that a watch requested changes that have been
	// discarded, or changes of an earlier era. The watcher must list the prefix again.
	ErrCompacted = errors.New("revision compacted")
)

// Lease identifies a lease. NoLease is the zero value.
type Lease int64

// NoLease is the lease of entries that do not expire.
const NoLease Lease = 0

// Entry is a key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision // revision of the last change of this key
	Lease    Lease
}

// Exists reports whether the key was present.
func (e Entry) Exists() bool { return e.Revision.Counter() != 0 }

// Condition is the condition under which a write takes effect. The zero value is
// Always.
type Condition struct {
	conditional bool
	revision    Revision
	other       string // key of And, or empty
	otherRev    Revision
}

// Always is the condition of an unconditional write.
var Always = Condition{}

// If returns the condition that the key's revision is r; If(0) requires that
// the key is absent, in any era. It does not hold in a later era than that of r.
func If(r Revision) Condition {
	return Condition{conditional: true, revision: r}
}

// And returns the condition that c holds and that the revision of another key is r, which
// must be that of an existing entry. It replaces an earlier call of And.
func (c Condition) And(key string, r Revision) Condition {
	c.other, c.otherRev = key, r
	return c
}

// Other returns the arguments of And. It returns false if And was not called.
func (c Condition) Other() (key string, r Revision, ok bool) {
	return c.other, c.otherRev, c.other != ""
}

// Guard returns the revision that the condition requires. It returns false if the
// write is unconditional.
func (c Condition) Guard() (r Revision, conditional bool) {
	return c.revision, c.conditional
}

// Event is a change of one key. Deleted entries have no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Batch is a list of events in order of revision. Revision is the revision of the
// store up to which the batch is complete.
type Batch struct {
	Events   []Event
	Revision Revision
}

// Store is the platform's key-value service. Implementations are safe for
// concurrent use.
type Store interface {
	// Get returns the entry of key. An absent key is not an error.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key begins with prefix, in order of key,
	// and the revision of the store at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put writes value under key if cond holds, bound to lease unless it is
	// NoLease, and returns the new revision.
	Put(ctx context.Context, key string, value []byte, cond Condition, lease Lease) (Revision, error)
	// Delete removes key if cond holds. Deleting an absent key under Always
	// succeeds.
	Delete(ctx context.Context, key string, cond Condition) error
	// Grant creates a lease that lives for ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive restarts the lease's time to live.
	KeepAlive(ctx context.Context, lease Lease) error
	// Revoke ends the lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease Lease) error
	// Watch follows the changes of keys that begin with prefix after the
	// revision from.
	Watch(ctx context.Context, prefix string, from Revision) (Watch, error)
}

// Watch is a sequence of changes. It is used by one goroutine at a time.
type Watch interface {
	// Next waits for the next batch. After an error the watch has ended.
	Next(ctx context.Context) (Batch, error)
	// Close ends the watch and waits until its resources are released.
	Close() error
}
