// Package pageowner brings the ops of all routers on a page of the ledger to one
// of them, which joins them into few writes.
//
// The owner of a page is the first by membership.Ranked, so that routers which see
// the same records agree without a word. Two that do not agree do no harm: each
// write is guarded by the page's revision. A router whose ops the owner refuses
// passes them to the next in that order, and writes the page itself where it is
// the next, or where none of the first few answers.
//
// # Usage
//
//	o := pageowner.New(pageowner.Settings{Self: vm, Members: members, Clock: time.Now})
//	c := committer.New(committer.Settings{Forward: o, ...})
//	mux.Handle(pat.Post(pageowner.Path+":page"), pageowner.Handler(c))
package pageowner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/peerlink"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Path begins the path of the call to an owner; the number of the page follows.
const Path = "/peer/ledger/"

const (
	// callTimeout bounds a call to an owner. It leaves room for a write of the
	// key-value service, and for a second way within a caller's patience.
	callTimeout = 400 * time.Millisecond
	// maxAsked is how many routers are asked for one batch.
	maxAsked = 3
)

// Settings of an Owner. All fields are required.
type Settings struct {
	Self ident.VM
	// Members returns the records of the routers, this one included.
	Members func() []membership.Record
	Clock   func() time.Time
}

// Owner finds and calls the owners of pages. Its methods are safe for concurrent
// use.
type Owner struct {
	settings Settings
	links    *peerlink.Links
}

// New returns an Owner without connections.
func New(s Settings) *Owner {
	return &Owner{settings: s, links: peerlink.New(peerlink.Settings{Timeout: callTimeout, Clock: s.Clock})}
}

// Close closes all connections.
func (o *Owner) Close() {
	o.links.Close()
}

// Forgive has owners called again that did not answer well before.
func (o *Owner) Forgive() {
	o.links.Forgive()
}

// Apply implements committer.Forward.
func (o *Owner) Apply(ctx context.Context, page int, ops []ledger.Op) (results []ledger.Result, err error) {
	defer func() { err = merry.Prependf(err, "passing ops to the owner of page %d", page) }()
	err = merry.Prepend(store.ErrUnavailable, "no owner answered a moment ago")
	asked := 0
	for _, owner := range membership.Ranked(fmt.Sprint("page ", page), o.settings.Members()) {
		switch {
		case owner.VM == o.settings.Self:
			return nil, committer.ErrOwner
		case o.links.Avoids(owner.Address):
			continue
		case asked == maxAsked:
			return nil, err
		}
		asked++
		err = o.links.Post(ctx, owner.Address, Path+strconv.Itoa(page), ops, &results)
		if !errors.Is(err, store.ErrUnavailable) {
			return results, err
		}
	}
	if asked == 0 && len(o.settings.Members()) == 0 {
		return nil, committer.ErrOwner
	}
	return nil, err
}

// Ledger applies ops to pages that this router owns.
type Ledger interface {
	ApplyLocal(ctx context.Context, page int, ops []ledger.Op) ([]ledger.Result, error)
}

// status returns the status that tells what became of ops that failed with err.
func status(err error) int {
	if errors.Is(err, store.ErrUnavailable) {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}
