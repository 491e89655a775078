// Package engine is a fake model engine for tests and the embedded fleet.
//
// It runs requests in a fixed number of slots with continuous batching, keeps a
// prefix cache of limited capacity, and generates answers that are a function
// of their prompts, so that a test can tell whether a caller received its own
// complete answer. Faults can be injected at any time.
//
// A request that is sent twice runs twice, and each run is counted. A
// resumption reads the run of its attempt, or else the latest run of its
// request.
//
// # Usage
//
//	e, err := engine.New(engine.Settings{Slots: 4, TokenInterval: time.Millisecond})
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

// Default settings.
const (
	defaultSlots       = 8
	defaultCacheTokens = 1 << 16
	defaultHeartbeat   = time.Second
)

// Settings configures an Engine. A zero value of a field selects its default,
// if it has one.
type Settings struct {
	Slots               int
	TokenInterval       time.Duration // interval between two tokens of one answer
	PrefillPerToken     time.Duration // prefill time for each prompt token that is not cached
	CacheTokens         tokens.Count  // capacity of the prefix cache
	CacheEventDelay     time.Duration // age at which cache events become visible
	DropCacheEventEvery int           // lose every n-th cache event; 0 for none
	LoadDelay           time.Duration // age of the reported load
	Models              []wire.LoadedModel
	ChecksFencing       bool
	WeightStore         netip.AddrPort // source of the weights of models to load; optional
	HeartbeatInterval   time.Duration  // interval of the comments sent while no token is ready
	Clock               func() time.Time
}

func (s Settings) withDefaults() Settings {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.CacheTokens == 0 {
		s.CacheTokens = defaultCacheTokens
	}
	if s.HeartbeatInterval == 0 {
		s.HeartbeatInterval = defaultHeartbeat
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	return s
}

// Engine is a fake model engine. Its methods are safe for concurrent use.
type Engine struct {
	settings Settings
	address  netip.AddrPort
	t        tomb.Tomb

	mu              sync.Mutex
	faults          Faults
	leaving         bool
	startedAt       time.Time             // of the current instance
	instance        *instance             // nil while crashed
	runCounts       map[ident.Request]int // number of runs started for each request
	generatedTokens tokens.Count
	loadHistory     loadHistory
	cache           prefixCache
	models          []wire.LoadedModel
	role            wire.Role
	highestFencing  uint64       // highest fencing number seen
	orders          []wire.Order // orders carried out
}

// instance is the engine between a start and the following crash. A crash
// discards it with all its runs.
type instance struct {
	engine   *Engine
	ctx      context.Context
	stop     context.CancelFunc
	listener *listener
	server   *http.Server

	// The following are guarded by Engine.mu.
	runsByAttempt   map[ident.Attempt]*run
	latestByRequest map[ident.Request]*run
	retained        []*run // runs that can be resumed, oldest first
	queue           []*run
	queuedTokens    tokens.Count
	running         int
	runningTokens   tokens.Count
}

// New starts an engine on a free port of 127.0.0.1.
func New(s Settings) (*Engine, error) {
	s = s.withDefaults()
	e := &Engine{
		settings:  s,
		address:   netip.MustParseAddrPort("127.0.0.1:0"),
		runCounts: make(map[ident.Request]int),
		cache:     prefixCache{capacity: s.CacheTokens, dropEvery: s.DropCacheEventEvery},
		models:    s.Models,
		role:      wire.RoleMixed,
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

// Address returns the address on which the engine listens, which stays the same
// across restarts.
func (e *Engine) Address() netip.AddrPort { return e.address }

// Close cancels all runs and waits for them to end.
func (e *Engine) Close() error {
	e.Crash()
	e.t.Kill(nil)
	return e.t.Wait()
}

// SetFaults replaces the active faults by f.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.LoadFrozen && !e.faults.LoadFrozen {
		e.loadHistory.freeze(e.settings.Clock().Add(-e.settings.LoadDelay))
	}
	e.faults = f
}

// SetLeaving sets whether the load report announces that the engine is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.recordLoad()
}

// Crash resets all connections, refuses new ones until Restart, and discards
// all runs.
func (e *Engine) Crash() {
	e.mu.Lock()
	inst := e.instance
	e.instance = nil
	e.mu.Unlock()
	if inst == nil {
		return
	}
	_ = inst.listener.Close()
	inst.listener.resetAll()
	inst.stop()
	_ = inst.server.Close()
}

// Restart starts a crashed engine again, on the same address and with an empty
// cache.
func (e *Engine) Restart() error {
	raw, err := net.Listen("tcp", e.address.String())
	if err != nil {
		return err
	}
	inst := &instance{
		engine:          e,
		listener:        newListener(raw, e.silentOnAccept),
		runsByAttempt:   make(map[ident.Attempt]*run),
		latestByRequest: make(map[ident.Request]*run),
	}
	inst.ctx, inst.stop = context.WithCancel(e.t.Context(context.Background()))
	inst.server = &http.Server{
		Handler:     inst.handler(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = raw.Addr().(*net.TCPAddr).AddrPort()
	e.instance = inst
	e.startedAt = e.settings.Clock()
	e.cache.clear()
	e.recordLoad()
	e.t.Go(func() error {
		_ = inst.server.Serve(inst.listener)
		return nil
	})
	return nil
}

// Crashed reports whether the engine has crashed and has not been restarted.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance == nil
}

// SilenceConnections permanently silences all open connections: they stay open but carry no
// more data. New connections work.
func (e *Engine) SilenceConnections() {
	e.mu.Lock()
	inst := e.instance
	e.mu.Unlock()
	if inst != nil {
		inst.listener.silenceAll()
	}
}

// Runs returns the number of runs started for the request.
func (e *Engine) Runs(request ident.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCounts[request]
}

// TotalRuns returns the number of runs started for all requests.
func (e *Engine) TotalRuns() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, count := range e.runCounts {
		n += count
	}
	return n
}

// Running returns the number of running and queued runs.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance == nil {
		return 0
	}
	return e.instance.running + len(e.instance.queue)
}

// TokensGenerated returns the total number of tokens generated.
func (e *Engine) TokensGenerated() tokens.Count {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generatedTokens
}

// Orders returns the orders that were carried out, in order of execution.
func (e *Engine) Orders() []wire.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.Order(nil), e.orders...)
}

// silentOnAccept reports whether new connections start out silent.
func (e *Engine) silentOnAccept() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Silent
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
