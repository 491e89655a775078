// Package answers defines the operators' answers to the questionnaire about
// their members, budgets and upstreams. The fleet's configuration is generated
// from them.
//
// Operators keep the answers as a JSON document. The document may contain an
// application's key in plain text; Decode replaces it with its SHA-256, and no
// other function of this package returns or stores it.
//
// The revision in a document is that of the configuration it is based on. A
// change based on a revision that is no longer in force is a conflict. Compare
// reports the changes of both sides, and Merge combines them unless both changed
// the same field.
//
// # Usage
//
//	a, err := answers.Decode(data)
//	var problems answers.Problems
//	if errors.As(err, &problems) {
//		for _, p := range problems {
//			fmt.Println(p.Path, p.Reason)
//		}
//	}
package answers

import (
	"net/netip"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Problem describes one invalid field of the answers.
type Problem = document.Problem

// Problems is the error for answers with invalid fields.
type Problems = document.Problems

// Answers holds the answers of the operators. Its lists are sets: their order is
// not significant, and Encode sorts them.
type Answers struct {
	// Revision is the revision in force that the answers are based on, or 0 if
	// none is in force yet.
	Revision  configuration.Revision `json:"revision" default:"0" min:"0" ask:"-"`
	Policy    Policy                 `json:"policy"`
	Customers []Customer             `json:"customers,omitempty"`
	Services  []Service              `json:"services,omitempty"`
	Rules     []Rule                 `json:"rules,omitempty"`
}

// Policy holds the fleet-wide settings. Its fields are those of
// configuration.Policy.
type Policy struct {
	Preference             configuration.Preference `json:"preference" default:"caution" oneof:"caution|availability"`
	LedgerPages            int                      `json:"ledgerPages" default:"64" min:"1" max:"4096" unit:"pages"`
	RefillHorizonSeconds   int                      `json:"refillHorizonSeconds" default:"10" min:"1" max:"3600" unit:"seconds"`
	ShareLifetimeSeconds   int                      `json:"shareLifetimeSeconds" default:"0" min:"0" max:"3600" unit:"seconds"`
	ClaimRetentionSeconds  int                      `json:"claimRetentionSeconds" default:"600" min:"60" max:"86400" unit:"seconds"`
	SilenceLimitMillis     int                      `json:"silenceLimitMillis" default:"10000" min:"100" max:"600000" unit:"milliseconds"`
	RefusalAllowanceMillis int                      `json:"refusalAllowanceMillis" default:"500" min:"0" max:"30000" unit:"milliseconds"`
	CrashLimit             int                      `json:"crashLimit" default:"2" min:"1" max:"100" unit:"crashes"`
}

// Default lifetimes of shares for each preference.
const (
	cautionLifetimeSeconds      = 90
	availabilityLifetimeSeconds = 900
)

// EffectiveLifetimeSeconds returns the lifetime of shares: ShareLifetimeSeconds if
// it is positive, or else the default for the preference.
func (p Policy) EffectiveLifetimeSeconds() int {
	switch {
	case p.ShareLifetimeSeconds > 0:
		return p.ShareLifetimeSeconds
	case p.Preference == configuration.PreferAvailability:
		return availabilityLifetimeSeconds
	}
	return cautionLifetimeSeconds
}

// Customer is a member organisation with its budgets and applications.
type Customer struct {
	ID           ident.Customer `json:"id" format:"id"`
	Name         string         `json:"name" min:"1" max:"200" unit:"bytes"`
	Weight       int            `json:"weight" default:"1" min:"1" max:"1000"`
	Budgets      []Budget       `json:"budgets,omitempty"`
	Applications []Application  `json:"applications,omitempty"`
}

// Budget is a prepaid budget of a customer.
type Budget struct {
	ID      ident.Budget `json:"id" format:"id"`
	Prepaid tokens.Count `json:"prepaid" min:"0" max:"1000000000000000" unit:"tokens"`
}

// Application is a program of a customer that calls the fleet.
type Application struct {
	ID ident.Application `json:"id" format:"id"`
	// Key is the bearer key in plain text. It may replace KeyHash in documents passed to
	// Decode. It is empty in all answers that this package returns.
	Key       Secret       `json:"key,omitempty" min:"16" max:"512" unit:"bytes"`
	KeyHash   string       `json:"keyHash,omitempty" format:"hash" ask:"-"`
	Budget    ident.Budget `json:"budget" format:"id"`
	Priority  int          `json:"priority" default:"0" min:"-100" max:"100"`
	MaxOutput tokens.Count `json:"maxOutput" default:"4096" min:"1" max:"1000000" unit:"tokens"`
}

// Service is a set of upstreams that answer the same calls.
type Service struct {
	ID        ident.Service      `json:"id" format:"id"`
	Kind      configuration.Kind `json:"kind" oneof:"engine|plain"`
	Models    []Model            `json:"models,omitempty"`
	Calls     []Call             `json:"calls,omitempty"`
	Upstreams []Upstream         `json:"upstreams,omitempty"`
}

// Model is a model that an engine service offers.
type Model struct {
	ID            ident.Model  `json:"id" format:"id"`
	Version       string       `json:"version" min:"1" max:"200" unit:"bytes"`
	Adapter       string       `json:"adapter,omitempty" max:"200" unit:"bytes"`
	ContextWindow tokens.Count `json:"contextWindow" default:"32768" min:"1" max:"100000000" unit:"tokens"`
	Replicas      int          `json:"replicas" default:"1" min:"0" max:"10000" unit:"engines"`
}

// Call describes calls of a plain service. If several match a request, the one with
// the longest path prefix applies.
type Call struct {
	Method     string       `json:"method" oneof:"DELETE|GET|HEAD|OPTIONS|PATCH|POST|PUT"`
	PathPrefix string       `json:"pathPrefix" min:"1" max:"1000" unit:"bytes"`
	Idempotent bool         `json:"idempotent" default:"false"`
	Cost       tokens.Count `json:"cost" default:"0" min:"0" max:"1000000000" unit:"tokens"`
}

// Upstream is one process that answers the calls of its service.
type Upstream struct {
	ID            ident.Upstream      `json:"id" format:"id"`
	Address       netip.AddrPort      `json:"address"`
	FailureDomain ident.FailureDomain `json:"failureDomain" format:"id"`
	Region        ident.Region        `json:"region" format:"id"`
	ChecksFencing bool                `json:"checksFencing" default:"false"`
	Slots         int                 `json:"slots" default:"16" min:"1" max:"10000" unit:"requests"`
}

// Rule permits applications to call services. An empty list of customers means
// all customers, an empty list of applications all of their applications.
type Rule struct {
	ID           string              `json:"id" format:"id"`
	Customers    []ident.Customer    `json:"customers,omitempty" format:"id"`
	Applications []ident.Application `json:"applications,omitempty" format:"id"`
	Services     []ident.Service     `json:"services" min:"1" format:"id"`
}

// Secret is an application's key in plain text. Formatting it does not reveal it.
type Secret string

// String returns a fixed text in place of the key.
func (Secret) String() string { return "(hidden)" }

// GoString returns a fixed text in place of the key.
func (Secret) GoString() string { return "(hidden)" }
