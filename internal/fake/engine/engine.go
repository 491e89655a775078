// Package engine is a small stand-in for a model engine.
//
// # Usage
//
//	e := engine.New(engine.Settings{Slots: 4, TokenPace: time.Millisecond})
//	defer e.Close()
//	upstream.Address = e.Address()
package engine

import (
	"net/netip"
	"time"

	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Settings of an Engine. Zero values stand for defaults.
type Settings struct {
	Slots          int
	TokenPace      time.Duration // between two tokens of one answer
	PrefillPace    time.Duration // for each prompt token that is not cached
	CacheTokens    tokens.Count  // capacity of the prefix cache
	CacheDelay     time.Duration // age at which cache events are published
	CacheGapEvery  int           // every so many events one is lost; 0 for none
	LoadLag        time.Duration
	Models         []wire.LoadedModel
	ChecksFencing  bool
	WeightStore    netip.AddrPort
	HeartbeatEvery time.Duration // comments sent while no token is ready
}

// Faults are the faults in force. The zero value is a sound engine.
type Faults struct {
	CrashOn          string // crash once a run's prompt contains it
	Silent           bool   // accept connections and send nothing on streams
	SilentAfter      int    // the next stream goes silent for good after so many tokens
	Crossed          bool   // answer with the id of another attempt
	RepeatAt         int    // send this token twice
	SkipAt           int    // leave this token out
	CutAt            int    // close the connection after this token
	WithoutDone      bool   // end each stream without [DONE]
	NotRun           bool   // refuse new runs with the promise that they were not run
	Slow             time.Duration
	IgnoresMaxTokens bool // generates past max_tokens
}

// Engine is a model engine.
type Engine struct{}

// New starts an engine on a port of 127.0.0.1.
func New(s Settings) *Engine { panic("TODO") }

// Address returns where the engine listens.
func (e *Engine) Address() netip.AddrPort { panic("TODO") }

// Close ends all runs and waits.
func (e *Engine) Close() error { panic("TODO") }

// SetFaults puts faults in force.
func (e *Engine) SetFaults(f Faults) { panic("TODO") }

// Crash resets all connections and refuses new ones until Restart.
func (e *Engine) Crash() { panic("TODO") }

// Restart listens again on the same address, with all runs forgotten.
func (e *Engine) Restart() error { panic("TODO") }

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) { panic("TODO") }

// Runs returns how often the request was started.
func (e *Engine) Runs(request ident.Request) int { panic("TODO") }

// TokensGenerated returns the number of tokens generated in all.
func (e *Engine) TokensGenerated() tokens.Count { panic("TODO") }

// ExpectedAnswer returns the whole answer to a prompt.
func ExpectedAnswer(prompt string, maxTokens int) string { panic("TODO") }
