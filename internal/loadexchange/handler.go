package loadexchange

import (
	"encoding/json"
	"net/http"
	"time"

	"example.org/lagoonfork/internal/loadexchange/collector"
	"example.org/lagoonfork/pkg/ident"
)

// ServeHTTP receives the batches of other routers. It responds with status 503 if this router is
// about to stop and 400 to a body that cannot be read.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	if e.retired.Load() {
		http.Error(w, "the router is about to stop", http.StatusServiceUnavailable)
		return
	}
	var m message
	body := http.MaxBytesReader(w, h.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&m); err != nil {
		e.counters.Add("unreadable", 1)
		http.Error(w, "the samples cannot be read", http.StatusBadRequest)
		return
	}
	r, err := e.receive(e.settings.Clock(), m, int(max(h.ContentLength, 0)))
	if err != nil {
		e.counters.Add("unreadable", 1)
		http.Error(w, "the samples cannot be read", http.StatusBadRequest)
		return
	}
	data, err := json.Marshal(r)
	if err != nil {
		http.Error(w, "the response cannot be encoded", http.StatusInternalServerError)
		return
	}
	e.counters.Add("received", 1)
	e.counters.Add("bytesReceived", max(h.ContentLength, 0))
	e.counters.Add("bytesSent", int64(len(data)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the caller calls again in its next exchange
}

// receive records a message of the given size and returns the reply.
func (e *Exchange) receive(now time.Time, m message, size int) (r reply, err error) {
	if len(m.Batches) > maxBatches {
		return r, errTooManyBatches
	}
	batches := make([]collector.Batch, 0, len(m.Batches))
	for _, b := range m.Batches {
		decoded, err := e.codec.decodeBatch(now, b)
		if err != nil {
			return r, err
		}
		batches = append(batches, decoded)
	}
	if len(batches) > 0 {
		e.receiveBatches(now, batches)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.EveryMillis = millis(e.interval)
	if !m.View {
		return r, nil
	}
	e.sizes.Post = mean(e.sizes.Post, size)
	t, err := e.response(now)
	if err != nil {
		return r, err
	}
	r.rows, r.AgeMillis = t.rows, millis(now.Sub(t.At))
	r.Included = make(map[ident.Incarnation]collector.Sequence, len(m.Asks))
	for _, i := range m.Asks {
		if n, known := t.Included[i]; known || t == &e.totals {
			r.Included[i] = n
		}
	}
	return r, nil
}

// receiveBatches records the batches of known routers.
func (e *Exchange) receiveBatches(now time.Time, batches []collector.Batch) {
	records := e.settings.Members()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.update(now, records)
	known, unknown := e.fleet.known(now, batches)
	e.counters.Add("unknown", unknown)
	for _, b := range known {
		e.collector.Receive(now, b)
	}
}

// response returns the totals for a response: those of the relay, or if this router is one, its
// own. Totals are used for several responses, because most of their cost is in the encoding. The
// caller holds mu.
func (e *Exchange) response(now time.Time) (*totals, error) {
	if !e.relay && now.Before(e.received.until) {
		return &e.received, nil
	}
	if now.Before(e.totals.until) {
		return &e.totals, nil
	}
	t := e.collector.Totals(now)
	r, err := e.codec.encode(t.At, t.Samples)
	if err != nil {
		return nil, err
	}
	e.totals = totals{Totals: t, rows: r, until: now.Add(max(e.interval/2, minTotalsAge))}
	e.sizes.View = r.size
	return &e.totals, nil
}
