// Package engine is a small stand-in for a model engine.
//
// It batches continuously in a number of slots, keeps a limited prefix cache,
// and generates answers that are a function of their prompts, so that a test
// can tell whether a caller got its own whole answer. Faults can be set at any
// time.
//
// A second run of a request is run again, and counted. A resumption reads the
// run of its attempt, or else the latest run of its request.
//
// # Usage
//
//	e, err := engine.New(engine.Settings{Slots: 4, TokenPace: time.Millisecond})
//	defer e.Close()
//	upstream.Address = e.Address()
//	...
//	assert.Equal(t, engine.ExpectedAnswer(prompt, maxTokens), got)
package engine

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Defaults of Settings.
const (
	defaultSlots       = 8
	defaultCacheTokens = 1 << 16
	defaultHeartbeat   = time.Second
)

// Settings of an Engine. Zero values stand for defaults.
type Settings struct {
	Slots          int
	TokenPace      time.Duration // between two tokens of one answer
	PrefillPace    time.Duration // for each prompt token that is not cached
	CacheTokens    tokens.Count  // capacity of the prefix cache
	CacheDelay     time.Duration // age at which cache events are published
	CacheGapEvery  int           // every so many events one is lost; 0 for none
	LoadLag        time.Duration // age of the load reports
	Models         []wire.LoadedModel
	ChecksFencing  bool
	WeightStore    netip.AddrPort // asked for the weights of models to load
	HeartbeatEvery time.Duration  // between the comments sent while no token is ready
	Clock          func() time.Time
}

func (s Settings) withDefaults() Settings {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.CacheTokens == 0 {
		s.CacheTokens = defaultCacheTokens
	}
	if s.HeartbeatEvery == 0 {
		s.HeartbeatEvery = defaultHeartbeat
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	return s
}

// Engine is a model engine. Its methods are safe for concurrent use.
type Engine struct {
	settings Settings
	address  netip.AddrPort
	t        tomb.Tomb

	mu        sync.Mutex
	faults    Faults
	leaving   bool
	began     time.Time // of the present life
	life      *life     // nil while crashed
	started   map[ident.Request]int
	generated tokens.Count
	load      loadLog
	cache     prefixCache
	models    []wire.LoadedModel
	role      wire.Role
	fencing   uint64
	orders    []wire.Order
}

// life is the time between a start of the engine and its crash.
type life struct {
	engine   *Engine
	ctx      context.Context
	end      context.CancelFunc
	listener *listener
	server   *http.Server

	// The following are guarded by Engine.mu.
	runs          map[ident.Attempt]*run
	latest        map[ident.Request]*run
	kept          []*run // the known runs, the oldest first
	queue         []*run
	queuedTokens  tokens.Count
	running       int
	runningTokens tokens.Count
}

// New starts an engine on a free port of 127.0.0.1.
func New(s Settings) (*Engine, error) {
	s = s.withDefaults()
	e := &Engine{
		settings: s,
		address:  netip.MustParseAddrPort("127.0.0.1:0"),
		started:  make(map[ident.Request]int),
		cache:    prefixCache{capacity: s.CacheTokens, gapEvery: s.CacheGapEvery},
		models:   s.Models,
		role:     wire.RoleMixed,
	}
	e.t.Go(func() error {
		<-e.t.Dying()
		return nil
	})
	if err := e.Restart(); err != nil {
		e.t.Kill(nil)
		return nil, err
	}
	return e, nil
}

// Address returns where the engine listens.
func (e *Engine) Address() netip.AddrPort { return e.address }

// Close ends all runs and waits.
func (e *Engine) Close() error {
	e.Crash()
	e.t.Kill(nil)
	return e.t.Wait()
}

// SetFaults puts faults in force, in place of those before.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.LoadFrozen && !e.faults.LoadFrozen {
		e.load.freeze(e.settings.Clock().Add(-e.settings.LoadLag))
	}
	e.faults = f
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.recordLoad()
}

// Crash resets all connections and refuses new ones until Restart. All runs
// are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l == nil {
		return
	}
	_ = l.listener.Close()
	l.listener.reset()
	l.end()
	_ = l.server.Close()
}

// Restart ends a crash. The engine listens on the same address as before, with
// an empty cache.
func (e *Engine) Restart() error {
	raw, err := net.Listen("tcp", e.address.String())
	if err != nil {
		return err
	}
	l := &life{
		engine:   e,
		listener: newListener(raw, e.silent),
		runs:     make(map[ident.Attempt]*run),
		latest:   make(map[ident.Request]*run),
	}
	l.ctx, l.end = context.WithCancel(e.t.Context(context.Background()))
	l.server = &http.Server{
		Handler:     l.handler(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = raw.Addr().(*net.TCPAddr).AddrPort()
	e.life = l
	e.began = e.settings.Clock()
	e.cache.clear()
	e.recordLoad()
	e.t.Go(func() error {
		_ = l.server.Serve(l.listener)
		return nil
	})
	return nil
}

// Crashed reports whether the engine has crashed and was not restarted.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life == nil
}

// Mute makes all open connections silent for good. New ones work.
func (e *Engine) Mute() {
	e.mu.Lock()
	l := e.life
	e.mu.Unlock()
	if l != nil {
		l.listener.mute()
	}
}

// Runs returns how often the request was started.
func (e *Engine) Runs(request ident.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started[request]
}

// TotalRuns returns how many runs were started.
func (e *Engine) TotalRuns() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, count := range e.started {
		n += count
	}
	return n
}

// Running returns the number of runs that have not ended.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == nil {
		return 0
	}
	return e.life.running + len(e.life.queue)
}

// TokensGenerated returns the number of tokens generated in all.
func (e *Engine) TokensGenerated() tokens.Count {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generated
}

// Orders returns the orders that were carried out.
func (e *Engine) Orders() []wire.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.Order(nil), e.orders...)
}

func (e *Engine) silent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Silent
}

func (e *Engine) faultsInForce() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
