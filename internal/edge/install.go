package edge

import (
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/exchange"
	"example.org/lagoonfork/internal/forward"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// watchMirrors applies each change of the configuration and upstream mirrors.
func (r *Router) watchMirrors() error {
	configuration, upstreams := r.configurations.Changed(), r.upstreams.Changed()
	r.installUpstreams()
	r.installOperatorState()
	for {
		select {
		case <-configuration:
			configuration = r.configurations.Changed()
			r.installOperatorState()
		case <-upstreams:
			upstreams = r.upstreams.Changed()
			r.installUpstreams()
			r.queue.Maintain(r.settings.Clock())
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// installUpstreams applies the upstreams that the mirror holds.
func (r *Router) installUpstreams() {
	upstreams, unreadable := r.settings.Translator.Upstreams(r.upstreams.Entries())
	for key, err := range unreadable {
		event.UpstreamUnreadable.Debug(r.settings.Log, "key", key, "error", err)
	}
	changedAt := make(map[ident.Upstream]time.Time)
	for key, at := range r.upstreams.Changes() {
		e, _ := r.upstreams.Get(key)
		changed, _ := r.settings.Translator.Upstreams([]store.Entry{e})
		for _, u := range changed {
			changedAt[u.ID] = at
		}
	}
	for i := range upstreams {
		upstreams[i].ChangedAt = changedAt[upstreams[i].ID]
	}
	r.roster.Replace(r.settings.Clock(), upstreams)
	processes := make([]exchange.Process, len(upstreams))
	for i, u := range upstreams {
		processes[i] = forward.Process(u)
	}
	r.pool.Retain(processes)
}

// installOperatorState applies what the operator has written. The closed failure domains come
// first: they must be known when the first configuration makes the router ready, and must not
// depend on a configuration that can be read.
func (r *Router) installOperatorState() {
	entries := r.configurations.Entries()
	r.installClosures(entries)
	r.installRoutes(entries)
}

// installClosures applies the closed failure domains.
func (r *Router) installClosures(entries []store.Entry) {
	t := r.settings.Translator
	reopened := make(map[ident.FailureDomain]time.Time)
	for key, at := range r.configurations.Deletions() {
		for _, domain := range t.ClosedDomains([]store.Entry{{Key: key}}) {
			reopened[domain] = at
		}
	}
	r.roster.SetClosed(r.settings.Clock(), t.ClosedDomains(entries), reopened)
}

// installRoutes applies the configuration. It ignores one whose revision is not above the
// installed one.
func (r *Router) installRoutes(entries []store.Entry) {
	start := r.settings.Clock()
	table, err := r.settings.Translator.Table(entries)
	if err != nil {
		event.RoutesUnreadable.Error(r.settings.Log, "error", err)
		return
	}
	before := r.table.Load()
	if table == nil || before != nil && table.Revision <= before.Revision {
		return
	}
	table.BuildIndex()
	r.roster.SetServices(start, table.Services)
	r.table.Store(table)
	event.RoutesInstalled.Info(r.settings.Log, "revision", table.Revision, "routes", len(table.Routes),
		"services", len(table.Services), "customers", len(table.Customers),
		"bytes", totalSize(entries), "took", r.settings.Clock().Sub(start))
	if before == nil {
		event.EdgeReady.Info(r.settings.Log, "revision", table.Revision)
	}
}

// totalSize returns the number of bytes of the values of entries.
func totalSize(entries []store.Entry) (n int) {
	for _, e := range entries {
		n += len(e.Value)
	}
	return n
}
