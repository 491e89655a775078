package engineclient

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
)

// Load returns the load report of an upstream.
func (c *Client) Load(ctx context.Context, up configuration.Upstream) (l engine.Load, err error) {
	defer func() { err = merry.Prependf(err, "getting load of %s", up.ID) }()
	err = c.do(ctx, up, newGetCall(engine.PathLoad, func(r io.Reader) (err error) {
		l, err = engine.DecodeLoad(r)
		return err
	}))
	return l, err
}

// CacheEvents returns the changes of the engine's prefix cache whose sequence
// numbers are greater than after.
func (c *Client) CacheEvents(ctx context.Context, up configuration.Upstream, after uint64) (events []engine.CacheEvent, err error) {
	defer func() { err = merry.Prependf(err, "getting cache events of %s after %d", up.ID, after) }()
	path := engine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err = c.do(ctx, up, newGetCall(path, func(r io.Reader) (err error) {
		events, err = engine.DecodeCacheEvents(r)
		return err
	}))
	return events, err
}

// Models returns the models that an engine offers.
func (c *Client) Models(ctx context.Context, up configuration.Upstream) (l engine.ModelList, err error) {
	defer func() { err = merry.Prependf(err, "listing models of %s", up.ID) }()
	err = c.do(ctx, up, newGetCall(engine.PathModels, func(r io.Reader) (err error) {
		l, err = engine.DecodeModels(r)
		return err
	}))
	return l, err
}

// ExportCache returns the prefix cache entry with the given key.
func (c *Client) ExportCache(ctx context.Context, up configuration.Upstream, key string) (e engine.CacheEntry, err error) {
	defer func() { err = merry.Prependf(err, "exporting cache entry %q of %s", key, up.ID) }()
	err = c.do(ctx, up, call{
		method: http.MethodPost,
		path:   engine.PathCacheExport,
		body: struct {
			Key string `json:"key"`
		}{key},
		mode: transport.Pooled,
		decode: func(r io.Reader) (err error) {
			e, err = engine.DecodeCacheEntry(r)
			return err
		},
	})
	return e, err
}

// newGetCall returns a GET call over a pooled connection.
func newGetCall(path string, decode func(io.Reader) error) call {
	return call{method: http.MethodGet, path: path, mode: transport.Pooled, decode: decode}
}
