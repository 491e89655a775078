package answers

import (
	"fmt"
	"slices"
	"strings"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// Check reports every wrong field of the answers and, if previous is not nil,
// every change from previous that a running fleet cannot make.
func Check(a Answers, previous *Answers) error {
	problems := document.Check(a)
	problems = a.checkReferences(problems)
	if previous != nil {
		problems = a.checkChange(problems, previous)
	}
	return problems.Err()
}

// place is where an identifier was first used.
type place map[string]string

// claim notes that id is used at path, and reports a second use.
func (p place) claim(problems Problems, id, path string) Problems {
	if id == "" {
		return problems
	}
	if first, ok := p[id]; ok {
		return problems.Add(path, "%q is also at %s", id, first)
	}
	p[id] = path
	return problems
}

// registry holds the identifiers that answers refer to.
type registry struct {
	customers    place
	budgets      map[ident.Customer]place
	applications place
	keys         place
	services     place
}

func (a Answers) checkReferences(problems Problems) Problems {
	r := registry{
		customers:    make(place),
		budgets:      make(map[ident.Customer]place),
		applications: make(place),
		keys:         make(place),
		services:     make(place),
	}
	problems = a.checkBudgets(problems, &r)
	for i, c := range a.Customers {
		problems = c.check(problems, &r, fmt.Sprintf("customers[%d]", i))
	}
	problems = a.checkServices(problems, &r)
	for i, rule := range a.Rules {
		problems = rule.check(problems, &r, fmt.Sprintf("rules[%d]", i))
	}
	problems = duplicates(problems, "rules", "id", a.Rules, func(r Rule) string { return r.ID })
	return a.Policy.check(problems)
}

func (a Answers) checkBudgets(problems Problems, r *registry) Problems {
	all := make(place)
	for i, c := range a.Customers {
		own := make(place, len(c.Budgets))
		for j, b := range c.Budgets {
			path := fmt.Sprintf("customers[%d].budgets[%d].id", i, j)
			problems = all.claim(problems, string(b.ID), path)
			own[string(b.ID)] = path
		}
		r.budgets[c.ID] = own
	}
	return problems
}

func (c Customer) check(problems Problems, r *registry, path string) Problems {
	problems = r.customers.claim(problems, string(c.ID), path+".id")
	for i, app := range c.Applications {
		inner := fmt.Sprintf("%s.applications[%d]", path, i)
		problems = r.applications.claim(problems, string(app.ID), inner+".id")
		if app.KeyHash == "" {
			problems = problems.Add(inner+".keyHash", "is missing, and so is key")
		} else if first, ok := r.keys[app.KeyHash]; ok {
			problems = problems.Add(inner+".keyHash", "is that of the same key as %s", first)
		} else {
			r.keys[app.KeyHash] = inner
		}
		if _, ok := r.budgets[c.ID][string(app.Budget)]; !ok && app.Budget != "" {
			problems = problems.Add(inner+".budget", "%q names no budget of customer %q", app.Budget, c.ID)
		}
	}
	return problems
}

func (a Answers) checkServices(problems Problems, r *registry) Problems {
	upstreams := make(place)
	addresses := make(place)
	models := make(place)
	for i, s := range a.Services {
		path := fmt.Sprintf("services[%d]", i)
		problems = r.services.claim(problems, string(s.ID), path+".id")
		problems = s.checkKind(problems, path)
		problems = duplicates(problems, path+".calls", "pathPrefix", s.Calls, Call.key)
		for j, m := range s.Models {
			problems = models.claim(problems, string(m.ID), fmt.Sprintf("%s.models[%d].id", path, j))
		}
		for j, u := range s.Upstreams {
			inner := fmt.Sprintf("%s.upstreams[%d]", path, j)
			problems = upstreams.claim(problems, string(u.ID), inner+".id")
			problems = u.checkAddress(problems, addresses, inner+".address")
		}
	}
	return problems
}

func (s Service) checkKind(problems Problems, path string) Problems {
	switch s.Kind {
	case configuration.KindEngine:
		if len(s.Models) == 0 {
			problems = problems.Add(path+".models", "is missing: an engine service offers at least one model")
		}
		if len(s.Calls) > 0 {
			problems = problems.Add(path+".calls", "belongs to plain services only")
		}
	case configuration.KindPlain:
		if len(s.Models) > 0 {
			problems = problems.Add(path+".models", "belongs to engine services only")
		}
		for i, c := range s.Calls {
			if !strings.HasPrefix(c.PathPrefix, "/") {
				problems = problems.Add(fmt.Sprintf("%s.calls[%d].pathPrefix", path, i), "does not begin with /")
			}
		}
	}
	return problems
}

func (u Upstream) checkAddress(problems Problems, addresses place, path string) Problems {
	switch {
	case !u.Address.IsValid():
		return problems.Add(path, "is no IP address with a port")
	case u.Address.Port() == 0:
		return problems.Add(path, "has port 0")
	case u.Address.Addr().IsUnspecified(), u.Address.Addr().IsMulticast():
		return problems.Add(path, "%s is not the address of one process", u.Address)
	}
	return addresses.claim(problems, u.Address.String(), path)
}

func (r Rule) check(problems Problems, known *registry, path string) Problems {
	problems = references(problems, path+".customers", "customer", r.Customers, known.customers)
	problems = references(problems, path+".applications", "application", r.Applications, known.applications)
	return references(problems, path+".services", "service", r.Services, known.services)
}

func references[K ~string](problems Problems, path, what string, ids []K, known place) Problems {
	seen := make(place, len(ids))
	for i, id := range ids {
		inner := fmt.Sprintf("%s[%d]", path, i)
		if _, ok := known[string(id)]; !ok {
			problems = problems.Add(inner, "%q names no %s", id, what)
		}
		problems = seen.claim(problems, string(id), inner)
	}
	return problems
}

func duplicates[T any](problems Problems, path, field string, list []T, key func(T) string) Problems {
	seen := make(place, len(list))
	for i, element := range list {
		problems = seen.claim(problems, key(element), fmt.Sprintf("%s[%d].%s", path, i, field))
	}
	return problems
}

func (p Policy) check(problems Problems) Problems {
	if lifetime := p.EffectiveLifetimeSeconds(); p.RefillHorizonSeconds > lifetime {
		problems = problems.Add("policy.refillHorizonSeconds", "%d is above shareLifetimeSeconds, %d",
			p.RefillHorizonSeconds, lifetime)
	}
	return problems
}

// checkChange reports what cannot change while budgets or claims exist.
func (a Answers) checkChange(problems Problems, previous *Answers) Problems {
	if a.Policy.LedgerPages != previous.Policy.LedgerPages && len(previous.Customers) > 0 {
		problems = problems.Add("policy.ledgerPages", "cannot change from %d once customers exist", previous.Policy.LedgerPages)
	}
	owners := make(map[ident.Budget]ident.Customer)
	for _, c := range previous.Customers {
		for _, b := range c.Budgets {
			owners[b.ID] = c.ID
		}
	}
	for i, c := range a.Customers {
		for j, b := range c.Budgets {
			if owner, ok := owners[b.ID]; ok && owner != c.ID {
				problems = problems.Add(fmt.Sprintf("customers[%d].budgets[%d].id", i, j), "%q belongs to customer %q", b.ID, owner)
			}
		}
	}
	for i, s := range a.Services {
		j := slices.IndexFunc(previous.Services, func(p Service) bool { return p.ID == s.ID })
		if j >= 0 && previous.Services[j].Kind != s.Kind {
			problems = problems.Add(fmt.Sprintf("services[%d].kind", i), "cannot change from %q", previous.Services[j].Kind)
		}
	}
	return problems
}
