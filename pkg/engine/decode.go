package engine

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxCount is the upper limit for every number of tokens or requests in a
// message, so that sums of them do not overflow.
const maxCount = 1 << 40

// ErrMalformed reports a body that violates the protocol.
var ErrMalformed = errors.New("malformed body")

// DecodeChunk decodes a chunk of a streamed answer into c. It overwrites all of
// c and reuses the memory of its choices.
func DecodeChunk(data []byte, c *Chunk) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "decoding a chunk")
		}
	}()
	choices := c.Choices[:cap(c.Choices)]
	clear(choices)
	*c = Chunk{Choices: choices[:0]}
	if err := json.Unmarshal(data, c); err != nil {
		return malformed(err)
	}
	if u := c.Usage; u != nil && !u.valid() {
		return malformed(errors.New("usage is out of range or does not add up"))
	}
	return nil
}

// DecodeLoad decodes a load report and checks the range of its counts.
func DecodeLoad(r io.Reader) (l Load, err error) {
	defer func() { err = merry.Prepend(err, "decoding a load report") }()
	if err := decode(r, &l); err != nil {
		return Load{}, err
	}
	if !inRange(l.Slots, l.Running, l.Queued) || !inRange(l.QueuedTokens, l.RunningTokens) {
		return Load{}, malformed(errors.New("count out of range"))
	}
	return l, nil
}

// DecodeCacheEvents decodes cache events and checks that their sequence numbers
// are strictly ascending.
func DecodeCacheEvents(r io.Reader) (events []CacheEvent, err error) {
	defer func() { err = merry.Prepend(err, "decoding cache events") }()
	var body CacheEvents
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	last := uint64(0)
	for _, e := range body.Events {
		if e.Sequence <= last {
			return nil, malformed(errors.New("sequence numbers do not ascend"))
		}
		if e.Kind != CacheStored && e.Kind != CacheEvicted || !inRange(e.Tokens) {
			return nil, malformed(errors.New("unknown kind or tokens out of range"))
		}
		last = e.Sequence
	}
	return body.Events, nil
}

// DecodeOrder decodes and validates an order.
func DecodeOrder(r io.Reader) (o Order, err error) {
	defer func() { err = merry.Prepend(err, "decoding an order") }()
	if err := decode(r, &o); err != nil {
		return Order{}, err
	}
	if !o.valid() {
		return Order{}, malformed(errors.New("kind and fields do not fit"))
	}
	return o, nil
}

// DecodeModels decodes a list of models.
func DecodeModels(r io.Reader) (l ModelList, err error) {
	defer func() { err = merry.Prepend(err, "decoding a list of models") }()
	if err := decode(r, &l); err != nil {
		return ModelList{}, err
	}
	return l, nil
}

// DecodeCacheEntry decodes and validates an exported cache entry.
func DecodeCacheEntry(r io.Reader) (e CacheEntry, err error) {
	defer func() { err = merry.Prepend(err, "decoding a cache entry") }()
	if err := decode(r, &e); err != nil {
		return CacheEntry{}, err
	}
	if e.Key == "" || !inRange(e.Tokens) {
		return CacheEntry{}, malformed(errors.New("no key or tokens out of range"))
	}
	return e, nil
}

// decode reads r to its end and decodes it as one JSON value.
func decode(r io.Reader, into any) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return malformed(err)
	}
	return nil
}

// malformed returns an ErrMalformed with the given cause.
func malformed(cause error) error {
	return merry.Wrap(ErrMalformed, merry.WithCause(cause), merry.AppendMessage(cause.Error()))
}

// inRange reports whether all counts are between 0 and maxCount.
func inRange[N ~int | ~int64](counts ...N) bool {
	for _, n := range counts {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return true
}

func (u *Usage) valid() bool {
	if !inRange(u.PromptTokens, u.CompletionTokens) {
		return false
	}
	if d := u.Details; d != nil && (d.CachedTokens < 0 || d.CachedTokens > u.PromptTokens) {
		return false
	}
	return u.TotalTokens == u.PromptTokens+u.CompletionTokens
}

func (o *Order) valid() bool {
	switch o.Kind {
	case OrderLoadModel, OrderUnloadModel:
		return o.Model != ""
	case OrderLoadAdapter:
		return o.Model != "" && o.Adapter != ""
	case OrderChangeRole:
		return o.Role == RoleMixed || o.Role == RolePrefill || o.Role == RoleDecode
	}
	return false
}
