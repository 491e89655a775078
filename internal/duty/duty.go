// Package duty routes calls to the router that performs a duty, a task which one router
// performs on behalf of all.
//
// Each duty ranks the routers in the order of membership.Ranked, and a call goes to the
// first one that responds. A router that does not respond, or that refuses calls because
// it cannot reach the key-value service, is skipped for a backoff period.
//
// # Usage
//
//	c := duty.New(duty.Settings{Self: vm, Members: members, Timeout: 400 * time.Millisecond, Clock: time.Now})
//	defer c.Close()
//	err := c.Call(ctx, "page 0", "/peer/ledger/0", ops, &results)
//	if errors.Is(err, duty.ErrSelf) {
//		// this router performs the duty
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

// ErrSelf reports that this router performs the duty itself.
var ErrSelf = errors.New("this router performs the duty")

// maxAttempts is the maximum number of routers tried for one call.
const maxAttempts = 3

// Settings configures a Caller. All fields are required.
type Settings struct {
	Self ident.VM
	// Members returns the records of all routers, including this one.
	Members func() []membership.Record
	// Timeout bounds the call to one router.
	Timeout time.Duration
	Clock   func() time.Time
}

// Caller calls the routers that perform duties. Its methods are safe for concurrent
// use.
type Caller struct {
	settings Settings
	links    *peerlink.Links
}

// New returns a Caller without open connections.
func New(s Settings) *Caller {
	return &Caller{settings: s, links: peerlink.New(peerlink.Settings{Timeout: s.Timeout, Clock: s.Clock})}
}

// Close closes all connections.
func (c *Caller) Close() {
	c.links.Close()
}

// ResetBackoff ends the backoff of all routers.
func (c *Caller) ResetBackoff() {
	c.links.ResetBackoff()
}

// Call sends payload to the router that performs the duty and decodes its response
// into result. The error is ErrSelf if this router performs the duty, wraps
// store.ErrUnavailable if no router has executed the call or will, and wraps
// store.ErrUnknown if one may have executed it.
func (c *Caller) Call(ctx context.Context, duty, path string, payload, result any) (err error) {
	members := c.settings.Members()
	if len(members) == 0 {
		return ErrSelf
	}
	err = merry.Prepend(store.ErrUnavailable, "all routers are in backoff after failed calls")
	attempts := 0
	for _, m := range membership.Ranked(duty, members) {
		switch {
		case m.VM == c.settings.Self:
			return ErrSelf
		case c.links.InBackoff(m.Address):
			continue
		case attempts == maxAttempts:
			return err
		}
		attempts++
		err = c.links.Post(ctx, m.Address, path, payload, result)
		if !errors.Is(err, store.ErrUnavailable) {
			return err
		}
	}
	return err
}
