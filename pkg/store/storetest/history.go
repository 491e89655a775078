package storetest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/store"
)

// Size of a history and the key that its clients write.
const (
	historyClients = 6
	historySteps   = 25 // calls of each client
	historyKey     = "register"
)

// checkTimeout limits the duration of the linearizability check.
const checkTimeout = 30 * time.Second

// RunHistories runs concurrent clients that compare and swap one key over a
// lossy service, and checks that their history is linearizable.
func RunHistories(t *testing.T, seed uint64, open func(t *testing.T) Harness) {
	t.Logf("seed %d", seed)
	h := open(t)
	h.Inject(FaultLossy)
	history := recordHistory(h.Store, seed)
	result := porcupine.CheckOperationsTimeout(registerModel(), history, checkTimeout)
	require.Equal(t, porcupine.Ok, result, "seed %d", seed)
}

// registerInput describes a call of a client: a read, or a conditional write of value
// at the expected revision.
type registerInput struct {
	write    bool
	value    string
	expected store.Revision
}

// registerOutput is the result of a call.
type registerOutput struct {
	entry store.Entry // value and revision read, or the revision written
	err   error       // ErrConflict, ErrUnknown or nil
}

// recordHistory runs concurrent clients on s and returns their history.
func recordHistory(s store.Store, seed uint64) []porcupine.Operation {
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		clients sync.WaitGroup
	)
	var callOrder atomic.Int64
	for id := range historyClients {
		clients.Go(func() {
			c := historyClient{
				store:     s,
				rng:       rand.New(rand.NewPCG(seed, uint64(id))),
				id:        id,
				callOrder: &callOrder,
			}
			c.run()
			mu.Lock()
			defer mu.Unlock()
			history = append(history, c.history...)
		})
	}
	clients.Wait()
	return history
}

// historyClient is a client that makes random calls and records their history.
type historyClient struct {
	store        store.Store
	rng          *rand.Rand
	id           int
	callOrder    *atomic.Int64 // sequence number for the starts and ends of the calls of all clients
	lastRevision store.Revision
	history      []porcupine.Operation
}

func (c *historyClient) run() {
	for step := range historySteps {
		input := registerInput{
			write:    c.rng.IntN(3) > 0,
			value:    fmt.Sprintf("%d/%d", c.id, step),
			expected: c.lastRevision,
		}
		called := c.callOrder.Add(1)
		output := c.call(input)
		if output.err != nil && errors.Is(output.err, store.ErrUnavailable) {
			continue
		}
		returned := c.callOrder.Add(1)
		c.history = append(c.history, porcupine.Operation{
			ClientId: c.id,
			Input:    input,
			Output:   output,
			Call:     called,
			Return:   returned,
		})
	}
}

func (c *historyClient) call(input registerInput) (output registerOutput) {
	ctx := context.Background()
	if !input.write {
		output.entry, output.err = c.store.Get(ctx, historyKey)
	} else {
		cond := store.If(input.expected)
		output.entry.Revision, output.err = c.store.Put(ctx, historyKey, []byte(input.value), cond, store.NoLease)
	}
	if output.err == nil {
		c.lastRevision = output.entry.Revision
	}
	return output
}

// registerState is the value and revision of the key.
type registerState struct {
	value    string
	revision store.Revision
}

// unknownRevision is the revision in the state after a write with an unknown outcome
// has taken effect. Its actual revision becomes known when it is read.
const unknownRevision store.Revision = -1

// registerModel models a register with compare-and-swap on the revision. A write
// with an unknown outcome may or may not take effect.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{registerState{}} },
		Step: func(state, input, output any) []any {
			return step(state.(registerState), input.(registerInput), output.(registerOutput))
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func step(s registerState, in registerInput, out registerOutput) []any {
	switch {
	case !in.write:
		return stepRead(s, out.entry)
	case errors.Is(out.err, store.ErrConflict):
		return stateIf(s.revision != in.expected, s)
	case errors.Is(out.err, store.ErrUnknown):
		if s.revision != in.expected {
			return []any{s}
		}
		return []any{s, registerState{in.value, unknownRevision}}
	}
	next := registerState{in.value, out.entry.Revision}
	return stateIf(s.revision == in.expected && next.revision > s.revision, next)
}

func stepRead(s registerState, read store.Entry) []any {
	matches := s.revision == read.Revision || s.revision == unknownRevision
	next := registerState{string(read.Value), read.Revision}
	return stateIf(matches && s.value == next.value, next)
}

// stateIf returns s as the only next state if ok is true, and no state otherwise.
func stateIf(ok bool, s registerState) []any {
	if !ok {
		return nil
	}
	return []any{s}
}
