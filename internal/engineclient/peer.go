package engineclient

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/lagoonfork/internal/silence"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/ident"
)

// peer is one engine with the streams from it.
type peer struct {
	address   address
	upstream  ident.Upstream
	transport *transport.Transport
	used      time.Time // guarded by the lock of the peer's shard

	mu      sync.Mutex
	streams map[*Stream]struct{}
	// crash is the crash that the peer has not yet come back from.
	crash *CrashError
}

func newPeer(a address, upstream ident.Upstream, s transport.Settings) *peer {
	return &peer{
		address:   a,
		upstream:  upstream,
		transport: transport.New(s),
		streams:   make(map[*Stream]struct{}),
	}
}

func (p *peer) url(path string) string {
	return "http://" + string(p.address) + path
}

func (p *peer) add(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[s] = struct{}{}
}

func (p *peer) remove(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, s)
}

func (p *peer) inUse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.streams) > 0
}

// check gives up the silent connections of the peer and returns the number of
// its streams.
func (p *peer) check(limit time.Duration, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		a := silence.Activity(s.activity.Load())
		if s.watch.Observe(a, limit, now) {
			s.giveUp(a)
		}
	}
	return len(p.streams)
}

// crashed records that the engine refuses connections. All streams that one
// crash ends get the same error. It reports whether the crash is a new one.
func (p *peer) crashed(crashes *atomic.Uint64) (crash *CrashError, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crash != nil {
		return p.crash, false
	}
	p.crash = &CrashError{Upstream: p.upstream, Crash: crashes.Add(1), InFlight: p.flights()}
	return p.crash, true
}

// alive records that the engine has answered.
func (p *peer) alive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash = nil
}

// flights returns the runs that may be at the engine, in order of attempt.
func (p *peer) flights() []Flight {
	var flights []Flight
	for s := range p.streams {
		if s.dispatched.Load() {
			flights = append(flights, Flight{Request: s.run.Request, Attempt: s.run.Attempt})
		}
	}
	slices.SortFunc(flights, func(a, b Flight) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return flights
}
