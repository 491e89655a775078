package orders

import (
	"slices"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// TakeOver makes holder the current holder, increments the fencing number and
// returns it.
func (s *State) TakeOver(holder ident.Incarnation) uint64 {
	s.Holder = holder
	s.FencingNumber++
	return s.FencingNumber
}

// RecordOrder records an order under the fencing number of the holder. The order
// must not be sent before the state is written to the key-value service. It returns
// ErrNotHolder, ErrOutstanding, ErrStaleReport or ErrNoEffect if the order may not
// be given.
func (s *State) RecordOrder(fencingNumber uint64, up ident.Upstream, o engine.Order, basis Basis) (Record, error) {
	if fencingNumber != s.FencingNumber {
		return Record{}, ErrNotHolder
	}
	e := s.upstreamState(up)
	for _, r := range e.Outstanding {
		if !basis.ChecksFencing || r.Order.FencingNumber >= fencingNumber || sameTarget(r.Order, o) {
			return Record{}, ErrOutstanding
		}
	}
	if basis.Load.AsOf.Before(e.MinReportTime) {
		return Record{}, ErrStaleReport
	}
	if EffectVisible(basis.Load, o) {
		return Record{}, ErrNoEffect
	}
	o.FencingNumber = fencingNumber
	s.RecordCount++
	r := Record{
		Sequence: s.RecordCount,
		Order:    o,
		Holder:   s.Holder,
		Recorded: basis.Now,
		Basis:    basis.Load.AsOf,
		Started:  basis.Load.Started,
	}
	e.Outstanding = append(e.Outstanding, r)
	if isLoad(o) && basis.Now.After(s.LastLoad) {
		s.LastLoad = basis.Now
	}
	return r, nil
}

// sameTarget reports whether the effects of the two orders could be mistaken for
// each other in a report.
func sameTarget(a, b engine.Order) bool {
	if a.Kind == engine.OrderChangeRole || b.Kind == engine.OrderChangeRole {
		return a.Kind == b.Kind
	}
	return a.Model == b.Model
}

// AnnounceUnload records that an unload will be ordered later. From then on the
// model does not count as assured. It returns ErrNotHolder, or ErrOutstanding if
// an unload is announced already.
func (s *State) AnnounceUnload(fencingNumber uint64, up ident.Upstream, o engine.Order, now time.Time) error {
	if fencingNumber != s.FencingNumber {
		return ErrNotHolder
	}
	e := s.upstreamState(up)
	if e.AnnouncedUnload != nil {
		return ErrOutstanding
	}
	e.AnnouncedUnload = &AnnouncedUnload{Order: o, Since: now}
	return nil
}

// RemoveAnnouncement removes the announcement of an unload, when the unload is
// ordered or dropped.
func (s *State) RemoveAnnouncement(up ident.Upstream) {
	s.upstreamState(up).AnnouncedUnload = nil
}

// RecordCallEnd records that the call that sent an order has ended: the order is
// not sent again but may still take effect. The sender may record this after
// another holder has taken over. It returns ErrNoRecord if the state does not
// contain the order, as after a report has resolved it.
func (s *State) RecordCallEnd(up ident.Upstream, sent Record, now time.Time) error {
	e, i := s.find(up, sent)
	if i < 0 {
		return ErrNoRecord
	}
	e.Outstanding[i].Ended = now
	return nil
}

// Withdraw removes an order that the holder that recorded it did not send and
// will not send, or that was certainly not executed. That holder may withdraw it
// after another holder has taken over. It returns ErrNoRecord if the state does not
// contain the order.
func (s *State) Withdraw(up ident.Upstream, unsent Record) error {
	e, i := s.find(up, unsent)
	if i < 0 {
		return ErrNoRecord
	}
	e.Outstanding = slices.Delete(e.Outstanding, i, i+1)
	return nil
}

// Resolve removes the outstanding orders that can no longer take effect according
// to a report of the engine. It reports whether the state changed.
func (s *State) Resolve(up ident.Upstream, l engine.Load) bool {
	e := s.Upstreams[up]
	if e == nil || len(e.Outstanding) == 0 || l.AsOf.Before(e.MinReportTime) {
		return false
	}
	before := len(e.Outstanding)
	for i, r := range slices.Backward(e.Outstanding) {
		if r.provenBy(l) {
			e.Outstanding = e.Outstanding[i+1:] // older orders are refused by an engine that checks fencing numbers
			break
		}
	}
	e.Outstanding = slices.DeleteFunc(e.Outstanding, func(r Record) bool { return r.endedBeforeStart(l) })
	if len(e.Outstanding) == before {
		return false
	}
	e.MinReportTime = l.AsOf
	return true
}

// provenBy reports whether a report proves that the order was executed: it shows
// the effect of the order, is newer than the report on which the order was based,
// and is from the same process of the engine, so that nothing else can have caused
// the effect.
func (r *Record) provenBy(l engine.Load) bool {
	return l.AsOf.After(r.Basis) && l.Started.Equal(r.Started) && EffectVisible(l, r.Order)
}

// endedBeforeStart reports whether the engine started after the call had ended,
// allowing for clock skew. Such an order can no longer take effect.
func (r *Record) endedBeforeStart(l engine.Load) bool {
	return !r.Ended.IsZero() && l.Started.After(r.Ended.Add(maxClockSkew))
}

// Clear removes the outstanding orders of an upstream. An operator requests it
// after making sure that no former holder can still send them. It reports whether
// there were any.
func (s *State) Clear(up ident.Upstream, now time.Time) bool {
	e := s.Upstreams[up]
	if e == nil || len(e.Outstanding) == 0 {
		return false
	}
	e.Outstanding = nil
	e.MinReportTime = now
	return true
}

func (s *State) upstreamState(up ident.Upstream) *UpstreamState {
	if s.Upstreams == nil {
		s.Upstreams = make(map[ident.Upstream]*UpstreamState)
	}
	e := s.Upstreams[up]
	if e == nil {
		e = new(UpstreamState)
		s.Upstreams[up] = e
	}
	return e
}

// find returns the upstream's state and the index of a record in Outstanding, or
// -1. The sequence number alone does not identify a record, because the write of
// the state in which the record was made may have failed and the number may have
// been reused.
func (s *State) find(up ident.Upstream, wanted Record) (*UpstreamState, int) {
	e := s.Upstreams[up]
	if e == nil {
		return nil, -1
	}
	return e, slices.IndexFunc(e.Outstanding, func(r Record) bool {
		return r.Sequence == wanted.Sequence && r.Holder == wanted.Holder && r.Order == wanted.Order
	})
}
