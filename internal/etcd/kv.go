package etcd

import (
	"context"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/store"
)

// header is the header of a response.
type header struct {
	Revision store.Revision `json:"revision,string"`
}

// keyValue is the wire format of an entry.
type keyValue struct {
	Key         []byte         `json:"key"`
	Value       []byte         `json:"value"`
	ModRevision store.Revision `json:"mod_revision,string"`
	Lease       store.Lease    `json:"lease,string"`
}

func (kv keyValue) entry() store.Entry {
	return store.Entry{
		Key:      string(kv.Key),
		Value:    kv.Value,
		Revision: kv.ModRevision,
		Lease:    kv.Lease,
	}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	defer func() { err = merry.Prependf(err, "getting %s", key) }()
	r, err := c.readRange(ctx, []byte(key), nil)
	if err != nil || len(r.KVs) == 0 {
		return store.Entry{Key: key}, err
	}
	return r.KVs[0].entry(), nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) (entries []store.Entry, revision store.Revision, err error) {
	defer func() { err = merry.Prependf(err, "listing %s", prefix) }()
	key, end := prefixRange(prefix)
	r, err := c.readRange(ctx, key, end)
	if err != nil {
		return nil, 0, err
	}
	for _, kv := range r.KVs {
		entries = append(entries, kv.entry())
	}
	return entries, r.Header.Revision, nil
}

// rangeResponse is the response to a range request.
type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

// readRange reads the entries from key up to, but not including, end. If end is nil, it
// reads only key.
func (c *Client) readRange(ctx context.Context, key, end []byte) (r rangeResponse, err error) {
	request := struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}{key, end}
	err = c.call(ctx, kindRead, "/v3/kv/range", request, &r)
	return r, err
}

// put is the wire format of a put.
type put struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease store.Lease `json:"lease,string"`
}

// deletion is the wire format of a deletion.
type deletion struct {
	Key []byte `json:"key"`
}

// operation is the wire format of one operation of a transaction.
type operation struct {
	Put    *put      `json:"request_put,omitempty"`
	Delete *deletion `json:"request_delete_range,omitempty"`
}

// comparison is the wire format of one condition of a transaction.
type comparison struct {
	Key         []byte         `json:"key"`
	Target      string         `json:"target"`
	Result      string         `json:"result"`
	ModRevision store.Revision `json:"mod_revision,string"`
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond store.Condition, lease store.Lease) (r store.Revision, err error) {
	defer func() { err = merry.Prependf(err, "putting %s", key) }()
	if len(value) > store.MaxValueSize {
		return 0, store.ErrTooLarge
	}
	op := operation{Put: &put{Key: []byte(key), Value: value, Lease: lease}}
	return c.txn(ctx, key, cond, op)
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, cond store.Condition) (err error) {
	defer func() { err = merry.Prependf(err, "deleting %s", key) }()
	op := operation{Delete: &deletion{Key: []byte(key)}}
	_, err = c.txn(ctx, key, cond, op)
	return err
}

// newComparison returns the comparison of a key's revision with r.
func newComparison(key string, r store.Revision) comparison {
	return comparison{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: r}
}

// txn runs op on key if cond holds.
func (c *Client) txn(ctx context.Context, key string, cond store.Condition, op operation) (store.Revision, error) {
	request := struct {
		Compare []comparison `json:"compare,omitempty"`
		Success []operation  `json:"success"`
	}{Success: []operation{op}}
	if r, guarded := cond.Guard(); guarded {
		request.Compare = append(request.Compare, newComparison(key, r))
	}
	if other, r, ok := cond.Other(); ok {
		request.Compare = append(request.Compare, newComparison(other, r))
	}
	var response struct {
		Header    header `json:"header"`
		Succeeded bool   `json:"succeeded"`
	}
	if err := c.call(ctx, kindWrite, "/v3/kv/txn", request, &response); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, store.ErrConflict
	}
	return response.Header.Revision, nil
}

// prefixRange returns the range of keys with the prefix. An end of a single zero byte
// stands for all keys from key on.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}
