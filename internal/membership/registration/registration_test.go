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

// fixture is a registration whose steps and clock the test controls.
type fixture struct {
	*Registration
	service *keyvalue.Service
	client  *keyvalue.Client
	now     *time.Time
}

func newFixture(t require.TestingT, seed uint64) *fixture {
	now := start
	f := &fixture{now: &now}
	f.service = keyvalue.New(keyvalue.Settings{Seed: seed, Clock: f.clock})
	f.client = f.service.Client()
	f.Registration = f.newProcess(t, f.client, "run-0", start)
	return f
}

func (f *fixture) clock() time.Time { return *f.now }

func (f *fixture) advance(d time.Duration) { *f.now = f.now.Add(d) }

func (f *fixture) newProcess(t require.TestingT, s store.Store, incarnation ident.Incarnation, started time.Time) *Registration {
	created := 0
	r, err := newRegistration(Settings{
		Store: s,
		Record: membership.Record{
			VM:          "vm-1",
			Incarnation: incarnation,
			Address:     netip.MustParseAddrPort("127.0.0.1:7000"),
			Started:     started,
		},
		Clock:    f.clock,
		Log:      hclog.NewNullLogger(),
		TTL:      ttl,
		Lifetime: func() time.Duration { return lifetime },
		NewIncarnation: func() ident.Incarnation {
			created++
			return ident.Incarnation(fmt.Sprintf("%s-%d", incarnation, created))
		},
	})
	require.NoError(t, err)
	return r
}

// registeredIncarnation returns the registered incarnation, or "" if there is none.
func (f *fixture) registeredIncarnation(t require.TestingT) ident.Incarnation {
	entry, err := f.service.Client().Get(context.Background(), membership.Key("vm-1"))
	require.NoError(t, err)
	if entry.Revision == 0 {
		return ""
	}
	r, err := membership.Decode(entry.Key, entry.Value)
	require.NoError(t, err)
	return r.Incarnation
}

func TestConfirmedCountsFromBeforeTheCall(t *testing.T) {
	f := newFixture(t, 1)
	assert.Zero(t, f.Confirmed())
	second := func() { f.advance(time.Second) }
	f.settings.Store = slowStore{f.client, second, second}
	require.NoError(t, f.step())
	// Each of grant, put and renewal takes two seconds.
	assert.Equal(t, start.Add(4*time.Second), f.Confirmed())
	require.NoError(t, f.step())
	assert.Equal(t, start.Add(6*time.Second), f.Confirmed())
	assert.Equal(t, ident.Incarnation("run-0"), f.registeredIncarnation(t))
}

// slowStore runs a function before and after each write, such as one that advances
// the clock.
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

// TestFaults checks the outcome of a fault or a pause that follows a confirmed
// registration: whether the next step is confirmed, and which incarnation is
// registered after the fault has ended.
func TestFaults(t *testing.T) {
	for name, tt := range map[string]struct {
		faults          keyvalue.Faults
		pause           time.Duration
		err             error
		confirmed       bool // by the step during the fault
		wantIncarnation ident.Incarnation
	}{
		"short pause":                  {keyvalue.Faults{}, ttl / 2, nil, true, "run-0"},
		"paused past the lease":        {keyvalue.Faults{}, 2 * ttl, nil, true, "run-0"},
		"paused past the lifetime":     {keyvalue.Faults{}, lifetime, nil, true, "run-0-1"},
		"outage":                       {keyvalue.Faults{Outage: true}, ttl / 2, store.ErrUnavailable, false, "run-0"},
		"outage past the lease":        {keyvalue.Faults{Outage: true}, 2 * ttl, store.ErrUnavailable, false, "run-0"},
		"outage past the lifetime":     {keyvalue.Faults{Outage: true}, lifetime, store.ErrUnavailable, false, "run-0-1"},
		"answer of renewal lost":       {keyvalue.Faults{LoseResponses: 1}, ttl / 2, store.ErrUnknown, false, "run-0"},
		"renewal lost":                 {keyvalue.Faults{LoseWrites: 1}, ttl / 2, store.ErrUnknown, false, "run-0"},
		"answers lost past the lease":  {keyvalue.Faults{LoseResponses: 3}, 2 * ttl, store.ErrUnknown, false, "run-0"},
		"writes lost past the lease":   {keyvalue.Faults{LoseWrites: 3}, 2 * ttl, store.ErrUnknown, false, "run-0"},
		"renewals late past the lease": {keyvalue.Faults{HoldWrites: 3}, 2 * ttl, store.ErrUnknown, false, "run-0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			require.NoError(t, f.step())
			firstConfirmed := f.Confirmed()
			f.client.SetFaults(tt.faults)
			f.advance(tt.pause)
			require.ErrorIs(t, f.step(), tt.err)
			assert.Equal(t, tt.confirmed, f.Confirmed().After(firstConfirmed))
			f.client.SetFaults(keyvalue.Faults{})
			f.service.ReleaseHeld()
			require.NoError(t, f.step())
			incarnation, confirmed := f.Current()
			assert.Equal(t, tt.wantIncarnation, incarnation)
			assert.Equal(t, *f.now, confirmed)
			assert.Equal(t, tt.wantIncarnation, f.registeredIncarnation(t))
		})
	}
}

func TestLostAnswerOfThePut(t *testing.T) {
	f := newFixture(t, 1)
	f.settings.Store = slowStore{f.client, func() {}, func() {
		f.client.SetFaults(keyvalue.Faults{LoseResponses: 1 - f.service.Counts().Writes})
	}}
	require.NoError(t, f.step())
	assert.Equal(t, 1, f.service.Counts().Writes, "the record is read back, not written again")
	assert.Equal(t, ident.Incarnation("run-0"), f.registeredIncarnation(t))
}

// TestInterruptedRegistration injects a fault into the second write of a
// registration, which writes the record.
func TestInterruptedRegistration(t *testing.T) {
	for name, tt := range map[string]struct {
		fault           func(f *fixture)
		wantIncarnation ident.Incarnation
	}{
		"the service fails":   {func(f *fixture) { f.client.SetFaults(keyvalue.Faults{Outage: true}) }, "run-0"},
		"the lifetime passes": {func(f *fixture) { f.advance(lifetime) }, "run-0-1"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			calls := 0
			f.settings.TTL = 3 * lifetime // the lease does not expire
			f.settings.Store = slowStore{f.client, func() {
				if calls++; calls == 2 {
					tt.fault(f)
				}
			}, func() {}}
			require.Error(t, f.step())
			assert.Zero(t, f.Confirmed())
			f.client.SetFaults(keyvalue.Faults{})
			require.NoError(t, f.step())
			assert.Equal(t, tt.wantIncarnation, f.registeredIncarnation(t))
			assert.Equal(t, *f.now, f.Confirmed())
		})
	}
}

func TestLateFirstRegistration(t *testing.T) {
	f := newFixture(t, 1)
	f.advance(lifetime)
	require.NoError(t, f.step())
	assert.Equal(t, ident.Incarnation("run-0-1"), f.registeredIncarnation(t))
}

func TestYoungerProcessTakesOver(t *testing.T) {
	f := newFixture(t, 1)
	require.NoError(t, f.step())
	newer := f.newProcess(t, f.service.Client(), "run-9", start.Add(time.Second))
	require.NoError(t, newer.step())
	assert.Equal(t, ident.Incarnation("run-9"), f.registeredIncarnation(t))
	first := f.Confirmed()
	f.advance(time.Second)
	require.ErrorIs(t, f.step(), ErrSuperseded)
	assert.Equal(t, first, f.Confirmed())
	f.advance(lifetime)
	require.NoError(t, newer.step())
	require.ErrorIs(t, f.step(), ErrSuperseded, "a later incarnation of an older process")
	assert.Equal(t, ident.Incarnation("run-9-1"), f.registeredIncarnation(t))
}

func TestLoop(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	now := start
	f := &fixture{now: &now, service: service}
	settings := f.newProcess(t, service.Client(), "run-0", start).settings
	settings.Interval = time.Millisecond
	r, err := New(settings)
	require.NoError(t, err)
	<-r.Ready()
	service.Advance(2 * ttl)
	renewed := func() bool { return f.registeredIncarnation(t) == "run-0" }
	require.Eventually(t, renewed, 10*time.Second, time.Millisecond)
	require.NoError(t, r.Close())
	<-r.Done()
	assert.Empty(t, f.registeredIncarnation(t), "Close revokes the lease")
	require.NoError(t, r.Close())
}

// TestGoneHoldersNeverAct runs a router with random faults and pauses and an
// observer that lists the records at random times. An incarnation that the
// observer considers gone must not act any more.
func TestGoneHoldersNeverAct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomRun{fixture: newFixture(t, rapid.Uint64().Draw(t, "seed")), T: t}
		s.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0))
		s.settings.Store = slowStore{s.client, s.passTime, s.passTime}
		s.view = membership.NewView(membership.Settings{MaxGap: ttl / 2})
		s.view.TrackAbsence(start, "run-0")
		for range 400 {
			s.randomEvent()
			s.check()
		}
	})
}

// randomRun is a registration and its observer in one random run.
type randomRun struct {
	*fixture
	*rapid.T
	rng  *rand.Rand
	view *membership.View
}

// passTime advances the clock during a call, and sometimes lets the observer list
// the records.
func (s *randomRun) passTime() {
	s.advance(time.Duration(s.rng.Int64N(int64(2 * time.Second))))
	if s.rng.IntN(2) == 0 {
		s.observe()
	}
	s.check()
}

func (s *randomRun) randomEvent() {
	switch n := s.rng.IntN(100); {
	case n < 30:
		_ = s.step() // failures are expected
	case n < 75:
		s.advance(time.Duration(s.rng.Int64N(int64(ttl / 3))))
		s.observe()
	case n < 80:
		s.advance(time.Duration(s.rng.Int64N(int64(lifetime))))
	case n < 90:
		s.client.SetFaults(s.randomFaults())
	case n < 95:
		s.service.ReleaseHeld()
	default:
		s.client.SetFaults(keyvalue.Faults{})
	}
}

func (s *randomRun) randomFaults() keyvalue.Faults {
	all := []keyvalue.Faults{
		{Outage: true},
		{LoseResponses: 1 + s.rng.IntN(3)},
		{LoseWrites: 1 + s.rng.IntN(3)},
		{HoldWrites: 1 + s.rng.IntN(4)},
		{ResponseLossProbability: 0.3, WriteLossProbability: 0.3},
	}
	return all[s.rng.IntN(len(all))]
}

// observe lists the records. Up to a second passes both before and after the read.
func (s *randomRun) observe() {
	requestedAt := *s.now
	s.advance(time.Duration(s.rng.Int64N(int64(time.Second))))
	var records []membership.Record
	if incarnation := s.registeredIncarnation(s); incarnation != "" {
		records = append(records, membership.Record{VM: "vm-1", Incarnation: incarnation})
	}
	s.advance(time.Duration(s.rng.Int64N(int64(time.Second))))
	s.view.ApplyListing(requestedAt, *s.now, records)
}

func (s *randomRun) check() {
	incarnation, confirmed := s.Current()
	acts := !confirmed.IsZero() && s.now.Sub(confirmed) < lifetime
	if acts && slices.Contains(s.view.GoneHolders(lifetime), incarnation) {
		s.Fatalf("%s may act at %s (confirmed at %s) but is considered gone", incarnation, s.now.Sub(start), confirmed.Sub(start))
	}
}
