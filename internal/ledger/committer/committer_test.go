package committer

import (
	"context"
	"expvar"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func clock() time.Time { return start }

// newTestCommitter returns a committer on s that retries failed calls almost
// without a delay.
func newTestCommitter(s store.Store, pages int) *Committer {
	return New(Settings{
		Store: s, Pages: pages, Clock: clock, Seed: 1,
		Backoff: time.Microsecond, BackoffLimit: 50 * time.Microsecond,
	})
}

func closeAll(t testing.TB, cs ...*Committer) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, c := range cs {
		assert.NoError(t, c.Close(ctx))
	}
}

// cancelAfterCalls calls cancel once the counter n is at least 3.
func cancelAfterCalls(n *expvar.Int, cancel context.CancelFunc) {
	for n.Value() < 3 {
		runtime.Gosched()
	}
	cancel()
}

func drawOp(holder ident.Incarnation, sequence uint64, want tokens.Count) ledger.Op {
	f := ledger.Funding{Customer: "parish", Prepaid: 1000, Revision: 1}
	return ledger.Op{Budget: "b", Draw: &ledger.Draw{Holder: holder, Sequence: sequence, Want: want, Least: want, Funding: f}}
}

func claim(request ident.Request, holder ident.Incarnation, cost tokens.Count) ledger.Claim {
	return ledger.Claim{
		Request: request, Holder: holder, Attempt: ident.Attempt(holder), Idempotent: true,
		Reserved: 10, Cost: cost, Opened: start,
	}
}

func openOp(c ledger.Claim) ledger.Op {
	return ledger.Op{Budget: "b", Open: &ledger.Open{Claim: c}}
}

func settleOp(c ledger.Claim, delivered bool) ledger.Op {
	return ledger.Op{Budget: "b", Settle: &ledger.Settle{Claim: c, Delivered: delivered}}
}

func releaseOp(request ident.Request, holder ident.Incarnation) ledger.Op {
	return ledger.Op{Budget: "b", Release: &ledger.Release{Request: request, Holder: holder, Attempt: ident.Attempt(holder)}}
}

func budget(t testing.TB, s store.Store) *ledger.Budget {
	entry, err := s.Get(context.Background(), ledger.PageKey(0))
	require.NoError(t, err)
	p, err := ledger.Decode(entry.Value)
	require.NoError(t, err)
	return p.Budgets["b"]
}

func TestApplyRepeatsUntilDurable(t *testing.T) {
	tests := []struct {
		name   string
		faults keyvalue.Faults
	}{
		{"healthy", keyvalue.Faults{}},
		{"response lost", keyvalue.Faults{LoseResponses: 3}},
		{"write lost", keyvalue.Faults{LoseWrites: 3}},
		{"write held", keyvalue.Faults{HoldWrites: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := keyvalue.New(keyvalue.Settings{})
			client := service.Client()
			client.SetFaults(tt.faults)
			c := newTestCommitter(client, 1)
			r, err := c.Apply(context.Background(), drawOp("a", 1, 300))
			require.NoError(t, err)
			assert.Equal(t, ledger.Result{Outcome: ledger.Applied, Granted: 300, Free: 700}, r)
			service.ReleaseHeld()
			assert.EqualValues(t, 700, budget(t, service.Client()).Free())
			closeAll(t, c)
		})
	}
}

func TestUsualCaseIsOneWriteAndNoRead(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	c := newTestCommitter(service.Client(), 1)
	for n := range uint64(10) {
		_, err := c.Apply(context.Background(), drawOp("a", n+1, 1))
		require.NoError(t, err)
	}
	assert.Equal(t, 1, service.Counts().Reads)
	assert.Equal(t, 10, service.Counts().Writes)
	closeAll(t, c)
}

func TestNoWriteWithoutChangeAndNoStaleRefusal(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	a, b := newTestCommitter(service.Client(), 1), newTestCommitter(service.Client(), 1)
	ctx := context.Background()
	_, err := a.Apply(ctx, drawOp("a", 1, 1000))
	require.NoError(t, err)
	r, err := b.Apply(ctx, drawOp("b", 1, 100))
	require.NoError(t, err)
	assert.Equal(t, ledger.Exhausted, r.Outcome)
	assert.Equal(t, 1, service.Counts().Writes)
	_, err = a.Apply(ctx, ledger.Op{Budget: "b", Return: &ledger.Return{Holder: "a", Sequence: 2, Tokens: 500}})
	require.NoError(t, err)
	r, err = b.Apply(ctx, drawOp("b", 1, 100))
	require.NoError(t, err)
	assert.Equal(t, ledger.Applied, r.Outcome, "refused from a page read before the return")
	closeAll(t, a, b)
}

// TestHeldWriteCannotFollowLaterAnswer tests that a write whose response was lost
// does not take effect after a later op has completed.
func TestHeldWriteCannotFollowLaterAnswer(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	client := service.Client()
	c := newTestCommitter(client, 1)
	_, err := c.Apply(context.Background(), drawOp("a", 1, 300))
	require.NoError(t, err)
	client.SetFaults(keyvalue.Faults{HoldWrites: 1 << 30})
	ctx, cancel := context.WithCancel(context.Background())
	go cancelAfterCalls(&c.counters.Unknown, cancel)
	_, err = c.Apply(ctx, openOp(claim("r", "a", 0)))
	require.ErrorIs(t, err, store.ErrUnknown)
	client.SetFaults(keyvalue.Faults{})
	r, err := c.Apply(context.Background(), releaseOp("r", "a"))
	require.NoError(t, err)
	assert.Equal(t, ledger.Applied, r.Outcome)
	service.ReleaseHeld()
	assert.Empty(t, budget(t, service.Client()).Claims, "the claim was opened after its release")
	closeAll(t, c)
}

func TestContextEndDuringOutageWithdraws(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	service.SetFaults(keyvalue.Faults{Outage: true})
	c := newTestCommitter(service.Client(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	go cancelAfterCalls(&c.counters.Unavailable, cancel)
	_, err := c.Apply(ctx, drawOp("a", 1, 300))
	require.ErrorIs(t, err, store.ErrUnavailable)
	service.SetFaults(keyvalue.Faults{})
	_, err = c.Apply(context.Background(), drawOp("b", 1, 1000))
	require.NoError(t, err)
	assert.Len(t, budget(t, service.Client()).Shares, 1)
	closeAll(t, c)
}

// TestContextEndAfterLostAnswerIsUnknown tests that an op whose write may have
// taken effect is not reported as withdrawn because of a later outage.
func TestContextEndAfterLostAnswerIsUnknown(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	client := service.Client()
	client.SetFaults(keyvalue.Faults{LoseResponses: 1})
	c := newTestCommitter(outageAfterWrite{client}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go cancelAfterCalls(&c.counters.Unavailable, cancel)
	_, err := c.Apply(ctx, drawOp("a", 1, 300))
	require.ErrorIs(t, err, store.ErrUnknown)
	client.SetFaults(keyvalue.Faults{})
	assert.EqualValues(t, 700, budget(t, client).Free())
	closeAll(t, c)
}

// outageAfterWrite is a store on which an outage begins after the first write.
type outageAfterWrite struct{ *keyvalue.Client }

func (o outageAfterWrite) Put(ctx context.Context, key string, value []byte, cond store.Condition, l store.Lease) (store.Revision, error) {
	r, err := o.Client.Put(ctx, key, value, cond, l)
	o.SetFaults(keyvalue.Faults{Outage: true})
	return r, err
}

func TestPushOutlastsOutage(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	c := newTestCommitter(service.Client(), 1)
	_, err := c.Apply(context.Background(), drawOp("a", 1, 300))
	require.NoError(t, err)
	service.SetFaults(keyvalue.Faults{Outage: true})
	var wg sync.WaitGroup
	for _, id := range []ident.Request{"r", "s", "t"} {
		wg.Add(1)
		c.Push(settleOp(claim(id, "a", 5), true), func(r ledger.Result) {
			assert.Equal(t, ledger.Applied, r.Outcome)
			wg.Done()
		})
	}
	service.SetFaults(keyvalue.Faults{})
	wg.Wait()
	assert.EqualValues(t, 15, budget(t, service.Client()).Settled)
	closeAll(t, c)
}

func TestCloseFlushesOrReportsWhatIsLeft(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	c := newTestCommitter(service.Client(), 1)
	done := false
	c.Push(drawOp("a", 1, 300), func(ledger.Result) { done = true })
	closeAll(t, c)
	assert.True(t, done)

	service.SetFaults(keyvalue.Faults{Outage: true})
	c = newTestCommitter(service.Client(), 1)
	c.Push(drawOp("b", 1, 300), func(ledger.Result) { assert.Fail(t, "done during an outage") })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorContains(t, c.Close(ctx), "1 records not written")
	_, err := c.Apply(context.Background(), drawOp("a", 2, 300))
	assert.ErrorIs(t, err, store.ErrUnavailable)
}

func TestFullPageRefusesAndLosesNothing(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	c := newTestCommitter(service.Client(), 1)
	ctx := context.Background()
	_, err := c.Apply(ctx, drawOp("a", 1, 300))
	require.NoError(t, err)
	large := claim("large", "a", 0)
	large.Digest = incompressible(2 * store.MaxValueSize)
	_, err = c.Apply(ctx, openOp(large))
	require.ErrorIs(t, err, ledger.ErrPageFull)
	r, err := c.Apply(ctx, openOp(claim("small", "a", 0)))
	require.NoError(t, err)
	assert.Equal(t, ledger.Applied, r.Outcome)
	closeAll(t, c)
}

// incompressible returns n random letters, which have no repetitions that
// compression could exploit.
func incompressible(n int) string {
	random := rand.New(rand.NewPCG(1, 1))
	letters := make([]byte, n)
	for i := range letters {
		letters[i] = 'a' + byte(random.IntN(26))
	}
	return string(letters)
}

// forwardFunc implements Forwarder by a function.
type forwardFunc func([]ledger.Op) ([]ledger.Result, error)

func (f forwardFunc) Apply(_ context.Context, _ int, ops []ledger.Op) ([]ledger.Result, error) {
	return f(ops)
}

func TestForwardFallsBackToDirectWrites(t *testing.T) {
	granted := []ledger.Result{{Outcome: ledger.Applied, Granted: 300}}
	tests := []struct {
		name    string
		results []ledger.Result
		err     error
		writes  int
	}{
		{"owner responds", granted, nil, 0},
		{"this router is the owner", nil, ErrLocalOwner, 1},
		{"owner unreachable", nil, store.ErrUnavailable, 1},
		{"no response", nil, store.ErrUnknown, 1},
		{"too few results", nil, nil, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := keyvalue.New(keyvalue.Settings{})
			c := newTestCommitter(service.Client(), 1)
			c.settings.Forwarder = forwardFunc(func([]ledger.Op) ([]ledger.Result, error) { return tt.results, tt.err })
			r, err := c.Apply(context.Background(), drawOp("a", 1, 300))
			require.NoError(t, err)
			assert.Equal(t, ledger.Applied, r.Outcome)
			assert.EqualValues(t, 300, r.Granted)
			assert.Equal(t, tt.writes, service.Counts().Writes)
			closeAll(t, c)
		})
	}
}

func TestApplyLocalRefusesBudgetsOfOtherPages(t *testing.T) {
	c := newTestCommitter(keyvalue.New(keyvalue.Settings{}).Client(), 8)
	other := (ledger.PageIndex("b", 8) + 1) % 8
	_, err := c.ApplyLocal(context.Background(), other, []ledger.Op{drawOp("a", 1, 300)})
	assert.ErrorIs(t, err, store.ErrUnavailable)
	closeAll(t, c)
}

// responseLosingStore is a store that loses the response to the next write after
// armed has been set.
type responseLosingStore struct {
	store.Store
	armed bool
}

func (s *responseLosingStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, l store.Lease) (store.Revision, error) {
	r, err := s.Store.Put(ctx, key, value, cond, l)
	if !s.armed {
		return r, err
	}
	s.armed = false
	return 0, store.ErrUnknown
}

// TestEqualWriteOfAnotherCommitter lets two committers write the same content on
// condition of the same revision. The response to the second write, a conflict, is
// lost. The second committer must not conclude from the content of the page that
// its own write took effect.
func TestEqualWriteOfAnotherCommitter(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	kv := &responseLosingStore{Store: service.Client()}
	late, early := newTestCommitter(kv, 1), newTestCommitter(service.Client(), 1)
	defer closeAll(t, late, early)
	ctx := context.Background()
	topUp := ledger.Op{Budget: "b", TopUp: &ledger.TopUp{ID: "t", Tokens: 30}}

	_, err := late.Apply(ctx, drawOp("h", 1, 600))
	require.NoError(t, err)
	_, err = early.Apply(ctx, topUp)
	require.NoError(t, err)

	kv.armed = true
	rs, err := late.ApplyLocal(ctx, 0, []ledger.Op{drawOp("h", 2, 420), topUp})
	require.NoError(t, err)
	assert.Equal(t, ledger.Applied, rs[0].Outcome, "the draw came after the top-up")
	assert.EqualValues(t, 420, rs[0].Granted)
}

// unresponsiveOwner records the ops and reports that their outcome is unknown.
type unresponsiveOwner struct {
	owner *Committer
	ops   []ledger.Op
}

func (o *unresponsiveOwner) Apply(_ context.Context, _ int, ops []ledger.Op) ([]ledger.Result, error) {
	o.ops = append(o.ops, ops...)
	return nil, store.ErrUnknown
}

// TestRefusedDrawIsNotGrantedLater tests that a refused draw is not granted when
// the owner of the page applies a delayed copy of it. The holder would not know
// of the tokens.
func TestRefusedDrawIsNotGrantedLater(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	owner, c := newTestCommitter(service.Client(), 1), newTestCommitter(service.Client(), 1)
	defer closeAll(t, owner, c)
	slow := &unresponsiveOwner{owner: owner}
	c.settings.Forwarder = slow
	ctx := context.Background()

	_, err := owner.Apply(ctx, drawOp("other", 1, 1000))
	require.NoError(t, err)
	refused, err := c.Apply(ctx, drawOp("h", 1, 300))
	require.NoError(t, err)
	require.Equal(t, ledger.Exhausted, refused.Outcome)
	_, err = owner.Apply(ctx, ledger.Op{Budget: "b", Return: &ledger.Return{Holder: "other", Sequence: 2, Tokens: 1000}})
	require.NoError(t, err)

	late, err := owner.ApplyLocal(ctx, 0, slow.ops)
	require.NoError(t, err)
	assert.Equal(t, ledger.Exhausted, late[0].Outcome)
	assert.EqualValues(t, 1000, budget(t, service.Client()).Free())
}
