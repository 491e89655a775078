package embedded

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// executedOrders returns the orders that the engines have executed.
func executedOrders(d *Deployment) (orders []engine.Order) {
	for _, e := range d.Engines {
		orders = append(orders, e.Orders()...)
	}
	return orders
}

// TestModelIsLoadedByOrder configures a model that no engine has loaded. One of
// three routers must order an unload to free memory and then a load, each exactly
// once.
func TestModelIsLoadedByOrder(t *testing.T) {
	const model = ident.Model("second-model")
	d := start(t, 3, func(s *Settings) {
		service := &s.Answers.Services[0]
		service.Models = append(service.Models, answers.Model{ID: model, Version: "1", ContextWindow: 32768, Replicas: 1})
		s.Engine.Models = []engine.LoadedModel{{Model: "test-model", Version: "1"}}
		s.Timing.Orders = 50 * time.Millisecond
	})
	require.Eventually(t, func() bool { return len(executedOrders(d)) == 2 }, waitTimeout, pollInterval)
	kinds := make(map[engine.OrderKind]ident.Model)
	for _, o := range executedOrders(d) {
		kinds[o.Kind] = o.Model
	}
	assert.Equal(t, map[engine.OrderKind]ident.Model{
		engine.OrderUnloadModel: "test-model", engine.OrderLoadModel: model,
	}, kinds)
	sendLoad(t, d, 30)
	assert.Len(t, executedOrders(d), 2)
}

// TestEnginesWithoutModelsGetNoOrders checks that the routers send no orders to
// engines that report no models.
func TestEnginesWithoutModelsGetNoOrders(t *testing.T) {
	d := start(t, 2, func(s *Settings) { s.Timing.Orders = time.Millisecond })
	sendLoad(t, d, 30)
	assert.Empty(t, executedOrders(d))
	entries, _, err := d.KeyValue.Client().List(t.Context(), "orders/")
	require.NoError(t, err)
	assert.Empty(t, entries)
}
