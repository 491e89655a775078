// Package plainclient is the router's side of a plain service.
//
// A Client forwards one HTTP call to one upstream, at most once. It knows
// exactly whether a call that failed may have reached the upstream.
//
// # Usage
//
//	c := plainclient.New(plainclient.Settings{Log: log})
//	defer c.Close()
//	response, err := c.Forward(ctx, upstream, plainclient.Call{
//		Request: request, Attempt: attempt, Method: "POST", Path: "/permits", Header: h, Body: body,
//	})
//	if errors.Is(err, plainclient.ErrNotRun) {
//		// the call may be sent elsewhere, even if it must not run twice
//	}
package plainclient

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// Errors of a Client.
var (
	// ErrNotRun reports that no byte of the call was sent, or that the service
	// refused it with the promise that it was not run.
	ErrNotRun = errors.New("not run")
	// ErrLost reports that the response is out of reach. The call may have run.
	ErrLost = errors.New("response lost")
	// ErrCrossed reports the response of another attempt. Nothing of it was
	// delivered. The call may have run.
	ErrCrossed = errors.New("response of another attempt")
	// ErrTooLarge reports a response over the limit. The call may have run.
	ErrTooLarge = errors.New("response too large")
)

// Settings of a Client. Zero values stand for defaults.
type Settings struct {
	ConnectTimeout time.Duration
	// SilenceLimit bounds the wait for the response and between its parts.
	SilenceLimit func() time.Duration
	// MaxResponse bounds the body of a response, in bytes.
	MaxResponse int64
	Log         hclog.Logger
	Clock       func() time.Time
}

// Call is an HTTP call of a caller.
type Call struct {
	Request ident.Request
	Attempt ident.Attempt
	Method  string
	Path    string // with the query
	Header  http.Header
	Body    []byte
	// Idempotent permits the use of a pooled connection.
	Idempotent bool
}

// Response is the whole response of a plain service.
type Response struct {
	Status int
	Header http.Header // without the headers of the connection
	Body   []byte
}

// Client forwards calls. Its methods are safe for concurrent use.
type Client struct{}

// New returns a client. Close releases it.
func New(s Settings) *Client { panic("TODO") }

// Close waits until the calls in progress have ended and closes all
// connections.
func (c *Client) Close() error { panic("TODO") }

// Forward sends the call once and returns the whole response.
func (c *Client) Forward(ctx context.Context, up configuration.Upstream, call Call) (Response, error) {
	panic("TODO")
}
