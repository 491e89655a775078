// Package dispatch runs the requests of callers.
//
// A Dispatcher takes a request through its stages: reserve its cost bound from
// the budget's share, wait for admission, open a claim, choose an upstream,
// produce the answer, settle the claim, and only then give out the answer's
// end. Each answer is produced by one goroutine into a replay.Answer, which the
// caller's connection reads; a caller whose connection is lost can read it again
// under the same idempotency key.
//
// What a bill rests on is described in docs/design/claims.md: a request is
// billed when its claim is settled in the ledger, and never otherwise.
//
// # Usage
//
//	d := dispatch.New(settings)
//	defer d.Close(ctx)
//	s, err := d.Submit(now, request)
//	...
//	defer s.Leave()
//	pieces, end, err := s.Answer.Read(ctx, 0)
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/directory"
	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/journal"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/metrics"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/internal/replay"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// ErrClosed reports a request to a dispatcher that is closing. Nothing was run.
var ErrClosed = errors.New("dispatcher closed")

// Dispatcher runs requests. Its methods are safe for concurrent use.
type Dispatcher struct {
	Settings
	book     *replay.Book[string, End]
	sequence atomic.Uint64
	// ledgerDown tells that the ledger has not answered the last bill in time.
	ledgerDown atomic.Bool

	mu     sync.Mutex
	closed bool
	tomb   tomb.Tomb
	stop   context.CancelFunc
	base   context.Context
}

// Settings of a Dispatcher. All fields are required.
type Settings struct {
	Holder     ident.Incarnation
	Wallet     *wallet.Wallet
	Ledger     Ledger
	Engines    *engineclient.Client
	Plain      *plainclient.Client
	Directory  *directory.Directory
	Quarantine Quarantine
	Peers      Peers
	Policy     func() configuration.Policy
	// MayDeliver reports whether the router's own lease was confirmed recently
	// enough to deliver an answer on the word of other routers.
	MayDeliver func(now time.Time) bool
	Journal    *journal.Journal
	Metrics    *metrics.Metrics
	Clock      func() time.Time
	Log        hclog.Logger
}

// Ledger applies ops to the pages of the ledger.
type Ledger interface {
	Apply(ctx context.Context, op ledger.Op) (ledger.Result, error)
	// Push applies op as soon as the key-value service can be reached, and
	// calls done with the result.
	Push(op ledger.Op, done func(ledger.Result))
}

// Quarantine knows the requests that crash upstreams.
type Quarantine interface {
	Refused(now time.Time, d quarantine.Digest, limit int) bool
	Suspect(now time.Time, d quarantine.Digest) bool
	Accuse(now time.Time, d quarantine.Digest, upstream ident.Upstream)
	Clear(d quarantine.Digest)
}

// Errors of Peers.
var (
	// ErrNotHeld reports that a router does not hold an answer.
	ErrNotHeld = errors.New("answer not held")
	// ErrUnreachable reports that a router cannot be reached.
	ErrUnreachable = errors.New("router unreachable")
)

// Peers reaches the other routers.
type Peers interface {
	// Answer waits for the end of an answer that another router produces or
	// holds, and returns it.
	Answer(ctx context.Context, holder ident.Incarnation, key replay.Key) (Held, error)
	// Hold gives ops to routers in two other failure domains, which push them
	// to the ledger. It returns an error unless both have taken them.
	Hold(ctx context.Context, ops []ledger.Op) error
}

// Held is a whole answer as one router gives it to another.
type Held struct {
	Pieces []string `json:"pieces"`
	End    End      `json:"end"`
}

// Request is a request of a caller, checked and bounded.
type Request struct {
	ID         ident.Request
	Keyed      bool // ID is the caller's idempotency key
	Idempotent bool
	Digest     string // of the body, for keyed requests

	Customer    ident.Customer
	Weight      int
	Application ident.Application
	Budget      configuration.Budget
	Service     ident.Service

	Bound    tokens.Count // upper bound of the cost
	Deadline time.Time

	// One of them is set.
	Chat *Chat
	Call *Call
}

// Chat is a chat completion.
type Chat struct {
	Model    ident.Model
	Body     []byte // with its token limits set
	Text     string // the prompt, for its prefixes
	Prompt   tokens.Count
	Output   tokens.Count
	Priority int
}

// Call is a call of a plain service.
type Call struct {
	Forward plainclient.Call
	Cost    tokens.Count
}

// key returns the key of the request's answer in the book.
func (r *Request) key() replay.Key {
	return KeyOf(r.Budget.ID, r.ID)
}

// KeyOf returns the key under which the answer to a budget's request is held.
func KeyOf(budget ident.Budget, request ident.Request) replay.Key {
	return replay.Key(string(budget) + "/" + string(request))
}

// content returns the digest under which crashes of the request are counted.
func (r *Request) content() quarantine.Digest {
	if r.Chat != nil {
		return quarantine.DigestOf(r.Customer, r.Service, r.Chat.Body)
	}
	return quarantine.DigestOf(r.Customer, r.Service, r.Call.Forward.Body)
}

// New returns a dispatcher.
func New(s Settings) *Dispatcher {
	d := &Dispatcher{Settings: s, book: replay.NewBook[string, End]()}
	d.base, d.stop = context.WithCancel(context.Background())
	d.tomb.Go(d.expire)
	return d
}

// Close waits until all requests in progress have ended, and cuts them off when
// ctx ends. Requests that arrive meanwhile fail with ErrClosed.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.tomb.Kill(nil)
	release := context.AfterFunc(ctx, d.stop)
	defer release()
	defer d.stop()
	return d.tomb.Wait()
}

// expire drops old answers until the dispatcher closes.
func (d *Dispatcher) expire() error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			retention := time.Duration(d.Policy().ClaimRetentionSeconds) * time.Second
			d.book.Expire(d.Clock().Add(-min(retention, answerRetention)))
		case <-d.tomb.Dying():
			return nil
		}
	}
}

// random returns a source of random numbers for one request.
func random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
