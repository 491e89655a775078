// Package recovery collects what all routers know of a ledger page, after the key-value
// service was restored from an older copy of the page.
//
// Each router responds with the newest version of the page that it has read or written, and
// with what it knows of its shares of the budgets on the page.
//
// # Usage
//
//	r := recovery.New(recovery.Settings{VM: vm, Incarnation: incarnation, Members: members, ...})
//	defer r.Close()
//	c := committer.New(committer.Settings{Collector: r, ...})
//	mux.Handle(pat.Post(recovery.Path+":page"), r)
package recovery

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"goji.io/pat"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/peerlink"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Path is the prefix of the URL path on which a router responds. The number of the page
// follows it.
const Path = "/peer/ledger-recovery/"

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 1 << 10

// Versions has the newest versions of pages that this router has read or written. It is
// implemented by committer.Committer.
type Versions interface {
	LastVersion(n int) (committer.Version, bool)
	Pages() int
}

// Shares has the shares of this router. It is implemented by wallet.Wallet.
type Shares interface {
	Restatements(era store.Era, selects func(ident.Budget) bool) []ledger.Op
}

// Settings configures a Recovery. All fields are required.
type Settings struct {
	VM          ident.VM
	Incarnation ident.Incarnation
	// Members returns the records of all routers, including this one.
	Members func() []membership.Record
	// Versions and Shares return the sources of this router's own response.
	Versions func() Versions
	Shares   func() Shares
	// Timeout is how long the response of a router may take to begin.
	Timeout time.Duration
	Clock   func() time.Time
	Log     hclog.Logger
}

// Recovery implements committer.Collector, and http.Handler for the requests of other
// routers. Its methods are safe for concurrent use.
type Recovery struct {
	settings Settings
	links    *peerlink.Links
}

// New returns a Recovery without connections.
func New(s Settings) *Recovery {
	return &Recovery{settings: s, links: peerlink.New(peerlink.Settings{Timeout: s.Timeout, Clock: s.Clock})}
}

// Close closes all connections.
func (r *Recovery) Close() { r.links.Close() }

// request asks for a version of a page after one that the requester has.
type request struct {
	After store.Revision `json:"after"`
	// Era is the era in which the page is recovered. Routers of earlier releases leave it out.
	Era store.Era `json:"era,omitempty"`
}

// response is what one router knows of a page.
type response struct {
	Incarnation  ident.Incarnation  `json:"incarnation"`
	Version      *committer.Version `json:"version,omitempty"`
	Restatements []ledger.Op        `json:"restatements"`
}

// Collect implements committer.Collector. It asks all routers at the same time.
func (r *Recovery) Collect(ctx context.Context, n int, after store.Revision, era store.Era) committer.Evidence {
	r.links.ResetBackoff()
	members := r.settings.Members()
	evidence := committer.Evidence{Routers: make(map[ident.Incarnation]committer.Router)}
	for _, m := range members {
		evidence.Routers[m.Incarnation] = committer.Router{VM: m.VM}
	}
	add := func(vm ident.VM, resp response) {
		evidence.Routers[resp.Incarnation] = committer.Router{VM: vm, Responded: true}
		evidence.Restatements = append(evidence.Restatements, resp.Restatements...)
		if resp.Version != nil {
			evidence.Versions = append(evidence.Versions, *resp.Version)
		}
	}
	add(r.settings.VM, r.own(n, after, era))
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range members {
		if m.Incarnation == r.settings.Incarnation {
			continue
		}
		calls.Go(func() {
			resp, err := r.ask(ctx, m.Address, n, request{After: after, Era: era})
			if err != nil {
				event.LedgerRouterSilent.Info(r.settings.Log, "page", n, "router", m.VM, "incarnation", m.Incarnation, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			add(m.VM, resp)
		})
	}
	calls.Wait()
	return evidence
}

// ask returns the response of one router.
func (r *Recovery) ask(ctx context.Context, address netip.AddrPort, n int, body request) (resp response, err error) {
	err = r.links.Post(ctx, address, Path+strconv.Itoa(n), body, &resp)
	return resp, err
}

// own returns what this router knows of page n, which is recovered in the given era.
func (r *Recovery) own(n int, after store.Revision, era store.Era) response {
	resp := response{Incarnation: r.settings.Incarnation, Restatements: []ledger.Op{}}
	versions := r.settings.Versions()
	if v, ok := versions.LastVersion(n); ok && v.Revision > after {
		resp.Version = &v
	}
	resp.Restatements = append(resp.Restatements, r.settings.Shares().Restatements(era, func(b ident.Budget) bool {
		return ledger.PageIndex(b, versions.Pages()) == n
	})...)
	return resp
}

// ServeHTTP responds to the request of another router. The route must have the pattern
// variable page. The response has status 400 for a malformed request.
func (r *Recovery) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	n, err := strconv.Atoi(pat.Param(hr, "page"))
	if err != nil {
		http.Error(w, "page: not a number", http.StatusBadRequest)
		return
	}
	var body request
	if err := json.NewDecoder(http.MaxBytesReader(w, hr.Body, maxRequestBytes)).Decode(&body); err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.own(n, body.After, body.Era)) // the client detects a truncated response
}
