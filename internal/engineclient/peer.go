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

// peer holds the transport and the open streams of one engine.
type peer struct {
	address   address
	upstream  ident.Upstream
	transport *transport.Transport
	lastUsed  time.Time // guarded by the lock of the peer's shard

	mu      sync.Mutex
	streams map[*Stream]struct{}
	// crash is the last crash, until the engine responds again; then nil.
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

func (p *peer) addStream(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[s] = struct{}{}
}

func (p *peer) removeStream(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, s)
}

func (p *peer) hasStreams() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.streams) > 0
}

// closeSilentStreams closes the connections that have been silent for limit and
// returns the number of streams of the peer.
func (p *peer) closeSilentStreams(limit time.Duration, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		a := silence.Activity(s.activity.Load())
		if s.idleDetector.Observe(a, limit, now) {
			s.closeIfSilent(a)
		}
	}
	return len(p.streams)
}

// recordCrash records that the engine has crashed and returns the error for the
// streams that the crash ends, which is the same for all of them. isNew reports
// whether the crash had not been recorded before.
func (p *peer) recordCrash(crashes *atomic.Uint64) (crash *CrashError, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crash != nil {
		return p.crash, false
	}
	p.crash = &CrashError{Upstream: p.upstream, Number: crashes.Add(1), InFlight: p.inFlightRuns()}
	return p.crash, true
}

// clearCrash records that the engine has responded.
func (p *peer) clearCrash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash = nil
}

// inFlightRuns returns the runs that the engine may have, sorted by attempt.
// The caller must hold p.mu.
func (p *peer) inFlightRuns() []InFlightRun {
	var runs []InFlightRun
	for s := range p.streams {
		if s.dispatched.Load() {
			runs = append(runs, InFlightRun{Request: s.run.Request, Attempt: s.run.Attempt})
		}
	}
	slices.SortFunc(runs, func(a, b InFlightRun) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return runs
}
