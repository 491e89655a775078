package publication_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/store"
)

// operation is a call by an operator: an apply, or a read if id is empty.
type operation struct {
	base configuration.Revision // of an apply
	id   string
}

// result is the outcome of an operation.
type result struct {
	revision configuration.Revision
	id       string // of the change in force, for a read
	conflict bool
	unknown  bool
}

// register is the state of the model: the revision in force and the identifier of
// its change.
type register struct {
	revision configuration.Revision
	id       string
}

// step returns the states that may follow state if in has the result out. It
// returns none if out is impossible.
func step(state register, in operation, out result) []register {
	next := register{revision: in.base + 1, id: in.id}
	matches := state.revision == in.base
	switch {
	case in.id == "":
		if state == (register{out.revision, out.id}) {
			return []register{state}
		}
	case out.unknown:
		if matches {
			return []register{state, next}
		}
		return []register{state}
	case out.conflict:
		if !matches {
			return []register{state}
		}
	case matches && out.revision == next.revision:
		return []register{next}
	}
	return nil
}

// TestRacingOperatorsAreLinearizable checks that the histories of operators that
// change the same answers concurrently are linearizable while writes to the
// service, or their responses, are lost. To validate the check, it also runs
// against a store that ignores the conditions of writes, which must be detected.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	for run := range uint64(40) {
		assert.True(t, linearizable(runOperators(t, seed+run, false)), "seed %d", seed+run)
	}
	caught := 0
	for run := range uint64(40) {
		if !linearizable(runOperators(t, seed+run, true)) {
			caught++
		}
	}
	assert.Positive(t, caught, "no history of the broken store was rejected")
}

func linearizable(history []porcupine.Operation) bool {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: func(state, in, out any) (next []any) {
			for _, s := range step(state.(register), in.(operation), out.(result)) {
				next = append(next, s)
			}
			return next
		},
	}
	return porcupine.CheckOperations(model.ToModel(), history)
}

// runOperators runs four operators concurrently and returns the history of their
// calls. If broken, the store ignores the conditions of writes.
func runOperators(t *testing.T, seed uint64, broken bool) (history []porcupine.Operation) {
	service := keyvalue.New(keyvalue.Settings{Seed: seed})
	start := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	for operator := range 4 {
		client := service.Client()
		client.SetFaults(keyvalue.Faults{ResponseLossProbability: 0.2, WriteLossProbability: 0.1})
		s := hookedStore{Store: client}
		if broken {
			s.cond = func(key string, c store.Condition) store.Condition { return store.Always }
		}
		p := publication.New(s, publication.Settings{})
		record := func(in operation, call time.Duration, out result) {
			mu.Lock()
			defer mu.Unlock()
			end := int64(time.Since(start))
			if out.unknown {
				end = math.MaxInt64
			}
			history = append(history, porcupine.Operation{
				ClientId: operator, Input: in, Call: int64(call), Output: out, Return: end})
		}
		group.Go(func() {
			for i := range 4 {
				call := time.Since(start)
				state, err := p.InForce(t.Context())
				if err != nil && !errors.Is(err, publication.ErrNoRevision) {
					continue // in the broken store, parts and manifest may not match
				}
				record(operation{}, call, result{revision: state.Head.Revision, id: state.Head.ApplyID})
				a := newAnswers(1, 1)
				a.Revision, a.Customers[0].Weight = state.Head.Revision, 1+operator*100+i
				in := operation{base: state.Head.Revision, id: fmt.Sprintf("%d-%d", operator, i)}
				call = time.Since(start)
				receipt, err := p.Apply(t.Context(), publication.Change{ID: in.id, Answers: a})
				var conflict *publication.ConflictError
				switch {
				case err == nil:
					record(in, call, result{revision: receipt.Revision})
				case errors.As(err, &conflict):
					record(in, call, result{conflict: true})
				case errors.Is(err, publication.ErrUnknown):
					record(in, call, result{unknown: true})
				default:
					assert.ErrorIs(t, err, store.ErrUnavailable)
				}
			}
		})
	}
	group.Wait()
	return history
}
