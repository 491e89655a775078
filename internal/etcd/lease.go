package etcd

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/store"
)

// lease is the wire format of a lease. TTL is in seconds.
type lease struct {
	ID  store.Lease `json:"ID,string"`
	TTL int64       `json:"TTL,string"`
}

// Grant implements store.Store. It rounds ttl up to whole seconds, the unit of the
// service.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id store.Lease, err error) {
	defer func() { err = merry.Prependf(err, "granting a lease of %s", ttl) }()
	seconds := (ttl + time.Second - 1) / time.Second
	var response lease
	err = c.call(ctx, kindWrite, "/v3/lease/grant", lease{TTL: int64(seconds)}, &response)
	if err != nil {
		return store.NoLease, err
	}
	if response.ID == store.NoLease {
		return store.NoLease, fmt.Errorf("%w: no lease in the response", store.ErrUnknown)
	}
	return response.ID, nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.Lease) (err error) {
	defer func() { err = merry.Prependf(err, "keeping lease %d alive", id) }()
	var response struct {
		Result *lease `json:"result"`
	}
	err = c.call(ctx, kindWrite, "/v3/lease/keepalive", lease{ID: id}, &response)
	switch {
	case err != nil:
		return err
	case response.Result == nil:
		return fmt.Errorf("%w: no result in the response", store.ErrUnknown)
	case response.Result.TTL <= 0:
		return store.ErrLeaseNotFound
	}
	return nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.Lease) (err error) {
	defer func() { err = merry.Prependf(err, "revoking lease %d", id) }()
	var response struct{}
	return c.call(ctx, kindWrite, "/v3/lease/revoke", lease{ID: id}, &response)
}
