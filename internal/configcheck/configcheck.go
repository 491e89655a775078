// Package configcheck checks a configuration of an edge router before it is deployed.
//
// It finds entries that have no effect, limits that contradict each other, and the differences
// from the configuration in force. Findings name fields as the operator's document does; the
// caller gives the names. Keys are reported by their hashes.
//
// It addresses documents with 160,000 budgets: the work grows linearly with the document, apart
// from sorting.
//
// # Usage
//
//	report := configcheck.Check(candidate, &inForce, names, vm)
//	err := report.Write(os.Stdout, configcheck.FormatText)
//	os.Exit(report.ExitStatus())
package configcheck

import (
	"fmt"
	"strings"
	"time"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/internal/jsontree"
	"example.org/lagoonfork/internal/route"
	"example.org/lagoonfork/pkg/ident"
)

// Configuration is a decoded configuration.
type Configuration struct {
	// Errors holds the reasons for which a router refuses the document. The other fields are
	// not used if there are any.
	Errors document.Problems
	// Table holds the routes and customers in the order of the document.
	Table *route.Table
	// Services lists the services in the order of the document, with repetitions.
	Services []ident.Service
	// Document is encoded as JSON to find the differences between two configurations. It has
	// the operator's names, and no revision.
	Document any
}

// Names maps the names of this package in paths to those of the document: "revision"; "routes" and
// its fields "prefix", "service", "targets", "weight", "timeout", "latencyGoal", "maxGap" and
// "maxAttempts"; "services" and its fields "name" and "warmUpPerSecond"; "customers" and its fields
// "name", "keys" and "prepaid"; "limits" and its field "bodyBytes". Names that are the same in
// both need no entry.
type Names map[string]string

// path translates a path such as routes[3].targets[0].weight.
func (n Names) path(path string) string {
	segments := strings.Split(path, ".")
	for i, segment := range segments {
		name, index, indexed := strings.Cut(segment, "[")
		if translated, ok := n[name]; ok {
			name = translated
		}
		if indexed {
			name += "[" + index
		}
		segments[i] = name
	}
	return strings.Join(segments, ".")
}

// VM describes the limits of the routers. Zero means that a limit is not known.
type VM struct {
	// DrainTimeout is the maximum duration of a shutdown.
	DrainTimeout time.Duration
	// RequestMemory is the memory that a single request may use, in bytes.
	RequestMemory int64
}

// Report holds the findings about a configuration.
type Report struct {
	Errors      document.Problems `json:"errors"`
	Warnings    document.Problems `json:"warnings"`
	Differences []jsontree.Change `json:"differences"`
}

// Check returns the findings about c. If inForce is not nil, the report has the differences from
// it. If a router refuses c, the report has only the reasons.
func Check(c Configuration, inForce *Configuration, names Names, vm VM) (r Report, err error) {
	if len(c.Errors) > 0 {
		r.Errors = firstOfEachPath(c.Errors)
		return r, nil
	}
	k := checker{Configuration: c, names: names, vm: vm}
	k.checkRoutes()
	k.checkServices()
	k.checkCustomers()
	if limit := c.Table.Limits.BodyBytes; vm.RequestMemory > 0 && limit > vm.RequestMemory {
		k.warn("limits.bodyBytes", "%d is above the %d bytes that a router has for one request", limit, vm.RequestMemory)
	}
	r.Warnings = k.warnings
	if inForce == nil {
		return r, nil
	}
	if c.Table.Revision <= inForce.Table.Revision {
		r.Errors = document.Problems{{Path: names.path("revision"), Reason: fmt.Sprintf(
			"%d is not above %d, which is in force", c.Table.Revision, inForce.Table.Revision)}}
	}
	r.Differences, err = differences(inForce.Document, c.Document, names)
	return r, err
}

// firstOfEachPath returns the first problem of each path. A value of the wrong type counts as
// absent, which may be another problem.
func firstOfEachPath(problems document.Problems) (first document.Problems) {
	reported := make(map[string]bool, len(problems))
	for _, p := range problems {
		if !reported[p.Path] {
			reported[p.Path] = true
			first = append(first, p)
		}
	}
	return first
}

// differences returns the changes between two documents. Elements of lists are compared by their
// names, the targets of routes by their services, and keys by their hashes.
func differences(before, after any, names Names) ([]jsontree.Change, error) {
	key := func(element any) (string, bool) {
		switch e := element.(type) {
		case string:
			return e, true
		case map[string]any:
			for _, field := range []string{"name", "service"} {
				if id, ok := e[names.path(field)].(string); ok {
					return id, true
				}
			}
		}
		return "", false
	}
	b, err := jsontree.Of(before, key)
	if err != nil {
		return nil, err
	}
	a, err := jsontree.Of(after, key)
	if err != nil {
		return nil, err
	}
	return b.Changes(a), nil
}

// checker collects warnings.
type checker struct {
	Configuration
	names    Names
	vm       VM
	warnings document.Problems
}

// warn adds a warning. The path is in the names of this package.
func (k *checker) warn(path, format string, args ...any) {
	k.warnings = append(k.warnings, document.Problem{Path: k.names.path(path), Reason: fmt.Sprintf(format, args...)})
}

// mention returns a path in the names of the document, for use in a reason.
func (k *checker) mention(format string, args ...any) string {
	return k.names.path(fmt.Sprintf(format, args...))
}
