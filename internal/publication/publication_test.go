package publication_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

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

// newAnswers returns answers with one service and the given number of customers,
// each with the given number of budgets and one application.
func newAnswers(customers, budgets int) answers.Answers {
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

// hookedStore is a store that calls before at the start of each write and
// deletion, and replaces the condition of each write by the result of cond.
// Either function may be nil.
type hookedStore struct {
	store.Store
	before func(key string)
	cond   func(key string, c store.Condition) store.Condition
}

func (h hookedStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, lease store.Lease) (store.Revision, error) {
	if h.before != nil {
		h.before("put " + key)
	}
	if h.cond != nil {
		cond = h.cond(key, cond)
	}
	return h.Store.Put(ctx, key, value, cond, lease)
}

func (h hookedStore) Delete(ctx context.Context, key string, cond store.Condition) error {
	if h.before != nil {
		h.before("delete " + key)
	}
	return h.Store.Delete(ctx, key, cond)
}

// apply applies a change and fails the test on an error.
func apply(t testing.TB, p *publication.Publisher, id string, a answers.Answers) publication.Receipt {
	t.Helper()
	r, err := p.Apply(t.Context(), publication.Change{ID: id, Answers: a})
	require.NoError(t, err)
	return r
}

func TestApplyStoresWhatIsInForce(t *testing.T) {
	p := publication.New(keyvalue.New(keyvalue.Settings{}).Client(), publication.Settings{})
	_, err := p.InForce(t.Context())
	require.ErrorIs(t, err, publication.ErrNoRevision)

	a := newAnswers(3, 400)
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

// TestStaleWriterGetsComparison checks that a writer with an outdated base gets a
// comparison, and that its change can be merged and applied.
func TestStaleWriterGetsComparison(t *testing.T) {
	p := publication.New(keyvalue.New(keyvalue.Settings{}).Client(), publication.Settings{})
	apply(t, p, "one", newAnswers(2, 2))
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

// TestUnknownOutcomeIsLookedUp guards against applying a change twice or reporting
// a wrong outcome when the response to a swap, or the swap itself, is lost.
func TestUnknownOutcomeIsLookedUp(t *testing.T) {
	tests := []struct {
		name   string
		faults keyvalue.Faults // start at the first swap
		other  bool            // whether another writer applies a change before the retry
		want   error
	}{
		{name: "answer lost", faults: keyvalue.Faults{LoseResponses: 1}},
		{name: "write lost", faults: keyvalue.Faults{LoseWrites: 1}},
		{name: "write held", faults: keyvalue.Faults{HoldWrites: 1}},
		{name: "answer lost, then overtaken", faults: keyvalue.Faults{LoseResponses: 1}, other: true},
		{name: "all writes lost", faults: keyvalue.Faults{LoseWrites: 100}, want: publication.ErrUnknown},
		{name: "outage", faults: keyvalue.Faults{Outage: true}, want: store.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := keyvalue.New(keyvalue.Settings{})
			other := publication.New(service.Client(), publication.Settings{})
			apply(t, other, "one", newAnswers(2, 2))
			client := service.Client()
			swaps := 0
			p := publication.New(hookedStore{Store: client, before: func(key string) {
				if key != "put "+manifest.HeadKey {
					return
				}
				if swaps++; swaps == 1 {
					client.SetFaults(test.faults)
				}
			}}, publication.Settings{})
			a := newAnswers(2, 3)
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

// TestSweepDuringApply runs a sweep at the two points at which a writer relies on
// old parts. It guards against putting a revision in force whose parts the sweep
// deletes.
func TestSweepDuringApply(t *testing.T) {
	setUp := func(t *testing.T) (*keyvalue.Service, *publication.Publisher, answers.Answers) {
		service := keyvalue.New(keyvalue.Settings{})
		p := publication.New(service.Client(), publication.Settings{KeepRevisions: 1})
		old, next := newAnswers(2, 2), newAnswers(2, 3)
		apply(t, p, "old", old)
		next.Revision = 1
		apply(t, p, "next", next)
		old.Revision = 2
		return service, p, old
	}
	checkRevision3 := func(t *testing.T, p *publication.Publisher) {
		s, err := p.InForce(t.Context())
		require.NoError(t, err)
		assert.EqualValues(t, 3, s.Head.Revision)
		assert.Len(t, s.Configuration.Budgets, 4)
	}
	t.Run("between parts and swap", func(t *testing.T) {
		service, sweeper, old := setUp(t)
		swept := 0
		p := publication.New(hookedStore{Store: service.Client(), before: func(key string) {
			if key != "put "+manifest.HeadKey || swept > 0 {
				return
			}
			var err error
			swept, err = sweeper.Sweep(t.Context())
			require.NoError(t, err)
		}}, publication.Settings{})
		assert.EqualValues(t, 3, apply(t, p, "again", old).Revision)
		assert.Positive(t, swept)
		checkRevision3(t, p)
	})
	for name, faults := range map[string]keyvalue.Faults{
		"between list and delete":                         {},
		"between list and delete, first writes lost":      {LoseWrites: 3},
		"between list and delete, answers of writes lost": {LoseResponses: 4},
	} {
		t.Run(name, func(t *testing.T) {
			service, p, old := setUp(t)
			client := service.Client()
			client.SetFaults(faults)
			writer := publication.New(client, publication.Settings{})
			applied := false
			sweeper := publication.New(hookedStore{Store: service.Client(), before: func(key string) {
				if key[:6] == "delete" && !applied {
					applied = true
					apply(t, writer, "again", old)
				}
			}}, publication.Settings{KeepRevisions: 1})
			_, err := sweeper.Sweep(t.Context())
			require.NoError(t, err)
			assert.True(t, applied)
			checkRevision3(t, p)
		})
	}
}

// TestSweepKeepsTheWindow checks that a sweep removes all revisions except the
// last KeepRevisions.
func TestSweepKeepsTheWindow(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	p := publication.New(service.Client(), publication.Settings{KeepRevisions: 3})
	a := newAnswers(2, 2)
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
			assert.ErrorIs(t, err, publication.ErrNoRevision, "revision %d", revision)
		} else {
			assert.NoError(t, err, "revision %d", revision)
		}
	}
	removed, err = p.Sweep(t.Context())
	require.NoError(t, err)
	assert.Zero(t, removed)
}
