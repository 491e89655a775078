package gateway

import (
	"context"
	"errors"
	"net/http"

	"example.org/lagoonfork/pkg/store"
)

// header is the header of every response.
type header struct {
	Revision store.Revision `json:"revision,string,omitempty"`
}

// keyValue is the wire format of an entry.
type keyValue struct {
	Key         []byte         `json:"key"`
	Value       []byte         `json:"value,omitempty"`
	ModRevision store.Revision `json:"mod_revision,string,omitempty"`
	Lease       store.Lease    `json:"lease,string,omitempty"`
}

func newKeyValue(e store.Entry) keyValue {
	return keyValue{
		Key:         []byte(e.Key),
		Value:       e.Value,
		ModRevision: e.Revision,
		Lease:       e.Lease,
	}
}

func (h *Handler) rangeKeys(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
	}
	if !decode(w, r, &request) {
		return
	}
	prefix, ok := prefixFromRange(request.Key, request.RangeEnd)
	if len(request.RangeEnd) > 0 && !ok {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "the range is not a prefix")
		return
	}
	var response struct {
		Header header     `json:"header"`
		KVs    []keyValue `json:"kvs,omitempty"`
		Count  int        `json:"count,string,omitempty"`
	}
	entries, revision, err := h.read(r.Context(), string(request.Key), prefix, ok)
	for _, e := range entries {
		response.KVs = append(response.KVs, newKeyValue(e))
	}
	response.Header.Revision = revision
	response.Count = len(entries)
	writeResponse(w, response, err)
}

// read returns the entries with the given prefix if list is set, or else the
// entry of the key.
func (h *Handler) read(ctx context.Context, key, prefix string, list bool) ([]store.Entry, store.Revision, error) {
	if list {
		return h.store.List(ctx, prefix)
	}
	entry, err := h.store.Get(ctx, key)
	if err != nil || !entry.Exists() {
		return nil, 0, err
	}
	return []store.Entry{entry}, entry.Revision, nil
}

// comparison is a condition of a transaction. Only the equality of the mod
// revision is supported.
type comparison struct {
	Key         []byte         `json:"key"`
	Target      string         `json:"target"`
	Result      string         `json:"result"`
	ModRevision store.Revision `json:"mod_revision,string"`
}

// operation is a write of a transaction: a put or a deletion.
type operation struct {
	Put *struct {
		Key   []byte      `json:"key"`
		Value []byte      `json:"value"`
		Lease store.Lease `json:"lease,string"`
	} `json:"request_put"`
	Delete *struct {
		Key []byte `json:"key"`
	} `json:"request_delete_range"`
}

// transaction writes one key under at most one condition on that key and one on another.
type transaction struct {
	Compare []comparison `json:"compare"`
	Success []operation  `json:"success"`
}

func (h *Handler) txn(w http.ResponseWriter, r *http.Request) {
	var request transaction
	if !decode(w, r, &request) {
		return
	}
	cond, err := request.condition()
	if err != nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return
	}
	var response struct {
		Header    header `json:"header"`
		Succeeded bool   `json:"succeeded,omitempty"`
	}
	response.Header.Revision, err = h.apply(r.Context(), request.Success[0], cond)
	response.Succeeded = err == nil
	if errors.Is(err, store.ErrConflict) {
		err = nil
	}
	writeResponse(w, response, err)
}

// condition validates the transaction and returns its condition.
func (t transaction) condition() (store.Condition, error) {
	if len(t.Success) != 1 || len(t.Compare) > 2 {
		return store.Always, errors.New("a transaction has one operation and at most two comparisons")
	}
	op := t.Success[0]
	if (op.Put == nil) == (op.Delete == nil) {
		return store.Always, errors.New("an operation is a put or a deletion")
	}
	cond := store.Always
	for n, c := range t.Compare {
		own := string(c.Key) == op.key()
		switch {
		case c.Target != "MOD" || c.Result != "EQUAL":
			return store.Always, errors.New("a comparison is of the mod revision of a key")
		case own && n == 0:
			cond = store.If(c.ModRevision)
		case !own && n == len(t.Compare)-1:
			cond = cond.And(string(c.Key), c.ModRevision)
		default:
			return store.Always, errors.New("the comparisons are of the key that is written and then of one other key")
		}
	}
	return cond, nil
}

// key returns the key that the operation writes.
func (op operation) key() string {
	if op.Put != nil {
		return string(op.Put.Key)
	}
	return string(op.Delete.Key)
}

// apply executes the operation under cond. A deletion returns revision 0.
func (h *Handler) apply(ctx context.Context, op operation, cond store.Condition) (store.Revision, error) {
	if op.Put != nil {
		return h.store.Put(ctx, op.key(), op.Put.Value, cond, op.Put.Lease)
	}
	return 0, h.store.Delete(ctx, op.key(), cond)
}

// prefixFromRange returns the prefix covered by the range from key to end. It
// returns false if the range is not that of a prefix.
func prefixFromRange(key, end []byte) (prefix string, ok bool) {
	if len(key) == 1 && key[0] == 0 && len(end) == 1 && end[0] == 0 {
		return "", true
	}
	last := len(key) - 1
	if last < 0 || len(end) != len(key) || key[last] == 0xff {
		return "", false
	}
	if string(key[:last]) != string(end[:last]) || end[last] != key[last]+1 {
		return "", false
	}
	return string(key), true
}
