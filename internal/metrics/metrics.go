// Package metrics collects the counters and gauges of a router and exposes them
// through expvar.
//
// The metrics of each router are in an expvar.Map of its own, so that several
// routers can run in one process. The program publishes the map of its router
// under the name Name; the endpoint for peers serves it too.
//
// # Usage
//
//	m := metrics.New()
//	m.Served(end.Cost)
//	m.Gauge("livePeers", func() any { return peers() })
//	expvar.Publish(metrics.Name, m.Map())
package metrics

import (
	"expvar"

	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/pkg/tokens"
)

// Name is the expvar name under which the program publishes the metrics.
const Name = "lagoonfork"

// Names of the counters.
const (
	served           = "requestsServed"
	billed           = "tokensBilled"
	refused          = "requestsRefused"
	refusedByCode    = "refusedByCode"
	attempts         = "attempts"
	retries          = "retries"
	crashes          = "upstreamCrashes"
	billsHeldByPeers = "billsHeldByPeers"
	billsRejected    = "billsRejected"
	takeOvers        = "requestsTakenOver"
)

// Metrics holds the metrics of one router. Its methods are safe for concurrent
// use.
type Metrics struct {
	vars         expvar.Map
	refusalCodes expvar.Map
}

// New returns metrics with all counters at zero.
func New() *Metrics {
	m := new(Metrics)
	for _, name := range []string{served, billed, refused, attempts, retries, crashes, billsHeldByPeers, billsRejected, takeOvers} {
		m.vars.Add(name, 0)
	}
	m.vars.Set(refusedByCode, &m.refusalCodes)
	return m
}

// Served counts a complete answer and adds its cost to the billed tokens.
func (m *Metrics) Served(cost tokens.Count) {
	m.vars.Add(served, 1)
	m.vars.Add(billed, int64(cost))
}

// Refused counts a refused request, in total and by refusal code.
func (m *Metrics) Refused(code refusal.Code) {
	m.vars.Add(refused, 1)
	m.refusalCodes.Add(string(code), 1)
}

// Attempt counts a dispatch to an upstream. isRetry reports whether it repeats an
// earlier one.
func (m *Metrics) Attempt(isRetry bool) {
	m.vars.Add(attempts, 1)
	if isRetry {
		m.vars.Add(retries, 1)
	}
}

// Crash counts an attempt that ended because its upstream crashed.
func (m *Metrics) Crash() { m.vars.Add(crashes, 1) }

// BillHeld counts an answer that was delivered while its bill was held by other
// routers and was not yet in the ledger.
func (m *Metrics) BillHeld() { m.vars.Add(billsHeldByPeers, 1) }

// BillRejected counts a run that the ledger did not bill.
func (m *Metrics) BillRejected() { m.vars.Add(billsRejected, 1) }

// TakeOver counts a request taken over from another router.
func (m *Metrics) TakeOver() { m.vars.Add(takeOvers, 1) }

// Gauge registers a metric whose value is computed by calling value on each read.
func (m *Metrics) Gauge(name string, value func() any) {
	m.vars.Set(name, expvar.Func(value))
}

// Add registers a variable that its owner updates.
func (m *Metrics) Add(name string, v expvar.Var) {
	m.vars.Set(name, v)
}

// Map returns the map of all metrics.
func (m *Metrics) Map() *expvar.Map { return &m.vars }
