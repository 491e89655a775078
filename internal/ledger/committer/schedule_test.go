package committer

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Parameters of each schedule.
const (
	committers    = 3
	holders       = 4 // each is a client of one committer
	opsPerHolder  = 10
	requests      = 4
	prepaidTokens = 200
	checkTimeout  = 30 * time.Second // limits the linearizability check of one history
)

var firstSeed = flag.Uint64("seed", 0, "first seed of the fault schedules, or 0 for a random one")

// outcome is the outcome of an op as seen by its client.
type outcome struct {
	unknown   bool
	withdrawn bool // withdrawn before any write
	result    ledger.Result
	page      *ledger.Page // set for the reads at the end of a history
}

// history records the ops of one schedule.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// run applies op until it is known to be durable, or only once if giveUp is set.
func (h *history) run(c *Committer, client int, op ledger.Op, giveUp bool, newContext func() (context.Context, context.CancelFunc)) outcome {
	call := h.clock.Add(1)
	for {
		ctx, cancel := newContext()
		r, err := c.Apply(ctx, op)
		cancel()
		switch {
		case err == nil:
			return h.record(client, op, call, outcome{result: r})
		case giveUp && errors.Is(err, store.ErrUnknown):
			return h.record(client, op, call, outcome{unknown: true})
		case giveUp && errors.Is(err, store.ErrUnavailable):
			return h.record(client, op, call, outcome{withdrawn: true})
		case errors.Is(err, store.ErrUnknown):
			op = op.AsRetry()
		}
	}
}

func (h *history) record(client int, op ledger.Op, call int64, out outcome) outcome {
	done := h.clock.Add(1)
	if out.unknown {
		done = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Output: out, Return: done})
	return out
}

// trace formats the history with one line for each op, ordered by call time.
func (h *history) trace() string {
	ops := slices.SortedFunc(slices.Values(h.ops), func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var b strings.Builder
	for _, o := range ops {
		op, _ := json.Marshal(o.Input.(ledger.Op))
		out := o.Output.(outcome)
		r, _ := json.Marshal(out.result)
		fmt.Fprintf(&b, "%d to %d client %d: %s: unknown %t withdrawn %t %s\n", o.Call, o.Return, o.ClientId, op, out.unknown, out.withdrawn, r)
		if out.page != nil {
			page, _ := json.Marshal(out.page)
			fmt.Fprintf(&b, "page %s\n", page)
		}
	}
	return b.String()
}

// schedule is one run of concurrent committers under faults.
type schedule struct {
	seed    uint64
	service *keyvalue.Service
	history history
	// wrap, if set, replaces the store of a committer by a broken one.
	wrap func(store.Store) store.Store
	// next returns the next op of a holder. sequence is the last sequence number
	// that the holder has used.
	next func(s *schedule, rng *rand.Rand, holder int, sequence *uint64) ledger.Op
	// forward makes all committers but the first forward their ops to the first.
	forward bool
	// segments is the number of segments listed on the final page.
	segments int
	// segmentErr is set if a broken store has lost a segment.
	segmentErr error
}

// rand returns a random number generator for the seed and the given stream.
func (s *schedule) rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, stream))
}

// run runs the schedule and returns the final page, with its sealed claims
// restored.
func (s *schedule) run(t testing.TB) *ledger.Page {
	s.service = keyvalue.New(keyvalue.Settings{Seed: s.seed})
	var cs []*Committer
	var clients []*keyvalue.Client
	for range committers {
		client := s.service.Client()
		var kv store.Store = client
		if s.wrap != nil {
			kv = s.wrap(kv)
		}
		clients = append(clients, client)
		c := newTestCommitter(kv, 1)
		if s.seed%2 == 1 {
			c.settings.SealSize = 800
		}
		if s.forward && len(cs) > 0 {
			c.settings.Forwarder = &flakyOwner{owner: cs[0], rng: s.rand(uint64(10 + len(cs)))}
		}
		cs = append(cs, c)
	}
	stop := make(chan struct{})
	var faults, workers sync.WaitGroup
	faults.Go(func() { s.injectFaults(clients, stop) })
	for h := range holders {
		workers.Go(func() { s.runHolder(cs, h) })
	}
	workers.Wait()
	close(stop)
	faults.Wait()
	closeAll(t, cs...)
	s.service.ReleaseHeld()
	entry, err := s.service.Client().Get(context.Background(), ledger.PageKey(0))
	require.NoError(t, err, "seed %d", s.seed)
	p, err := ledger.Decode(entry.Value)
	require.NoError(t, err, "seed %d", s.seed)
	if err := s.restoreSegments(p); s.wrap == nil {
		require.NoError(t, err, "seed %d", s.seed)
	} else {
		s.segmentErr = err
	}
	for n := range requests {
		op := releaseOp(requestName(n), "") // only its request matters
		s.history.record(0, op, s.history.clock.Add(1), outcome{page: p})
	}
	return p
}

// flakyOwner forwards ops to the owner of a page, and randomly loses the ops or
// their results.
type flakyOwner struct {
	owner *Committer
	rng   *rand.Rand // used by one forwarding goroutine at a time
}

func (f *flakyOwner) Apply(ctx context.Context, page int, ops []ledger.Op) ([]ledger.Result, error) {
	fault := f.rng.IntN(4)
	if fault == 0 {
		return nil, store.ErrUnavailable
	}
	rs, err := f.owner.ApplyLocal(ctx, page, ops)
	if fault == 1 {
		return nil, store.ErrUnknown
	}
	return rs, err
}

// restoreSegments moves all sealed claims back to the page. It returns an error
// if a segment that is listed on the page is missing.
func (s *schedule) restoreSegments(p *ledger.Page) error {
	for _, ref := range slices.Backward(p.Segments) {
		entry, err := s.service.Client().Get(context.Background(), ledger.SegmentKey(0, ref.ID))
		if err != nil {
			return err
		}
		segment, err := ledger.DecodeSegment(entry.Value)
		if err != nil {
			return err
		}
		for budget, claims := range segment.Claims {
			for _, c := range claims {
				p.RestoreClaim(budget, *c)
			}
		}
	}
	s.segments = len(p.Segments)
	return nil
}

// injectFaults randomly changes the faults of the clients until stop is closed,
// and then removes all faults.
func (s *schedule) injectFaults(clients []*keyvalue.Client, stop <-chan struct{}) {
	rng := s.rand(1)
	for {
		select {
		case <-stop:
			for _, c := range clients {
				c.SetFaults(keyvalue.Faults{})
			}
			s.service.SetFaults(keyvalue.Faults{})
			return
		default:
		}
		c := clients[rng.IntN(len(clients))]
		switch rng.IntN(6) {
		case 0:
			c.SetFaults(keyvalue.Faults{Outage: true})
		case 1:
			c.SetFaults(keyvalue.Faults{HoldWrites: 1 + rng.IntN(2)})
		case 2:
			s.service.ReleaseHeld()
		case 3:
			c.SetFaults(keyvalue.Faults{ResponseLossProbability: rng.Float64() / 2, WriteLossProbability: rng.Float64() / 4})
		default:
			c.SetFaults(keyvalue.Faults{})
		}
		for range rng.IntN(40) {
			runtime.Gosched()
		}
	}
}

func (s *schedule) runHolder(cs []*Committer, holder int) {
	rng := s.rand(uint64(100 + holder))
	sequence := uint64(0)
	for range opsPerHolder {
		op := s.next(s, rng, holder, &sequence)
		// A holder applies its ops with a sequence number one at a time, each
		// until it is durable.
		giveUp := op.Draw == nil && op.Return == nil
		s.history.run(cs[holder%committers], holder, op, giveUp, func() (context.Context, context.CancelFunc) {
			for _, c := range cs {
				c.Wake() // ends the delays after failed calls and forwards
			}
			return randomlyCanceled(rng)
		})
		if !giveUp {
			sequence++
		}
	}
}

// randomlyCanceled returns a context that is canceled at a random time while the
// op is in progress, or not at all.
func randomlyCanceled(rng *rand.Rand) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	if rng.IntN(2) == 0 {
		return ctx, cancel
	}
	yields := rng.IntN(200)
	go func() {
		for range yields {
			runtime.Gosched()
		}
		cancel()
	}()
	return ctx, cancel
}

func holderName(n int) ident.Incarnation { return ident.Incarnation(fmt.Sprintf("h%d", n)) }

func requestName(n int) ident.Request { return ident.Request(fmt.Sprintf("r%d", n)) }

// check reports whether the history is linearizable under model.
func (s *schedule) check(model porcupine.Model) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(model, s.history.ops, checkTimeout)
}
