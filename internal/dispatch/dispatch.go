// Package dispatch runs the requests of callers.
//
// A Dispatcher processes a request in stages: it reserves the cost bound from
// the router's share of the budget, waits for admission, opens a claim, chooses
// an upstream, produces the answer and settles the claim. Only then does it
// release the end of the answer. Each answer is written by one goroutine to a
// replay.Answer, from which the caller's connection reads. A caller that loses
// its connection can read the answer again with the same idempotency key.
//
// A request is billed when its claim is settled in the ledger, and only then;
// docs/design/claims.md describes the protocol.
//
// # Usage
//
//	d := dispatch.New(settings)
//	defer d.Close(ctx)
//	s, err := d.Submit(now, request)
//	...
//	defer s.Abandon()
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

	"example.org/lagoonfork/internal/answermemory"
	"example.org/lagoonfork/internal/directory"
	"example.org/lagoonfork/internal/engineclient"
	"example.org/lagoonfork/internal/journal"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/metrics"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/internal/quarantine/keeper"
	"example.org/lagoonfork/internal/replay"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// ErrClosed reports that the dispatcher is closing and did not run the request.
var ErrClosed = errors.New("dispatcher closed")

// Dispatcher runs requests. Its methods are safe for concurrent use.
type Dispatcher struct {
	Settings
	answers  *replay.Registry[string, End]
	sequence atomic.Uint64 // of the last run, for attempt identifiers
	// ledgerDown is set while the ledger has not answered the last bill in
	// time.
	ledgerDown atomic.Bool

	mu     sync.Mutex
	closed bool
	tomb   tomb.Tomb
	cancel context.CancelFunc
	ctx    context.Context
}

// Settings of a Dispatcher. All fields are required.
type Settings struct {
	Holder       ident.Incarnation
	Wallet       *wallet.Wallet
	Ledger       Ledger
	EngineClient *engineclient.Client
	PlainClient  *plainclient.Client
	Directory    *directory.Directory
	Quarantine   Quarantine
	Peers        Peers
	Policy       func() configuration.Policy
	// AnswerMemory bounds the memory of the answers.
	AnswerMemory *answermemory.Pool
	// MayDeliver reports whether the router's own lease was confirmed recently
	// enough to deliver an answer whose bill is held only by other routers.
	MayDeliver func(now time.Time) bool
	Journal    *journal.Journal
	Metrics    *metrics.Metrics
	Clock      func() time.Time
	Log        hclog.Logger
}

// Ledger applies operations to the pages of the ledger.
type Ledger interface {
	// Apply applies op and returns the result.
	Apply(ctx context.Context, op ledger.Op) (ledger.Result, error)
	// Push applies op as soon as the key-value service is reachable and calls
	// done with the result.
	Push(op ledger.Op, done func(ledger.Result))
}

// Quarantine decides which requests may run, and tracks those that crash upstreams. See
// package keeper.
type Quarantine interface {
	Begin(now time.Time, s quarantine.Subject, limit int) *keeper.Attempt
}

// Errors of Peers.
var (
	// ErrNotHeld reports that a router does not hold an answer.
	ErrNotHeld = errors.New("answer not held")
	// ErrUnreachable reports that a router cannot be reached.
	ErrUnreachable = errors.New("router unreachable")
)

// Peers calls the other routers.
type Peers interface {
	// FetchAnswer waits for the end of an answer that another router produces or
	// holds, and returns the answer. Its errors wrap ErrNotHeld or ErrUnreachable if
	// the router has no such answer or cannot be reached.
	FetchAnswer(ctx context.Context, holder ident.Incarnation, key replay.Key) (HeldAnswer, error)
	// HoldBills sends operations to routers in two other failure domains, which push
	// them to the ledger. It returns an error unless both routers have accepted
	// them.
	HoldBills(ctx context.Context, ops []ledger.Op) error
}

// HeldAnswer is a complete answer as transferred between routers.
type HeldAnswer struct {
	Pieces []string `json:"pieces"`
	End    End      `json:"end"`
}

// Request is a validated request of a caller, with an upper bound of its cost.
type Request struct {
	ID         ident.Request
	Keyed      bool // ID is the caller's idempotency key
	Idempotent bool
	Digest     string // of the body, for keyed requests

	Customer    ident.Customer
	Weight      int // of the customer: its relative share of the upstreams under contention
	Application ident.Application
	Budget      configuration.Budget
	Service     ident.Service

	MaxCost  tokens.Count // upper bound of the cost
	Deadline time.Time    // zero for none

	// Exactly one of Chat and Call is set.
	Chat *Chat
	Call *Call
}

// Chat is a chat completion.
type Chat struct {
	Model      ident.Model
	Body       []byte // with its token limits filled in
	PromptText string // the prompt, from which the prefix is computed
	// Messages holds the texts of the prompt's messages, in order.
	Messages        []string
	PromptTokens    tokens.Count
	MaxOutputTokens tokens.Count
	Priority        int // passed to the engine; higher runs first
}

// Call is a call to a plain service.
type Call struct {
	Forward plainclient.Call
	Cost    tokens.Count
}

// key returns the key of the request's answer.
func (r *Request) key() replay.Key {
	return AnswerKey(r.Budget.ID, r.ID)
}

// AnswerKey returns the key of the answer to a request that is charged to a
// budget.
func AnswerKey(budget ident.Budget, request ident.Request) replay.Key {
	return replay.Key(string(budget) + "/" + string(request))
}

// subject describes the request to the quarantine.
func (r *Request) subject() quarantine.Subject {
	if r.Chat != nil {
		return quarantine.NewSubject(r.Customer, r.Service, [][]byte{r.Chat.Body}, r.Chat.Messages)
	}
	return quarantine.NewSubject(r.Customer, r.Service, [][]byte{r.Call.Forward.Body}, nil)
}

// New returns a dispatcher. Close stops it.
func New(s Settings) *Dispatcher {
	d := &Dispatcher{Settings: s, answers: replay.NewRegistry[string, End]()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.tomb.Go(d.expire)
	return d
}

// Close waits until all requests in progress have ended and cancels those that
// remain when ctx ends. Once Close has been called, Submit returns ErrClosed.
func (d *Dispatcher) Close(ctx context.Context) error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.tomb.Kill(nil)
	stopCancel := context.AfterFunc(ctx, d.cancel)
	defer stopCancel()
	defer d.cancel()
	return d.tomb.Wait()
}

// expire drops expired answers until the dispatcher closes.
func (d *Dispatcher) expire() error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			retention := time.Duration(d.Policy().ClaimRetentionSeconds) * time.Second
			d.answers.Expire(d.Clock().Add(-min(retention, maxAnswerRetention)))
		case <-d.tomb.Dying():
			return nil
		}
	}
}

// newRand returns a random number generator for one run.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
