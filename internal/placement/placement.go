// Package placement plans which models the engines of a service keep loaded, so
// that the number of copies of a model follows its demand.
//
// Each model has a floor, which is the least number of engines that keep it loaded.
// Each remaining slot is given to the model with the highest demand per copy. A
// copy is replaced by another model only if the demands per copy differ by a
// minimum ratio and the engine has kept the copy for a minimum time, so that
// placement does not oscillate. No order reduces a model below its floor or removes
// its last copy, where only the assured copies on engines that are not leaving
// count. Copies are spread over failure domains. Loads are limited to the rate that
// the weight store can serve.
//
// # Usage
//
//	p := placement.New(placement.Policy{LoadsPerMinute: 4, LoadsInFlight: 2})
//	moves := p.Plan(now, models, upstreams)
package placement

import (
	"cmp"
	"slices"
	"time"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Policy configures a Planner. Zero values stand for the defaults.
type Policy struct {
	// ModelsPerEngine is the maximum number of models that an engine keeps loaded
	// at the same time. The default is 1.
	ModelsPerEngine int
	// LoadsPerMinute and LoadsInFlight are the maximum rate and the maximum
	// number of concurrent loads that the weight store can serve. The defaults
	// are 4 and 2.
	LoadsPerMinute int
	LoadsInFlight  int
	// DemandRatio is the ratio by which the demand per copy of a model has to
	// exceed that of another one before it replaces a copy. The default is 1.5.
	DemandRatio float64
	// MinResidency is the least time after a load before an engine's copies may
	// be replaced because of demand. The default is 2 min.
	MinResidency time.Duration
	// HalfLife is the time in which the weight of a measurement of the demand
	// halves. The default is 30 s.
	HalfLife time.Duration
}

const (
	defaultLoadsPerMinute = 4
	defaultLoadsInFlight  = 2
	defaultDemandRatio    = 1.5
	defaultMinResidency   = 2 * time.Minute
	defaultHalfLife       = 30 * time.Second
)

// withDefaults returns p with the defaults in place of zero values.
func (p Policy) withDefaults() Policy {
	p.ModelsPerEngine = cmp.Or(p.ModelsPerEngine, 1)
	p.LoadsPerMinute = cmp.Or(p.LoadsPerMinute, defaultLoadsPerMinute)
	p.LoadsInFlight = cmp.Or(p.LoadsInFlight, defaultLoadsInFlight)
	p.DemandRatio = cmp.Or(p.DemandRatio, defaultDemandRatio)
	p.MinResidency = cmp.Or(p.MinResidency, defaultMinResidency)
	p.HalfLife = cmp.Or(p.HalfLife, defaultHalfLife)
	return p
}

// Model is a model that is to be placed on engines.
type Model struct {
	engine.LoadedModel
	Floor int // least number of copies
	// Demand is the demand for the model in any unit that is the same for all
	// models, such as tokens per second or tokens in flight.
	Demand float64
}

// Upstream is the present state of an engine.
type Upstream struct {
	ID      ident.Upstream
	Domain  ident.FailureDomain
	Leaving bool // or unreachable; its copies do not count
	Busy    bool // has an outstanding order; no order is planned for it
	Tainted bool // the outstanding order may have been lost; its result is not counted on
	// Assured lists the models that stay loaded regardless of the result of
	// outstanding orders. Loading and Unloading list the models that outstanding
	// orders load and unload.
	Assured   []engine.LoadedModel
	Loading   []engine.LoadedModel
	Unloading []engine.LoadedModel
}

// Reason is the reason for a move.
type Reason string

// Reasons of moves.
const (
	ReasonFloor    Reason = "belowFloor"
	ReasonDemand   Reason = "demand"
	ReasonMakeRoom Reason = "makeRoom"
	ReasonObsolete Reason = "obsolete"
	// ReasonAnnounced is the reason of an unload that was planned and announced
	// earlier.
	ReasonAnnounced Reason = "announced"
)

// Move is an order to be sent to an engine. Its fencing number is not set.
type Move struct {
	Upstream ident.Upstream
	Order    engine.Order
	Reason   Reason
}

// loadOrder returns the order that loads a model or an adapter.
func loadOrder(m engine.LoadedModel) engine.Order {
	kind := engine.OrderLoadModel
	if m.Adapter != "" {
		kind = engine.OrderLoadAdapter
	}
	return engine.Order{Kind: kind, Model: m.Model, Version: m.Version, Adapter: m.Adapter}
}

// unloadOrder returns the order that unloads a model with its adapters.
func unloadOrder(m engine.LoadedModel) engine.Order {
	return engine.Order{Kind: engine.OrderUnloadModel, Model: m.Model, Version: m.Version}
}

// removes reports whether unloading m also unloads other.
func removes(m, other engine.LoadedModel) bool {
	return m.Model == other.Model && (m.Version == "" || m.Version == other.Version)
}

func contains(models []engine.LoadedModel, m engine.LoadedModel) bool {
	return slices.Contains(models, m)
}
