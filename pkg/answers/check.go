package answers

import (
	"fmt"
	"slices"
	"strings"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// Check reports every invalid field of the answers and, if previous is not nil,
// every change from previous that is not permitted in a running fleet.
func Check(a Answers, previous *Answers) error {
	problems := document.Check(a)
	problems = a.checkReferences(problems)
	if previous != nil {
		problems = a.checkChange(problems, previous)
	}
	return problems.Err()
}

// firstUses maps each value that must be unique to the path of its first use.
type firstUses map[string]string

// add records that id is used at path, or reports a problem if it was already used
// elsewhere. An empty id is ignored; it is reported as missing by other checks.
func (f firstUses) add(problems Problems, id, path string) Problems {
	if id == "" {
		return problems
	}
	if first, ok := f[id]; ok {
		return problems.Add(path, "%q is also at %s", id, first)
	}
	f[id] = path
	return problems
}

// registry holds the identifiers that other fields of the answers refer to, and the
// hashes of the keys. It maps them to the paths at which they are defined.
type registry struct {
	customers    firstUses
	budgets      map[ident.Customer]firstUses
	applications firstUses
	keys         firstUses
	services     firstUses
}

func (a Answers) checkReferences(problems Problems) Problems {
	r := registry{
		customers:    make(firstUses),
		budgets:      make(map[ident.Customer]firstUses),
		applications: make(firstUses),
		keys:         make(firstUses),
		services:     make(firstUses),
	}
	problems = a.checkBudgets(problems, &r)
	for i, c := range a.Customers {
		problems = c.check(problems, &r, fmt.Sprintf("customers[%d]", i))
	}
	problems = a.checkServices(problems, &r)
	for i, rule := range a.Rules {
		problems = rule.check(problems, &r, fmt.Sprintf("rules[%d]", i))
	}
	problems = checkDuplicates(problems, "rules", "id", a.Rules, func(r Rule) string { return r.ID })
	return a.Policy.check(problems)
}

func (a Answers) checkBudgets(problems Problems, r *registry) Problems {
	all := make(firstUses)
	for i, c := range a.Customers {
		customerBudgets := make(firstUses, len(c.Budgets))
		for j, b := range c.Budgets {
			path := fmt.Sprintf("customers[%d].budgets[%d].id", i, j)
			problems = all.add(problems, string(b.ID), path)
			customerBudgets[string(b.ID)] = path
		}
		r.budgets[c.ID] = customerBudgets
	}
	return problems
}

func (c Customer) check(problems Problems, r *registry, path string) Problems {
	problems = r.customers.add(problems, string(c.ID), path+".id")
	for i, app := range c.Applications {
		appPath := fmt.Sprintf("%s.applications[%d]", path, i)
		problems = r.applications.add(problems, string(app.ID), appPath+".id")
		if app.KeyHash == "" {
			problems = problems.Add(appPath+".keyHash", "is missing, and so is key")
		} else if first, ok := r.keys[app.KeyHash]; ok {
			problems = problems.Add(appPath+".keyHash", "is that of the same key as %s", first)
		} else {
			r.keys[app.KeyHash] = appPath
		}
		if _, ok := r.budgets[c.ID][string(app.Budget)]; !ok && app.Budget != "" {
			problems = problems.Add(appPath+".budget", "%q names no budget of customer %q", app.Budget, c.ID)
		}
	}
	return problems
}

func (a Answers) checkServices(problems Problems, r *registry) Problems {
	upstreams := make(firstUses)
	addresses := make(firstUses)
	models := make(firstUses)
	for i, s := range a.Services {
		path := fmt.Sprintf("services[%d]", i)
		problems = r.services.add(problems, string(s.ID), path+".id")
		problems = s.checkKind(problems, path)
		problems = checkDuplicates(problems, path+".calls", "pathPrefix", s.Calls, Call.key)
		for j, m := range s.Models {
			problems = models.add(problems, string(m.ID), fmt.Sprintf("%s.models[%d].id", path, j))
		}
		for j, u := range s.Upstreams {
			upstreamPath := fmt.Sprintf("%s.upstreams[%d]", path, j)
			problems = upstreams.add(problems, string(u.ID), upstreamPath+".id")
			problems = u.checkAddress(problems, addresses, upstreamPath+".address")
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

func (u Upstream) checkAddress(problems Problems, addresses firstUses, path string) Problems {
	switch {
	case !u.Address.IsValid():
		return problems.Add(path, "is not an IP address with a port")
	case u.Address.Port() == 0:
		return problems.Add(path, "has port 0")
	case u.Address.Addr().IsUnspecified(), u.Address.Addr().IsMulticast():
		return problems.Add(path, "%s is not the address of one process", u.Address)
	}
	return addresses.add(problems, u.Address.String(), path)
}

func (r Rule) check(problems Problems, known *registry, path string) Problems {
	problems = checkReferenceList(problems, path+".customers", "customer", r.Customers, known.customers)
	problems = checkReferenceList(problems, path+".applications", "application", r.Applications, known.applications)
	return checkReferenceList(problems, path+".services", "service", r.Services, known.services)
}

// checkReferenceList reports each identifier of a list that is not known or occurs
// twice. what names the kind of identifier.
func checkReferenceList[K ~string](problems Problems, path, what string, ids []K, known firstUses) Problems {
	seen := make(firstUses, len(ids))
	for i, id := range ids {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		if _, ok := known[string(id)]; !ok {
			problems = problems.Add(elementPath, "%q names no %s", id, what)
		}
		problems = seen.add(problems, string(id), elementPath)
	}
	return problems
}

// checkDuplicates reports each element of a list whose key occurred before.
func checkDuplicates[T any](problems Problems, path, field string, list []T, key func(T) string) Problems {
	seen := make(firstUses, len(list))
	for i, element := range list {
		problems = seen.add(problems, key(element), fmt.Sprintf("%s[%d].%s", path, i, field))
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

// checkChange reports changes that are not permitted while budgets or claims exist.
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
