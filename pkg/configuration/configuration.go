// Package configuration defines the configuration of the fleet, which is generated
// from the operators' answers and distributed to every VM.
//
// A configuration is immutable. It is generated deterministically: the same
// answers at the same revision give the same bytes. A router uses the
// configuration with the highest revision that it has received.
//
// # Usage
//
//	x := configuration.NewIndex(c)
//	app, customer, ok := x.ApplicationByKey(hash)
package configuration

import (
	"net/netip"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Revision is the sequence number of an accepted configuration, starting at 1.
type Revision int64

// Configuration is the configuration that all routers of the fleet share.
type Configuration struct {
	Revision      Revision   `json:"revision"`
	AnswersDigest string     `json:"answersDigest"`
	Policy        Policy     `json:"policy"`
	Customers     []Customer `json:"customers"`
	Budgets       []Budget   `json:"budgets"`
	Services      []Service  `json:"services"`
}

// Preference selects the trade-off between caution and availability when a budget
// runs low or the key-value service is unreachable. Neither permits overspending.
type Preference string

// Preferences.
const (
	// PreferCaution refuses a request rather than deliver an answer whose bill
	// is not yet in the key-value service.
	PreferCaution Preference = "caution"
	// PreferAvailability delivers an answer as soon as routers in two other
	// failure domains hold its bill.
	PreferAvailability Preference = "availability"
)

// Policy holds the fleet-wide settings chosen in the answers.
type Policy struct {
	Preference Preference `json:"preference"`
	// LedgerPages is the number of ledger pages over which budgets are distributed. It
	// cannot change once budgets exist.
	LedgerPages int `json:"ledgerPages"`
	// RefillHorizonSeconds is how long a share should last at the current rate
	// of drawing.
	RefillHorizonSeconds int `json:"refillHorizonSeconds"`
	// ShareLifetimeSeconds is how long a holder may deliver answers after its
	// lease was last confirmed.
	ShareLifetimeSeconds int `json:"shareLifetimeSeconds"`
	// ClaimRetentionSeconds is how long a settled claim is retained to detect
	// retries of its request.
	ClaimRetentionSeconds int `json:"claimRetentionSeconds"`
	// SilenceLimitMillis is the maximum time between two events of a stream
	// before its connection is abandoned.
	SilenceLimitMillis int `json:"silenceLimitMillis"`
	// RefusalAllowanceMillis is how long a request may wait for other holders
	// to return tokens before it is refused.
	RefusalAllowanceMillis int `json:"refusalAllowanceMillis"`
	// CrashLimit is the number of upstream crashes after which a request is
	// refused by the whole fleet.
	CrashLimit int `json:"crashLimit"`
}

// Customer is a member organisation.
type Customer struct {
	ID           ident.Customer `json:"id"`
	Name         string         `json:"name"`
	Weight       int            `json:"weight"` // relative share of the upstreams under contention
	Applications []Application  `json:"applications"`
}

// Application is a program of a customer that calls the fleet with its own key.
type Application struct {
	ID       ident.Application `json:"id"`
	KeyHash  string            `json:"keyHash"` // SHA-256 of the bearer key, in hexadecimal
	Budget   ident.Budget      `json:"budget"`
	Services []ident.Service   `json:"services"`
	Priority int               `json:"priority"` // passed to the engine; higher runs first
	// MaxOutput is the maximum number of output tokens of one request.
	MaxOutput tokens.Count `json:"maxOutput"`
}

// Budget is a prepaid budget. Prepaid counts the tokens bought through the
// answers; top-ups are in the ledger only.
type Budget struct {
	ID       ident.Budget   `json:"id"`
	Customer ident.Customer `json:"customer"`
	Prepaid  tokens.Count   `json:"prepaid"`
	// Funded is the revision at which Prepaid last changed.
	Funded Revision `json:"funded"`
}

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of service.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Service is a set of upstreams that answer the same calls.
type Service struct {
	ID        ident.Service `json:"id"`
	Kind      Kind          `json:"kind"`
	Models    []Model       `json:"models,omitempty"`
	Calls     []Call        `json:"calls,omitempty"`
	Upstreams []Upstream    `json:"upstreams"`
}

// Model is a model that an engine service offers.
type Model struct {
	ID      ident.Model `json:"id"`
	Version string      `json:"version"`
	Adapter string      `json:"adapter,omitempty"`
	// ContextWindow is the maximum number of tokens of prompt and output together.
	ContextWindow tokens.Count `json:"contextWindow"`
	// Replicas is the minimum number of engines that keep the model loaded.
	Replicas int `json:"replicas"`
}

// Call describes calls of a plain service. A request that matches no Call is not
// idempotent unless its method is safe according to the HTTP standard.
type Call struct {
	Method     string       `json:"method"`
	PathPrefix string       `json:"pathPrefix"`
	Idempotent bool         `json:"idempotent"`
	Cost       tokens.Count `json:"cost"`
}

// Upstream is one process that answers the calls of its service.
type Upstream struct {
	ID            ident.Upstream      `json:"id"`
	Address       netip.AddrPort      `json:"address"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Region        ident.Region        `json:"region"`
	// ChecksFencing reports whether the engine refuses an order with an old
	// fencing number.
	ChecksFencing bool `json:"checksFencing"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots"`
}
