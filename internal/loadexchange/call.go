package loadexchange

import (
	"context"
	"encoding/json"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/loadexchange/collector"
	"example.org/lagoonfork/internal/loadexchange/plan"
	"example.org/lagoonfork/pkg/ident"
)

// callRelay sends the own samples to a relay and reports whether it responded.
func (e *Exchange) callRelay(ctx context.Context, vm ident.VM, r round) bool {
	data, ok := e.call(ctx, vm, r.own)
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accept(e.settings.Clock(), data, r.wait)
}

// accept makes the view from the body of a relay's response, given the time until the next
// exchange. It reports whether the body can be read. The caller holds mu.
func (e *Exchange) accept(now time.Time, data []byte, wait time.Duration) bool {
	var r reply
	if err := json.Unmarshal(data, &r); err != nil {
		e.counters.Add("unreadable", 1)
		return false
	}
	t := totals{Totals: collector.Totals{At: now.Add(-duration(r.AgeMillis)), Included: r.Included}, rows: r.rows}
	samples, err := e.codec.decode(t.At, r.rows)
	if err != nil {
		e.counters.Add("unreadable", 1)
		return false
	}
	t.Samples = samples
	e.interval = min(max(duration(r.EveryMillis), plan.MinInterval), collector.MaxEvery)
	if !e.collector.Accept(t.Totals, max(e.interval, wait)) {
		e.counters.Add("notSubtracted", 1)
		return true
	}
	t.until = t.At.Add(collector.Validity * max(e.interval, wait))
	e.received = t
	return true
}

// callDomain sends the samples of this domain to the first router of another domain that responds.
func (e *Exchange) callDomain(ctx context.Context, candidates []ident.VM, body json.RawMessage) {
	for _, vm := range candidates {
		if _, ok := e.call(ctx, vm, body); ok || ctx.Err() != nil {
			return
		}
	}
}

// startCall reports whether no call to the relay of another domain is in progress, and records
// that there is one.
func (e *Exchange) startCall(first ident.VM) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calling[first] {
		return false
	}
	e.calling[first] = true
	return true
}

func (e *Exchange) endCall(first ident.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.calling, first)
}

// call posts a body to a router and returns that of the response. A router that does not respond
// is passed over for some time.
func (e *Exchange) call(ctx context.Context, vm ident.VM, body json.RawMessage) (data json.RawMessage, ok bool) {
	e.mu.Lock()
	address, known := e.fleet.addresses[vm]
	e.mu.Unlock()
	if !known || body == nil {
		return nil, false
	}
	e.counters.Add("calls", 1)
	e.counters.Add("bytesSent", int64(len(body)))
	err := e.links.Post(ctx, address, Path, body, &data)
	if err != nil {
		e.counters.Add("callsFailed", 1)
		if ctx.Err() == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.plan.Fail(e.settings.Clock(), vm)
		}
		return nil, false
	}
	e.counters.Add("bytesReceived", int64(len(data)))
	return data, true
}

// notify logs that the preferred relay was lost or regained.
func (e *Exchange) notify(relay ident.VM, reached bool) {
	e.mu.Lock()
	notice := e.plan.Notice(e.settings.Clock(), reached)
	e.mu.Unlock()
	switch notice {
	case plan.Lost:
		event.LoadRelayLost.Info(e.settings.Log, "relay", relay)
	case plan.Regained:
		event.LoadRelayRegained.Info(e.settings.Log, "relay", relay)
	}
}
