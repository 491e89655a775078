package registration

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/store"
)

// maxWriteAttempts is how often one call of register tries to write the record.
const maxWriteAttempts = 3

// renew renews the lease of the record.
func (r *Registration) renew() (err error) {
	defer func() { err = merry.Prepend(err, "renewing the registration") }()
	if !r.written {
		return store.ErrLeaseNotFound
	}
	return r.keepAlive(r.settings.Clock())
}

// keepAlive renews the lease. A successful renewal confirms the incarnation as of
// requestedAt, a time before the call.
func (r *Registration) keepAlive(requestedAt time.Time) error {
	err := r.withTimeout(func(ctx context.Context) error {
		return r.settings.Store.KeepAlive(ctx, r.lease)
	})
	if err == nil {
		r.confirm(requestedAt)
	}
	return err
}

// register writes the record under a new lease, and then renews the lease once, so
// that the record remains for the full time to live of the lease from then on.
func (r *Registration) register() (err error) {
	defer func() { err = merry.Prepend(err, "registering") }()
	r.replaceExpired()
	if err := r.grant(); err != nil {
		return err
	}
	if err := r.writeRecord(); err != nil {
		r.revokeLease()
		return err
	}
	requestedAt := r.settings.Clock()
	if r.expired(requestedAt) {
		r.revokeLease()
		return errors.New("lifetime expired during registration")
	}
	r.written = true
	if err := r.keepAlive(requestedAt); err != nil {
		return err
	}
	event.Registered.Info(r.settings.Log, "vm", r.record.VM, "incarnation", r.record.Incarnation, "lease", r.lease)
	return nil
}

// writeRecord writes the record unless a newer process of the VM has written one.
func (r *Registration) writeRecord() error {
	value, err := r.record.Encode()
	if err != nil {
		return err
	}
	key := membership.Key(r.record.VM)
	for range maxWriteAttempts {
		err = r.put(key, value)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return err
		}
		found, err := r.get(key)
		switch {
		case err != nil:
			return err
		case found.Lease == r.lease:
			return nil
		case !found.Exists():
			continue
		}
		if err := r.evict(found); err != nil {
			return err
		}
	}
	return err
}

func (r *Registration) put(key string, value []byte) error {
	return r.withTimeout(func(ctx context.Context) error {
		_, err := r.settings.Store.Put(ctx, key, value, store.If(0), r.lease)
		return err
	})
}

func (r *Registration) get(key string) (entry store.Entry, err error) {
	err = r.withTimeout(func(ctx context.Context) error {
		entry, err = r.settings.Store.Get(ctx, key)
		return err
	})
	return entry, err
}

// evict removes another record of this VM: one under an earlier lease of this
// process, or one of an older process. It returns ErrSuperseded if the record
// belongs to a newer process.
func (r *Registration) evict(found store.Entry) error {
	other, err := membership.Decode(found.Key, found.Value)
	if err == nil && other.Started.After(r.record.Started) {
		return fmt.Errorf("%w: %s", ErrSuperseded, other.Incarnation)
	}
	err = r.withTimeout(func(ctx context.Context) error {
		if found.Lease == store.NoLease {
			return r.settings.Store.Delete(ctx, found.Key, store.If(found.Revision))
		}
		return r.settings.Store.Revoke(ctx, found.Lease)
	})
	if errors.Is(err, store.ErrLeaseNotFound) || errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// grant creates a lease. If the response is lost, the lease expires unused.
func (r *Registration) grant() error {
	return r.withTimeout(func(ctx context.Context) (err error) {
		r.lease, err = r.settings.Store.Grant(ctx, r.settings.TTL)
		return err
	})
}

// revokeLease revokes a lease that is not used. If that fails, the lease expires.
func (r *Registration) revokeLease() {
	_ = r.withTimeout(func(ctx context.Context) error {
		return r.settings.Store.Revoke(ctx, r.lease)
	})
}

// confirm records a successful renewal that was requested at the given time.
func (r *Registration) confirm(requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmed.IsZero() {
		select {
		case <-r.ready:
		default:
			close(r.ready)
		}
	}
	r.confirmed = requestedAt
}

// expired reports whether the lifetime of the incarnation has passed. It counts
// from the creation of an incarnation that was never confirmed.
func (r *Registration) expired(now time.Time) bool {
	last := r.createdAt
	if confirmed := r.Confirmed(); !confirmed.IsZero() {
		last = confirmed
	}
	return now.Sub(last) >= r.settings.Lifetime()
}

// replaceExpired creates a new incarnation if the lifetime of the current one has
// passed.
func (r *Registration) replaceExpired() {
	now := r.settings.Clock()
	if !r.expired(now) {
		return
	}
	from := r.record.Incarnation
	r.mu.Lock()
	r.record.Incarnation = r.settings.NewIncarnation()
	r.createdAt = now
	r.confirmed = time.Time{}
	r.mu.Unlock()
	event.IncarnationReplaced.Warn(r.settings.Log, "vm", r.record.VM, "from", from, "to", r.record.Incarnation)
}

// withTimeout runs one call to the store under a time limit. The call is canceled
// early when the registration closes.
func (r *Registration) withTimeout(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), r.settings.Timeout)
	defer cancel()
	return f(ctx)
}
