package issuer

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/orders"
	"example.org/lagoonfork/internal/placement"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// errDisplaced means that another router has taken over the service.
var errDisplaced = errors.New("another router has taken over")

// serviceController plans and sends the orders of one service. Its fields are
// accessed only during a round, except for outcomes, which mu guards.
type serviceController struct {
	issuer        *Issuer
	service       configuration.Service
	planner       *placement.Planner
	fencingNumber uint64      // under which this router is the holder, or 0 if it is not
	unconfirmed   *stateWrite // a write with unknown outcome, or nil
	tainted       map[ident.Upstream]bool
	failures      int // number of consecutive failed rounds
	skipRounds    int // number of rounds still to skip

	mu       sync.Mutex
	outcomes []outcome // of orders, not yet recorded in the state
}

// stateWrite is a write of the state, with the actions that follow it.
type stateWrite struct {
	state          *orders.State
	baseRevision   store.Revision
	data           []byte // the encoded state, once a write was attempted
	changed        bool
	takeOverNumber uint64 // fencing number of a takeover, or 0
	needsNewNumber bool   // an engine has seen a higher fencing number
	outcomes       int    // number of the controller's outcomes that the state includes
	orders         []pendingOrder
}

// pendingOrder is an order that the state records or is about to record.
type pendingOrder struct {
	upstream configuration.Upstream
	record   orders.Record
	reason   placement.Reason
}

// outcome is the outcome of an order.
type outcome struct {
	pendingOrder
	ended       time.Time // zero if the order was withdrawn
	staleNumber bool      // the engine has seen a higher fencing number
}

func (o outcome) applyTo(s *orders.State) error {
	if o.ended.IsZero() {
		return s.Withdraw(o.upstream.ID, o.record)
	}
	return s.RecordCallEnd(o.upstream.ID, o.record, o.ended)
}

// round runs one round and backs off after a failure. A router that is not the
// owner only reads the state and records the outcomes of its own orders.
func (c *serviceController) round(ctx context.Context, owner bool) {
	if c.skipRounds > 0 {
		c.skipRounds--
		return
	}
	err := c.reconcile(ctx, owner)
	switch {
	case err == nil:
		c.failures = 0
	case errors.Is(err, errDisplaced):
		event.OrdersLost.Info(c.issuer.settings.Log, "service", c.service.ID, "error", err)
		c.skipRounds = displacedRounds
	default:
		event.OrdersNotWritten.Warn(c.issuer.settings.Log, "service", c.service.ID, "error", err)
		c.skipRounds = min(1<<min(c.failures, maxBackoffRounds), maxBackoffRounds) - 1
		c.failures++
	}
}

func (c *serviceController) reconcile(ctx context.Context, owner bool) (err error) {
	defer func() { err = merry.Prependf(err, "updating orders of service %s", c.service.ID) }()
	entry, err := c.read(ctx)
	if err != nil {
		return err
	}
	if c.unconfirmed != nil {
		if done, err := c.resolveUnconfirmed(ctx, entry); done || err != nil {
			return err
		}
	}
	state, err := orders.Decode(entry.Value)
	if err != nil {
		return err
	}
	w := &stateWrite{state: state, baseRevision: entry.Revision}
	c.applyOutcomes(w)
	if c.fencingNumber != 0 && c.fencingNumber != state.FencingNumber {
		c.fencingNumber = 0
		return errors.Join(errDisplaced, c.write(ctx, w))
	}
	if owner {
		c.plan(ctx, w)
	}
	return c.write(ctx, w)
}

func (c *serviceController) read(ctx context.Context) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.issuer.settings.Timeout)
	defer cancel()
	return c.issuer.settings.Store.Get(ctx, orders.Key(c.service.ID))
}

// resolveUnconfirmed determines the outcome of the unconfirmed write. It returns
// true if the round is done: the write had succeeded or was repeated. Otherwise it
// marks the orders of the write for withdrawal.
func (c *serviceController) resolveUnconfirmed(ctx context.Context, entry store.Entry) (done bool, err error) {
	p := c.unconfirmed
	switch {
	case bytes.Equal(entry.Value, p.data):
		c.onWritten(p)
		return true, nil
	case entry.Revision == p.baseRevision:
		return true, c.write(ctx, p) // the data is the same, so it does not matter which write succeeds
	}
	// Another router has written since, perhaps on top of the unconfirmed write.
	// The state may therefore record its orders, which were never sent.
	c.unconfirmed = nil
	for _, s := range p.orders {
		c.addOutcome(outcome{pendingOrder: s})
	}
	return false, nil
}

// write writes the state by compare-and-swap if it changed, and then sends its new
// orders.
func (c *serviceController) write(ctx context.Context, w *stateWrite) (err error) {
	if !w.changed {
		c.removeOutcomes(w.outcomes)
		c.setView(w.state)
		return nil
	}
	if w.data == nil {
		if w.data, err = w.state.Encode(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.issuer.settings.Timeout)
	defer cancel()
	_, err = c.issuer.settings.Store.Put(ctx, orders.Key(c.service.ID), w.data, store.If(w.baseRevision), store.NoLease)
	if err != nil {
		if errors.Is(err, store.ErrUnknown) {
			c.unconfirmed = w
		}
		return err
	}
	c.onWritten(w)
	return nil
}

// onWritten sends the new orders of a state that is known to be written, and
// updates the controller.
func (c *serviceController) onWritten(w *stateWrite) {
	s := c.issuer.settings
	c.unconfirmed = nil
	c.removeOutcomes(w.outcomes)
	c.setView(w.state)
	if w.takeOverNumber != 0 {
		c.fencingNumber = w.takeOverNumber
		event.OrdersTakenOver.Info(s.Log, "service", c.service.ID, "fencingNumber", c.fencingNumber)
	}
	for _, o := range w.orders {
		event.OrderRecorded.Info(s.Log, "service", c.service.ID, "upstream", o.upstream.ID, "reason", o.reason,
			"order", o.record.Order)
		c.issuer.calls.Add(1)
		go c.send(o)
	}
}

// send sends an order at most once and adds its outcome.
func (c *serviceController) send(o pendingOrder) {
	defer c.issuer.calls.Done()
	s := c.issuer.settings
	now := s.Clock()
	if !o.record.MaySend(now) || !s.MayOrder(now) {
		event.OrderWithdrawn.Info(s.Log, "upstream", o.upstream.ID, "order", o.record.Order, "cause", "late")
		c.addOutcome(outcome{pendingOrder: o})
		return
	}
	ctx, cancel := context.WithTimeout(c.issuer.sendContext, orderTimeout)
	defer cancel()
	err := s.Engines.Order(ctx, o.upstream, o.record.Order)
	if err != nil && notExecuted(err) {
		event.OrderWithdrawn.Info(s.Log, "upstream", o.upstream.ID, "order", o.record.Order, "cause", err.Error())
		c.addOutcome(outcome{pendingOrder: o, staleNumber: errors.Is(err, engineclient.ErrStaleOrder)})
		return
	}
	event.OrderEnded.Info(s.Log, "upstream", o.upstream.ID, "order", o.record.Order, "error", err)
	c.addOutcome(outcome{pendingOrder: o, ended: s.Clock()})
}

func (c *serviceController) addOutcome(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *serviceController) pendingOutcomes() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcomes
}

// applyOutcomes records the outcomes in the state. Orders that a report has already
// resolved are no longer in the state, and their outcomes are ignored.
func (c *serviceController) applyOutcomes(w *stateWrite) {
	outcomes := c.pendingOutcomes()
	w.outcomes = len(outcomes)
	for _, o := range outcomes {
		w.needsNewNumber = w.needsNewNumber || o.staleNumber
		if o.applyTo(w.state) == nil {
			w.changed = true
		}
	}
}

// removeOutcomes removes the first n outcomes.
func (c *serviceController) removeOutcomes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = c.outcomes[n:]
}
