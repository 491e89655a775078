package configuration

import (
	"cmp"
	"slices"

	"example.org/lagoonfork/pkg/ident"
)

// Index provides lookups in one configuration. It is immutable and safe for
// concurrent use. Customers, budgets and services are found by binary search
// in the configuration, whose lists are sorted by identifier.
type Index struct {
	configuration *Configuration
	keys          map[string]position
	models        map[ident.Model]position
	upstreams     map[ident.Upstream]position
}

// position locates an element of a nested list: outer is the index of the customer
// or service, inner the index in its list.
type position struct {
	outer, inner int32
}

// NewIndex returns an index of c, which must not change afterwards.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		configuration: c,
		keys:          make(map[string]position),
		models:        make(map[ident.Model]position),
		upstreams:     make(map[ident.Upstream]position),
	}
	for i, customer := range c.Customers {
		for j, app := range customer.Applications {
			x.keys[app.KeyHash] = newPosition(i, j)
		}
	}
	for i, service := range c.Services {
		for j, model := range service.Models {
			x.models[model.ID] = newPosition(i, j)
		}
		for j, upstream := range service.Upstreams {
			x.upstreams[upstream.ID] = newPosition(i, j)
		}
	}
	return x
}

func newPosition(outer, inner int) position {
	return position{outer: int32(outer), inner: int32(inner)}
}

// Configuration returns the indexed configuration.
func (x *Index) Configuration() *Configuration {
	return x.configuration
}

// ApplicationByKey returns the application whose key has the given SHA-256, in
// hexadecimal, and its customer.
func (x *Index) ApplicationByKey(hash string) (app *Application, customer *Customer, ok bool) {
	p, ok := x.keys[hash]
	if !ok {
		return nil, nil, false
	}
	customer = &x.configuration.Customers[p.outer]
	return &customer.Applications[p.inner], customer, true
}

// Customer returns a customer by identifier.
func (x *Index) Customer(id ident.Customer) (*Customer, bool) {
	return find(x.configuration.Customers, id, func(c Customer) ident.Customer { return c.ID })
}

// Budget returns a budget by identifier.
func (x *Index) Budget(id ident.Budget) (*Budget, bool) {
	return find(x.configuration.Budgets, id, func(b Budget) ident.Budget { return b.ID })
}

// Service returns a service by identifier.
func (x *Index) Service(id ident.Service) (*Service, bool) {
	return find(x.configuration.Services, id, func(s Service) ident.Service { return s.ID })
}

// Model returns a model by identifier, and the service that offers it.
func (x *Index) Model(id ident.Model) (model *Model, service *Service, ok bool) {
	p, ok := x.models[id]
	if !ok {
		return nil, nil, false
	}
	service = &x.configuration.Services[p.outer]
	return &service.Models[p.inner], service, true
}

// Upstream returns an upstream by identifier, and its service.
func (x *Index) Upstream(id ident.Upstream) (upstream *Upstream, service *Service, ok bool) {
	p, ok := x.upstreams[id]
	if !ok {
		return nil, nil, false
	}
	service = &x.configuration.Services[p.outer]
	return &service.Upstreams[p.inner], service, true
}

func find[T any, K ~string](list []T, id K, key func(T) K) (*T, bool) {
	i, ok := slices.BinarySearchFunc(list, id, func(element T, id K) int { return cmp.Compare(key(element), id) })
	if !ok {
		return nil, false
	}
	return &list[i], true
}
