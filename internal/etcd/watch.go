package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/pkg/store"
)

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Revision) (_ store.Watch, err error) {
	defer func() { err = merry.Prependf(err, "watching %s from revision %d", prefix, from) }()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	body, err := json.Marshal(watchRequest(prefix, from))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	start := c.firstIndex()
	for i := range c.addresses {
		n := (start + i) % len(c.addresses)
		var w *watch
		if w, err = c.openWatch(ctx, c.addresses[n]+"/v3/watch", body); err == nil {
			w.prefix = prefix
			return w, nil
		}
	}
	return nil, err
}

// watchRequest returns the request for changes to keys with the prefix after the
// revision from.
func watchRequest(prefix string, from store.Revision) any {
	key, end := prefixRange(prefix)
	type create struct {
		Key           []byte         `json:"key"`
		RangeEnd      []byte         `json:"range_end"`
		StartRevision store.Revision `json:"start_revision,string"`
	}
	return struct {
		Create create `json:"create_request"`
	}{create{key, end, from + 1}}
}

// openWatch opens a watch at one address. The caller's context and the timeout apply
// only while it opens. The watch itself lasts until it is closed or fails.
func (c *Client) openWatch(ctx context.Context, url string, body []byte) (w *watch, err error) {
	watchCtx, cancel := context.WithCancel(c.ctx)
	defer func() {
		if err != nil {
			cancel()
		}
	}()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	timer := time.AfterFunc(c.timeout, cancel)
	defer timer.Stop()

	r, err := c.post(watchCtx, url, body)
	if err != nil {
		return nil, callError(kindRead, err)
	}
	if r.StatusCode != http.StatusOK {
		// The body, as far as it can be read, holds the reason.
		data, _ := c.readBody(r.Body)
		_ = r.Body.Close()
		return nil, statusError(kindRead, r.StatusCode, data)
	}
	w = &watch{
		cancel:  cancel,
		body:    r.Body,
		limit:   c.maxResponse,
		batches: make(chan store.Batch),
	}
	if !c.addWatch() {
		_ = r.Body.Close()
		return nil, fmt.Errorf("%w: client closed", store.ErrUnavailable)
	}
	w.tomb.Go(func() error {
		defer c.watches.Done()
		return w.run()
	})
	return w, nil
}

// watch implements store.Watch.
type watch struct {
	prefix  string
	cancel  context.CancelFunc // cancels the request
	body    io.ReadCloser
	limit   int64
	batches chan store.Batch
	tomb    tomb.Tomb
}

// Next implements store.Watch.
func (w *watch) Next(ctx context.Context) (batch store.Batch, err error) {
	defer func() { err = merry.Prependf(err, "watching %s", w.prefix) }()
	select {
	case batch := <-w.batches:
		return batch, nil
	case <-w.tomb.Dead():
		return store.Batch{}, w.tomb.Err()
	case <-ctx.Done():
		w.tomb.Kill(ctx.Err())
		w.cancel()
		return store.Batch{}, ctx.Err()
	}
}

// Close implements store.Watch.
func (w *watch) Close() error {
	w.tomb.Kill(store.ErrUnavailable)
	w.cancel()
	<-w.tomb.Dead()
	return nil
}

// run reads messages and passes on their batches until the watch ends.
func (w *watch) run() error {
	defer w.cancel()
	defer func() { _ = w.body.Close() }()
	source := &boundedReader{reader: w.body}
	decoder := json.NewDecoder(source)
	for {
		source.remaining = w.limit
		batch, err := decodeBatch(decoder)
		if err != nil {
			return err
		}
		if len(batch.Events) == 0 {
			continue
		}
		select {
		case w.batches <- batch:
		case <-w.tomb.Dying():
			return tomb.ErrDying
		}
	}
}

// watchMessage is the wire format of a message of a watch.
type watchMessage struct {
	Result *struct {
		Canceled        bool           `json:"canceled"`
		CompactRevision store.Revision `json:"compact_revision,string"`
		Events          []struct {
			Type string   `json:"type"`
			KV   keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// decodeBatch reads one message. The revision of the batch is that of its last event,
// since the revision in the header may be ahead of events still to come.
func decodeBatch(decoder *json.Decoder) (batch store.Batch, err error) {
	var message watchMessage
	if err := decoder.Decode(&message); err != nil {
		return store.Batch{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	switch {
	case message.Error != nil:
		return store.Batch{}, fmt.Errorf("%w: %s", store.ErrUnavailable, message.Error.Message)
	case message.Result == nil:
		return store.Batch{}, fmt.Errorf("%w: no result in the message", store.ErrUnavailable)
	case message.Result.CompactRevision > 0:
		return store.Batch{}, store.ErrCompacted
	case message.Result.Canceled:
		return store.Batch{}, fmt.Errorf("%w: watch canceled", store.ErrUnavailable)
	}
	for _, e := range message.Result.Events {
		event := store.Event{Entry: e.KV.entry(), Deleted: e.Type == "DELETE"}
		batch.Events = append(batch.Events, event)
		batch.Revision = event.Entry.Revision
	}
	return batch, nil
}

// errMessageTooLong reports a message of a watch larger than Settings.MaxResponse.
var errMessageTooLong = errors.New("message too long")

// boundedReader is a reader that fails after remaining bytes. Its user resets remaining
// before each message.
type boundedReader struct {
	reader    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (n int, err error) {
	if b.remaining <= 0 {
		return 0, errMessageTooLong
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err = b.reader.Read(p)
	b.remaining -= int64(n)
	return n, err
}
