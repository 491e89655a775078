// Package placement plans which models the engines of a service keep loaded, so
// that the copies of a model follow its demand.
//
// Each model has a floor: the least number of engines that keep it loaded. The
// rest of the room goes, one place after another, to the model with the most
// demand for each copy. A copy makes way for another model only if the demand
// for each copy differs by a factor and the engine has kept the copy for a
// while, so that placement does not flap. No order takes a model below its
// floor, or takes its last copy, counting only the copies that are assured on
// engines that stay. Copies are spread over failure domains. Loads keep to the
// rate of the weight store.
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

// Policy bounds what a Planner asks for. Zero values stand for defaults.
type Policy struct {
	// ModelsPerEngine is the number of models that an engine keeps loaded at
	// once. The default is 1.
	ModelsPerEngine int
	// LoadsPerMinute and LoadsInFlight are what the weight store bears. The
	// defaults are 4 and 2.
	LoadsPerMinute int
	LoadsInFlight  int
	// Factor is by how much the demand for each copy has to differ before a
	// copy makes way. The default is 1.5.
	Factor float64
	// Hold is how long an engine keeps a copy at least. The default is 2 min.
	Hold time.Duration
	// HalfLife is the time in which an old measurement of the demand loses
	// half its weight. The default is 30 s.
	HalfLife time.Duration
}

const (
	defaultLoadsPerMinute = 4
	defaultLoadsInFlight  = 2
	defaultFactor         = 1.5
	defaultHold           = 2 * time.Minute
	defaultHalfLife       = 30 * time.Second
)

func (p Policy) withDefaults() Policy {
	p.ModelsPerEngine = cmp.Or(p.ModelsPerEngine, 1)
	p.LoadsPerMinute = cmp.Or(p.LoadsPerMinute, defaultLoadsPerMinute)
	p.LoadsInFlight = cmp.Or(p.LoadsInFlight, defaultLoadsInFlight)
	p.Factor = cmp.Or(p.Factor, defaultFactor)
	p.Hold = cmp.Or(p.Hold, defaultHold)
	p.HalfLife = cmp.Or(p.HalfLife, defaultHalfLife)
	return p
}

// Model is a model to place.
type Model struct {
	engine.LoadedModel
	Floor int // the least number of copies
	// Demand is any measure that is the same for all models, such as tokens a
	// second or tokens in flight.
	Demand float64
}

// Upstream is an engine as it is.
type Upstream struct {
	ID      ident.Upstream
	Domain  ident.FailureDomain
	Leaving bool // or out of reach: its copies do not count
	Busy    bool // an order is outstanding: it gets none
	Tainted bool // the outstanding order may have been lost: nothing is expected of it
	// Assured are the models that stay loaded whatever becomes of outstanding
	// orders. Loading and Unloading are those that outstanding orders concern.
	Assured   []engine.LoadedModel
	Loading   []engine.LoadedModel
	Unloading []engine.LoadedModel
}

// Reason tells why a move is planned.
type Reason string

// Reasons of moves.
const (
	ReasonFloor    Reason = "belowFloor"
	ReasonDemand   Reason = "demand"
	ReasonMakeRoom Reason = "makeRoom"
	ReasonObsolete Reason = "obsolete"
	// ReasonAnnounced is that of an unload planned before.
	ReasonAnnounced Reason = "announced"
)

// Move is an order to give. Its fencing number is not set.
type Move struct {
	Upstream ident.Upstream
	Order    engine.Order
	Reason   Reason
}

func load(m engine.LoadedModel) engine.Order {
	kind := engine.OrderLoadModel
	if m.Adapter != "" {
		kind = engine.OrderLoadAdapter
	}
	return engine.Order{Kind: kind, Model: m.Model, Version: m.Version, Adapter: m.Adapter}
}

func unload(m engine.LoadedModel) engine.Order {
	return engine.Order{Kind: engine.OrderUnloadModel, Model: m.Model, Version: m.Version}
}

// removes reports whether unloading m takes other away too.
func removes(m, other engine.LoadedModel) bool {
	return m.Model == other.Model && (m.Version == "" || m.Version == other.Version)
}

func contains(models []engine.LoadedModel, m engine.LoadedModel) bool {
	return slices.Contains(models, m)
}
