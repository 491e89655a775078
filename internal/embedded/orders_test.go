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

// given returns the orders that each engine carried out.
func given(d *Deployment) (all []engine.Order) {
	for _, e := range d.Engines {
		all = append(all, e.Orders()...)
	}
	return all
}

// TestModelIsLoadedByOrder adds a model that no engine has loaded. One router of
// three makes room for it and has it loaded, once.
func TestModelIsLoadedByOrder(t *testing.T) {
	const model = ident.Model("second-model")
	d := start(t, 3, func(s *Settings) {
		service := &s.Answers.Services[0]
		service.Models = append(service.Models, answers.Model{ID: model, Version: "1", ContextWindow: 32768, Replicas: 1})
		s.Engine.Models = []engine.LoadedModel{{Model: "test-model", Version: "1"}}
		s.Timing.Orders = 50 * time.Millisecond
	})
	require.Eventually(t, func() bool { return len(given(d)) == 2 }, waitFor, tick)
	kinds := make(map[engine.OrderKind]ident.Model)
	for _, o := range given(d) {
		kinds[o.Kind] = o.Model
	}
	assert.Equal(t, map[engine.OrderKind]ident.Model{
		engine.OrderUnloadModel: "test-model", engine.OrderLoadModel: model,
	}, kinds)
	load(t, d, 30)
	assert.Len(t, given(d), 2)
}

// TestEnginesWithoutModelsGetNoOrders runs the usual deployment, whose engines
// report no models.
func TestEnginesWithoutModelsGetNoOrders(t *testing.T) {
	d := start(t, 2, func(s *Settings) { s.Timing.Orders = time.Millisecond })
	load(t, d, 30)
	assert.Empty(t, given(d))
	entries, _, err := d.KeyValue.Client().List(t.Context(), "orders/")
	require.NoError(t, err)
	assert.Empty(t, entries)
}
