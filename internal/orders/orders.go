// Package orders implements the persisted state of the orders that the routers
// have sent to the engines of one service. It prevents the orders of successive
// holders from conflicting, even if engines do not check fencing numbers and
// holders pause for an unbounded time.
//
// The holder is the router that may give orders for the service. The state is
// kept in the key-value service and changed only by compare-and-swap. An order is
// recorded under the fencing number of the state before it is sent, and is sent
// at most once for each record. A takeover increments the fencing number, after
// which the former holder can record no more orders. This fixes the set of orders
// that it may still send: they are recorded in the state.
//
// An engine that checks fencing numbers refuses older orders once it has seen a
// newer one. An engine that does not check them is tainted while an order of a
// former holder is outstanding. While any order is outstanding, such an engine
// gets no other order, and the worse outcome of the outstanding order is assumed
// in counting the models that it serves. An order is no longer outstanding when
//
//   - a report shows its effect, which was absent from the report on which the
//     order was based;
//   - its sender recorded that it was certainly not executed;
//   - its sender recorded the end of the call and the engine started afterwards;
//     or
//   - an operator clears it.
//
// A restart of the engine alone is not sufficient, because a holder that is
// paused before sending may send the order at any later time.
//
// # Usage
//
//	number := state.TakeOver(incarnation)
//	// write the state by compare-and-swap; then, from a report of the engine:
//	record, err := state.RecordOrder(number, upstream, order, orders.Basis{Load: load, Now: now})
//	// write the state by compare-and-swap; only then send record.Order
//	state.Resolve(upstream, load) // with each later report
package orders

import (
	"errors"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// SendWindow is the time after its recording within which an order may be
	// sent.
	SendWindow = 5 * time.Second
	// maxClockSkew is the assumed maximum difference between the clocks of a
	// router and an engine.
	maxClockSkew = 10 * time.Second
)

// Errors returned by the methods of a State, which then change no orders.
var (
	// ErrNotHolder means that another holder has taken over.
	ErrNotHolder = errors.New("not the holder of the orders")
	// ErrOutstanding means that the engine may not get the order yet because of
	// an outstanding order or an announced unload.
	ErrOutstanding = errors.New("an earlier order is outstanding")
	// ErrStaleReport means that the order is based on a report older than the
	// one that resolved earlier orders.
	ErrStaleReport = errors.New("report is older than the one that resolved earlier orders")
	// ErrNoEffect means that the report shows the effect of the order already.
	ErrNoEffect = errors.New("order would change nothing")
	// ErrNoRecord means that the order is not recorded in the state.
	ErrNoRecord = errors.New("no such order")
)

// State holds the orders of one service. The zero value is the state of a service
// that has never had orders. It is not safe for concurrent use.
type State struct {
	Holder        ident.Incarnation                 `json:"holder"`
	FencingNumber uint64                            `json:"fencingNumber"`
	RecordCount   uint64                            `json:"recorded"` // number of orders recorded so far
	LastLoad      time.Time                         `json:"lastLoad,omitzero"`
	Upstreams     map[ident.Upstream]*UpstreamState `json:"upstreams,omitempty"`
}

// UpstreamState holds the orders of one upstream.
type UpstreamState struct {
	// MinReportTime is the time of the oldest report, by the engine's clock,
	// that shows the effects of all resolved orders. State.Clear sets it to
	// the time of the call.
	MinReportTime time.Time `json:"seen"`
	// Outstanding holds the orders that may yet take effect, the oldest first.
	Outstanding []Record `json:"outstanding,omitempty"`
	// AnnouncedUnload is nil if no unload is announced. It makes routers stop
	// sending requests for the model to the engine before the unload is ordered.
	AnnouncedUnload *AnnouncedUnload `json:"drain,omitempty"`
}

// AnnouncedUnload is an unload that is announced but not ordered yet.
type AnnouncedUnload struct {
	Order engine.Order `json:"order"`
	Since time.Time    `json:"since"`
}

// Record is an order that may have been sent.
type Record struct {
	// Sequence is the number of the record within the state, starting from 1.
	Sequence uint64            `json:"sequence"`
	Order    engine.Order      `json:"order"`
	Holder   ident.Incarnation `json:"holder"`
	Recorded time.Time         `json:"recorded"`
	// Basis and Started are the time of the report on which the order is based
	// and the start time of the engine in that report.
	Basis   time.Time `json:"basis"`
	Started time.Time `json:"started,omitzero"`
	// Ended is when the holder's call ended. The order is not sent after that
	// time. It is zero until the end of the call is recorded.
	Ended time.Time `json:"ended,omitzero"`
}

// Basis holds the report and the properties of the engine on which an order is
// based.
type Basis struct {
	Load          engine.Load
	ChecksFencing bool      // whether the engine checks fencing numbers
	Now           time.Time // by the router's clock
}

// MaySend reports whether the order may be sent at now, that is, within
// SendWindow after it was recorded. The window makes a takeover between recording
// and sending unlikely.
func (r *Record) MaySend(now time.Time) bool {
	return now.Sub(r.Recorded) < SendWindow
}

// EffectVisible reports whether a report shows the effect of an order.
func EffectVisible(l engine.Load, o engine.Order) bool {
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
