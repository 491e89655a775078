package engineclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// Order sends an order to the engine at most once. It returns ErrStaleOrder if
// the engine rejected the fencing number, ErrNotRun if the engine certainly did
// not execute the order, ErrRefused if it rejected the order, and ErrResponseLost if it
// may have executed it.
func (c *Client) Order(ctx context.Context, up configuration.Upstream, order engine.Order) (err error) {
	defer func() { err = merry.Prependf(err, "ordering %s at %s", order.Kind, up.ID) }()
	err = c.do(ctx, up, call{method: http.MethodPost, path: engine.PathOrders, body: order, mode: transport.Fresh})
	var refused *RefusalError
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		event.OrderStale.Warn(c.settings.Log, "upstream", up.ID, "kind", order.Kind,
			"fencingNumber", order.FencingNumber)
		return fmt.Errorf("%w: %s", ErrStaleOrder, refused.Message)
	}
	return err
}

// Cancel stops the runs of a request. It succeeds if the run has ended or the
// engine does not know it.
func (c *Client) Cancel(ctx context.Context, up configuration.Upstream, request ident.Request) (err error) {
	defer func() { err = merry.Prependf(err, "cancelling request %s at %s", request, up.ID) }()
	return c.cancel(ctx, up, request, nil)
}

// ImportCache imports a prefix cache entry that was exported by another engine.
func (c *Client) ImportCache(ctx context.Context, up configuration.Upstream, entry engine.CacheEntry) (err error) {
	defer func() { err = merry.Prependf(err, "importing cache entry %q into %s", entry.Key, up.ID) }()
	return c.do(ctx, up, call{method: http.MethodPost, path: engine.PathCacheImport, body: entry, mode: transport.Pooled})
}

func (c *Client) cancel(ctx context.Context, up configuration.Upstream, request ident.Request, header http.Header) error {
	err := c.do(ctx, up, call{method: http.MethodDelete, path: streamPath(request), header: header, mode: transport.Fresh})
	var refused *RefusalError
	if errors.As(err, &refused) && (refused.Status == http.StatusNotFound || refused.Status == http.StatusGone) {
		return nil
	}
	return err
}

// cancelRun stops the stream's own run and no other run of the same request.
func (s *Stream) cancelRun() {
	header := http.Header{engine.HeaderAttempt: {string(s.run.Attempt)}}
	if err := s.client.cancel(s.client.ctx, s.upstream, s.run.Request, header); err != nil {
		event.CancelFailed.Warn(s.client.settings.Log, "request", s.run.Request, "attempt", s.run.Attempt,
			"upstream", s.upstream.ID, "cause", err.Error())
	}
}
