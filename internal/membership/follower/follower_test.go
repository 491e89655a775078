package follower

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// waitTimeout limits each wait, so that a follower that hangs fails its test.
const waitTimeout = 20 * time.Second

const lifetime = time.Minute

// fixture is a follower that uses fakes and a clock that the test controls.
type fixture struct {
	*testing.T
	*Follower
	service *keyvalue.Service
	client  *keyvalue.Client // used by the follower
	now     atomic.Int64     // nanoseconds since the Unix epoch
	vms     atomic.Pointer[[]vmlist.VM]
}

func (f *fixture) clock() time.Time { return time.Unix(0, f.now.Load()) }

// List implements VMLister.
func (f *fixture) List(context.Context) ([]vmlist.VM, error) {
	vms := f.vms.Load()
	if vms == nil {
		return nil, errors.New("list unavailable")
	}
	return *vms, nil
}

func newFixture(t *testing.T, change func(*Settings)) *fixture {
	f := &fixture{T: t, service: keyvalue.New(keyvalue.Settings{})}
	f.client = f.service.Client()
	settings := Settings{
		Store:           f.client,
		VMs:             f,
		View:            membership.Settings{Self: record(0)},
		Clock:           f.clock,
		Log:             hclog.NewNullLogger(),
		Lifetime:        func() time.Duration { return lifetime },
		AbsenceInterval: time.Millisecond,
		ListInterval:    time.Hour,
		VMListInterval:  time.Millisecond,
		RetryInterval:   time.Millisecond,
	}
	if change != nil {
		change(&settings)
	}
	var err error
	f.Follower, err = New(settings)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Close()) })
	return f
}

func record(n int) membership.Record {
	return membership.Record{
		VM:            ident.VM(fmt.Sprintf("vm-%d", n)),
		Incarnation:   ident.Incarnation(fmt.Sprintf("run-%d", n)),
		Address:       netip.MustParseAddrPort("127.0.0.1:7000"),
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", n)),
	}
}

// register writes a record using a separate client.
func (f *fixture) register(n int) store.Lease {
	ctx, client := context.Background(), f.service.Client()
	lease, err := client.Grant(ctx, lifetime)
	require.NoError(f, err)
	value, err := record(n).Encode()
	require.NoError(f, err)
	_, err = client.Put(ctx, membership.Key(record(n).VM), value, store.Always, lease)
	require.NoError(f, err)
	return lease
}

func (f *fixture) state(n int) membership.State {
	for _, m := range f.Members(f.clock()) {
		if m.VM == record(n).VM {
			return m.State
		}
	}
	return ""
}

func (f *fixture) waitFor(what string, condition func() bool) {
	f.Helper()
	require.Eventually(f, condition, waitTimeout, time.Millisecond, what)
}

func (f *fixture) waitForState(n int, want membership.State) {
	f.Helper()
	f.waitFor(string(want), func() bool { return f.state(n) == want })
}

func TestFollowsWatch(t *testing.T) {
	f := newFixture(t, nil)
	<-f.Ready()
	lease := f.register(1)
	f.waitForState(1, membership.StateLive)
	f.register(2)
	f.waitForState(2, membership.StateLive)
	peers := f.Peers(f.clock())
	require.Len(t, peers, 2)
	peers[0].VM = "" // Peers returns a copy
	assert.NotEmpty(t, f.Peers(f.clock())[0].VM)
	require.NoError(t, f.service.Client().Revoke(t.Context(), lease))
	f.waitForState(1, "")
}

func TestFollowsVMList(t *testing.T) {
	f := newFixture(t, nil)
	f.register(1)
	f.waitForState(1, membership.StateLive)
	leaving := vmlist.VM{ID: record(1).VM, Address: record(1).Address, State: vmlist.StateLeaving}
	f.vms.Store(&[]vmlist.VM{leaving})
	f.waitForState(1, membership.StateLeaving)
	f.vms.Store(nil)
	leaving.State = vmlist.StateLive
	f.vms.Store(&[]vmlist.VM{leaving})
	f.waitForState(1, membership.StateLive)
}

func TestStartsInAnOutage(t *testing.T) {
	f := newFixture(t, func(s *Settings) {
		s.Store.(*keyvalue.Client).SetFaults(keyvalue.Faults{Outage: true})
	})
	f.vms.Store(&[]vmlist.VM{{ID: record(1).VM, Address: record(1).Address, State: vmlist.StateLive}})
	f.waitForState(1, membership.StateSuspect)
	f.register(1)
	f.client.SetFaults(keyvalue.Faults{})
	f.waitForState(1, membership.StateLive)
	<-f.Ready()
}

func TestSurvivesOutageAndCompaction(t *testing.T) {
	f := newFixture(t, nil)
	f.register(1)
	f.waitForState(1, membership.StateLive)
	f.client.SetFaults(keyvalue.Faults{Outage: true})
	f.waitFor("the watch ends", func() bool { return f.service.Counts().OpenWatches == 0 })
	assert.Equal(t, membership.StateLive, f.state(1), "the last known records stay in use")
	lease := f.register(2)
	require.NoError(t, f.service.Client().Revoke(t.Context(), lease))
	f.register(3)
	f.service.Compact()
	f.client.SetFaults(keyvalue.Faults{})
	f.waitForState(3, membership.StateLive)
	f.service.Compact()
	f.register(4)
	f.waitForState(4, membership.StateLive)
}

// TestCountsAbsence checks that the loop lists often while a holder is missing, that
// its absence is measured by the follower's clock, and that an outage of the
// service does not count as absence.
func TestCountsAbsence(t *testing.T) {
	f := newFixture(t, nil)
	lease := f.register(1)
	f.waitForState(1, membership.StateLive)
	require.NoError(t, f.service.Client().Revoke(t.Context(), lease))
	f.advanceWithListings(lifetime - time.Second)
	assert.Empty(t, f.GoneHolders(lifetime))
	f.now.Add(int64(time.Second))
	f.waitFor("gone", func() bool { return len(f.GoneHolders(lifetime)) == 1 })

	f.TrackAbsence(f.clock(), "run-of-old")
	f.advanceWithListings(lifetime / 2)
	f.client.SetFaults(keyvalue.Faults{Outage: true})
	f.now.Add(int64(lifetime))
	f.client.SetFaults(keyvalue.Faults{})
	f.advanceWithListings(lifetime - time.Second)
	assert.NotContains(t, f.GoneHolders(lifetime), ident.Incarnation("run-of-old"), "an outage does not count")
	f.now.Add(int64(time.Second))
	f.waitFor("gone", func() bool { return len(f.GoneHolders(lifetime)) == 2 })
}

// advanceWithListings advances the clock by d in steps of at most a second, with
// listings in between.
func (f *fixture) advanceWithListings(d time.Duration) {
	f.Helper()
	for ; d > 0; d -= time.Second {
		f.waitForListing()
		f.now.Add(int64(min(d, time.Second)))
	}
	f.waitForListing()
}

// waitForListing waits for a listing that begins after the call.
func (f *fixture) waitForListing() {
	f.Helper()
	reads := f.service.Counts().Reads
	f.waitFor("listed", func() bool { return f.service.Counts().Reads >= reads+2 })
}

// TestSilentWatch checks that changes are found by listing when a watch delivers no
// events, as with a broken connection.
func TestSilentWatch(t *testing.T) {
	f := newFixture(t, func(s *Settings) {
		s.Store = silentStore{s.Store}
		s.ListInterval = time.Millisecond
	})
	<-f.Ready()
	f.register(1)
	f.waitForState(1, membership.StateLive)
}

func TestCountIsBelowTheGap(t *testing.T) {
	settings := Settings{
		Store:           keyvalue.New(keyvalue.Settings{}).Client(),
		Clock:           time.Now,
		Log:             hclog.NewNullLogger(),
		Lifetime:        func() time.Duration { return lifetime },
		View:            membership.Settings{Self: record(0), MaxGap: time.Second},
		AbsenceInterval: time.Second,
	}
	_, err := New(settings)
	require.Error(t, err)
	settings.AbsenceInterval = 0
	f, err := New(settings)
	require.NoError(t, err)
	assert.Less(t, f.settings.AbsenceInterval, time.Second)
	require.NoError(t, f.Close())
}

// silentStore is a store whose watches deliver no events.
type silentStore struct{ store.Store }

func (s silentStore) Watch(ctx context.Context, _ string, from store.Revision) (store.Watch, error) {
	return s.Store.Watch(ctx, "silent/", from)
}
