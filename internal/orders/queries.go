package orders

import (
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Key returns the key of the state of a service in the key-value service.
func Key(service ident.Service) string {
	return "orders/" + string(service)
}

// Decode decodes a state. Empty data is the state of a service without orders.
func Decode(data []byte) (s *State, err error) {
	defer func() { err = merry.Prepend(err, "decoding recorded orders") }()
	s = new(State)
	if len(data) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	for up, e := range s.Upstreams {
		if e == nil {
			delete(s.Upstreams, up)
		}
	}
	return s, nil
}

// Encode encodes the state as JSON. The encoding is deterministic.
func (s *State) Encode() ([]byte, error) {
	return json.Marshal(s)
}

// Outstanding returns the orders that may still take effect at an upstream, the
// oldest first.
func (s *State) Outstanding(up ident.Upstream) []Record {
	if e := s.Upstreams[up]; e != nil {
		return slices.Clone(e.Outstanding)
	}
	return nil
}

// AnnouncedUnload returns the announced unload of an upstream, if any.
func (s *State) AnnouncedUnload(up ident.Upstream) (unload AnnouncedUnload, ok bool) {
	e := s.Upstreams[up]
	if e == nil || e.AnnouncedUnload == nil {
		return AnnouncedUnload{}, false
	}
	return *e.AnnouncedUnload, true
}

// Tainted reports whether an order with an older fencing number may still take
// effect at an upstream.
func (s *State) Tainted(up ident.Upstream) bool {
	return slices.ContainsFunc(s.Outstanding(up), func(r Record) bool {
		return r.Order.FencingNumber < s.FencingNumber
	})
}

// IsCurrent reports whether a report shows the effects of all resolved orders. An
// older report must be ignored.
func (s *State) IsCurrent(up ident.Upstream, l engine.Load) bool {
	e := s.Upstreams[up]
	return e == nil || !l.AsOf.Before(e.MinReportTime)
}

// Assured returns the models in the report that stay loaded regardless of the
// outcome of the outstanding orders and the announced unload. A report that is not
// current assures no models.
func (s *State) Assured(up ident.Upstream, l engine.Load) []engine.LoadedModel {
	if !s.IsCurrent(up, l) {
		return nil
	}
	return s.RemainingModels(up, l)
}

// RemainingModels returns the models in a report that no outstanding order or
// announced unload unloads.
func (s *State) RemainingModels(up ident.Upstream, l engine.Load) []engine.LoadedModel {
	removals := s.Outstanding(up)
	if unload, ok := s.AnnouncedUnload(up); ok {
		removals = append(removals, Record{Order: unload.Order})
	}
	return slices.DeleteFunc(slices.Clone(l.LoadedModels), func(m engine.LoadedModel) bool {
		return slices.ContainsFunc(removals, func(r Record) bool { return unloads(r.Order, m) })
	})
}

// Loading returns the models that outstanding orders may load in addition to
// those in the report.
func (s *State) Loading(up ident.Upstream, l engine.Load) (models []engine.LoadedModel) {
	for _, r := range s.Outstanding(up) {
		if isLoad(r.Order) && !EffectVisible(l, r.Order) {
			models = append(models, engine.LoadedModel{Model: r.Order.Model, Version: r.Order.Version, Adapter: r.Order.Adapter})
		}
	}
	return models
}

// Unloading returns the models in the report that are not assured.
func (s *State) Unloading(up ident.Upstream, l engine.Load) []engine.LoadedModel {
	assured := s.Assured(up, l)
	return slices.DeleteFunc(slices.Clone(l.LoadedModels), func(m engine.LoadedModel) bool {
		return slices.Contains(assured, m)
	})
}
