package configcheck

import (
	"fmt"
	"strings"

	"example.org/lagoonfork/internal/route"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// location is what a route matches.
type location struct{ host, prefix string }

// checkRoutes checks the routes.
func (k *checker) checkRoutes() {
	if len(k.Table.Routes) == 0 {
		k.warn("routes", "is empty, so that no request is forwarded and no customer is admitted")
	}
	first := make(map[location]int, len(k.Table.Routes))
	for i, r := range k.Table.Routes {
		if _, ok := first[location{r.Host, r.Prefix}]; !ok {
			first[location{r.Host, r.Prefix}] = i
		}
	}
	for i := range k.Table.Routes {
		r, path := &k.Table.Routes[i], fmt.Sprintf("routes[%d]", i)
		k.checkMatch(r, i, first)
		k.checkTargets(r, path)
		k.checkRouteLimits(r, path)
	}
}

// checkMatch warns if route i never matches. A route with a longer prefix takes precedence, so that
// only an equal prefix covers another one, except that all paths begin with a slash.
func (k *checker) checkMatch(r *route.Route, i int, first map[location]int) {
	path := fmt.Sprintf("routes[%d].prefix", i)
	same := first[location{r.Host, r.Prefix}]
	root, hasRoot := first[location{r.Host, "/"}]
	switch {
	case same != i:
		k.warn(path, "is never matched: host and prefix are those of %s", k.mention("routes[%d]", same))
	case r.Prefix == "" && hasRoot:
		k.warn(path, "is never matched: the paths of the host that no other route matches go to %s", k.mention("routes[%d]", root))
	case r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/"):
		k.warn(path, "is never matched: %q does not begin with /", r.Prefix)
	case strings.ContainsFunc(r.Prefix, func(c rune) bool { return c == '?' || c <= ' ' || c == 0x7f }):
		k.warn(path, "is never matched: %q has a character that no path of a request has", r.Prefix)
	}
}

// checkTargets checks the weights and the services of the targets of a route.
func (k *checker) checkTargets(r *route.Route, path string) {
	positive := false
	for _, t := range r.Targets {
		positive = positive || t.Weight > 0
	}
	for i, t := range r.Targets {
		targetPath := fmt.Sprintf("%s.targets[%d]", path, i)
		switch {
		case t.Weight > 0:
		case positive:
			k.warn(targetPath+".weight", "is %v, so that the target gets no requests", t.Weight)
		default:
			k.warn(targetPath+".weight", "is %v, and no weight of the route is above 0; its last target gets all requests", t.Weight)
		}
		if _, ok := k.Table.Services[t.Service]; !ok {
			if len(r.Targets) == 1 && t.Weight == 1 { // equivalent to a route that names a service without a weight
				targetPath = path
			}
			k.warn(targetPath+".service", "%q is not a service", t.Service)
		}
	}
}

// checkRouteLimits checks the limits of a route against each other. A timeout of 0 means none.
func (k *checker) checkRouteLimits(r *route.Route, path string) {
	if r.Timeout > 0 && r.LatencyGoal > r.Timeout {
		k.warn(path+".latencyGoal", "%v is above the timeout, %v", r.LatencyGoal, r.Timeout)
	}
	if r.Timeout > 0 && r.MaxGap > r.Timeout {
		k.warn(path+".maxGap", "%v is above the timeout, %v", r.MaxGap, r.Timeout)
	}
	if k.vm.DrainTimeout > 0 && r.Timeout > k.vm.DrainTimeout {
		k.warn(path+".timeout", "%v is above the drain timeout of the routers, %v", r.Timeout, k.vm.DrainTimeout)
	}
	if r.MaxAttempts > 1 && !r.Retryable() {
		k.warn(path+".maxAttempts", "%d has no effect: requests of the route run at most once", r.MaxAttempts)
	}
}

// checkServices checks that each service occurs once and is used, and its warm-up.
func (k *checker) checkServices() {
	used := make(map[ident.Service]bool, len(k.Table.Services))
	for _, r := range k.Table.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	last := make(map[ident.Service]int, len(k.Services))
	for i, id := range k.Services {
		last[id] = i
	}
	for i, id := range k.Services {
		path := fmt.Sprintf("services[%d]", i)
		if last[id] != i {
			k.warn(path+".name", "%q is replaced by %s", id, k.mention("services[%d]", last[id]))
			continue
		}
		if !used[id] {
			k.warn(path+".name", "%q is not used by any route", id)
		}
		if s := k.Table.Services[id]; s.WarmUpPerSecond > 0 && s.WarmUp <= 0 {
			k.warn(path+".warmUpPerSecond", "%v has no effect: the service has no warm-up time", s.WarmUpPerSecond)
		}
	}
}

// leastCost returns the tokens that the shortest response costs, one event of an engine that a
// route uses, or 0 if there is no such engine.
func (k *checker) leastCost() (least tokens.Count) {
	for _, r := range k.Table.Routes {
		for _, t := range r.Targets {
			if s := k.Table.Services[t.Service]; s.Engine {
				if cost := max(s.MaxEventTokens, 1); least == 0 || cost < least {
					least = cost
				}
			}
		}
	}
	return least
}
