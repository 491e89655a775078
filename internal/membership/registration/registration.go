// Package registration keeps the record of this router in the key-value
// service.
//
// The record is bound to a lease. A router writes its record only if its VM has
// none, so that the record lasts as long as its lease, and a successful renewal
// of the lease confirms that the record existed.
//
// An incarnation may act until a lifetime after it was last confirmed. A lease
// that expires within the lifetime is replaced by a new one for the same
// incarnation. After the lifetime, which counts from the creation of an
// incarnation that was never confirmed, other routers may have reclaimed what the
// incarnation held, even if it was only paused; the router then registers as a
// new incarnation, and the old one is never used again.
//
// A process that finds a record of an older process of its VM revokes the
// lease of that record. A process that finds a record of a newer one stops.
//
// # Usage
//
//	r, err := registration.New(registration.Settings{
//		Store:          s,
//		Record:         record,
//		Clock:          time.Now,
//		Log:            log,
//		Lifetime:       func() time.Duration { return lifetime },
//		NewIncarnation: newIncarnation,
//	})
//	...
//	defer r.Close()
//	incarnation, confirmed := r.Current()
package registration

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Defaults of Settings.
const (
	defaultTTL      = 10 * time.Second
	defaultInterval = 3 * time.Second
	defaultTimeout  = 2 * time.Second
)

// Settings configures a Registration.
type Settings struct {
	Store store.Store
	// Record is the record of the router's first incarnation. Its Started field
	// distinguishes older from newer processes of the VM; later incarnations of
	// the process keep it.
	Record membership.Record
	Clock  func() time.Time
	Log    hclog.Logger
	// TTL is the time to live of the lease. It must be greater than
	// membership.Settings.MaxGap of all routers. The default is 10 s.
	TTL time.Duration
	// Interval is the time between renewals and between attempts to register. It
	// should be well below TTL. The default is 3 s.
	Interval time.Duration
	// Timeout is the limit for each call to the store. The default is 2 s.
	Timeout time.Duration
	// Lifetime returns how long an incarnation may act after it was last
	// confirmed.
	Lifetime func() time.Duration
	// NewIncarnation returns the identifier of the next incarnation. It must never
	// return the same one twice, nor that of Record: an observer that considers an
	// incarnation gone may reclaim its shares at any later time.
	NewIncarnation func() ident.Incarnation
}

func (s Settings) check() error {
	switch {
	case s.Store == nil, s.Clock == nil, s.Log == nil:
		return errors.New("store, clock and log are required")
	case s.Lifetime == nil, s.NewIncarnation == nil:
		return errors.New("lifetime and incarnation generator are required")
	case s.Interval >= s.TTL:
		return errors.New("the interval must be less than the time to live")
	}
	return nil
}

// ErrSuperseded reports that a newer process of the same VM has registered.
var ErrSuperseded = errors.New("a newer router process of this VM is registered")

// Registration maintains the record of a router. Its methods are safe for
// concurrent use.
type Registration struct {
	settings Settings
	tomb     tomb.Tomb
	ready    chan struct{} // closed at the first confirmation

	mu        sync.Mutex
	record    membership.Record // of the current incarnation
	createdAt time.Time         // when the incarnation was created
	confirmed time.Time

	// Only run uses these fields, and Close after run has returned.
	lease   store.Lease
	written bool // the record was written under the lease
}

// New returns a Registration and starts registering the record.
func New(settings Settings) (r *Registration, err error) {
	defer func() { err = merry.Prepend(err, "creating the registration") }()
	r, err = newRegistration(settings)
	if err != nil {
		return nil, err
	}
	r.tomb.Go(r.run)
	return r, nil
}

func newRegistration(settings Settings) (*Registration, error) {
	settings.TTL = cmp.Or(settings.TTL, defaultTTL)
	settings.Interval = cmp.Or(settings.Interval, defaultInterval)
	settings.Timeout = cmp.Or(settings.Timeout, defaultTimeout)
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &Registration{
		settings:  settings,
		ready:     make(chan struct{}),
		record:    settings.Record,
		createdAt: settings.Clock(),
	}, nil
}

// Current returns the incarnation of this router, and the time just before the
// request of its last successful renewal, or zero if there was none. The
// incarnation may act until confirmed plus the lifetime. What an earlier
// incarnation held can no longer be used, and an incarnation draws nothing before
// its first confirmation.
func (r *Registration) Current() (incarnation ident.Incarnation, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.Incarnation, r.confirmed
}

// Confirmed returns the confirmation time that Current returns.
func (r *Registration) Confirmed() time.Time {
	_, confirmed := r.Current()
	return confirmed
}

// Ready returns a channel that is closed at the first confirmation.
func (r *Registration) Ready() <-chan struct{} { return r.ready }

// Done returns a channel that is closed once the registration has ended: because
// of Close, or because a newer process of the VM has registered.
func (r *Registration) Done() <-chan struct{} { return r.tomb.Dead() }

// Err returns why the registration has ended, or tomb.ErrStillAlive if it has not.
func (r *Registration) Err() error { return r.tomb.Err() }

// Close stops the renewals, waits for the loop and revokes the lease. It returns
// ErrSuperseded if the registration had already ended for that reason.
func (r *Registration) Close() (err error) {
	r.tomb.Kill(nil)
	err = r.tomb.Wait()
	if r.lease == store.NoLease {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Timeout)
	defer cancel()
	revokeErr := r.settings.Store.Revoke(ctx, r.lease)
	r.lease = store.NoLease
	event.RegistrationRevoked.Info(r.settings.Log, "vm", r.record.VM, "incarnation", r.record.Incarnation, "err", revokeErr)
	return err
}

// run registers the record and renews its lease until the registration ends.
func (r *Registration) run() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.tomb.Dying():
			return nil
		}
		if err := r.step(); errors.Is(err, ErrSuperseded) {
			return err
		}
		timer.Reset(r.settings.Interval)
	}
}

// step renews the lease, or registers if there is none. It logs errors; after any
// error other than ErrSuperseded the next step tries again.
func (r *Registration) step() error {
	err := r.renew()
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.handleLapse()
		err = r.register()
	}
	switch {
	case err == nil, r.tomb.Err() != tomb.ErrStillAlive:
	case errors.Is(err, ErrSuperseded):
		event.RegistrationEnded.Error(r.settings.Log, "vm", r.record.VM, "incarnation", r.record.Incarnation, "err", err)
	default:
		event.RegistrationFailed.Warn(r.settings.Log, "vm", r.record.VM, "incarnation", r.record.Incarnation, "err", err)
	}
	return err
}

// handleLapse records and logs that the lease of the record has ended.
func (r *Registration) handleLapse() {
	if !r.written {
		return
	}
	r.written = false
	event.RegistrationLapsed.Warn(r.settings.Log, "vm", r.record.VM, "incarnation", r.record.Incarnation, "confirmed", r.Confirmed())
}
