package configwatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// TestCallsPerChange counts the calls that one change causes in fleets of three
// sizes.
func TestCallsPerChange(t *testing.T) {
	for _, vms := range []int{9, 90, 390} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, vms)
				defer f.close()
				time.Sleep(20 * time.Second)
				require.Zero(t, f.countLagging(1))
				before := f.service.Counts()
				heads, parts := f.network.heads.Load(), f.network.parts.Load()
				r := f.change()
				synctest.Wait()
				require.Zero(t, f.countLagging(r), "not in force on all VMs without delay")
				after := f.service.Counts()
				relays := len(Relays(f.network.live()))
				t.Logf("vms=%d waiting=%d writes=%d reads=%d peerHeads=%d peerParts=%d hops=%d", vms, after.OpenWatches,
					after.Writes-before.Writes, after.Reads-before.Reads, f.network.heads.Load()-heads, f.network.parts.Load()-parts, f.hops())
				assert.EqualValues(t, relays, after.OpenWatches)
				assert.LessOrEqual(t, f.hops(), 2)
				assert.LessOrEqual(t, int(after.Reads-before.Reads), relays+2*65+10)
				assert.LessOrEqual(t, int(f.network.parts.Load()-parts), vms)
			})
		})
	}
}

// TestColdStart starts a whole fleet at once and limits the reads from the
// service: VMs that are not relays have to read the parts from peers.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 90)
		defer f.close()
		time.Sleep(8 * time.Second)
		assert.Zero(t, f.countLagging(1))
		reads := f.service.Counts().Reads
		t.Logf("reads=%d", reads)
		assert.Less(t, int(reads), 10*33+90*6, "only the 10 relays read the 33 parts from the service")
	})
}

// TestStartsWithoutRelays starts a VM that is not a relay while no relay is
// running: it must stop deferring to the relays and read from the service.
func TestStartsWithoutRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		for i := range 15 {
			f.network.watchers[vm(i)] = nil
		}
		w := f.start(follower(f))
		time.Sleep(20 * time.Second)
		assert.EqualValues(t, 1, w.Revision())
		assert.NoError(t, w.Close())
	})
}

// TestStartsFromPeersDuringOutage starts a VM while the service is unavailable.
func TestStartsFromPeersDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(time.Second)
		f.service.SetFaults(keyvalue.Faults{Outage: true})
		w := f.start("late")
		require.NoError(t, w.AwaitFirst(t.Context()))
		assert.EqualValues(t, 1, w.Revision())
		assert.Equal(t, f.network.watchers[vm(0)].Current(), w.Current())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, manifest.Manifest{Revision: 1}, w.AwaitHead(ctx, 1), "a poll without a change returns only the revision")
		f.service.SetFaults(keyvalue.Faults{})
		r := f.change()
		time.Sleep(8 * time.Second)
		assert.Zero(t, f.countLagging(r))
	})
}

// TestStartTakesTheHighest starts a VM while the service has a higher revision
// than the peers, which cannot reach it.
func TestStartTakesTheHighest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		time.Sleep(time.Second)
		for i := range 3 {
			f.clients[vm(i)].SetFaults(keyvalue.Faults{Outage: true})
		}
		r := f.change()
		w := f.start("late")
		require.NoError(t, w.AwaitFirst(t.Context()))
		assert.Equal(t, r, w.Revision())
		time.Sleep(8 * time.Second)
		assert.Zero(t, f.countLagging(r), "VMs that cannot reach the service did not get the revision from the new VM")
	})
}

func TestWaitsForAFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := keyvalue.New(keyvalue.Settings{})
		w := Start(Settings{VM: "a", Store: service.Client()})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, w.AwaitFirst(ctx), context.DeadlineExceeded)
		assert.Nil(t, w.Current())
		require.NoError(t, w.Close())
	})
}

// TestCatchesUp injects a fault, waits a minute and checks that all VMs hold the
// next revision within 8 s. Outages of the service and the full partition of a
// relay end before that revision is put in force; the other faults persist.
func TestCatchesUp(t *testing.T) {
	tests := []struct {
		name         string
		begin, clear func(f *fleet)
	}{
		{"outage",
			func(f *fleet) { f.service.SetFaults(keyvalue.Faults{Outage: true}) },
			func(f *fleet) { f.service.SetFaults(keyvalue.Faults{}) }},
		{"compaction",
			func(f *fleet) { f.service.SetFaults(keyvalue.Faults{Outage: true}) },
			func(f *fleet) {
				f.service.SetFaults(keyvalue.Faults{})
				f.compactions.Store(15)
				time.Sleep(8 * time.Second)
				assert.Negative(f.t, f.compactions.Load())
			}},
		{"relay partitioned from the service",
			func(f *fleet) { f.clients[Relays(f.network.live())[0]].SetFaults(keyvalue.Faults{Outage: true}) },
			func(f *fleet) {}},
		{"connection of a relay's watch silent",
			func(f *fleet) { f.silent[Relays(f.network.live())[0]].Store(true) },
			func(f *fleet) {}},
		{"relay partitioned from all", func(f *fleet) {
			relay := Relays(f.network.live())[0]
			f.clients[relay].SetFaults(keyvalue.Faults{Outage: true})
			f.network.setPartitioned(relay, true)
		}, func(f *fleet) {
			relay := Relays(f.network.live())[0]
			f.clients[relay].SetFaults(keyvalue.Faults{})
			f.network.setPartitioned(relay, false)
		}},
		{"all relays but one silent", func(f *fleet) {
			for _, relay := range Relays(f.network.live())[1:] {
				f.network.setSilent(relay, time.Minute)
			}
		}, func(f *fleet) {}},
		{"all relays but one cannot be connected to", func(f *fleet) {
			for _, relay := range Relays(f.network.live())[1:] {
				f.network.setSilent(relay, time.Second)
			}
		}, func(f *fleet) {}},
		{"follower partitioned from the relays",
			func(f *fleet) { f.network.setPartitioned(follower(f), true) },
			func(f *fleet) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 15)
				defer f.close()
				time.Sleep(5 * time.Second)
				test.begin(f)
				time.Sleep(time.Minute)
				test.clear(f)
				r := f.change()
				time.Sleep(8 * time.Second)
				assert.Zero(t, f.countLagging(r))
			})
		})
	}
}

// follower returns a VM that is not a relay.
func follower(f *fleet) ident.VM {
	live := f.network.live()
	relays := Relays(live)
	return live[slices.IndexFunc(live, func(id ident.VM) bool { return !slices.Contains(relays, id) })]
}

// TestNeverGoesBack installs revisions in random order from several goroutines
// and checks that the revision in force never decreases.
func TestNeverGoesBack(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	f := newFleetOn(t, service)
	var heads []manifest.Manifest
	for range 8 {
		f.change()
		s, err := f.publisher.InForce(t.Context())
		require.NoError(t, err)
		heads = append(heads, s.Head)
	}
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SliceOfN(rapid.IntRange(0, len(heads)-1), 1, 30).Draw(t, "order")
		w := &Watcher{settings: Settings{Store: service.Client()}.withDefaults(), changed: make(chan struct{})}
		w.current.Store(&snapshot{})
		stop := make(chan struct{})
		var reader, writers sync.WaitGroup
		reader.Go(func() { checkMonotonic(t, w, stop) })
		highest := configuration.Revision(0)
		for i, n := range order {
			highest = max(highest, heads[n].Revision)
			offer := func() { assert.NoError(t, w.install(context.Background(), heads[n], []ident.VM{storeSource})) }
			if i%3 == 0 {
				offer()
			} else {
				writers.Go(offer)
			}
		}
		writers.Wait()
		close(stop)
		reader.Wait()
		if w.Revision() != highest || w.Current().Revision != highest {
			t.Fatalf("revision %d in force, want %d", w.Revision(), highest)
		}
	})
}

// checkMonotonic reports an error if the revision in force decreases before stop
// is closed.
func checkMonotonic(t *rapid.T, w *Watcher, stop chan struct{}) {
	seen := configuration.Revision(0)
	for {
		if r := w.Revision(); r < seen {
			t.Errorf("revision %d in force after %d", r, seen)
		} else {
			seen = r
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// newFleetOn returns a fleet without VMs that publishes to the given service.
func newFleetOn(t testing.TB, service *keyvalue.Service) *fleet {
	f := newFleet(t, 0)
	f.service = service
	f.answers.Revision = 0
	f.publisher = publication.New(service.Client(), publication.Settings{})
	return f
}

// corruptPeers returns parts whose content does not match the digest.
type corruptPeers struct{ Peers }

func (c corruptPeers) ConfigurationPart(ctx context.Context, peer ident.VM, digest manifest.Digest) ([]byte, error) {
	return []byte(`{}`), nil
}

// TestPartsArePutInForceOnlyWithTheirDigest guards against installing corrupt
// parts and incomplete manifests from peers: a corrupt part is read from the
// service instead, and without the service the revision is rejected.
func TestPartsArePutInForceOnlyWithTheirDigest(t *testing.T) {
	f := newFleet(t, 0)
	s, err := f.publisher.InForce(t.Context())
	require.NoError(t, err)
	client := f.service.Client()
	w := &Watcher{settings: Settings{Store: client, Peers: corruptPeers{}}.withDefaults(), changed: make(chan struct{})}
	w.current.Store(&snapshot{})
	require.NoError(t, w.Offer(t.Context(), "forger", s.Head), "the service has the parts")
	assert.Len(t, w.Current().Budgets, 200)

	w.current.Store(&snapshot{})
	client.SetFaults(keyvalue.Faults{Outage: true})
	assert.ErrorIs(t, w.Offer(t.Context(), "forger", s.Head), manifest.ErrMalformed)
	assert.Nil(t, w.Current())

	client.SetFaults(keyvalue.Faults{})
	s.Head.Buckets = nil
	assert.ErrorIs(t, w.Offer(t.Context(), "forger", s.Head), manifest.ErrMalformed)
	assert.Nil(t, w.Current())
}

// TestRelaysChangeLittle checks that the selection of relays does not depend on
// the order of the list, and that removing a relay replaces only that one.
func TestRelaysChangeLittle(t *testing.T) {
	var live []ident.VM
	for i := range 390 {
		live = append(live, vm(i))
	}
	relays := Relays(live)
	assert.Len(t, relays, 20)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	assert.Equal(t, relays, Relays(live))
	without := slices.DeleteFunc(live, func(id ident.VM) bool { return id == relays[3] })
	kept := 0
	for _, r := range Relays(without) {
		if slices.Contains(relays, r) {
			kept++
		}
	}
	assert.Equal(t, 19, kept)
}
