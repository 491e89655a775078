package issuer

import (
	"context"

	"example.org/lagoonfork/internal/orders"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
)

// view holds the order state of an upstream's service as last read or written.
type view struct {
	state *orders.State
}

// setView sets the state that Issuer.Load uses for the upstreams of the service.
// The state must not be modified afterwards.
func (c *serviceController) setView(state *orders.State) {
	i := c.issuer
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	for _, up := range c.service.Upstreams {
		i.views[up.ID] = view{state: state}
	}
}

// Load returns the load report of an upstream for use in the routing tables. If
// the service has had orders, the report contains only models that no outstanding
// order or announced unload unloads.
func (i *Issuer) Load(ctx context.Context, up configuration.Upstream) (engine.Load, error) {
	load, err := i.settings.Engines.Load(ctx, up)
	i.viewMu.Lock()
	v, ok := i.views[up.ID]
	i.viewMu.Unlock()
	if err != nil || !ok || v.state.FencingNumber == 0 {
		return load, err
	}
	load.LoadedModels = v.state.RemainingModels(up.ID, load)
	if len(load.LoadedModels) == 0 {
		// A report without models would mean that the engine does not report
		// its models.
		load.LoadedModels = []engine.LoadedModel{{}}
	}
	return load, nil
}
