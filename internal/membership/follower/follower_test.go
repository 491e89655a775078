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

// patience bounds each wait, so that a follower that hangs fails its test.
const patience = 20 * time.Second

const lifetime = time.Minute

// bench is a follower over stand-ins, with a clock that the test moves.
type bench struct {
	*testing.T
	*Follower
	service *keyvalue.Service
	client  *keyvalue.Client // of the follower
	now     atomic.Int64     // since the epoch
	vms     atomic.Pointer[[]vmlist.VM]
}

func (b *bench) clock() time.Time { return time.Unix(0, b.now.Load()) }

// List implements VMs.
func (b *bench) List(context.Context) ([]vmlist.VM, error) {
	vms := b.vms.Load()
	if vms == nil {
		return nil, errors.New("no list")
	}
	return *vms, nil
}

func newBench(t *testing.T, change func(*Settings)) *bench {
	b := &bench{T: t, service: keyvalue.New(keyvalue.Settings{})}
	b.client = b.service.Client()
	settings := Settings{
		Store:    b.client,
		VMs:      b,
		View:     membership.Settings{Self: record(0)},
		Clock:    b.clock,
		Log:      hclog.NewNullLogger(),
		Lifetime: func() time.Duration { return lifetime },
		Count:    time.Millisecond,
		Resync:   time.Hour,
		Poll:     time.Millisecond,
		Retry:    time.Millisecond,
	}
	if change != nil {
		change(&settings)
	}
	var err error
	b.Follower, err = New(settings)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, b.Close()) })
	return b
}

func record(n int) membership.Record {
	return membership.Record{
		VM:            ident.VM(fmt.Sprintf("vm-%d", n)),
		Incarnation:   ident.Incarnation(fmt.Sprintf("run-%d", n)),
		Address:       netip.MustParseAddrPort("127.0.0.1:7000"),
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", n)),
	}
}

// register writes a record by a client of its own.
func (b *bench) register(n int) store.Lease {
	ctx, client := context.Background(), b.service.Client()
	lease, err := client.Grant(ctx, lifetime)
	require.NoError(b, err)
	value, err := record(n).Encode()
	require.NoError(b, err)
	_, err = client.Put(ctx, membership.Key(record(n).VM), value, store.Always, lease)
	require.NoError(b, err)
	return lease
}

func (b *bench) state(n int) membership.State {
	for _, m := range b.Members(b.clock()) {
		if m.VM == record(n).VM {
			return m.State
		}
	}
	return ""
}

func (b *bench) eventually(what string, condition func() bool) {
	b.Helper()
	require.Eventually(b, condition, patience, time.Millisecond, what)
}

func (b *bench) becomes(n int, want membership.State) {
	b.Helper()
	b.eventually(string(want), func() bool { return b.state(n) == want })
}

func TestFollowsWatch(t *testing.T) {
	b := newBench(t, nil)
	<-b.Ready()
	lease := b.register(1)
	b.becomes(1, membership.StateLive)
	b.register(2)
	b.becomes(2, membership.StateLive)
	peers := b.Peers(b.clock())
	require.Len(t, peers, 2)
	peers[0].VM = "" // the caller's own
	assert.NotEmpty(t, b.Peers(b.clock())[0].VM)
	require.NoError(t, b.service.Client().Revoke(t.Context(), lease))
	b.becomes(1, "")
}

func TestFollowsVMList(t *testing.T) {
	b := newBench(t, nil)
	b.register(1)
	b.becomes(1, membership.StateLive)
	leaving := vmlist.VM{ID: record(1).VM, Address: record(1).Address, State: vmlist.StateLeaving}
	b.vms.Store(&[]vmlist.VM{leaving})
	b.becomes(1, membership.StateLeaving)
	b.vms.Store(nil)
	leaving.State = vmlist.StateLive
	b.vms.Store(&[]vmlist.VM{leaving})
	b.becomes(1, membership.StateLive)
}

func TestStartsInAnOutage(t *testing.T) {
	b := newBench(t, func(s *Settings) {
		s.Store.(*keyvalue.Client).SetFaults(keyvalue.Faults{Outage: true})
	})
	b.vms.Store(&[]vmlist.VM{{ID: record(1).VM, Address: record(1).Address, State: vmlist.StateLive}})
	b.becomes(1, membership.StateSuspect)
	b.register(1)
	b.client.SetFaults(keyvalue.Faults{})
	b.becomes(1, membership.StateLive)
	<-b.Ready()
}

func TestSurvivesOutageAndCompaction(t *testing.T) {
	b := newBench(t, nil)
	b.register(1)
	b.becomes(1, membership.StateLive)
	b.client.SetFaults(keyvalue.Faults{Outage: true})
	b.eventually("the watch ends", func() bool { return b.service.Counts().Waiting == 0 })
	assert.Equal(t, membership.StateLive, b.state(1), "the last known records stay in use")
	lease := b.register(2)
	require.NoError(t, b.service.Client().Revoke(t.Context(), lease))
	b.register(3)
	b.service.Compact()
	b.client.SetFaults(keyvalue.Faults{})
	b.becomes(3, membership.StateLive)
	b.service.Compact()
	b.register(4)
	b.becomes(4, membership.StateLive)
}

// TestCountsAbsence checks that the loop lists often once a holder is missing,
// and that the absence counts on the given clock alone.
func TestCountsAbsence(t *testing.T) {
	b := newBench(t, nil)
	lease := b.register(1)
	b.becomes(1, membership.StateLive)
	require.NoError(t, b.service.Client().Revoke(t.Context(), lease))
	b.passes(lifetime - time.Second)
	assert.Empty(t, b.Gone(lifetime))
	b.now.Add(int64(time.Second))
	b.eventually("gone", func() bool { return len(b.Gone(lifetime)) == 1 })

	b.Track(b.clock(), "run-of-old")
	b.passes(lifetime / 2)
	b.client.SetFaults(keyvalue.Faults{Outage: true})
	b.now.Add(int64(lifetime))
	b.client.SetFaults(keyvalue.Faults{})
	b.passes(lifetime - time.Second)
	assert.NotContains(t, b.Gone(lifetime), ident.Incarnation("run-of-old"), "an outage does not count")
	b.now.Add(int64(time.Second))
	b.eventually("gone", func() bool { return len(b.Gone(lifetime)) == 2 })
}

// passes moves the clock by d in steps, with listings in between.
func (b *bench) passes(d time.Duration) {
	b.Helper()
	for ; d > 0; d -= time.Second {
		b.listed()
		b.now.Add(int64(min(d, time.Second)))
	}
	b.listed()
}

// listed waits for a listing that begins after the call.
func (b *bench) listed() {
	b.Helper()
	reads := b.service.Counts().Reads
	b.eventually("listed", func() bool { return b.service.Counts().Reads >= reads+2 })
}

// TestSilentWatch checks that a listing makes up for a watch that has gone
// silent.
func TestSilentWatch(t *testing.T) {
	b := newBench(t, func(s *Settings) {
		s.Store = silentStore{s.Store}
		s.Resync = time.Millisecond
	})
	<-b.Ready()
	b.register(1)
	b.becomes(1, membership.StateLive)
}

func TestCountIsBelowTheGap(t *testing.T) {
	settings := Settings{
		Store:    keyvalue.New(keyvalue.Settings{}).Client(),
		Clock:    time.Now,
		Log:      hclog.NewNullLogger(),
		Lifetime: func() time.Duration { return lifetime },
		View:     membership.Settings{Self: record(0), MaxGap: time.Second},
		Count:    time.Second,
	}
	_, err := New(settings)
	require.Error(t, err)
	settings.Count = 0
	f, err := New(settings)
	require.NoError(t, err)
	assert.Less(t, f.settings.Count, time.Second)
	require.NoError(t, f.Close())
}

// silentStore has watches that tell nothing.
type silentStore struct{ store.Store }

func (s silentStore) Watch(ctx context.Context, _ string, from store.Revision) (store.Watch, error) {
	return s.Store.Watch(ctx, "silent/", from)
}
