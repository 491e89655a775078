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

// reports holds the load reports of the upstreams that responded.
type reports map[ident.Upstream]engine.Load

// plan records the orders of this round in the state, after a takeover if this
// router is not the holder or needs a new fencing number.
func (c *serviceController) plan(ctx context.Context, w *stateWrite) {
	s := c.issuer.settings
	r := c.readReports(ctx)
	if w.state.FencingNumber == 0 && !r.hasLoadedModels() {
		return
	}
	now := s.Clock()
	number := c.fencingNumber
	if number == 0 || w.needsNewNumber || c.hasOverdueOrder(w.state, now) {
		number = w.state.TakeOver(s.Self)
		w.takeOverNumber, w.changed = number, true
	}
	for id, load := range r {
		if w.state.Resolve(id, load) {
			w.changed = true
		}
	}
	c.orderAnnouncedUnloads(w, number, now, r)
	c.planner.RecordLoad(w.state.LastLoad)
	for _, m := range c.planner.Plan(now, c.models(r), c.upstreams(w.state, now, r)) {
		if m.Order.Kind == engine.OrderUnloadModel {
			w.changed = w.state.AnnounceUnload(number, m.Upstream, m.Order, now) == nil || w.changed
			continue
		}
		c.recordOrder(w, number, now, r, m)
	}
}

// recordOrder records an order in the state. It skips an order that may not be
// given yet; the next plan, based on newer reports, decides on it again.
func (c *serviceController) recordOrder(w *stateWrite, number uint64, now time.Time, r reports, m placement.Move) {
	up := c.upstream(m.Upstream)
	basis := orders.Basis{Load: r[m.Upstream], ChecksFencing: up.ChecksFencing, Now: now}
	record, err := w.state.RecordOrder(number, m.Upstream, m.Order, basis)
	if err != nil {
		return
	}
	w.orders = append(w.orders, pendingOrder{upstream: up, record: record, reason: m.Reason})
	w.changed = true
}

// orderAnnouncedUnloads orders the unloads that were announced for UnloadDelay,
// and drops those that would leave too few engines with the model.
func (c *serviceController) orderAnnouncedUnloads(w *stateWrite, number uint64, now time.Time, r reports) {
	for _, up := range c.service.Upstreams {
		a, ok := w.state.AnnouncedUnload(up.ID)
		if !ok || now.Sub(a.Since) < c.issuer.settings.UnloadDelay {
			continue
		}
		if c.keepsFloor(w.state, now, r, a.Order) {
			c.recordOrder(w, number, now, r, placement.Move{Upstream: up.ID, Order: a.Order, Reason: placement.ReasonAnnounced})
		}
		w.state.RemoveAnnouncement(up.ID)
		w.changed = true
	}
}

// keepsFloor reports whether, after an announced unload, enough engines have each
// affected model loaded: its configured replicas, and at least one.
func (c *serviceController) keepsFloor(s *orders.State, now time.Time, r reports, o engine.Order) bool {
	upstreams := c.upstreams(s, now, r)
	for _, m := range c.service.Models {
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

// readReports reads the load reports of all upstreams concurrently.
func (c *serviceController) readReports(ctx context.Context) reports {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentReports)
	r := make(reports, len(c.service.Upstreams))
	for _, up := range c.service.Upstreams {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			load, err := c.issuer.settings.Engines.Load(ctx, up)
			if err != nil {
				return nil // an unreachable upstream gets no orders
			}
			load.LoadedModels = c.withVersions(load.LoadedModels)
			mu.Lock()
			defer mu.Unlock()
			r[up.ID] = load
			return nil
		})
	}
	_ = g.Wait() // the goroutines return no errors
	return r
}

// withVersions returns the loaded models, with the configured version filled in
// for models that an engine reports without one, so that they are not loaded
// again.
func (c *serviceController) withVersions(loaded []engine.LoadedModel) []engine.LoadedModel {
	models := slices.Clone(loaded)
	for i := range models {
		m := &models[i]
		for _, configured := range c.service.Models {
			if m.Version == "" && configured.ID == m.Model && configured.Adapter == m.Adapter {
				m.Version = configured.Version
			}
		}
	}
	return models
}

func (r reports) hasLoadedModels() bool {
	for _, load := range r {
		if len(load.LoadedModels) > 0 {
			return true
		}
	}
	return false
}

// hasOverdueOrder reports whether an order of this holder is overdue at an engine
// that checks fencing numbers, because the response was lost. An order under a new
// fencing number then supersedes it.
func (c *serviceController) hasOverdueOrder(s *orders.State, now time.Time) bool {
	for _, up := range c.service.Upstreams {
		for _, r := range s.Outstanding(up.ID) {
			if up.ChecksFencing && r.Order.FencingNumber == c.fencingNumber && overdue(r, now) {
				return true
			}
		}
	}
	return false
}

// overdue reports whether a report should have shown the effect of the order by
// now.
func overdue(r orders.Record, now time.Time) bool {
	return !r.Ended.IsZero() && now.Sub(r.Ended) > effectTimeout
}

func (c *serviceController) upstream(id ident.Upstream) configuration.Upstream {
	i := slices.IndexFunc(c.service.Upstreams, func(u configuration.Upstream) bool { return u.ID == id })
	return c.service.Upstreams[i]
}

// models returns the configured models with their current demand.
func (c *serviceController) models(r reports) []placement.Model {
	demand := make(map[ident.Model]float64)
	for _, load := range r {
		for _, m := range load.LoadedModels {
			demand[m.Model] += float64(load.QueuedTokens+load.RunningTokens) / float64(len(load.LoadedModels))
		}
	}
	models := make([]placement.Model, len(c.service.Models))
	for i, m := range c.service.Models {
		models[i] = placement.Model{
			LoadedModel: engine.LoadedModel{Model: m.ID, Version: m.Version, Adapter: m.Adapter},
			Floor:       m.Replicas,
			Demand:      demand[m.ID],
		}
	}
	return models
}

// upstreams returns the engines as planner input, from the state and the reports.
// An engine without a current report counts as leaving.
func (c *serviceController) upstreams(s *orders.State, now time.Time, r reports) []placement.Upstream {
	var leaving map[ident.Upstream]bool
	if f := c.issuer.settings.Leaving; f != nil {
		leaving = f(c.service.ID)
	}
	all := make([]placement.Upstream, len(c.service.Upstreams))
	for i, up := range c.service.Upstreams {
		load, answered := r[up.ID]
		known := answered && s.IsCurrent(up.ID, load)
		all[i] = placement.Upstream{
			ID:        up.ID,
			Domain:    up.FailureDomain,
			Leaving:   !known || load.Leaving || leaving[up.ID],
			Busy:      busy(s, up),
			Tainted:   c.hasUnreliableOrder(s, up.ID, now),
			Assured:   s.Assured(up.ID, load),
			Loading:   s.Loading(up.ID, load),
			Unloading: s.Unloading(up.ID, load),
		}
	}
	c.reportTainted(s)
	return all
}

// busy reports whether an engine may not get another order yet.
func busy(s *orders.State, up configuration.Upstream) bool {
	if _, announced := s.AnnouncedUnload(up.ID); announced {
		return true
	}
	return slices.ContainsFunc(s.Outstanding(up.ID), func(r orders.Record) bool {
		return !up.ChecksFencing || r.Order.FencingNumber == s.FencingNumber
	})
}

// hasUnreliableOrder reports whether an upstream has an outstanding order that
// cannot be relied on to take effect: it is from another holder or overdue.
func (c *serviceController) hasUnreliableOrder(s *orders.State, up ident.Upstream, now time.Time) bool {
	return slices.ContainsFunc(s.Outstanding(up), func(r orders.Record) bool {
		return r.Holder != c.issuer.settings.Self || overdue(r, now)
	})
}

// reportTainted logs each engine that has become tainted since the last call.
func (c *serviceController) reportTainted(s *orders.State) {
	tainted := make(map[ident.Upstream]bool)
	for _, up := range c.service.Upstreams {
		if !s.Tainted(up.ID) || up.ChecksFencing {
			continue
		}
		tainted[up.ID] = true
		if !c.tainted[up.ID] {
			event.UpstreamTainted.Warn(c.issuer.settings.Log, "service", c.service.ID, "upstream", up.ID,
				"order", s.Outstanding(up.ID)[0].Order)
		}
	}
	c.tainted = tainted
}
