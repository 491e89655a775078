// Package eras tracks the eras of a store, which rise each time it is restored from a copy.
//
// # Usage
//
//	var t eras.Tracker
//	t.RecordLease(lease, era)
//	if t.Observe(era) != era {
//		return errEarlierEra // the store was restored since
//	}
//	lost := t.LeaseLost(lease)
package eras

import (
	"sync"
	"sync/atomic"

	"example.org/lagoonfork/pkg/store"
)

// Tracker knows the latest era and the eras of leases. Its methods are safe for concurrent use. The
// zero value knows of era 0.
type Tracker struct {
	latest atomic.Int64
	leases sync.Map // the eras (store.Era) of leases (store.Lease)
}

// Latest returns the latest known era.
func (t *Tracker) Latest() store.Era { return store.Era(t.latest.Load()) }

// Observe raises the latest known era to e, and returns it.
func (t *Tracker) Observe(e store.Era) store.Era {
	for {
		known := t.latest.Load()
		if int64(e) <= known {
			return store.Era(known)
		}
		if t.latest.CompareAndSwap(known, int64(e)) {
			return e
		}
	}
}

// RecordLease records the era in which a lease was granted.
func (t *Tracker) RecordLease(lease store.Lease, e store.Era) { t.leases.Store(lease, e) }

// ForgetLease forgets a lease that was revoked.
func (t *Tracker) ForgetLease(lease store.Lease) { t.leases.Delete(lease) }

// LeaseLost reports whether the store has been restored since it granted the lease. The number
// may be that of another lease by now.
func (t *Tracker) LeaseLost(lease store.Lease) bool {
	granted, ok := t.leases.Load(lease)
	return ok && granted.(store.Era) != t.Latest()
}
