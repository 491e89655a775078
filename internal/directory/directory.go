// Package directory holds the state of each service at a router: its configuration,
// the routing table of its upstreams, and the gate that limits admission to them.
//
// # Usage
//
//	d := directory.New(location, liveRouters)
//	d.Configure(now, configuration)
//	s, ok := d.Service("drafting-models")
package directory

import (
	"slices"
	"sync"
	"time"

	"example.org/lagoonfork/internal/admission"
	"example.org/lagoonfork/internal/retry"
	"example.org/lagoonfork/internal/routing"
	"example.org/lagoonfork/internal/shard"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// slotTokens is the gate capacity that each upstream slot contributes.
	slotTokens tokens.Count = 4096
	// overcommit is the factor by which the gates of all routers together may
	// exceed the upstreams' slots, because callers are not evenly distributed
	// over the routers.
	overcommit = 2
)

// Directory looks up services by identifier. Its methods are safe for concurrent use.
type Directory struct {
	location    routing.Location
	liveRouters func() int

	mu       sync.RWMutex
	services map[ident.Service]*Service
}

// Service is the state of one service at the router.
type Service struct {
	Configuration configuration.Service
	Table         *routing.Table
	Gate          *admission.Gate
	retryBudgets  *shard.Map[ident.Customer, *retry.Budget]
}

// New returns an empty directory for a router at location. liveRouters
// returns the number of live routers, which share the upstreams.
func New(location routing.Location, liveRouters func() int) *Directory {
	return &Directory{location: location, liveRouters: liveRouters, services: make(map[ident.Service]*Service)}
}

// Configure replaces the services by those of a configuration. Services that
// exist in both, and their upstreams with unchanged addresses, keep their state.
func (d *Directory) Configure(now time.Time, c *configuration.Configuration) {
	d.mu.Lock()
	services := make(map[ident.Service]*Service, len(c.Services))
	for _, s := range c.Services {
		services[s.ID] = d.reuseOrCreate(s)
	}
	d.services = services
	d.mu.Unlock()
	d.Resize(now)
}

// reuseOrCreate returns a service with the configuration c. It reuses the state of
// the current service with the same identifier, if any. The caller holds d.mu.
func (d *Directory) reuseOrCreate(c configuration.Service) *Service {
	previous := d.services[c.ID]
	if previous == nil {
		return &Service{
			Configuration: c,
			Table:         routing.NewTable(c, d.location),
			Gate:          admission.New(slotTokens),
			retryBudgets:  shard.NewMap[ident.Customer, *retry.Budget](),
		}
	}
	previous.Table.Configure(c)
	return &Service{Configuration: c, Table: previous.Table, Gate: previous.Gate, retryBudgets: previous.retryBudgets}
}

// Resize adjusts the gates to the available upstreams and the number of live
// routers.
func (d *Directory) Resize(now time.Time) {
	routers := max(d.liveRouters(), 1)
	for _, s := range d.All() {
		s.Table.SetRouterCount(routers)
		slots := max(s.Table.Slots(now)*overcommit/routers, 1)
		s.Gate.Resize(tokens.Count(slots) * slotTokens)
	}
}

// Service returns the service with the given identifier.
func (d *Directory) Service(id ident.Service) (s *Service, ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, ok = d.services[id]
	return s, ok
}

// All returns all services in order of their identifiers.
func (d *Directory) All() []*Service {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]*Service, 0, len(d.services))
	for _, s := range d.services {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Service) int {
		if a.Configuration.ID < b.Configuration.ID {
			return -1
		}
		return 1
	})
	return all
}

// RetryBudget returns the retry budget of a customer for the service. It creates
// the budget on first use.
func (s *Service) RetryBudget(c ident.Customer) (b *retry.Budget) {
	s.retryBudgets.Do(c, func(entries map[ident.Customer]*retry.Budget) {
		b = entries[c]
		if b == nil {
			b = new(retry.Budget)
			entries[c] = b
		}
	})
	return b
}
