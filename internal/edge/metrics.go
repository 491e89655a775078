package edge

import (
	"expvar"
	"time"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/pkg/tokens"
)

// registerMetrics registers the metrics that are computed when they are read.
func (r *Router) registerMetrics() {
	r.metrics.Add("ledger", r.ledger.Counters())
	if r.settings.StoreCalls == nil {
		r.settings.StoreCalls = new(expvar.Map)
	}
	r.metrics.Add("storeCalls", r.settings.StoreCalls)
	r.metrics.Add("loadExchange", r.loadExchange.Counters())
	r.metrics.Gauge("routers", func() any { return r.RouterCount() })
	r.metrics.Gauge("upstreams", func() any { return r.roster.Len() })
	r.metrics.Gauge("inFlight", func() any { return r.intake.InFlight() })
	r.metrics.Gauge("queues", func() any { return r.queue.State() })
	r.metrics.Gauge("responses", func() any { return r.intake.Responses() })
	r.metrics.Gauge("suspects", func() any { return r.quarantine.Len() })
	r.metrics.Gauge("shares", func() any { return r.wallet.Snapshot() })
	r.metrics.Gauge("revision", func() any {
		if t := r.table.Load(); t != nil {
			return t.Revision
		}
		return 0
	})
	for name, l := range r.limits {
		r.metrics.Gauge(name+"Limits", func() any { return l.State() })
	}
	for name, m := range r.mirrors() {
		r.metrics.Gauge(name+"AgeMillis", func() any {
			age, _ := m.Age(r.settings.Clock())
			return age.Milliseconds()
		})
		r.metrics.Gauge(name+"CopyAgeMillis", func() any { return m.CopyAge(r.settings.Clock()).Milliseconds() })
		r.metrics.Add(name+"Reads", m.ReadMetrics())
	}
}

// logMetricsPeriodically logs the router's costs and balances, since its metrics
// endpoint is gone once the VM is lost.
func (r *Router) logMetricsPeriodically() error {
	ticker := time.NewTicker(metricsLogInterval)
	defer ticker.Stop()
	logged := make(map[string]callerlimit.Counts)
	for {
		select {
		case <-ticker.C:
			r.logMetrics()
			r.logLimits(logged)
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// logLimits logs what the limits of each endpoint have refused or closed, if that has changed
// since it was logged.
func (r *Router) logLimits(logged map[string]callerlimit.Counts) {
	for name, l := range r.limits {
		s := l.State()
		if s.Counts == logged[name] {
			continue
		}
		logged[name] = s.Counts
		event.CallersLimited.Warn(r.settings.Log, "endpoint", name, "connectionsRefused", s.ConnectionsRefused, "waitingClosed", s.WaitingClosed,
			"headsClosed", s.HeadsClosed, "uploadsClosed", s.UploadsClosed, "memoryRefused", s.MemoryRefused,
			"connections", s.Connections, "memory", s.Memory)
	}
}

func (r *Router) logMetrics() {
	var free, reserved, borrowed tokens.Count
	shares := r.wallet.Snapshot()
	for _, s := range shares {
		free += s.Free
		reserved += s.Reserved
		borrowed += s.Borrowed
	}
	event.EdgeStatistics.Info(r.settings.Log, "storeCalls", r.settings.StoreCalls.String(), "outcomes", r.metrics.Outcomes(),
		"budgets", len(shares), "free", free, "reserved", reserved, "borrowed", borrowed)
}
