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
}

// routeHistograms holds the total times and the times to the first event of the
// requests of one route, in microseconds.
type routeHistograms struct {
	total, firstEvent *hdrhistogram.Histogram
}

// New returns metrics with all counters at zero.
func New() *Metrics {
	f := &Metrics{routes: make(map[string]*routeHistograms)}
	f.vars.Set("requestsByOutcome", &f.outcomes)
	f.Gauge("routes", f.routeQuantiles)
	return f
}

// RecordRequest records a completed request: its outcome, its duration and the time to
// the first event of its stream, which is 0 if there was none.
func (f *Metrics) RecordRequest(routeName, outcome string, duration, firstEvent time.Duration) {
	f.outcomes.Add(outcome, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.histogramsFor(routeName)
	record(r.total, duration)
	if firstEvent > 0 {
		record(r.firstEvent, firstEvent)
	}
}

// histogramsFor returns the histograms of a route and creates them if needed. The
// caller holds f.mu.
func (f *Metrics) histogramsFor(name string) *routeHistograms {
	if f.routes[name] == nil && len(f.routes) >= maxRoutes {
		name = otherRoutes
	}
	r := f.routes[name]
	if r == nil {
		r = &routeHistograms{
			total:      hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits),
			firstEvent: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits),
		}
		f.routes[name] = r
	}
	return r
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxDuration.Microseconds())) // cannot fail: the value is clamped to the range of the histogram
}

// Count increments the named counter.
func (f *Metrics) Count(name string) { f.vars.Add(name, 1) }

// Gauge registers a metric whose value is computed by calling value on each read.
func (f *Metrics) Gauge(name string, value func() any) { f.vars.Set(name, expvar.Func(value)) }

// Add registers a variable that its owner updates.
func (f *Metrics) Add(name string, v expvar.Var) { f.vars.Set(name, v) }

// Outcomes returns the number of requests for each outcome, as JSON.
func (f *Metrics) Outcomes() string { return f.outcomes.String() }

// Map returns the map of all metrics.
func (f *Metrics) Map() *expvar.Map { return &f.vars }

// ServeHTTP writes all metrics as JSON.
func (f *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, f.vars.String()) // after a write error the client sees truncated JSON
}

// routeQuantiles returns the duration quantiles of each route.
func (f *Metrics) routeQuantiles() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]map[string]quantiles, len(f.routes))
	for name, r := range f.routes {
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
