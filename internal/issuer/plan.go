package issuer

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/orders"
	"example.org/lagoonfork/internal/placement"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// reports are the load reports of the upstreams that answered.
type reports map[ident.Upstream]engine.Load

// plan enters the orders of this round in the book, after a take-over if the
// router is not the holder.
func (d *desk) plan(ctx context.Context, w *draft) {
	s := d.issuer.settings
	r := d.ask(ctx)
	if w.book.FencingNumber == 0 && !r.anyModel() {
		return
	}
	now := s.Clock()
	number := d.number
	if number == 0 || w.renew || d.lostAnswer(w.book, now) {
		number = w.book.TakeOver(s.Self)
		w.number, w.changed = number, true
	}
	for id, load := range r {
		if w.book.Resolve(id, load) {
			w.changed = true
		}
	}
	d.unloadAnnounced(w, number, now, r)
	d.planner.Loaded(w.book.LastLoad)
	for _, m := range d.planner.Plan(now, d.models(r), d.upstreams(w.book, now, r)) {
		if m.Order.Kind == engine.OrderUnloadModel {
			w.changed = w.book.Announce(number, m.Upstream, m.Order, now) == nil || w.changed
			continue
		}
		d.intend(w, number, now, r, m)
	}
}

// intend enters an order in the book. One that may not be given yet is left to
// the next plan, which is based on newer reports.
func (d *desk) intend(w *draft, number uint64, now time.Time, r reports, m placement.Move) {
	up := d.upstream(m.Upstream)
	basis := orders.Basis{Load: r[m.Upstream], ChecksFencing: up.ChecksFencing, Now: now}
	record, err := w.book.Intend(number, m.Upstream, m.Order, basis)
	if err != nil {
		return
	}
	w.sendings = append(w.sendings, sending{upstream: up, record: record, reason: m.Reason})
	w.changed = true
}

// unloadAnnounced gives the orders that were announced for long enough, unless
// too few engines are left without them.
func (d *desk) unloadAnnounced(w *draft, number uint64, now time.Time, r reports) {
	for _, up := range d.service.Upstreams {
		a, ok := w.book.Announced(up.ID)
		if !ok || now.Sub(a.Since) < d.issuer.settings.Drain {
			continue
		}
		if d.spares(w.book, now, r, a.Order) {
			d.intend(w, number, now, r, placement.Move{Upstream: up.ID, Order: a.Order, Reason: placement.ReasonAnnounced})
		}
		w.book.Unannounce(up.ID)
		w.changed = true
	}
}

// spares reports whether every model that an announced unload concerns keeps
// its floor on the other engines.
func (d *desk) spares(b *orders.Book, now time.Time, r reports, o engine.Order) bool {
	upstreams := d.upstreams(b, now, r)
	for _, m := range d.service.Models {
		if m.ID != o.Model {
			continue
		}
		copies := 0
		for _, u := range upstreams {
			if !u.Leaving && slices.ContainsFunc(u.Assured, func(l engine.LoadedModel) bool {
				return l.Model == m.ID && (l.Version == m.Version || o.Version != m.Version)
			}) {
				copies++
			}
		}
		if copies < max(m.Replicas, 1) {
			return false
		}
	}
	return true
}

// ask reads the reports of all upstreams.
func (d *desk) ask(ctx context.Context) reports {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(concurrency)
	r := make(reports, len(d.service.Upstreams))
	for _, up := range d.service.Upstreams {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			load, err := d.issuer.settings.Engines.Load(ctx, up)
			if err != nil {
				return nil // the upstream is out of reach and gets no order
			}
			load.LoadedModels = d.versioned(load.LoadedModels)
			mu.Lock()
			defer mu.Unlock()
			r[up.ID] = load
			return nil
		})
	}
	_ = g.Wait() // the goroutines return no errors
	return r
}

// versioned gives models that an engine reports without a version the one that
// is configured, so that they are not loaded anew.
func (d *desk) versioned(loaded []engine.LoadedModel) []engine.LoadedModel {
	models := slices.Clone(loaded)
	for i := range models {
		m := &models[i]
		for _, c := range d.service.Models {
			if m.Version == "" && c.ID == m.Model && c.Adapter == m.Adapter {
				m.Version = c.Version
			}
		}
	}
	return models
}

func (r reports) anyModel() bool {
	for _, load := range r {
		if len(load.LoadedModels) > 0 {
			return true
		}
	}
	return false
}

// lostAnswer reports whether the answer to an own order was lost at an engine
// that checks fencing numbers, so that a new number settles it.
func (d *desk) lostAnswer(b *orders.Book, now time.Time) bool {
	for _, up := range d.service.Upstreams {
		for _, r := range b.Outstanding(up.ID) {
			if up.ChecksFencing && r.Order.FencingNumber == d.number && stale(r, now) {
				return true
			}
		}
	}
	return false
}

// stale reports whether the effect of an order should have been seen by now.
func stale(r orders.Record, now time.Time) bool {
	return !r.Ended.IsZero() && now.Sub(r.Ended) > staleAfter
}

func (d *desk) upstream(id ident.Upstream) configuration.Upstream {
	i := slices.IndexFunc(d.service.Upstreams, func(u configuration.Upstream) bool { return u.ID == id })
	return d.service.Upstreams[i]
}

// models returns the configured models with their demand.
func (d *desk) models(r reports) []placement.Model {
	demand := make(map[ident.Model]float64)
	for _, load := range r {
		for _, m := range load.LoadedModels {
			demand[m.Model] += float64(load.QueuedTokens+load.RunningTokens) / float64(len(load.LoadedModels))
		}
	}
	models := make([]placement.Model, len(d.service.Models))
	for i, m := range d.service.Models {
		models[i] = placement.Model{
			LoadedModel: engine.LoadedModel{Model: m.ID, Version: m.Version, Adapter: m.Adapter},
			Floor:       m.Replicas,
			Demand:      demand[m.ID],
		}
	}
	return models
}

// upstreams returns the engines as the book and the reports show them.
func (d *desk) upstreams(b *orders.Book, now time.Time, r reports) []placement.Upstream {
	var leaving map[ident.Upstream]bool
	if f := d.issuer.settings.Leaving; f != nil {
		leaving = f(d.service.ID)
	}
	all := make([]placement.Upstream, len(d.service.Upstreams))
	for i, up := range d.service.Upstreams {
		load, answered := r[up.ID]
		known := answered && b.Current(up.ID, load)
		all[i] = placement.Upstream{
			ID:        up.ID,
			Domain:    up.FailureDomain,
			Leaving:   !known || load.Leaving || leaving[up.ID],
			Busy:      busy(b, up),
			Tainted:   d.doubtful(b, up.ID, now),
			Assured:   b.Assured(up.ID, load),
			Loading:   b.Loading(up.ID, load),
			Unloading: b.Unloading(up.ID, load),
		}
	}
	d.reportTainted(b)
	return all
}

// busy reports whether an engine may get no order yet.
func busy(b *orders.Book, up configuration.Upstream) bool {
	if _, announced := b.Announced(up.ID); announced {
		return true
	}
	return slices.ContainsFunc(b.Outstanding(up.ID), func(r orders.Record) bool {
		return !up.ChecksFencing || r.Order.FencingNumber == b.FencingNumber
	})
}

// doubtful reports whether nothing is to be expected of an outstanding order:
// it is of another holder, or its effect should have been seen by now.
func (d *desk) doubtful(b *orders.Book, up ident.Upstream, now time.Time) bool {
	return slices.ContainsFunc(b.Outstanding(up), func(r orders.Record) bool {
		return r.Holder != d.issuer.settings.Self || stale(r, now)
	})
}

// reportTainted logs each engine that has become tainted.
func (d *desk) reportTainted(b *orders.Book) {
	tainted := make(map[ident.Upstream]bool)
	for _, up := range d.service.Upstreams {
		if !b.Tainted(up.ID) || up.ChecksFencing {
			continue
		}
		tainted[up.ID] = true
		if !d.tainted[up.ID] {
			event.UpstreamTainted.Warn(d.issuer.settings.Log, "service", d.service.ID, "upstream", up.ID,
				"order", b.Outstanding(up.ID)[0].Order)
		}
	}
	d.tainted = tainted
}
