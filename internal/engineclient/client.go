// Package engineclient is the router's side of a model engine.
//
// A Client starts runs on engines and reads their answers as streams. A stream
// gives each token of its own answer exactly once and in order, whatever
// becomes of the connections below it, or ends with an error that tells what
// is known of the run.
//
// # Usage
//
//	c := engineclient.New(engineclient.Settings{SilenceLimit: limit, Log: log})
//	defer c.Close()
//	s, err := c.Start(ctx, upstream, run)
//	switch {
//	case errors.Is(err, engineclient.ErrNotRun): // another upstream may run it
//	...
//	}
//	defer s.Close()
//	for {
//		e, err := s.Next(ctx)
//		if errors.Is(err, io.EOF) {
//			break // the answer is whole
//		}
//		...
//	}
//
// A stream that is closed before its end leaves the engine at work; Cancel
// stops it.
package engineclient

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Defaults of Settings.
const (
	defaultSilenceLimit   = 10 * time.Second
	defaultConnectTimeout = time.Second
	defaultCallTimeout    = 5 * time.Second
	defaultResumeLimit    = 3
)

// Settings of a Client. Zero values stand for defaults.
type Settings struct {
	// SilenceLimit is how long a connection may be silent while an answer is
	// awaited. It is asked again at each check, so that it can follow the
	// configuration in force.
	SilenceLimit   func() time.Duration
	ConnectTimeout time.Duration
	// CallTimeout bounds the calls other than runs.
	CallTimeout time.Duration
	// ResumeLimit is the number of times in succession that a stream is
	// resumed without a new token.
	ResumeLimit int
	Log         hclog.Logger
	Clock       func() time.Time
}

// Run is a dispatch of a request to an engine.
type Run struct {
	Request ident.Request
	Attempt ident.Attempt
	Model   ident.Model
	// Body is the caller's JSON, with its token limits set by the router. The
	// client changes only stream and stream_options.
	Body     []byte
	Priority int
	// MaxOutput is the number of tokens after which the answer is cut.
	MaxOutput tokens.Count
	CacheKey  string
}

// Client talks to engines. Its methods are safe for concurrent use.
type Client struct{}

// New returns a client. Close releases it.
func New(s Settings) *Client { panic("TODO") }

// Close ends all streams and waits until their connections are closed.
func (c *Client) Close() error { panic("TODO") }

// Start sends a run to an engine and waits until the engine has accepted it.
func (c *Client) Start(ctx context.Context, up configuration.Upstream, run Run) (*Stream, error) {
	panic("TODO")
}

// Resume reads the answer of a run that is at the engine already, from the
// token that follows after. It serves a router that takes over a request.
func (c *Client) Resume(ctx context.Context, up configuration.Upstream, run Run, after int) (*Stream, error) {
	panic("TODO")
}

// Load returns the engine's report of its load.
func (c *Client) Load(ctx context.Context, up configuration.Upstream) (engine.Load, error) {
	panic("TODO")
}

// CacheEvents returns the changes of the engine's prefix cache that follow the
// sequence number after.
func (c *Client) CacheEvents(ctx context.Context, up configuration.Upstream, after uint64) ([]engine.CacheEvent, error) {
	panic("TODO")
}

// Models returns the models that the engine offers.
func (c *Client) Models(ctx context.Context, up configuration.Upstream) (engine.ModelList, error) {
	panic("TODO")
}

// Order gives an order to the engine.
func (c *Client) Order(ctx context.Context, up configuration.Upstream, order engine.Order) error {
	panic("TODO")
}

// Cancel stops the run of a request. Cancelling a run that has ended or is not
// known succeeds.
func (c *Client) Cancel(ctx context.Context, up configuration.Upstream, request ident.Request) error {
	panic("TODO")
}

// ExportCache returns the cached prefix of key.
func (c *Client) ExportCache(ctx context.Context, up configuration.Upstream, key string) (engine.CacheEntry, error) {
	panic("TODO")
}

// ImportCache gives a prefix exported from another engine to the engine.
func (c *Client) ImportCache(ctx context.Context, up configuration.Upstream, entry engine.CacheEntry) error {
	panic("TODO")
}

// Stream is the answer of one run. It is used by one goroutine at a time,
// except for Close.
type Stream struct{}

// Next waits for the next event. It returns io.EOF once the answer is whole.
// After an error the stream has ended.
func (s *Stream) Next(ctx context.Context) (engine.Event, error) { panic("TODO") }

// Close releases the stream's connection. It does not cancel the run.
func (s *Stream) Close() error { panic("TODO") }
