// Package presence registers an edge router in the key-value service.
//
// The router's record is attached to a lease, which is renewed until Close. A record
// whose lease has expired is written again. Nothing that requires strict consistency
// depends on these records: they only list the routers and their addresses.
//
// # Usage
//
//	p := presence.Start(presence.Settings{Store: s, Record: record, TTL: 6 * time.Second, ...})
//	defer p.Close()
package presence

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/store"
)

// Settings configures a Presence. All fields are required.
type Settings struct {
	Store  store.Store
	Record membership.Record
	// TTL is the time to live of the lease, Interval the time between two renewals,
	// and Timeout bounds each renewal.
	TTL, Interval, Timeout time.Duration
	Log                    hclog.Logger
}

// Presence maintains the record of a router.
type Presence struct {
	settings Settings
	tomb     tomb.Tomb
	wake     chan struct{}
	lease    store.Lease // accessed by run, and by Close after run has returned
}

// Start registers the router and renews its lease in the background.
func Start(s Settings) *Presence {
	p := &Presence{settings: s, wake: make(chan struct{}, 1)}
	p.tomb.Go(p.run)
	return p
}

// Wake renews the lease now, because the store may have lost the record.
func (p *Presence) Wake() {
	select {
	case p.wake <- struct{}{}:
	default: // it is about to be renewed
	}
}

// Close stops the renewals and removes the record. If the store is unavailable, the
// record is removed when its lease expires.
func (p *Presence) Close() (err error) {
	defer func() { err = merry.Prepend(err, "revoking the presence lease") }()
	p.tomb.Kill(nil)
	if err := p.tomb.Wait(); err != nil || p.lease == store.NoLease {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Timeout)
	defer cancel()
	return p.settings.Store.Revoke(ctx, p.lease)
}

func (p *Presence) run() error {
	for {
		err := p.announce(p.tomb.Context(context.Background()))
		if errors.Is(err, store.ErrNoResponse) {
			err = p.announce(p.tomb.Context(context.Background())) // on a new connection
		}
		if err != nil {
			event.PresenceFailed.Info(p.settings.Log, "error", err)
		}
		select {
		case <-time.After(p.settings.Interval):
		case <-p.wake:
		case <-p.tomb.Dying():
			return nil
		}
	}
}

// announce renews the lease, or writes the record under a new lease.
func (p *Presence) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Timeout)
	defer cancel()
	if p.lease != store.NoLease {
		err := p.settings.Store.KeepAlive(ctx, p.lease)
		if !errors.Is(err, store.ErrLeaseNotFound) {
			return err
		}
		p.lease = store.NoLease
	}
	value, err := p.settings.Record.Encode()
	if err != nil {
		return err
	}
	lease, err := p.settings.Store.Grant(ctx, p.settings.TTL)
	if err != nil {
		return err
	}
	if _, err := p.settings.Store.Put(ctx, membership.Key(p.settings.Record.VM), value, store.Always, lease); err != nil {
		return err
	}
	p.lease = lease
	return nil
}
