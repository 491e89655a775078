// Package generator generates the configuration of the routers from the
// operators' answers.
//
// # Usage
//
//	c, err := generator.Generate(a, previous.Revision+1, previous)
package generator

import (
	"cmp"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// Generate returns the configuration for a at revision. It is deterministic.
// previous is the configuration in force, or nil; a budget whose Prepaid is the
// same in previous keeps its Funded. The error wraps answers.Problems if a is
// invalid.
func Generate(
	a answers.Answers, revision configuration.Revision, previous *configuration.Configuration,
) (c configuration.Configuration, err error) {
	defer func() { err = merry.Prependf(err, "generating configuration %d", revision) }()
	if err := answers.Check(a, nil); err != nil {
		return configuration.Configuration{}, err
	}
	digest, err := answers.Digest(a)
	if err != nil {
		return configuration.Configuration{}, err
	}
	return configuration.Configuration{
		Revision:      revision,
		AnswersDigest: digest,
		Policy:        policy(a.Policy),
		Customers:     customers(a),
		Budgets:       budgets(a, revision, previous),
		Services:      services(a),
	}, nil
}

// policy sets the lifetime of shares from the preference if the answers do not
// state one.
func policy(p answers.Policy) configuration.Policy {
	c := configuration.Policy(p)
	c.ShareLifetimeSeconds = p.EffectiveLifetimeSeconds()
	return c
}

func customers(a answers.Answers) []configuration.Customer {
	list := make([]configuration.Customer, 0, len(a.Customers))
	for _, c := range a.Customers {
		list = append(list, configuration.Customer{
			ID:           c.ID,
			Name:         c.Name,
			Weight:       c.Weight,
			Applications: applications(a.Rules, c),
		})
	}
	slices.SortFunc(list, func(x, y configuration.Customer) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

func applications(rules []answers.Rule, c answers.Customer) []configuration.Application {
	list := make([]configuration.Application, 0, len(c.Applications))
	for _, app := range c.Applications {
		list = append(list, configuration.Application{
			ID:        app.ID,
			KeyHash:   app.KeyHash,
			Budget:    app.Budget,
			Services:  permittedServices(rules, c.ID, app.ID),
			Priority:  app.Priority,
			MaxOutput: app.MaxOutput,
		})
	}
	slices.SortFunc(list, func(x, y configuration.Application) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// permittedServices returns the services that the rules permit an application to
// call, sorted and without duplicates.
func permittedServices(rules []answers.Rule, customer ident.Customer, app ident.Application) []ident.Service {
	list := make([]ident.Service, 0)
	for _, r := range rules {
		if matches(r.Customers, customer) && matches(r.Applications, app) {
			list = append(list, r.Services...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// matches reports whether list contains value. An empty list matches every value.
func matches[T comparable](list []T, value T) bool {
	return len(list) == 0 || slices.Contains(list, value)
}

// budgets returns the budgets of all customers. Funded is the revision at which
// Prepaid last changed.
func budgets(
	a answers.Answers, revision configuration.Revision, previous *configuration.Configuration,
) []configuration.Budget {
	previousBudgets := make(map[ident.Budget]configuration.Budget)
	if previous != nil {
		for _, b := range previous.Budgets {
			previousBudgets[b.ID] = b
		}
	}
	list := make([]configuration.Budget, 0)
	for _, c := range a.Customers {
		for _, b := range c.Budgets {
			next := configuration.Budget{ID: b.ID, Customer: c.ID, Prepaid: b.Prepaid, Funded: revision}
			if old, ok := previousBudgets[b.ID]; ok && old.Prepaid == b.Prepaid {
				next.Funded = old.Funded
			}
			list = append(list, next)
		}
	}
	slices.SortFunc(list, func(x, y configuration.Budget) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

func services(a answers.Answers) []configuration.Service {
	list := make([]configuration.Service, 0, len(a.Services))
	for _, s := range a.Services {
		next := configuration.Service{ID: s.ID, Kind: s.Kind}
		for _, m := range s.Models {
			next.Models = append(next.Models, configuration.Model(m))
		}
		for _, call := range s.Calls {
			next.Calls = append(next.Calls, configuration.Call(call))
		}
		for _, u := range s.Upstreams {
			next.Upstreams = append(next.Upstreams, configuration.Upstream(u))
		}
		sortService(&next)
		list = append(list, next)
	}
	slices.SortFunc(list, func(x, y configuration.Service) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// sortService sorts the models, calls and upstreams of a service.
func sortService(s *configuration.Service) {
	slices.SortFunc(s.Models, func(x, y configuration.Model) int { return cmp.Compare(x.ID, y.ID) })
	slices.SortFunc(s.Calls, func(x, y configuration.Call) int {
		return cmp.Or(cmp.Compare(x.Method, y.Method), cmp.Compare(x.PathPrefix, y.PathPrefix))
	})
	slices.SortFunc(s.Upstreams, func(x, y configuration.Upstream) int { return cmp.Compare(x.ID, y.ID) })
}
