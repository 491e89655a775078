// Package metrics counts what a router does, for operators to watch by expvar.
//
// The figures of one router are one expvar.Map, so that several routers can
// run in one process. The program publishes the map of its router under the
// name Name; the endpoint for peers serves it too.
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

// Name is the name under which the figures are published.
const Name = "lagoonfork"

// Names of the counters.
const (
	served        = "requestsServed"
	billed        = "tokensBilled"
	refused       = "requestsRefused"
	refusedBy     = "refusedByCode"
	attempts      = "attempts"
	retries       = "retries"
	crashes       = "upstreamCrashes"
	billsHeld     = "billsHeldByPeers"
	billsRejected = "billsRejected"
	takeOvers     = "requestsTakenOver"
)

// Metrics is the figures of one router. Its methods are safe for concurrent
// use.
type Metrics struct {
	figures expvar.Map
	codes   expvar.Map
}

// New returns figures of zero.
func New() *Metrics {
	m := new(Metrics)
	for _, name := range []string{served, billed, refused, attempts, retries, crashes, billsHeld, billsRejected, takeOvers} {
		m.figures.Add(name, 0)
	}
	m.figures.Set(refusedBy, &m.codes)
	return m
}

// Served counts a whole answer and what it was billed.
func (m *Metrics) Served(cost tokens.Count) {
	m.figures.Add(served, 1)
	m.figures.Add(billed, int64(cost))
}

// Refused counts a refusal.
func (m *Metrics) Refused(code refusal.Code) {
	m.figures.Add(refused, 1)
	m.codes.Add(string(code), 1)
}

// Attempt counts a dispatch to an upstream; again tells that it repeats one.
func (m *Metrics) Attempt(again bool) {
	m.figures.Add(attempts, 1)
	if again {
		m.figures.Add(retries, 1)
	}
}

// Crash counts a crash of an upstream that ended an attempt.
func (m *Metrics) Crash() { m.figures.Add(crashes, 1) }

// BillHeld counts an answer delivered on the word of other routers.
func (m *Metrics) BillHeld() { m.figures.Add(billsHeld, 1) }

// BillRejected counts a run that the ledger did not bill.
func (m *Metrics) BillRejected() { m.figures.Add(billsRejected, 1) }

// TakeOver counts a request taken over from another router.
func (m *Metrics) TakeOver() { m.figures.Add(takeOvers, 1) }

// Gauge adds a figure that is asked for when the figures are read.
func (m *Metrics) Gauge(name string, value func() any) {
	m.figures.Set(name, expvar.Func(value))
}

// Add adds a figure that keeps itself.
func (m *Metrics) Add(name string, v expvar.Var) {
	m.figures.Set(name, v)
}

// Map returns the figures.
func (m *Metrics) Map() *expvar.Map { return &m.figures }
