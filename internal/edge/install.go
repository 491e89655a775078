package edge

import (
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/pkg/store"
)

// watchMirrors applies each change of the configuration and upstream mirrors.
func (r *Router) watchMirrors() error {
	configuration, upstreams := r.configurations.Changed(), r.upstreams.Changed()
	r.installUpstreams()
	r.installRoutes()
	for {
		select {
		case <-configuration:
			configuration = r.configurations.Changed()
			r.installRoutes()
		case <-upstreams:
			upstreams = r.upstreams.Changed()
			r.installUpstreams()
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
	r.roster.Replace(upstreams)
}

// installRoutes applies the configuration that the mirror holds. It ignores one whose
// revision is not above the installed one.
func (r *Router) installRoutes() {
	start := r.settings.Clock()
	entries := r.configurations.Entries()
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
