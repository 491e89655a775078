// Package duty brings calls to the router that carries out a duty for all of
// them.
//
// Routers carry out a duty in the order of membership.Ranked. A call goes to the
// first of them that answers. A router that refuses calls, because the key-value
// service refuses it, or does not answer, is passed over for a while.
//
// # Usage
//
//	c := duty.New(duty.Settings{Self: vm, Members: members, Timeout: 400 * time.Millisecond, Clock: time.Now})
//	defer c.Close()
//	err := c.Call(ctx, "page 0", "/peer/ledger/0", ops, &results)
//	if errors.Is(err, duty.ErrOwn) {
//		// this router is the one to do it
//	}
package duty

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/peerlink"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// ErrOwn reports that the duty is this router's own.
var ErrOwn = errors.New("the duty is this router's own")

// maxAsked is how many routers are called for one call.
const maxAsked = 3

// Settings of a Caller. All fields are required.
type Settings struct {
	Self ident.VM
	// Members returns the records of the routers, this one included.
	Members func() []membership.Record
	// Timeout bounds one call.
	Timeout time.Duration
	Clock   func() time.Time
}

// Caller calls the routers that carry out duties. Its methods are safe for
// concurrent use.
type Caller struct {
	settings Settings
	links    *peerlink.Links
}

// New returns a Caller without connections.
func New(s Settings) *Caller {
	return &Caller{settings: s, links: peerlink.New(peerlink.Settings{Timeout: s.Timeout, Clock: s.Clock})}
}

// Close closes all connections.
func (c *Caller) Close() {
	c.links.Close()
}

// Forgive has routers called again that did not answer well before.
func (c *Caller) Forgive() {
	c.links.Forgive()
}

// Call sends question to the router that carries out the duty and decodes its
// answer. The error is ErrOwn if that is this router, wraps
// store.ErrUnavailable if no router has acted on the question or will, and
// store.ErrUnknown if one may have.
func (c *Caller) Call(ctx context.Context, duty, path string, question, answer any) (err error) {
	members := c.settings.Members()
	if len(members) == 0 {
		return ErrOwn
	}
	err = merry.Prepend(store.ErrUnavailable, "no router answered a moment ago")
	asked := 0
	for _, m := range membership.Ranked(duty, members) {
		switch {
		case m.VM == c.settings.Self:
			return ErrOwn
		case c.links.Avoids(m.Address):
			continue
		case asked == maxAsked:
			return err
		}
		asked++
		err = c.links.Post(ctx, m.Address, path, question, answer)
		if !errors.Is(err, store.ErrUnavailable) {
			return err
		}
	}
	return err
}
