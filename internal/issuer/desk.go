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

// errDisplaced reports that another router has taken over.
var errDisplaced = errors.New("another router has taken over")

// desk gives the orders of one service. Except for notes, its fields belong to
// the round.
type desk struct {
	issuer  *Issuer
	service configuration.Service
	planner *placement.Planner
	number  uint64 // under which the router is the holder, or 0
	pending *draft // a write of unknown outcome
	tainted map[ident.Upstream]bool
	failed  int // rounds in a row
	skip    int // rounds to leave alone

	mu    sync.Mutex
	notes []note // about orders, not yet in the book
}

// draft is a changed book and what follows from its writing.
type draft struct {
	book     *orders.Book
	base     store.Revision
	data     []byte // encoded, once it is written
	changed  bool
	number   uint64 // of a take-over, or 0
	renew    bool   // the number, since an engine has seen a higher one
	notes    int    // of the desk, that the book contains
	sendings []sending
}

// sending is an order that is in the book, or will be.
type sending struct {
	upstream configuration.Upstream
	record   orders.Record
	reason   placement.Reason
}

// note tells what became of an order.
type note struct {
	sending
	ended time.Time // zero if the order was withdrawn
	stale bool      // the engine has seen a higher number
}

func (n note) enter(b *orders.Book) error {
	if n.ended.IsZero() {
		return b.Withdraw(n.upstream.ID, n.record)
	}
	return b.End(n.upstream.ID, n.record, n.ended)
}

// round does one round. A router that is not the owner only reads the book and
// records what became of its own orders.
func (d *desk) round(ctx context.Context, owner bool) {
	if d.skip > 0 {
		d.skip--
		return
	}
	err := d.work(ctx, owner)
	switch {
	case err == nil:
		d.failed = 0
	case errors.Is(err, errDisplaced):
		event.OrdersLost.Info(d.issuer.settings.Log, "service", d.service.ID, "error", err)
		d.skip = displacedRounds
	default:
		event.OrdersNotWritten.Warn(d.issuer.settings.Log, "service", d.service.ID, "error", err)
		d.skip = min(1<<min(d.failed, maxBackoff), maxBackoff) - 1
		d.failed++
	}
}

func (d *desk) work(ctx context.Context, owner bool) (err error) {
	defer func() { err = merry.Prependf(err, "orders of service %s", d.service.ID) }()
	entry, err := d.read(ctx)
	if err != nil {
		return err
	}
	if d.pending != nil {
		if done, err := d.settle(ctx, entry); done || err != nil {
			return err
		}
	}
	book, err := orders.Decode(entry.Value)
	if err != nil {
		return err
	}
	w := &draft{book: book, base: entry.Revision}
	d.takeNotes(w)
	if d.number != 0 && d.number != book.FencingNumber {
		d.number = 0
		return errors.Join(errDisplaced, d.write(ctx, w))
	}
	if owner {
		d.plan(ctx, w)
	}
	return d.write(ctx, w)
}

func (d *desk) read(ctx context.Context) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, d.issuer.settings.Timeout)
	defer cancel()
	return d.issuer.settings.Store.Get(ctx, orders.Key(d.service.ID))
}

// settle finds out what became of a write of unknown outcome. It returns true if
// that was all there was to do.
func (d *desk) settle(ctx context.Context, entry store.Entry) (done bool, err error) {
	p := d.pending
	switch {
	case bytes.Equal(entry.Value, p.data):
		d.written(p)
		return true, nil
	case entry.Revision == p.base:
		return true, d.write(ctx, p) // the same bytes, so that either write will do
	}
	// Another has written since. What the write recorded may be in its book.
	d.pending = nil
	for _, s := range p.sendings {
		d.note(note{sending: s})
	}
	return false, nil
}

// write swaps the book if it changed, and then sends the orders in it.
func (d *desk) write(ctx context.Context, w *draft) (err error) {
	if !w.changed {
		d.dropNotes(w.notes)
		d.look(w.book)
		return nil
	}
	if w.data == nil {
		if w.data, err = w.book.Encode(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, d.issuer.settings.Timeout)
	defer cancel()
	_, err = d.issuer.settings.Store.Put(ctx, orders.Key(d.service.ID), w.data, store.If(w.base), store.NoLease)
	if err != nil {
		if errors.Is(err, store.ErrUnknown) {
			d.pending = w
		}
		return err
	}
	d.written(w)
	return nil
}

// written acts on a book that is in the key-value service.
func (d *desk) written(w *draft) {
	s := d.issuer.settings
	d.pending = nil
	d.dropNotes(w.notes)
	d.look(w.book)
	if w.number != 0 {
		d.number = w.number
		event.OrdersTakenOver.Info(s.Log, "service", d.service.ID, "fencingNumber", d.number)
	}
	for _, o := range w.sendings {
		event.OrderRecorded.Info(s.Log, "service", d.service.ID, "upstream", o.upstream.ID, "reason", o.reason,
			"order", o.record.Order)
		d.issuer.calls.Add(1)
		go d.send(o)
	}
}

// send sends an order, once, and notes what became of it.
func (d *desk) send(o sending) {
	defer d.issuer.calls.Done()
	s := d.issuer.settings
	now := s.Clock()
	if !o.record.MaySend(now) || !s.MayAct(now) {
		event.OrderWithdrawn.Info(s.Log, "upstream", o.upstream.ID, "order", o.record.Order, "cause", "late")
		d.note(note{sending: o})
		return
	}
	ctx, cancel := context.WithTimeout(d.issuer.sending, orderTimeout)
	defer cancel()
	err := s.Engines.Order(ctx, o.upstream, o.record.Order)
	if err != nil && certain(err) {
		event.OrderWithdrawn.Info(s.Log, "upstream", o.upstream.ID, "order", o.record.Order, "cause", err.Error())
		d.note(note{sending: o, stale: errors.Is(err, engineclient.ErrStaleOrder)})
		return
	}
	event.OrderEnded.Info(s.Log, "upstream", o.upstream.ID, "order", o.record.Order, "error", err)
	d.note(note{sending: o, ended: s.Clock()})
}

func (d *desk) note(n note) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notes = append(d.notes, n)
}

func (d *desk) taken() []note {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notes
}

// takeNotes enters what became of orders. Those that a report has resolved
// already are not in the book any more.
func (d *desk) takeNotes(w *draft) {
	notes := d.taken()
	w.notes = len(notes)
	for _, n := range notes {
		w.renew = w.renew || n.stale
		if n.enter(w.book) == nil {
			w.changed = true
		}
	}
}

// dropNotes forgets the first n notes.
func (d *desk) dropNotes(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notes = d.notes[n:]
}
