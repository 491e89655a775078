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

// placeAttempts is how often one registration tries to write the record.
const placeAttempts = 3

// renew keeps the lease of the record alive.
func (r *Registration) renew() (err error) {
	defer func() { err = merry.Prepend(err, "renewing the registration") }()
	if !r.placed {
		return store.ErrLeaseNotFound
	}
	return r.keepAlive(r.settings.Clock())
}

// keepAlive renews the lease. The confirmation counts from asked, which is
// before the call.
func (r *Registration) keepAlive(asked time.Time) error {
	err := r.call(func(ctx context.Context) error {
		return r.settings.Store.KeepAlive(ctx, r.lease)
	})
	if err == nil {
		r.confirm(asked)
	}
	return err
}

// register writes the record under a new lease, and renews the lease once, so
// that the record stays for the time to live of the lease from then on.
func (r *Registration) register() (err error) {
	defer func() { err = merry.Prepend(err, "registering") }()
	r.replaceExpired()
	if err := r.grant(); err != nil {
		return err
	}
	if err := r.place(); err != nil {
		r.drop()
		return err
	}
	asked := r.settings.Clock()
	if r.expired(asked) {
		r.drop()
		return errors.New("the lifetime passed while registering")
	}
	r.placed = true
	if err := r.keepAlive(asked); err != nil {
		return err
	}
	event.Registered.Info(r.settings.Log, "vm", r.record.VM, "incarnation", r.record.Incarnation, "lease", r.lease)
	return nil
}

// place writes the record, unless a younger process of the VM has done so.
func (r *Registration) place() error {
	value, err := r.record.Encode()
	if err != nil {
		return err
	}
	key := membership.Key(r.record.VM)
	for range placeAttempts {
		err = r.put(key, value)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return err
		}
		found, err := r.find(key)
		switch {
		case err != nil:
			return err
		case found.Lease == r.lease:
			return nil
		case found.Revision == 0:
			continue
		}
		if err := r.evict(found); err != nil {
			return err
		}
	}
	return err
}

func (r *Registration) put(key string, value []byte) error {
	return r.call(func(ctx context.Context) error {
		_, err := r.settings.Store.Put(ctx, key, value, store.If(0), r.lease)
		return err
	})
}

func (r *Registration) find(key string) (entry store.Entry, err error) {
	err = r.call(func(ctx context.Context) error {
		entry, err = r.settings.Store.Get(ctx, key)
		return err
	})
	return entry, err
}

// evict removes another record of this VM: one of an earlier lease of this
// process, or of an older process.
func (r *Registration) evict(found store.Entry) error {
	other, err := membership.Decode(found.Key, found.Value)
	if err == nil && other.Started.After(r.record.Started) {
		return fmt.Errorf("%w: %s", ErrSuperseded, other.Incarnation)
	}
	err = r.call(func(ctx context.Context) error {
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

// grant creates a lease. One whose answer is lost lapses unused.
func (r *Registration) grant() error {
	return r.call(func(ctx context.Context) (err error) {
		r.lease, err = r.settings.Store.Grant(ctx, r.settings.TTL)
		return err
	})
}

// drop revokes a lease that is not used. If that fails the lease lapses.
func (r *Registration) drop() {
	_ = r.call(func(ctx context.Context) error {
		return r.settings.Store.Revoke(ctx, r.lease)
	})
}

// confirm records a renewal asked for at the given time.
func (r *Registration) confirm(asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmed.IsZero() {
		select {
		case <-r.first:
		default:
			close(r.first)
		}
	}
	r.confirmed = asked
}

// expired reports whether the lifetime of the incarnation has passed.
func (r *Registration) expired(now time.Time) bool {
	last := r.made
	if confirmed := r.Confirmed(); !confirmed.IsZero() {
		last = confirmed
	}
	return now.Sub(last) >= r.settings.Lifetime()
}

// replaceExpired begins a new incarnation if the lifetime has passed.
func (r *Registration) replaceExpired() {
	now := r.settings.Clock()
	if !r.expired(now) {
		return
	}
	from := r.record.Incarnation
	r.mu.Lock()
	r.record.Incarnation = r.settings.NewIncarnation()
	r.made = now
	r.confirmed = time.Time{}
	r.mu.Unlock()
	event.IncarnationReplaced.Warn(r.settings.Log, "vm", r.record.VM, "from", from, "to", r.record.Incarnation)
}

// call bounds one call of the store. It ends early once the registration is
// being closed.
func (r *Registration) call(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), r.settings.Timeout)
	defer cancel()
	return f(ctx)
}
