package edge

import (
	"context"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
)

// freePredecessorShares frees the part of their shares that earlier processes on the
// VM cannot have spent. It is called once the router listens on the VM's addresses,
// which proves that those processes have ended.
func (r *Router) freePredecessorShares() error {
	s := r.settings
	if s.Boot == nil {
		return nil
	}
	op := ledger.Op{FreePredecessors: &ledger.FreePredecessors{VM: s.VM, Boot: s.Boot.ID, AsOf: s.Boot.Elapsed(), Holder: s.Incarnation}}
	ctx := r.tomb.Context(context.Background())
	r.awaitRecords(ctx)
	for n := range ledgerPages {
		for {
			result, err := r.ledger.ApplyPage(ctx, n, op)
			event.PredecessorSharesFreed.Info(s.Log, "page", n, "freed", result.Granted, "asOf", op.FreePredecessors.AsOf, "boot", op.FreePredecessors.Boot, "error", err)
			if err == nil {
				break
			}
			select {
			case <-time.After(predecessorRetryInterval):
			case <-r.tomb.Dying():
				return nil
			}
		}
	}
	return nil
}

// awaitRecords waits until records of routers are known, but no longer than
// recordsTimeout.
func (r *Router) awaitRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	for {
		changed := r.routerRecords.Changed()
		if r.routerRecords.Len() > 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
