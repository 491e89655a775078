package orders

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Key returns the key of the book of a service.
func Key(service ident.Service) string {
	return "orders/" + string(service)
}

// Decode reads a book. No bytes are the book of a service without orders.
func Decode(data []byte) (b *Book, err error) {
	defer func() { err = merry.Prepend(err, "decoding a book of orders") }()
	b = new(Book)
	if len(data) == 0 {
		return b, nil
	}
	if err := json.Unmarshal(data, b); err != nil {
		return nil, err
	}
	for up, e := range b.Upstreams {
		if e == nil {
			delete(b.Upstreams, up)
		}
	}
	return b, nil
}

// Encode returns the book as it is kept. The same book gives the same bytes.
func (b *Book) Encode() ([]byte, error) {
	return json.Marshal(b)
}

// Outstanding returns the orders that may yet take effect at an upstream, the
// oldest first.
func (b *Book) Outstanding(up ident.Upstream) []Record {
	if e := b.Upstreams[up]; e != nil {
		return slices.Clone(e.Outstanding)
	}
	return nil
}

// Announced returns the unload that is announced for an upstream, if any.
func (b *Book) Announced(up ident.Upstream) (d Drain, ok bool) {
	e := b.Upstreams[up]
	if e == nil || e.Drain == nil {
		return Drain{}, false
	}
	return *e.Drain, true
}

// Tainted reports whether an order of a former holder may yet take effect at an
// upstream.
func (b *Book) Tainted(up ident.Upstream) bool {
	return slices.ContainsFunc(b.Outstanding(up), func(r Record) bool {
		return r.Order.FencingNumber < b.FencingNumber
	})
}

// Current reports whether a report shows all the resolved orders. Nothing is
// known from one that does not.
func (b *Book) Current(up ident.Upstream, l engine.Load) bool {
	e := b.Upstreams[up]
	return e == nil || !l.AsOf.Before(e.Seen)
}

// Assured returns the models that an engine which gave the report has loaded,
// whatever becomes of the outstanding orders and the announced ones. Nothing is
// assured by a report that is older than the last order.
func (b *Book) Assured(up ident.Upstream, l engine.Load) []engine.LoadedModel {
	if !b.Current(up, l) {
		return nil
	}
	return b.Staying(up, l)
}

// Staying returns the models of a report that no order takes away.
func (b *Book) Staying(up ident.Upstream, l engine.Load) []engine.LoadedModel {
	going := b.Outstanding(up)
	if d, ok := b.Announced(up); ok {
		going = append(going, Record{Order: d.Order})
	}
	return slices.DeleteFunc(slices.Clone(l.LoadedModels), func(m engine.LoadedModel) bool {
		return slices.ContainsFunc(going, func(r Record) bool { return unloads(r.Order, m) })
	})
}

// Loading returns the models that outstanding orders may load beside those that
// the report shows.
func (b *Book) Loading(up ident.Upstream, l engine.Load) (models []engine.LoadedModel) {
	for _, r := range b.Outstanding(up) {
		if isLoad(r.Order) && !Shows(l, r.Order) {
			models = append(models, engine.LoadedModel{Model: r.Order.Model, Version: r.Order.Version, Adapter: r.Order.Adapter})
		}
	}
	return models
}

// Unloading returns the models of the report that are not assured.
func (b *Book) Unloading(up ident.Upstream, l engine.Load) []engine.LoadedModel {
	assured := b.Assured(up, l)
	return slices.DeleteFunc(slices.Clone(l.LoadedModels), func(m engine.LoadedModel) bool {
		return slices.Contains(assured, m)
	})
}
