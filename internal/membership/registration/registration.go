// Package registration keeps the record of this router in the key-value
// service.
//
// The record is bound to a lease. Only a router that finds no record of its VM
// writes one, so that the record stays as long as its lease, and a renewal of
// the lease that succeeds confirms that the record was there.
//
// An incarnation may act until a lifetime after it was last confirmed. A lease
// that lapses within the lifetime is replaced by a new one for the same
// incarnation. Past the lifetime, which counts from the making of an
// incarnation that was never confirmed, other routers may have reclaimed what the
// incarnation held, even if it was only paused; the router then registers as a
// new incarnation, and the old one stays ended for good.
//
// A process that finds a record of an older process of its VM revokes the
// lease of that record. A process that finds a younger one ends.
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

// Settings sets up a Registration.
type Settings struct {
	Store store.Store
	// Record is the record of the router's first incarnation. Its Started
	// tells an older from a younger process of the VM; later incarnations of
	// the process keep it.
	Record membership.Record
	Clock  func() time.Time
	Log    hclog.Logger
	// TTL is the time to live of the lease. It is above
	// membership.Settings.MaxGap of all routers. The default is 10 s.
	TTL time.Duration
	// Interval is the time between renewals and between attempts, well below
	// TTL. The default is 3 s.
	Interval time.Duration
	// Timeout bounds each call of the store. The default is 2 s.
	Timeout time.Duration
	// Lifetime returns how long an incarnation may act after it was last
	// confirmed.
	Lifetime func() time.Duration
	// NewIncarnation makes the identifier of the next incarnation. It never
	// returns one twice, nor that of Record: an observer that has taken an
	// incarnation for gone may reclaim its shares at any later time.
	NewIncarnation func() ident.Incarnation
}

func (s Settings) check() error {
	switch {
	case s.Store == nil, s.Clock == nil, s.Log == nil:
		return errors.New("no store, clock or log")
	case s.Lifetime == nil, s.NewIncarnation == nil:
		return errors.New("no lifetime or way to make incarnations")
	case s.Interval >= s.TTL:
		return errors.New("the interval is not below the time to live")
	}
	return nil
}

// ErrSuperseded reports that a younger process of the same VM has registered.
var ErrSuperseded = errors.New("a younger router of this VM is registered")

// Registration keeps the record registered. Its methods are safe for
// concurrent use.
type Registration struct {
	settings Settings
	tomb     tomb.Tomb
	first    chan struct{} // closed at the first confirmation

	mu        sync.Mutex
	record    membership.Record // of the present incarnation
	made      time.Time         // when the incarnation was made
	confirmed time.Time

	// The loop alone uses these, and Close after it has ended.
	lease  store.Lease
	placed bool // the record was written under the lease
}

// New begins to register the record.
func New(settings Settings) (r *Registration, err error) {
	defer func() { err = merry.Prepend(err, "setting up the registration") }()
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
		settings: settings,
		first:    make(chan struct{}),
		record:   settings.Record,
		made:     settings.Clock(),
	}, nil
}

// Current returns the incarnation of this router, and the time before it
// asked for the last renewal that succeeded: zero if there was none. The
// incarnation may act until confirmed plus the lifetime. What an earlier
// incarnation held can be used no longer, and before the first confirmation of
// an incarnation it draws nothing.
func (r *Registration) Current() (incarnation ident.Incarnation, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.Incarnation, r.confirmed
}

// Confirmed returns the time of Current.
func (r *Registration) Confirmed() time.Time {
	_, confirmed := r.Current()
	return confirmed
}

// Ready is closed at the first confirmation.
func (r *Registration) Ready() <-chan struct{} { return r.first }

// Dead is closed once the registration has ended: at Close, or because a
// younger process of the VM has registered.
func (r *Registration) Dead() <-chan struct{} { return r.tomb.Dead() }

// Err returns why the registration has ended, and tomb.ErrStillAlive before.
func (r *Registration) Err() error { return r.tomb.Err() }

// Close ends the renewals, waits for them and revokes the lease. It returns
// ErrSuperseded if the registration had ended for that.
func (r *Registration) Close() (err error) {
	r.tomb.Kill(nil)
	err = r.tomb.Wait()
	if r.lease == store.NoLease {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Timeout)
	defer cancel()
	failed := r.settings.Store.Revoke(ctx, r.lease)
	r.lease = store.NoLease
	event.RegistrationRevoked.Info(r.settings.Log, "vm", r.record.VM, "incarnation", r.record.Incarnation, "err", failed)
	return err
}

// run registers and renews until the registration ends.
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

// step renews the lease, or registers if there is none. Other errors than
// ErrSuperseded are logged, and the next step tries again.
func (r *Registration) step() error {
	err := r.renew()
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lapsed()
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

// lapsed forgets a lease that has ended.
func (r *Registration) lapsed() {
	if !r.placed {
		return
	}
	r.placed = false
	event.RegistrationLapsed.Warn(r.settings.Log, "vm", r.record.VM, "incarnation", r.record.Incarnation, "confirmed", r.Confirmed())
}
