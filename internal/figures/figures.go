// Package figures collects the request metrics of an edge router and exposes
// them through expvar.
//
// The sets of names are bounded: the number of outcomes is small, and routes
// beyond the first maxRoutes are counted together.
//
// # Usage
//
//	m := figures.New()
//	m.RecordRequest("summary", "delivered", 240*time.Millisecond, 90*time.Millisecond)
//	m.Gauge("upstreams", func() any { return roster.Len() })
//	http.Handle("/metrics", m)
package figures

import (
	"expvar"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRoutes is the number of routes that are counted separately.
	maxRoutes = 64
	// otherRoutes is the name under which all further routes are counted.
	otherRoutes = "other"
	// maxDuration is the longest duration that a histogram records; longer ones
	// are recorded as maxDuration. significantDigits is the precision of a
	// histogram in decimal digits.
	maxDuration       = 10 * time.Minute
	significantDigits = 2
)

// Metrics holds the metrics of one router. Its methods are safe for concurrent use.
type Metrics struct {
	vars     expvar.Map
	outcomes expvar.Map

	mu     sync.Mutex
	routes map[string]*routeHistograms
	// waits holds the times that requests waited, by the name of the service.
	waits map[string]*hdrhistogram.Histogram
	// earlier and later hold by how much first events came before or after their predictions,
	// in microseconds.
	earlier, later *hdrhistogram.Histogram
}

// routeHistograms holds the total times and the times to the first event of the
// requests of one route, in microseconds.
type routeHistograms struct {
	total, firstEvent *hdrhistogram.Histogram
}

// New returns metrics with all counters at zero.
func New() *Metrics {
	m := &Metrics{routes: make(map[string]*routeHistograms), waits: make(map[string]*hdrhistogram.Histogram), earlier: newHistogram(), later: newHistogram()}
	m.vars.Set("requestsByOutcome", &m.outcomes)
	m.Gauge("routes", m.routeQuantiles)
	m.Gauge("predictions", m.predictionQuantiles)
	m.Gauge("queueWaits", m.waitQuantiles)
	return m
}

// RecordRequest records a completed request: its outcome, its duration and the time to
// the first event of its stream, which is 0 if there was none.
func (m *Metrics) RecordRequest(routeName, outcome string, duration, firstEvent time.Duration) {
	m.outcomes.Add(outcome, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.histogramsFor(routeName)
	record(r.total, duration)
	if firstEvent > 0 {
		record(r.firstEvent, firstEvent)
	}
}

// histogramsFor returns the histograms of a route and creates them if needed. The
// caller holds f.mu.
func (m *Metrics) histogramsFor(name string) *routeHistograms {
	if m.routes[name] == nil && len(m.routes) >= maxRoutes {
		name = otherRoutes
	}
	r := m.routes[name]
	if r == nil {
		r = &routeHistograms{
			total:      newHistogram(),
			firstEvent: newHistogram(),
		}
		m.routes[name] = r
	}
	return r
}

// newHistogram returns an empty histogram of durations in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
}

// RecordPrediction records a predicted time to a first event and the time that it took.
func (m *Metrics) RecordPrediction(predicted, seen time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if seen < predicted {
		record(m.earlier, predicted-seen)
	} else {
		record(m.later, seen-predicted)
	}
}

// RecordWait records the time that a request waited before the upstreams of a service. Services
// beyond the first maxRoutes are counted together.
func (m *Metrics) RecordWait(service string, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waits[service] == nil && len(m.waits) >= maxRoutes {
		service = otherRoutes
	}
	if m.waits[service] == nil {
		m.waits[service] = newHistogram()
	}
	record(m.waits[service], wait)
}

// waitQuantiles returns the quantiles of the waits for each service.
func (m *Metrics) waitQuantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]quantiles, len(m.waits))
	for service, h := range m.waits {
		out[service] = quantilesOf(h)
	}
	return out
}

// predictionQuantiles returns the quantiles of the errors of predictions.
func (m *Metrics) predictionQuantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]quantiles{"earlier": quantilesOf(m.earlier), "later": quantilesOf(m.later)}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxDuration.Microseconds())) // cannot fail: the value is clamped to the range of the histogram
}

// Count increments the named counter.
func (m *Metrics) Count(name string) { m.vars.Add(name, 1) }

// Gauge registers a metric whose value is computed by calling value on each read.
func (m *Metrics) Gauge(name string, value func() any) { m.vars.Set(name, expvar.Func(value)) }

// Add registers a variable that its owner updates.
func (m *Metrics) Add(name string, v expvar.Var) { m.vars.Set(name, v) }

// Outcomes returns the number of requests for each outcome, as JSON.
func (m *Metrics) Outcomes() string { return m.outcomes.String() }

// Map returns the map of all metrics.
func (m *Metrics) Map() *expvar.Map { return &m.vars }

// ServeHTTP writes all metrics as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, m.vars.String()) // after a write error the client sees truncated JSON
}

// routeQuantiles returns the duration quantiles of each route.
func (m *Metrics) routeQuantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]map[string]quantiles, len(m.routes))
	for name, r := range m.routes {
		out[name] = map[string]quantiles{"total": quantilesOf(r.total), "firstEvent": quantilesOf(r.firstEvent)}
	}
	return out
}

// quantiles summarizes a histogram.
type quantiles struct {
	Count     int64   `json:"count"`
	P50Millis float64 `json:"p50Millis"`
	P95Millis float64 `json:"p95Millis"`
	P99Millis float64 `json:"p99Millis"`
	MaxMillis float64 `json:"maxMillis"`
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return quantiles{Count: h.TotalCount(), P50Millis: at(50), P95Millis: at(95), P99Millis: at(99), MaxMillis: float64(h.Max()) / 1000}
}
