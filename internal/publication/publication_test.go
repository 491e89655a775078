package publication_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// fleet returns answers with one service and a number of customers, each with
// a number of budgets and one application.
func fleet(customers, budgets int) answers.Answers {
	var a answers.Answers
	a.Policy = answers.Policy{
		Preference: "caution", LedgerPages: 4, RefillHorizonSeconds: 1, ShareLifetimeSeconds: 5,
		ClaimRetentionSeconds: 60, SilenceLimitMillis: 1000, CrashLimit: 2,
	}
	for i := range customers {
		c := answers.Customer{ID: ident.Customer(fmt.Sprintf("c%d", i)), Name: "C", Weight: 1}
		for j := range budgets {
			c.Budgets = append(c.Budgets, answers.Budget{ID: ident.Budget(fmt.Sprintf("c%d-b%d", i, j)), Prepaid: 1000})
		}
		c.Applications = []answers.Application{{
			ID: ident.Application(fmt.Sprintf("c%d-a", i)), KeyHash: answers.HashKey(answers.Secret(c.ID)),
			Budget: c.Budgets[0].ID, MaxOutput: 10,
		}}
		a.Customers = append(a.Customers, c)
	}
	a.Services = []answers.Service{{ID: "s", Kind: configuration.KindPlain}}
	return answers.Canonical(a)
}

// hooked calls a function before each write of a store.
type hooked struct {
	store.Store
	before func(key string)
	cond   func(key string, c store.Condition) store.Condition
}

func (h hooked) Put(ctx context.Context, key string, value []byte, cond store.Condition, lease store.Lease) (store.Revision, error) {
	if h.before != nil {
		h.before("put " + key)
	}
	if h.cond != nil {
		cond = h.cond(key, cond)
	}
	return h.Store.Put(ctx, key, value, cond, lease)
}

func (h hooked) Delete(ctx context.Context, key string, cond store.Condition) error {
	if h.before != nil {
		h.before("delete " + key)
	}
	return h.Store.Delete(ctx, key, cond)
}

func apply(t testing.TB, p *publication.Publisher, id string, a answers.Answers) publication.Receipt {
	t.Helper()
	r, err := p.Apply(t.Context(), publication.Change{ID: id, Answers: a})
	require.NoError(t, err)
	return r
}

func TestApplyStoresWhatIsInForce(t *testing.T) {
	p := publication.New(keyvalue.New(keyvalue.Settings{}).Client(), publication.Settings{})
	_, err := p.InForce(t.Context())
	require.ErrorIs(t, err, publication.ErrNothing)

	a := fleet(3, 400)
	assert.EqualValues(t, 1, apply(t, p, "one", a).Revision)
	assert.EqualValues(t, 1, apply(t, p, "one", a).Revision, "the same change again")
	s, err := p.InForce(t.Context())
	require.NoError(t, err)
	a.Revision = 1
	assert.Equal(t, a, s.Answers)
	assert.Len(t, s.Configuration.Budgets, 1200)

	a.Customers[1].Budgets[7].Prepaid = 5
	assert.EqualValues(t, 2, apply(t, p, "two", a).Revision)
	first, err := p.At(t.Context(), 1)
	require.NoError(t, err)
	assert.Equal(t, tokens.Count(1000), first.Answers.Customers[1].Budgets[7].Prepaid)

	a.Revision, a.Policy.LedgerPages = 2, 9
	_, err = p.Apply(t.Context(), publication.Change{ID: "three", Answers: a})
	var problems answers.Problems
	assert.True(t, errors.As(err, &problems), "%v", err)
}

func TestStaleWriterGetsComparison(t *testing.T) {
	p := publication.New(keyvalue.New(keyvalue.Settings{}).Client(), publication.Settings{})
	apply(t, p, "one", fleet(2, 2))
	base, err := p.InForce(t.Context())
	require.NoError(t, err)
	theirs, mine := answers.Canonical(base.Answers), answers.Canonical(base.Answers)
	theirs.Customers[0].Weight = 5
	mine.Customers[1].Weight = 6
	apply(t, p, "theirs", theirs)

	_, err = p.Apply(t.Context(), publication.Change{ID: "mine", Answers: mine})
	var conflict *publication.ConflictError
	require.True(t, errors.As(err, &conflict), "%v", err)
	assert.EqualValues(t, 1, conflict.Base)
	assert.EqualValues(t, 2, conflict.InForce)
	assert.Equal(t, "theirs ~ customers[c0].weight: 1 -> 5\nmine   ~ customers[c1].weight: 1 -> 6\n", conflict.Comparison.String())
	merged, err := answers.Merge(conflict.BaseAnswers, conflict.Theirs, mine)
	require.NoError(t, err)
	assert.EqualValues(t, 3, apply(t, p, "merged", merged).Revision)
}

func TestUnknownOutcomeIsLookedUp(t *testing.T) {
	tests := []struct {
		name   string
		faults keyvalue.Faults // of the swap
		other  bool            // whether another writer succeeds in between
		want   error
	}{
		{name: "answer lost", faults: keyvalue.Faults{LoseAnswers: 1}},
		{name: "write lost", faults: keyvalue.Faults{LoseWrites: 1}},
		{name: "write held", faults: keyvalue.Faults{HoldWrites: 1}},
		{name: "answer lost, then overtaken", faults: keyvalue.Faults{LoseAnswers: 1}, other: true},
		{name: "all writes lost", faults: keyvalue.Faults{LoseWrites: 100}, want: publication.ErrUnknown},
		{name: "outage", faults: keyvalue.Faults{Outage: true}, want: store.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := keyvalue.New(keyvalue.Settings{})
			other := publication.New(service.Client(), publication.Settings{})
			apply(t, other, "one", fleet(2, 2))
			client := service.Client()
			swaps := 0
			p := publication.New(hooked{Store: client, before: func(key string) {
				if key != "put "+manifest.HeadKey {
					return
				}
				if swaps++; swaps == 1 {
					client.SetFaults(test.faults)
				}
			}}, publication.Settings{})
			a := fleet(2, 3)
			a.Revision = 1
			r, err := p.Apply(t.Context(), publication.Change{ID: "two", Answers: a})
			require.ErrorIs(t, err, test.want)
			client.SetFaults(keyvalue.Faults{})
			if test.other {
				a.Revision, a.Customers[0].Weight = 2, 9
				apply(t, other, "three", a)
				a.Revision, a.Customers[0].Weight = 1, 1
			}
			again := apply(t, p, "two", a)
			if test.want == nil {
				assert.EqualValues(t, 2, r.Revision)
			}
			assert.EqualValues(t, 2, again.Revision)
			service.ReleaseHeld()
			s, err := other.InForce(t.Context())
			require.NoError(t, err)
			want := configuration.Revision(2)
			if test.other {
				want = 3
			}
			assert.Equal(t, want, s.Head.Revision)
		})
	}
}

// TestSweepDuringApply runs a sweep at the two moments at which a writer
// relies on old parts.
func TestSweepDuringApply(t *testing.T) {
	setUp := func(t *testing.T) (*keyvalue.Service, *publication.Publisher, answers.Answers) {
		service := keyvalue.New(keyvalue.Settings{})
		p := publication.New(service.Client(), publication.Settings{Keep: 1})
		old, next := fleet(2, 2), fleet(2, 3)
		apply(t, p, "old", old)
		next.Revision = 1
		apply(t, p, "next", next)
		old.Revision = 2
		return service, p, old
	}
	check := func(t *testing.T, p *publication.Publisher) {
		s, err := p.InForce(t.Context())
		require.NoError(t, err)
		assert.EqualValues(t, 3, s.Head.Revision)
		assert.Len(t, s.Configuration.Budgets, 4)
	}
	t.Run("between parts and swap", func(t *testing.T) {
		service, sweeper, old := setUp(t)
		swept := 0
		p := publication.New(hooked{Store: service.Client(), before: func(key string) {
			if key != "put "+manifest.HeadKey || swept > 0 {
				return
			}
			var err error
			swept, err = sweeper.Sweep(t.Context())
			require.NoError(t, err)
		}}, publication.Settings{})
		assert.EqualValues(t, 3, apply(t, p, "again", old).Revision)
		assert.Positive(t, swept)
		check(t, p)
	})
	for name, faults := range map[string]keyvalue.Faults{
		"between list and delete":                         {},
		"between list and delete, first writes lost":      {LoseWrites: 3},
		"between list and delete, answers of writes lost": {LoseAnswers: 4},
	} {
		t.Run(name, func(t *testing.T) {
			service, p, old := setUp(t)
			client := service.Client()
			client.SetFaults(faults)
			writer := publication.New(client, publication.Settings{})
			applied := false
			sweeper := publication.New(hooked{Store: service.Client(), before: func(key string) {
				if key[:6] == "delete" && !applied {
					applied = true
					apply(t, writer, "again", old)
				}
			}}, publication.Settings{Keep: 1})
			_, err := sweeper.Sweep(t.Context())
			require.NoError(t, err)
			assert.True(t, applied)
			check(t, p)
		})
	}
}

func TestSweepKeepsTheWindow(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	p := publication.New(service.Client(), publication.Settings{Keep: 3})
	a := fleet(2, 2)
	for i := range 10 {
		a.Revision, a.Customers[0].Weight = configuration.Revision(i), i+1
		apply(t, p, fmt.Sprint(i), a)
	}
	removed, err := p.Sweep(t.Context())
	require.NoError(t, err)
	assert.Positive(t, removed)
	for revision := configuration.Revision(1); revision <= 10; revision++ {
		_, err := p.At(t.Context(), revision)
		if revision < 8 {
			assert.ErrorIs(t, err, publication.ErrNothing, "revision %d", revision)
		} else {
			assert.NoError(t, err, "revision %d", revision)
		}
	}
	removed, err = p.Sweep(t.Context())
	require.NoError(t, err)
	assert.Zero(t, removed)
}

// operation is a call of an operator, and result what came back.
type operation struct {
	base configuration.Revision // of an apply; a read has no id
	id   string
}

type result struct {
	revision configuration.Revision
	id       string // in force, for a read
	conflict bool
	unknown  bool
}

// register is the revision in force and the change that made it.
type register struct {
	revision configuration.Revision
	id       string
}

func step(state register, in operation, out result) []register {
	applied := register{revision: in.base + 1, id: in.id}
	fits := state.revision == in.base
	switch {
	case in.id == "":
		if state == (register{out.revision, out.id}) {
			return []register{state}
		}
	case out.unknown:
		if fits {
			return []register{state, applied}
		}
		return []register{state}
	case out.conflict:
		if !fits {
			return []register{state}
		}
	case fits && out.revision == applied.revision:
		return []register{applied}
	}
	return nil
}

// TestRacingOperatorsAreLinearizable checks histories of operators that change
// the same answers while answers and writes of the service are lost. A store
// that drops the condition of the swap is caught.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	for run := range uint64(40) {
		assert.True(t, linearizable(race(t, seed+run, false)), "seed %d", seed+run)
	}
	caught := 0
	for run := range uint64(40) {
		if !linearizable(race(t, seed+run, true)) {
			caught++
		}
	}
	assert.Positive(t, caught, "no history of the broken variant was caught")
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

func race(t *testing.T, seed uint64, broken bool) (history []porcupine.Operation) {
	service := keyvalue.New(keyvalue.Settings{Seed: seed})
	start := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	for operator := range 4 {
		client := service.Client()
		client.SetFaults(keyvalue.Faults{AnswerLoss: 0.2, WriteLoss: 0.1})
		s := hooked{Store: client}
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
				if err != nil && !errors.Is(err, publication.ErrNothing) {
					continue // under a broken store parts may not fit
				}
				record(operation{}, call, result{revision: state.Head.Revision, id: state.Head.ApplyID})
				a := fleet(1, 1)
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

// sizes are numbers of customers with 232 budgets each: 1,600, 16,000 and
// 160,000 budgets.
var sizes = []int{7, 69, 690}

// change puts a fleet in force, changes one budget and returns the bytes
// written, the bytes that each router reads, and the largest value.
func change(t testing.TB, customers int) (written, read, largest, calls int) {
	service := keyvalue.New(keyvalue.Settings{})
	client := service.Client()
	p := publication.New(client, publication.Settings{})
	a := fleet(customers, 232)
	apply(t, p, "first", a)
	before, err := p.InForce(t.Context())
	require.NoError(t, err)
	a.Revision, a.Customers[customers/2].Budgets[100].Prepaid = 1, 77
	counts := service.Counts()
	written = apply(t, p, "second", a).BytesWritten
	calls = int(service.Counts().Reads - counts.Reads)
	after, err := p.InForce(t.Context())
	require.NoError(t, err)
	held := make(map[manifest.Digest]bool)
	for _, d := range before.Head.List().Digests() {
		held[d] = true
	}
	entry, err := client.Get(t.Context(), manifest.HeadKey)
	require.NoError(t, err)
	read = len(entry.Value)
	for _, d := range after.Head.List().Digests() {
		if !held[d] {
			part, err := client.Get(t.Context(), d.Key())
			require.NoError(t, err)
			read += len(part.Value)
		}
	}
	entries, _, err := client.List(t.Context(), "config/")
	require.NoError(t, err)
	for _, e := range entries {
		largest = max(largest, len(e.Value))
	}
	return written, read, largest, calls
}

// TestBytesPerChangeGrowWithTheSquareRoot compares sizes a factor of ten
// apart.
func TestBytesPerChangeGrowWithTheSquareRoot(t *testing.T) {
	_, small, _, _ := change(t, sizes[0])
	_, large, largest, _ := change(t, sizes[1])
	assert.Less(t, float64(large)/float64(small), 5.0)
	assert.Less(t, largest, store.MaxValueSize/4)
}

func TestPartsOfLargeCustomerStaySmall(t *testing.T) {
	split, err := manifest.SplitAnswers(fleet(1, 20000), manifest.LayoutFor(20000, 0))
	require.NoError(t, err)
	largest := 0
	for _, part := range split.Parts {
		largest = max(largest, len(part))
	}
	assert.Less(t, largest, store.MaxValueSize/4)
}

func BenchmarkChange(b *testing.B) {
	for _, customers := range sizes {
		b.Run(fmt.Sprintf("budgets=%d", customers*232), func(b *testing.B) {
			for b.Loop() {
				written, read, largest, calls := change(b, customers)
				b.ReportMetric(float64(calls), "store-reads/change")
				b.ReportMetric(float64(written), "written-B/change")
				b.ReportMetric(float64(read), "read-B/VM/change")
				b.ReportMetric(float64(largest), "largest-B")
			}
		})
	}
}
