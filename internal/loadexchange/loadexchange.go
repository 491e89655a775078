// Package loadexchange tells the routers of a fleet what each of them has sent to the upstreams.
//
// Each router sends its samples to the relay of its failure domain and gets the load of the fleet
// in the response; relays send those of their domain to each other. Package collector merges
// what arrives, and package plan decides whom to call and when. This package holds the calls.
// They are made by goroutines of their own, so that a router that is silent or slow delays no
// request. While nothing arrives, View returns nil and each router relies on its own requests.
// See docs/design/load-exchange.md.
//
// # Usage
//
//	e := loadexchange.New(loadexchange.Settings{VM: vm, Members: members, Samples: roster.Samples, ...})
//	defer e.Close()
//	mux.Handle(pat.Post(loadexchange.Path), e)
//	view := e.View(now)
package loadexchange

import (
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/load"
	"example.org/lagoonfork/internal/loadexchange/collector"
	"example.org/lagoonfork/internal/loadexchange/plan"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/peerlink"
	"example.org/lagoonfork/pkg/ident"
)

// Path is the path at which routers receive the load of others.
const Path = "/peer/load"

const (
	// dutyName is the name of the relay's duty, which determines the order of the routers.
	dutyName = "load"
	// callTimeout bounds the wait for a response of another router.
	callTimeout = 150 * time.Millisecond
	// jitter is the part of an interval by which it varies, so that the routers do not call
	// their relay at the same time.
	jitter = 0.1
	// minTotalsAge is the age up to which totals are used for further responses, also if the
	// interval is short.
	minTotalsAge = 100 * time.Millisecond
)

// Settings configures an Exchange. All fields but LinkBytes are required.
type Settings struct {
	VM            ident.VM
	Incarnation   ident.Incarnation
	FailureDomain ident.FailureDomain
	// LinkBytes is the capacity of the VM's link in bytes per second, or 0 if it is not known.
	LinkBytes float64
	// Members returns the records of all routers.
	Members func() []membership.Record
	// Samples returns what this router has on upstreams.
	Samples func(now time.Time) []load.Sample
	Clock   func() time.Time
	Log     hclog.Logger
}

// poster makes calls to other routers.
type poster interface {
	Post(ctx context.Context, address netip.AddrPort, path string, payload, result any) error
	Close()
}

// Exchange exchanges the load of upstreams with other routers, and is the handler for their calls.
// Its methods are safe for concurrent use.
type Exchange struct {
	settings Settings
	links    poster
	codec    *codec
	tomb     tomb.Tomb
	calls    sync.WaitGroup // to relays of other domains
	retired  atomic.Bool
	counters expvar.Map

	collector *collector.Collector // View needs no lock

	mu       sync.Mutex
	plan     *plan.Plan
	fleet    fleet
	running  bool
	relay    bool // in the last exchange
	interval time.Duration
	sizes    plan.Sizes
	totals   totals            // of the last response as relay
	received totals            // from the relay
	calling  map[ident.VM]bool // relays of other domains with a call in progress
}

// totals are what a response carries.
type totals struct {
	collector.Totals
	rows
	until time.Time // when they are no longer used
}

// New returns an Exchange and starts its background goroutine.
func New(s Settings) *Exchange {
	e := newExchange(s, peerlink.New(peerlink.Settings{Timeout: callTimeout, Clock: s.Clock}))
	e.tomb.Go(e.loop)
	return e
}

// newExchange returns an Exchange without a background goroutine.
func newExchange(s Settings, links poster) *Exchange {
	e := &Exchange{
		settings:  s,
		links:     links,
		codec:     newCodec(),
		collector: collector.New(collector.Settings{VM: s.VM, Incarnation: s.Incarnation, Domain: s.FailureDomain}),
		plan:      plan.New(plan.Router{VM: s.VM, Domain: s.FailureDomain}),
		interval:  plan.MinInterval,
		calling:   make(map[ident.VM]bool),
	}
	e.counters.Set("intervalMillis", expvar.Func(e.intervalMillis))
	e.counters.Set("viewRows", expvar.Func(func() any { return len(e.View(s.Clock()).Samples()) }))
	return e
}

func (e *Exchange) intervalMillis() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.interval.Milliseconds()
}

// Counters returns the numbers of calls and of the bytes of their bodies, the interval and the size
// of the view.
func (e *Exchange) Counters() expvar.Var { return &e.counters }

// View returns the load of upstreams as the other routers see it, or nil if nothing is known of it.
// It takes no lock.
func (e *Exchange) View(now time.Time) *load.View { return e.collector.View(now) }

// Retire leaves the duty of the relay to the router that ranks next. The router still sends its
// own samples.
func (e *Exchange) Retire() { e.retired.Store(true) }

// Close stops the calls, tells the relay that this router has no more requests, and closes all
// connections.
func (e *Exchange) Close() error {
	e.Retire()
	e.tomb.Kill(nil)
	err := e.tomb.Wait()
	e.calls.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	e.leave(ctx)
	e.links.Close()
	e.codec.close()
	return err
}

func (e *Exchange) loop() error {
	ctx := e.tomb.Context(context.Background())
	for {
		wait := e.exchange(ctx)
		wait = time.Duration(float64(wait) * (1 - jitter + 2*jitter*rand.Float64()))
		select {
		case <-time.After(wait):
		case <-e.tomb.Dying():
			return nil
		}
	}
}

// round is what is sent in one exchange.
type round struct {
	plan.Route
	wait time.Duration
	own  json.RawMessage // to the relay
	// joined goes to the relays of other domains.
	joined json.RawMessage
}

// exchange calls the relay, or as relay those of the other domains, and returns the time until the
// next exchange.
func (e *Exchange) exchange(ctx context.Context) time.Duration {
	r, ok := e.begin(e.settings.Clock())
	if !ok {
		return r.wait
	}
	for _, candidates := range r.Domains {
		if e.startCall(candidates[0]) {
			e.calls.Go(func() {
				defer e.endCall(candidates[0])
				e.callDomain(ctx, candidates, r.joined)
			})
		}
	}
	reached := r.Relay && r.Preferred == e.settings.VM
	for _, vm := range r.Relays {
		if e.callRelay(ctx, vm, r) {
			reached = vm == r.Preferred
			break
		}
		if ctx.Err() != nil {
			return r.wait
		}
	}
	if r.Preferred != "" {
		e.notify(r.Preferred, reached)
	}
	return r.wait
}

// begin states the own samples and prepares the messages of one exchange. It returns false if the
// fleet is too small.
func (e *Exchange) begin(now time.Time) (r round, ok bool) {
	records := e.settings.Members()
	if !plan.Runs(len(records)) {
		e.stopRunning()
		return round{wait: plan.IdleInterval}, false
	}
	samples := e.settings.Samples(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running {
		e.running = true
		event.LoadExchangeStarted.Info(e.settings.Log, "routers", len(records))
	}
	e.fleet.update(now, records)
	r.Route = e.plan.Route(now, e.fleet.ranked, e.retired.Load())
	e.relay = r.Relay
	if r.Relay {
		e.sizes.Members, e.sizes.Domains = len(e.collector.Senders(now)), len(r.Domains)
		e.interval = min(plan.Interval(e.sizes, e.settings.LinkBytes), collector.MaxEvery)
	}
	own := e.collector.State(now, plan.Pause(e.interval, len(samples) == 0), samples)
	r.wait = own.Every
	if !r.Relay {
		r.own = e.encode(now, message{View: true, Asks: append(e.collector.Senders(now), own.Incarnation)}, append(e.collector.Forward(now), own))
		return r, true
	}
	e.collector.Merge(now, own.Every)
	joined := e.collector.Join(now, e.interval)
	if len(joined.Samples) > 0 {
		r.wait = e.interval
	}
	r.joined = e.encode(now, message{}, []collector.Batch{joined})
	e.sizes.Joined = len(r.joined)
	return r, true
}

// stopRunning drops the view of a fleet that has become small.
func (e *Exchange) stopRunning() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running, e.relay = false, false
	e.totals, e.received = totals{}, totals{}
	e.collector.Reset()
}

// encode returns the body of a message with the batches. A batch that cannot be encoded is left
// out.
func (e *Exchange) encode(now time.Time, m message, batches []collector.Batch) json.RawMessage {
	for _, b := range batches {
		encoded, err := e.codec.encodeBatch(now, b)
		if err != nil {
			e.counters.Add("notEncoded", 1)
			continue
		}
		m.Batches = append(m.Batches, encoded)
	}
	data, err := json.Marshal(m)
	if err != nil {
		e.counters.Add("notEncoded", 1)
		return nil
	}
	return data
}

// leave tells the relay that this router has no requests.
func (e *Exchange) leave(ctx context.Context) {
	now := e.settings.Clock()
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	route := e.plan.Route(now, e.fleet.ranked, true)
	body := e.encode(now, message{}, []collector.Batch{e.collector.State(now, e.interval, nil)})
	e.mu.Unlock()
	for _, vm := range route.Relays {
		if _, ok := e.call(ctx, vm, body); ok || ctx.Err() != nil {
			return
		}
	}
}
