package orders

import (
	"slices"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// TakeOver makes holder the holder and returns the raised fencing number.
func (b *Book) TakeOver(holder ident.Incarnation) uint64 {
	b.Holder = holder
	b.FencingNumber++
	return b.FencingNumber
}

// Intend records an order under number. The order must not be sent before the
// book is in the key-value service.
func (b *Book) Intend(number uint64, up ident.Upstream, o engine.Order, basis Basis) (Record, error) {
	if number != b.FencingNumber {
		return Record{}, ErrNotHolder
	}
	e := b.entry(up)
	for _, r := range e.Outstanding {
		if !basis.ChecksFencing || r.Order.FencingNumber >= number || sameTarget(r.Order, o) {
			return Record{}, ErrOutstanding
		}
	}
	if basis.Load.AsOf.Before(e.Seen) {
		return Record{}, ErrOldReport
	}
	if Shows(basis.Load, o) {
		return Record{}, ErrNoEffect
	}
	o.FencingNumber = number
	b.Recorded++
	r := Record{
		Sequence: b.Recorded,
		Order:    o,
		Holder:   b.Holder,
		Recorded: basis.Now,
		Basis:    basis.Load.AsOf,
		Started:  basis.Load.Started,
	}
	e.Outstanding = append(e.Outstanding, r)
	if isLoad(o) && basis.Now.After(b.LastLoad) {
		b.LastLoad = basis.Now
	}
	return r, nil
}

// sameTarget reports whether the effect of one order could be taken for that of
// the other.
func sameTarget(a, b engine.Order) bool {
	if a.Kind == engine.OrderChangeRole || b.Kind == engine.OrderChangeRole {
		return a.Kind == b.Kind
	}
	return a.Model == b.Model
}

// Announce records that an unload will be ordered later. The model no longer
// counts as assured.
func (b *Book) Announce(number uint64, up ident.Upstream, o engine.Order, now time.Time) error {
	if number != b.FencingNumber {
		return ErrNotHolder
	}
	e := b.entry(up)
	if e.Drain != nil {
		return ErrOutstanding
	}
	e.Drain = &Drain{Order: o, Since: now}
	return nil
}

// Unannounce ends the announcement of an unload, which is ordered now or not at
// all.
func (b *Book) Unannounce(up ident.Upstream) {
	b.entry(up).Drain = nil
}

// End records that the call with an order has ended, so that the order is not
// sent any more but may yet take effect. The sender may record it after another
// has taken over.
func (b *Book) End(up ident.Upstream, sent Record, now time.Time) error {
	e, i := b.find(up, sent)
	if i < 0 {
		return ErrNoRecord
	}
	e.Outstanding[i].Ended = now
	return nil
}

// Withdraw removes an order that its recorder did not send and will not, or
// that was certainly not carried out. The recorder may do so after another has
// taken over.
func (b *Book) Withdraw(up ident.Upstream, unsent Record) error {
	e, i := b.find(up, unsent)
	if i < 0 {
		return ErrNoRecord
	}
	e.Outstanding = slices.Delete(e.Outstanding, i, i+1)
	return nil
}

// Resolve takes a report of an engine and removes the orders that can take
// effect no longer. It reports whether the book changed.
func (b *Book) Resolve(up ident.Upstream, l engine.Load) bool {
	e := b.Upstreams[up]
	if e == nil || len(e.Outstanding) == 0 || l.AsOf.Before(e.Seen) {
		return false
	}
	before := len(e.Outstanding)
	for i, r := range slices.Backward(e.Outstanding) {
		if r.shown(l) {
			e.Outstanding = e.Outstanding[i+1:] // an engine refuses what is older
			break
		}
	}
	e.Outstanding = slices.DeleteFunc(e.Outstanding, func(r Record) bool { return r.lost(l) })
	if len(e.Outstanding) == before {
		return false
	}
	e.Seen = l.AsOf
	return true
}

// shown reports whether a report shows the effect of the order, and nothing
// else than the order can have brought it about.
func (r *Record) shown(l engine.Load) bool {
	return l.AsOf.After(r.Basis) && l.Started.Equal(r.Started) && Shows(l, r.Order)
}

// lost reports whether the engine started after the call had ended.
func (r *Record) lost(l engine.Load) bool {
	return !r.Ended.IsZero() && l.Started.After(r.Ended.Add(clockMargin))
}

// Clear removes the orders outstanding at an upstream, on the word of an
// operator that no former holder can send them. It reports whether there were
// any.
func (b *Book) Clear(up ident.Upstream, now time.Time) bool {
	e := b.Upstreams[up]
	if e == nil || len(e.Outstanding) == 0 {
		return false
	}
	e.Outstanding = nil
	e.Seen = now
	return true
}

func (b *Book) entry(up ident.Upstream) *Entry {
	if b.Upstreams == nil {
		b.Upstreams = make(map[ident.Upstream]*Entry)
	}
	e := b.Upstreams[up]
	if e == nil {
		e = new(Entry)
		b.Upstreams[up] = e
	}
	return e
}

// find returns the place of a record. Its sequence number alone does not name
// it, since the book that the record was made for may not have been kept.
func (b *Book) find(up ident.Upstream, sought Record) (*Entry, int) {
	e := b.Upstreams[up]
	if e == nil {
		return nil, -1
	}
	return e, slices.IndexFunc(e.Outstanding, func(r Record) bool {
		return r.Sequence == sought.Sequence && r.Holder == sought.Holder && r.Order == sought.Order
	})
}
