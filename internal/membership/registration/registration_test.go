package registration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

const (
	ttl      = 10 * time.Second
	lifetime = 30 * time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench is a registration whose steps and time the test drives.
type bench struct {
	*Registration
	service *keyvalue.Service
	client  *keyvalue.Client
	now     *time.Time
}

func newBench(t require.TestingT, seed uint64) *bench {
	now := start
	b := &bench{now: &now}
	b.service = keyvalue.New(keyvalue.Settings{Seed: seed, Clock: b.clock})
	b.client = b.service.Client()
	b.Registration = b.process(t, b.client, "run-0", start)
	return b
}

func (b *bench) clock() time.Time { return *b.now }

func (b *bench) advance(d time.Duration) { *b.now = b.now.Add(d) }

func (b *bench) process(t require.TestingT, s store.Store, incarnation ident.Incarnation, started time.Time) *Registration {
	made := 0
	r, err := newRegistration(Settings{
		Store: s,
		Record: membership.Record{
			VM:          "vm-1",
			Incarnation: incarnation,
			Address:     netip.MustParseAddrPort("127.0.0.1:7000"),
			Started:     started,
		},
		Clock:    b.clock,
		Log:      hclog.NewNullLogger(),
		TTL:      ttl,
		Lifetime: func() time.Duration { return lifetime },
		NewIncarnation: func() ident.Incarnation {
			made++
			return ident.Incarnation(fmt.Sprintf("%s-%d", incarnation, made))
		},
	})
	require.NoError(t, err)
	return r
}

// registered returns the incarnation on record, empty if there is none.
func (b *bench) registered(t require.TestingT) ident.Incarnation {
	entry, err := b.service.Client().Get(context.Background(), membership.Key("vm-1"))
	require.NoError(t, err)
	if entry.Revision == 0 {
		return ""
	}
	r, err := membership.Decode(entry.Key, entry.Value)
	require.NoError(t, err)
	return r.Incarnation
}

func TestConfirmedCountsFromBeforeTheCall(t *testing.T) {
	b := newBench(t, 1)
	assert.Zero(t, b.Confirmed())
	second := func() { b.advance(time.Second) }
	b.settings.Store = slowStore{b.client, second, second}
	require.NoError(t, b.step())
	// Two seconds pass in each of grant, put and renewal.
	assert.Equal(t, start.Add(4*time.Second), b.Confirmed())
	require.NoError(t, b.step())
	assert.Equal(t, start.Add(6*time.Second), b.Confirmed())
	assert.Equal(t, ident.Incarnation("run-0"), b.registered(t))
}

// slowStore lets time pass in each write, before and after its effect.
type slowStore struct {
	store.Store
	before, after func()
}

func (s slowStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	s.before()
	defer s.after()
	return s.Store.Grant(ctx, ttl)
}

func (s slowStore) Put(ctx context.Context, key string, value []byte, cond store.Condition, lease store.Lease) (store.Revision, error) {
	s.before()
	defer s.after()
	return s.Store.Put(ctx, key, value, cond, lease)
}

func (s slowStore) KeepAlive(ctx context.Context, lease store.Lease) error {
	s.before()
	defer s.after()
	return s.Store.KeepAlive(ctx, lease)
}

// TestFaults gives what happens after a registration was confirmed at the
// start, and what the next steps make of it.
func TestFaults(t *testing.T) {
	for name, tt := range map[string]struct {
		faults    keyvalue.Faults
		pause     time.Duration
		err       error
		confirmed bool // by the step under the fault
		then      ident.Incarnation
	}{
		"short pause":                  {keyvalue.Faults{}, ttl / 2, nil, true, "run-0"},
		"paused past the lease":        {keyvalue.Faults{}, 2 * ttl, nil, true, "run-0"},
		"paused past the lifetime":     {keyvalue.Faults{}, lifetime, nil, true, "run-0-1"},
		"outage":                       {keyvalue.Faults{Outage: true}, ttl / 2, store.ErrUnavailable, false, "run-0"},
		"outage past the lease":        {keyvalue.Faults{Outage: true}, 2 * ttl, store.ErrUnavailable, false, "run-0"},
		"outage past the lifetime":     {keyvalue.Faults{Outage: true}, lifetime, store.ErrUnavailable, false, "run-0-1"},
		"answer of renewal lost":       {keyvalue.Faults{LoseAnswers: 1}, ttl / 2, store.ErrUnknown, false, "run-0"},
		"renewal lost":                 {keyvalue.Faults{LoseWrites: 1}, ttl / 2, store.ErrUnknown, false, "run-0"},
		"answers lost past the lease":  {keyvalue.Faults{LoseAnswers: 3}, 2 * ttl, store.ErrUnknown, false, "run-0"},
		"writes lost past the lease":   {keyvalue.Faults{LoseWrites: 3}, 2 * ttl, store.ErrUnknown, false, "run-0"},
		"renewals late past the lease": {keyvalue.Faults{HoldWrites: 3}, 2 * ttl, store.ErrUnknown, false, "run-0"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1)
			require.NoError(t, b.step())
			first := b.Confirmed()
			b.client.SetFaults(tt.faults)
			b.advance(tt.pause)
			require.ErrorIs(t, b.step(), tt.err)
			assert.Equal(t, tt.confirmed, b.Confirmed().After(first))
			b.client.SetFaults(keyvalue.Faults{})
			b.service.ReleaseHeld()
			require.NoError(t, b.step())
			incarnation, confirmed := b.Current()
			assert.Equal(t, tt.then, incarnation)
			assert.Equal(t, *b.now, confirmed)
			assert.Equal(t, tt.then, b.registered(t))
		})
	}
}

func TestLostAnswerOfThePut(t *testing.T) {
	b := newBench(t, 1)
	b.settings.Store = slowStore{b.client, func() {}, func() {
		b.client.SetFaults(keyvalue.Faults{LoseAnswers: 1 - b.service.Counts().Writes})
	}}
	require.NoError(t, b.step())
	assert.Equal(t, 1, b.service.Counts().Writes, "read back, not written again")
	assert.Equal(t, ident.Incarnation("run-0"), b.registered(t))
}

// TestInterruptedRegistration gives what happens in the second write of a
// registration, which is that of the record.
func TestInterruptedRegistration(t *testing.T) {
	for name, tt := range map[string]struct {
		happens func(b *bench)
		then    ident.Incarnation
	}{
		"the service fails":   {func(b *bench) { b.client.SetFaults(keyvalue.Faults{Outage: true}) }, "run-0"},
		"the lifetime passes": {func(b *bench) { b.advance(lifetime) }, "run-0-1"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1)
			calls := 0
			b.settings.TTL = 3 * lifetime // the lease does not lapse
			b.settings.Store = slowStore{b.client, func() {
				if calls++; calls == 2 {
					tt.happens(b)
				}
			}, func() {}}
			require.Error(t, b.step())
			assert.Zero(t, b.Confirmed())
			b.client.SetFaults(keyvalue.Faults{})
			require.NoError(t, b.step())
			assert.Equal(t, tt.then, b.registered(t))
			assert.Equal(t, *b.now, b.Confirmed())
		})
	}
}

func TestLateFirstRegistration(t *testing.T) {
	b := newBench(t, 1)
	b.advance(lifetime)
	require.NoError(t, b.step())
	assert.Equal(t, ident.Incarnation("run-0-1"), b.registered(t))
}

func TestYoungerProcessTakesOver(t *testing.T) {
	b := newBench(t, 1)
	require.NoError(t, b.step())
	younger := b.process(t, b.service.Client(), "run-9", start.Add(time.Second))
	require.NoError(t, younger.step())
	assert.Equal(t, ident.Incarnation("run-9"), b.registered(t))
	first := b.Confirmed()
	b.advance(time.Second)
	require.ErrorIs(t, b.step(), ErrSuperseded)
	assert.Equal(t, first, b.Confirmed())
	b.advance(lifetime)
	require.NoError(t, younger.step())
	require.ErrorIs(t, b.step(), ErrSuperseded, "a later incarnation of an older process")
	assert.Equal(t, ident.Incarnation("run-9-1"), b.registered(t))
}

func TestLoop(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	now := start
	b := &bench{now: &now, service: service}
	settings := b.process(t, service.Client(), "run-0", start).settings
	settings.Interval = time.Millisecond
	r, err := New(settings)
	require.NoError(t, err)
	<-r.Ready()
	service.Advance(2 * ttl)
	renewed := func() bool { return b.registered(t) == "run-0" }
	require.Eventually(t, renewed, 10*time.Second, time.Millisecond)
	require.NoError(t, r.Close())
	<-r.Dead()
	assert.Empty(t, b.registered(t), "Close revokes the lease")
	require.NoError(t, r.Close())
}

// TestGoneHoldersNeverAct runs a router under random faults and pauses beside
// an observer that lists the records at random times. Once the observer takes
// an incarnation for gone, it must not act any more.
func TestGoneHoldersNeverAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := schedule{bench: newBench(t, rapid.Uint64().Draw(t, "seed")), T: t}
		s.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0))
		s.settings.Store = slowStore{s.client, s.moment, s.moment}
		s.view = membership.NewView(membership.Settings{MaxGap: ttl / 2})
		s.view.Track(start, "run-0")
		for range 400 {
			s.event()
			s.check()
		}
	})
}

// schedule is one random run.
type schedule struct {
	*bench
	*rapid.T
	rng  *rand.Rand
	view *membership.View
}

// moment lets time pass within a call, and lets the observer look.
func (s *schedule) moment() {
	s.advance(time.Duration(s.rng.Int64N(int64(2 * time.Second))))
	if s.rng.IntN(2) == 0 {
		s.observe()
	}
	s.check()
}

func (s *schedule) event() {
	switch n := s.rng.IntN(100); {
	case n < 30:
		_ = s.step() // failures are part of the schedule
	case n < 75:
		s.advance(time.Duration(s.rng.Int64N(int64(ttl / 3))))
		s.observe()
	case n < 80:
		s.advance(time.Duration(s.rng.Int64N(int64(lifetime))))
	case n < 90:
		s.client.SetFaults(s.faults())
	case n < 95:
		s.service.ReleaseHeld()
	default:
		s.client.SetFaults(keyvalue.Faults{})
	}
}

func (s *schedule) faults() keyvalue.Faults {
	all := []keyvalue.Faults{
		{Outage: true},
		{LoseAnswers: 1 + s.rng.IntN(3)},
		{LoseWrites: 1 + s.rng.IntN(3)},
		{HoldWrites: 1 + s.rng.IntN(4)},
		{AnswerLoss: 0.3, WriteLoss: 0.3},
	}
	return all[s.rng.IntN(len(all))]
}

// observe lists the records, taking up to a second before and after.
func (s *schedule) observe() {
	asked := *s.now
	s.advance(time.Duration(s.rng.Int64N(int64(time.Second))))
	var records []membership.Record
	if incarnation := s.registered(s); incarnation != "" {
		records = append(records, membership.Record{VM: "vm-1", Incarnation: incarnation})
	}
	s.advance(time.Duration(s.rng.Int64N(int64(time.Second))))
	s.view.Observe(asked, *s.now, records)
}

func (s *schedule) check() {
	incarnation, confirmed := s.Current()
	acts := !confirmed.IsZero() && s.now.Sub(confirmed) < lifetime
	if acts && slices.Contains(s.view.Gone(lifetime), incarnation) {
		s.Fatalf("%s acts at %s, confirmed at %s, and is taken for gone", incarnation, s.now.Sub(start), confirmed.Sub(start))
	}
}
