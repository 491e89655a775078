package issuer

import (
	"context"

	"example.org/lagoonfork/internal/orders"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
)

// view is the book that an upstream is in, as it was last read.
type view struct {
	book *orders.Book
}

// look keeps the book for Staying. The book must not change any more.
func (d *desk) look(book *orders.Book) {
	i := d.issuer
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	for _, up := range d.service.Upstreams {
		i.views[up.ID] = view{book: book}
	}
}

// Load returns the upstream's report for the routing tables. Of an engine that
// gets orders, it holds only the models that no order takes away.
func (i *Issuer) Load(ctx context.Context, up configuration.Upstream) (engine.Load, error) {
	load, err := i.settings.Engines.Load(ctx, up)
	i.viewMu.Lock()
	v, ok := i.views[up.ID]
	i.viewMu.Unlock()
	if err != nil || !ok || v.book.FencingNumber == 0 {
		return load, err
	}
	load.LoadedModels = v.book.Staying(up.ID, load)
	if len(load.LoadedModels) == 0 {
		// A report without any model would be taken for one that does not tell.
		load.LoadedModels = []engine.LoadedModel{{}}
	}
	return load, nil
}
