// Package route holds the parts of a configuration that control forwarding: the
// route of each request, which requests may be retried, and the keys of
// customers.
//
// A Table is immutable. The router replaces it as a whole when a newer revision
// arrives, so that each request is processed under a single revision.
//
// # Usage
//
//	r, ok := table.Match(host, path)
//	customer, ok := table.CustomerByKey(key)
//	service := r.SelectService(draw) // draw is uniform in [0, 1)
package route

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Table holds the routes, services and customers of one revision.
type Table struct {
	Revision  configuration.Revision
	Routes    []Route
	Services  map[ident.Service]Service
	Customers []Customer
	Limits    Limits

	byHost map[string][]*Route
	byKey  map[Key]*Customer
}

// Route describes how requests with a given host and path prefix are forwarded.
type Route struct {
	Name   string
	Host   string
	Prefix string // starts and ends with a slash
	// Stream reports whether responses are event streams.
	Stream bool
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Resumable reports whether a stream can be resumed after its last event.
	Resumable bool
	// MaxAttempts is the maximum number of upstreams that may run one request.
	MaxAttempts int
	// Timeout bounds a request. LatencyGoal is the response time that callers expect,
	// and MaxGap the longest time between two events that they expect.
	Timeout, LatencyGoal, MaxGap time.Duration
	Priority                     int // 0 is the most urgent
	// Public reports whether requests need no key.
	Public  bool
	Targets []Target
}

// Retryable reports whether a request may be sent again after it may have run:
// its route is idempotent, or its responses are resumable streams.
func (r *Route) Retryable() bool {
	return r.Idempotent || r.Stream && r.Resumable
}

// SelectService selects a target by weight and returns its service, or an empty one
// if the route has no targets. The result is distributed according to the weights if
// draw is uniform in [0, 1).
func (r *Route) SelectService(draw float64) ident.Service {
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	remaining := draw * sum
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Target is a service and its relative weight among the targets of a route.
type Target struct {
	Service ident.Service
	Weight  float64
}

// Service describes the upstreams of a service.
type Service struct {
	ID ident.Service
	// Engine reports whether the upstreams are model engines.
	Engine bool
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// MaxEventTokens is the maximum number of tokens in one event of a stream.
	MaxEventTokens tokens.Count
	// MaxConnections bounds the connections of all routers to one upstream.
	MaxConnections int
	// WarmUp is how long an upstream is cold after a start, and WarmUpPerSecond the number
	// of requests per second that it can handle meanwhile. If WarmUp is 0, upstreams have
	// no warm-up.
	WarmUp          time.Duration
	WarmUpPerSecond float64
}

// Customer is a customer and its API keys.
type Customer struct {
	ID   ident.Customer
	Keys []Key
	// HasPriority reports whether Priority overrides the priority of the route.
	HasPriority bool
	Priority    int
	// Weight is the share of the customer in what its router admits, relative to that of the
	// other customers. Values below 1 count as 1.
	Weight int
	// Metered reports whether the customer pays in advance. Prepaid is the
	// total of tokens paid for.
	Metered bool
	Prepaid tokens.Count
}

// Key is an API key. Formatting or encoding it gives its hash; string(k) is its value.
type Key string

// String returns the SHA-256 of the key in hexadecimal.
func (k Key) String() string {
	sum := sha256.Sum256([]byte(k))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// GoString returns the same as String.
func (k Key) GoString() string { return k.String() }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Limits bounds what callers may send. Zero values mean no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// BuildIndex builds the lookup maps of the table. It must be called once, before the
// table is shared between goroutines.
func (t *Table) BuildIndex() {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	t.byKey = make(map[Key]*Customer)
	for i := range t.Customers {
		for _, key := range t.Customers[i].Keys {
			t.byKey[key] = &t.Customers[i]
		}
	}
}

// Match returns the route of the host with the longest prefix of path. It returns
// false if there is none.
func (t *Table) Match(host, path string) (best *Route, ok bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// CustomerByKey returns the customer with the given API key.
func (t *Table) CustomerByKey(key string) (*Customer, bool) {
	c, ok := t.byKey[Key(key)]
	return c, ok
}
