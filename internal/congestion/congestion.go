// Package congestion detects that requests saturate the network link of a VM.
//
// A router whose link is saturated does not receive the responses of the key-value
// service and of other routers in time. It should direct callers to other routers
// before that happens. What the link receives are requests of callers and responses of
// upstreams. The router sends about as many bytes: the requests to upstreams and the responses
// to callers. The load addressed is a customer whose callers all use one VM with a small link.
//
// # Usage
//
//	m := congestion.New(congestion.Settings{BytesPerSecond: 1.25e6, Clock: time.Now})
//	server.Serve(m.Listener(l))
//	m.Add(n) // bytes received from an upstream
//	if m.Full(now) {
//		w.Header().Set("Connection", "close")
//	}
package congestion

import (
	"math"
	"net"
	"sync"
	"time"
)

const (
	// window is the time constant of the exponential moving average of the rate.
	window = time.Second
	// fullThreshold is the utilization of the link at which it becomes full, and
	// clearThreshold the one below which it is no longer full. The rest of the
	// link is left for the router's own calls, and for what callers send until they have moved.
	fullThreshold, clearThreshold = 0.7, 0.4
)

// Settings configures a Meter. All fields are required.
type Settings struct {
	// BytesPerSecond is the capacity of the link in each direction.
	BytesPerSecond float64
	Clock          func() time.Time
}

// Meter measures the rate at which data arrives from callers and upstreams. Its methods are
// safe for concurrent use.
type Meter struct {
	settings Settings

	mu      sync.Mutex
	rate    float64 // bytes per second at the time updated
	updated time.Time
	full    bool
}

// New returns a Meter with a rate of zero.
func New(s Settings) *Meter { return &Meter{settings: s} }

// Full reports whether requests saturate the link at the given time. Once it has returned
// true, it does so until the utilization falls below clearThreshold.
func (m *Meter) Full(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(now, 0)
	switch utilization := m.rate / m.settings.BytesPerSecond; {
	case utilization >= fullThreshold:
		m.full = true
	case utilization < clearThreshold:
		m.full = false
	}
	return m.full
}

// Add records n bytes that were received from a caller or an upstream.
func (m *Meter) Add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(m.settings.Clock(), n)
}

// Utilization returns the part of the link that is in use at the given time.
func (m *Meter) Utilization(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(now, 0)
	return m.rate / m.settings.BytesPerSecond
}

// record adds n bytes to the moving average. A time of less than window before the last one is that
// of a call that waited for another one: the average must not decay twice for the time between them.
// With more, the clock was set back. m.mu must be held.
func (m *Meter) record(now time.Time, n int) {
	elapsed := now.Sub(m.updated)
	if !m.updated.IsZero() && elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / window.Seconds())
	}
	if elapsed > 0 || elapsed < -window {
		m.updated = now
	}
	m.rate += float64(n) / window.Seconds()
}

// Listener returns a listener that measures the data read from the connections of l.
func (m *Meter) Listener(l net.Listener) net.Listener { return listener{l, m} }

// listener is a net.Listener whose connections are measured.
type listener struct {
	net.Listener
	meter *Meter
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.meter}, nil
}

// conn is a net.Conn whose reads are measured.
type conn struct {
	net.Conn
	meter *Meter
}

// NetConn returns the connection that is measured.
func (c conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.meter.Add(n)
	return n, err
}
