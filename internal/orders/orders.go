// Package orders is the book of the orders that were given to the engines of
// one service. It makes the orders of successive holders safe, also at engines
// that do not check fencing numbers and with holders that pause without bound.
//
// The book is kept in the key-value service and changed only by
// compare-and-swap. An order is recorded under the book's fencing number before
// it is sent, and is sent at most once for each record. A take-over raises the
// number, after which a former holder can record nothing more. The set of
// orders that it may still send is then frozen: they are the ones in the book.
//
// An engine that checks the number refuses the old orders once it has seen a
// new one. An engine that does not is tainted while an order is outstanding: it
// gets no other order, and what it serves is counted as if the worse outcome of
// the outstanding order had come about. An order ceases to be outstanding when
//
//   - a report shows its effect, which the report on which it was based lacked;
//   - its sender recorded that it was certainly not carried out;
//   - its sender recorded the end of the call and the engine started since; or
//   - an operator clears it.
//
// A restart of the engine alone is not enough: a holder that is paused before
// it sends may do so at any later time.
//
// # Usage
//
//	number := book.TakeOver(incarnation)
//	// swap the book; then, from a report of the engine:
//	record, err := book.Intend(number, upstream, order, orders.Basis{Load: load, Now: now})
//	// swap the book; only then send record.Order
//	book.Resolve(upstream, load) // with each later report
package orders

import (
	"errors"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// SendWindow is how long after its recording an order may be sent.
	SendWindow = 5 * time.Second
	// clockMargin is how far the clocks of a router and an engine may differ.
	clockMargin = 10 * time.Second
)

// Errors of a Book. Nothing was changed.
var (
	// ErrNotHolder reports that another holder has taken over.
	ErrNotHolder = errors.New("not the holder of the book")
	// ErrOutstanding reports an engine that may not get the order yet.
	ErrOutstanding = errors.New("an earlier order is outstanding")
	// ErrOldReport reports a basis from before the last resolved order.
	ErrOldReport = errors.New("report is older than the last order")
	// ErrNoEffect reports an order whose effect is there already.
	ErrNoEffect = errors.New("order would change nothing")
	// ErrNoRecord reports an order that is not in the book.
	ErrNoRecord = errors.New("no such order")
)

// Book holds the orders of one service. Its zero value is that of a service
// without orders. It is not safe for concurrent use.
type Book struct {
	Holder        ident.Incarnation         `json:"holder"`
	FencingNumber uint64                    `json:"fencingNumber"`
	Recorded      uint64                    `json:"recorded"` // orders so far
	LastLoad      time.Time                 `json:"lastLoad,omitzero"`
	Upstreams     map[ident.Upstream]*Entry `json:"upstreams,omitempty"`
}

// Entry is what the book knows of one upstream.
type Entry struct {
	// Seen is the time, by the engine's clock, of the oldest report that shows
	// all resolved orders.
	Seen time.Time `json:"seen"`
	// Outstanding holds the orders that may yet take effect, the oldest first.
	Outstanding []Record `json:"outstanding,omitempty"`
	// Drain is an unload that is announced, so that routers send the engine no
	// more requests for the model before the order is given.
	Drain *Drain `json:"drain,omitempty"`
}

// Drain is an announced unload.
type Drain struct {
	Order engine.Order `json:"order"`
	Since time.Time    `json:"since"`
}

// Record is an order that may have been sent.
type Record struct {
	// Sequence numbers the records of a book, from 1.
	Sequence uint64            `json:"sequence"`
	Order    engine.Order      `json:"order"`
	Holder   ident.Incarnation `json:"holder"`
	Recorded time.Time         `json:"recorded"`
	// Basis and Started are from the report that the order is based on.
	Basis   time.Time `json:"basis"`
	Started time.Time `json:"started,omitzero"`
	// Ended is when the holder's call ended, from which on the order is not
	// sent any more. It is zero while that is not known.
	Ended time.Time `json:"ended,omitzero"`
}

// Basis is what an order is based on.
type Basis struct {
	Load          engine.Load
	ChecksFencing bool
	Now           time.Time
}

// MaySend reports whether the order may be sent at now, so shortly after it was
// recorded that a take-over in between is unlikely.
func (r *Record) MaySend(now time.Time) bool {
	return now.Sub(r.Recorded) < SendWindow
}

// Shows reports whether a report shows the effect of an order.
func Shows(l engine.Load, o engine.Order) bool {
	switch o.Kind {
	case engine.OrderLoadModel, engine.OrderLoadAdapter:
		for _, m := range l.LoadedModels {
			if m.Model == o.Model && m.Version == o.Version && m.Adapter == o.Adapter {
				return true
			}
		}
		return false
	case engine.OrderUnloadModel:
		for _, m := range l.LoadedModels {
			if unloads(o, m) {
				return false
			}
		}
		return true
	}
	return l.Role == o.Role
}

// unloads reports whether an order unloads m.
func unloads(o engine.Order, m engine.LoadedModel) bool {
	return o.Kind == engine.OrderUnloadModel && o.Model == m.Model && (o.Version == "" || o.Version == m.Version)
}

func isLoad(o engine.Order) bool {
	return o.Kind == engine.OrderLoadModel || o.Kind == engine.OrderLoadAdapter
}
