package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	wire "example.org/lagoonfork/pkg/engine"
)

var (
	errStale   = errors.New("old fencing number")
	errWeights = errors.New("weights not available")
)

// executeOrder checks the fencing number of an order, fetches the weights it
// needs, and applies it.
func (e *Engine) executeOrder(ctx context.Context, o wire.Order) error {
	if err := e.checkFencing(o); err != nil {
		return err
	}
	if o.Kind == wire.OrderLoadModel || o.Kind == wire.OrderLoadAdapter {
		if err := e.fetchWeights(ctx, o); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(o)
	e.orders = append(e.orders, o)
	e.recordLoad()
	return nil
}

// checkFencing refuses an order whose fencing number is lower than the highest
// seen.
func (e *Engine) checkFencing(o wire.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.settings.ChecksFencing {
		return nil
	}
	if o.FencingNumber < e.highestFencing {
		return fmt.Errorf("%w: %d, seen %d", errStale, o.FencingNumber, e.highestFencing)
	}
	e.highestFencing = o.FencingNumber
	return nil
}

// apply changes the loaded models or the role. The caller holds e.mu.
func (e *Engine) apply(o wire.Order) {
	m := wire.LoadedModel{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	switch o.Kind {
	case wire.OrderLoadModel, wire.OrderLoadAdapter:
		if !slices.Contains(e.models, m) {
			e.models = append(slices.Clone(e.models), m)
		}
	case wire.OrderUnloadModel:
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(l wire.LoadedModel) bool {
			return l.Model == o.Model && (o.Version == "" || l.Version == o.Version)
		})
	case wire.OrderChangeRole:
		e.role = o.Role
	}
}

// fetchWeights fetches the weights of a model or an adapter from the weight
// store, if there is one.
func (e *Engine) fetchWeights(ctx context.Context, o wire.Order) error {
	store := e.settings.WeightStore
	if !store.IsValid() {
		return nil
	}
	path, err := url.JoinPath("http://"+store.String(), "weights", string(o.Model), o.Version, o.Adapter)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errWeights, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errWeights, response.StatusCode)
	}
	return nil
}
