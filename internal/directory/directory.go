// Package directory holds what a router knows of each service: its
// configuration, the table of its upstreams and the gate before them.
//
// # Usage
//
//	d := directory.New(place, liveRouters)
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
	// slotTokens is the capacity that one slot of an upstream adds to the gate.
	slotTokens tokens.Count = 4096
	// overcommit is how far the routers together may exceed the upstreams'
	// slots, since callers are not spread evenly over routers.
	overcommit = 2
)

// Directory finds services. Its methods are safe for concurrent use.
type Directory struct {
	place routing.Place
	live  func() int

	mu       sync.RWMutex
	services map[ident.Service]*Service
}

// Service is one service as the router sees it.
type Service struct {
	Configuration configuration.Service
	Table         *routing.Table
	Gate          *admission.Gate
	budgets       *shard.Map[ident.Customer, *retry.Budget]
}

// New returns an empty directory for a router at place. live returns the number
// of live routers, which share the upstreams.
func New(place routing.Place, live func() int) *Directory {
	return &Directory{place: place, live: live, services: make(map[ident.Service]*Service)}
}

// Configure takes over the services of a configuration. What is known of
// services and upstreams that stay is kept.
func (d *Directory) Configure(now time.Time, c *configuration.Configuration) {
	d.mu.Lock()
	services := make(map[ident.Service]*Service, len(c.Services))
	for _, s := range c.Services {
		services[s.ID] = d.keepOrAdd(s)
	}
	d.services = services
	d.mu.Unlock()
	d.Resize(now)
}

func (d *Directory) keepOrAdd(c configuration.Service) *Service {
	old := d.services[c.ID]
	if old == nil {
		return &Service{
			Configuration: c,
			Table:         routing.NewTable(c, d.place),
			Gate:          admission.New(slotTokens),
			budgets:       shard.NewMap[ident.Customer, *retry.Budget](),
		}
	}
	old.Table.Configure(c)
	return &Service{Configuration: c, Table: old.Table, Gate: old.Gate, budgets: old.budgets}
}

// Resize fits the gates to the upstreams that are available and the routers
// that are live.
func (d *Directory) Resize(now time.Time) {
	routers := max(d.live(), 1)
	for _, s := range d.All() {
		s.Table.Share(routers)
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

// RetryBudget returns the retry budget of a customer at the service.
func (s *Service) RetryBudget(c ident.Customer) (b *retry.Budget) {
	s.budgets.Do(c, func(entries map[ident.Customer]*retry.Budget) {
		b = entries[c]
		if b == nil {
			b = new(retry.Budget)
			entries[c] = b
		}
	})
	return b
}
