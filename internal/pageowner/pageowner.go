// Package pageowner forwards the ops of all routers on a ledger page to one
// router, the owner of the page, which batches them into few writes.
//
// Package duty determines the owner. It is safe if two routers both consider
// themselves the owner, because each write is conditional on the revision of the
// page. A router writes a page itself if it is the owner or no owner responds.
//
// # Usage
//
//	o := pageowner.New(pageowner.Settings{Self: vm, Members: members, Clock: time.Now})
//	c := committer.New(committer.Settings{Forwarder: o, ...})
//	mux.Handle(pat.Post(pageowner.Path+":page"), pageowner.Handler(c))
package pageowner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/duty"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
)

// Path is the prefix of the URL path on which an owner receives ops. The number
// of the page follows it.
const Path = "/peer/ledger/"

const (
	// callTimeout limits a call to an owner if a request waits for one of the
	// ops. It is long enough for a write to the key-value service, and short
	// enough to try an alternative before the caller gives up.
	callTimeout = 400 * time.Millisecond
	// deferredTimeout limits a call whose ops are all deferrable. No request
	// waits for them, and the owner may delay their write.
	deferredTimeout = time.Second
)

// Settings configures a Client. All fields but Timeout are required.
type Settings struct {
	Self ident.VM
	// Members returns the records of all routers, including this one.
	Members func() []membership.Record
	Clock   func() time.Time
	// Timeout limits each call. The default is 400 ms, or 1 s if all ops are deferrable.
	Timeout time.Duration
}

// Client is a client that sends ops to the owners of pages. Its methods are safe
// for concurrent use.
type Client struct {
	caller  *duty.Caller
	timeout time.Duration // of a call that a request waits for
}

// New returns a Client without connections.
func New(s Settings) *Client {
	return &Client{
		caller:  duty.New(duty.Settings{Self: s.Self, Members: s.Members, Timeout: cmp.Or(s.Timeout, deferredTimeout), Clock: s.Clock}),
		timeout: cmp.Or(s.Timeout, callTimeout),
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.caller.Close()
}

// ResetBackoff resets the failure state of all owners, so that owners that failed
// to respond are called again immediately.
func (c *Client) ResetBackoff() {
	c.caller.ResetBackoff()
}

// Apply implements committer.Forwarder. It sends ops to the owner of a page and
// returns committer.ErrLocalOwner if that is this router.
func (c *Client) Apply(ctx context.Context, page int, ops []ledger.Op) (results []ledger.Result, err error) {
	defer func() { err = merry.Prependf(err, "forwarding ops to the owner of page %d", page) }()
	if slices.ContainsFunc(ops, func(op ledger.Op) bool { return !op.Deferrable }) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	err = c.caller.Call(ctx, fmt.Sprint("page ", page), Path+strconv.Itoa(page), ops, &results)
	if errors.Is(err, duty.ErrSelf) {
		return nil, committer.ErrLocalOwner
	}
	return results, err
}

// Ledger applies ops to pages that this router owns.
type Ledger interface {
	ApplyLocal(ctx context.Context, page int, ops []ledger.Op) ([]ledger.Result, error)
}
