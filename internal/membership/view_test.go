package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const domains = 3

// record returns the record of VM n, in one of three failure domains.
func record(n int) Record {
	return Record{
		VM:            ident.VM(fmt.Sprintf("vm-%03d", n)),
		Incarnation:   ident.Incarnation(fmt.Sprintf("run-%03d", n)),
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000),
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", n%domains)),
		Region:        "sk-central",
	}
}

func records(n int) []Record {
	all := make([]Record, n)
	for i := range all {
		all[i] = record(i)
	}
	return all
}

func listedAs(r Record, state vmlist.State) vmlist.VM {
	return vmlist.VM{ID: r.VM, Address: r.Address, FailureDomain: r.FailureDomain, Region: r.Region, State: state}
}

// fleet returns the view of VM 0 of n registered VMs.
func fleet(n int) *View {
	v := NewView(Settings{Self: record(0)})
	v.ApplyListing(start, start, records(n))
	return v
}

func stateOf(v *View, now time.Time, vm ident.VM) State {
	for _, m := range v.Members(now) {
		if m.VM == vm {
			return m.State
		}
	}
	return ""
}

// TestStates checks the state of one peer for combinations of registration,
// platform list and probe results.
func TestStates(t *testing.T) {
	const failed, never, stale, answered = "failed", "never", "stale", "answered"
	for _, tt := range []struct {
		name       string
		registered bool
		listed     vmlist.State
		probe      string
		want       State
	}{
		{"healthy", true, vmlist.StateLive, answered, StateLive},
		{"new, list lags", true, "", never, StateLive},
		{"probe answer is old", true, vmlist.StateLive, stale, StateLive},
		{"paused or partitioned from here", true, vmlist.StateLive, failed, StateSuspect},
		{"partitioned, list lags", true, "", failed, StateSuspect},
		{"leaving", true, vmlist.StateLeaving, answered, StateLeaving},
		{"leaving and silent", true, vmlist.StateLeaving, failed, StateLeaving},
		{"cut off from the store", false, vmlist.StateLive, answered, StateSuspect},
		{"cut off from the store, list lags", false, "", answered, StateSuspect},
		{"leaving, deregistered", false, vmlist.StateLeaving, answered, StateLeaving},
		{"starting in an outage", false, vmlist.StateLive, never, StateSuspect},
		{"dead, list lags", false, vmlist.StateLive, failed, StateGone},
		{"dead and leaving", false, vmlist.StateLeaving, failed, StateGone},
		{"dead, last answer expired", false, "", stale, ""},
		{"dead and off the list", false, "", failed, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := fleet(2)
			now, peer := start.Add(time.Minute), record(1)
			probes := map[string]func(){
				failed: func() {
					for range defaultProbeFailures {
						v.RecordProbe(now, peer.VM, false)
					}
				},
				never:    func() {},
				stale:    func() { v.RecordProbe(start, peer.VM, true) },
				answered: func() { v.RecordProbe(now, peer.VM, true) },
			}
			probes[tt.probe]()
			if tt.listed != "" {
				v.ApplyVMList(now, []vmlist.VM{listedAs(peer, tt.listed)})
			}
			if !tt.registered {
				v.ApplyListing(now, now, []Record{record(0)})
			}
			assert.Equal(t, tt.want, stateOf(v, now, peer.VM))
		})
	}
}

func TestTransitionsAreReportedOnce(t *testing.T) {
	v := fleet(3)
	vm := record(1).VM
	for range defaultProbeFailures - 1 {
		require.Empty(t, v.RecordProbe(start, vm, false))
	}
	got := v.RecordProbe(start, vm, false)
	require.Len(t, got, 1)
	assert.Equal(t, StateLive, got[0].From)
	assert.Equal(t, StateSuspect, got[0].Member.State)
	assert.Equal(t, ReasonSilent, got[0].Member.Reason)
	require.Empty(t, v.RecordProbe(start, vm, false))
	require.Len(t, v.RecordProbe(start, vm, true), 1)
	require.Empty(t, v.ApplyListing(start, start, records(3)))
	restarted := record(1)
	restarted.Incarnation = "run-next"
	require.Empty(t, v.ApplyChanges(start, []Change{{Record: restarted}}))
	assert.True(t, v.AbsencePending(time.Minute), "the absence of the former incarnation is tracked")
	require.Len(t, v.ApplyChanges(start, []Change{{Record: Record{VM: vm}, Removed: true}}), 1)
}

func TestPeersInOrder(t *testing.T) {
	v := fleet(9)
	now := start
	for range defaultProbeFailures {
		v.RecordProbe(now, record(3).VM, false)
	}
	v.ApplyVMList(now, []vmlist.VM{listedAs(record(6), vmlist.StateLeaving)})
	peers := v.Peers(now)
	require.Len(t, peers, 8)
	for _, p := range peers[:6] {
		assert.Equal(t, StateLive, p.State)
	}
	assert.Equal(t, record(3).VM, peers[6].VM)
	assert.Equal(t, record(6).VM, peers[7].VM)
	v.RecordProbe(now, record(3).VM, true)
	assert.Equal(t, record(3).VM, v.Peers(now)[0].VM, "the own failure domain comes first")
}

// TestPeersFollowChanges checks that each change is visible in Peers although an
// earlier call has cached its result.
func TestPeersFollowChanges(t *testing.T) {
	v := fleet(3)
	now, vm := start, record(1).VM
	moved := record(2)
	for i, step := range []struct {
		change func()
		want   State // of VM 1
	}{
		{func() {}, StateLive},
		{func() { v.RecordProbe(now, vm, true) }, StateLive},
		{func() { v.ApplyChanges(now, []Change{{Record: Record{VM: vm}, Removed: true}}) }, StateSuspect},
		{func() { now = now.Add(defaultProbeValidity) }, StateSuspect},
		{func() { now = now.Add(1) }, ""},
		{func() { v.ApplyChanges(now, []Change{{Record: record(1)}}) }, StateLive},
		{func() {
			moved.Address = record(9).Address
			v.ApplyChanges(now, []Change{{Record: moved}})
		}, StateLive},
		{func() { v.ApplyVMList(now, []vmlist.VM{listedAs(record(1), vmlist.StateLeaving)}) }, StateLeaving},
		{func() { v.ApplyListing(now, now, []Record{moved}) }, ""},
	} {
		step.change()
		got := make(map[ident.VM]Member)
		for _, m := range v.Peers(now) {
			got[m.VM] = m
		}
		assert.Equal(t, step.want, got[vm].State, "step %d", i)
		assert.Equal(t, moved.Address, got[moved.VM].Address, "step %d", i)
	}
}

// TestProbeAnswersExpire checks that the cached result of Peers changes when probe
// answers expire, for two unregistered VMs that answered at different times.
func TestProbeAnswersExpire(t *testing.T) {
	v := fleet(3)
	v.ApplyVMList(start, []vmlist.VM{listedAs(record(1), vmlist.StateLive)})
	v.RecordProbe(at(0), record(1).VM, true)
	v.RecordProbe(at(1), record(2).VM, true)
	v.ApplyListing(at(1), at(1), records(1))
	reasons := func(now time.Time) map[ident.VM]Reason {
		found := make(map[ident.VM]Reason)
		for _, m := range v.Peers(now) {
			found[m.VM] = m.Reason
		}
		return found
	}
	vm1, vm2 := record(1).VM, record(2).VM
	both := map[ident.VM]Reason{vm1: ReasonUnregistered, vm2: ReasonUnregistered}
	assert.Equal(t, both, reasons(at(1)))
	assert.Equal(t, both, reasons(at(10)))
	assert.Equal(t, map[ident.VM]Reason{vm1: ReasonListed, vm2: ReasonUnregistered}, reasons(at(11)))
	assert.Equal(t, map[ident.VM]Reason{vm1: ReasonListed}, reasons(at(12)))
	v.RecordProbe(at(12), vm1, true)
	assert.Equal(t, map[ident.VM]Reason{vm1: ReasonUnregistered}, reasons(at(12)))
	v.RecordProbe(at(12), vm1, false)
	assert.Equal(t, map[ident.VM]Reason{vm1: ReasonListed}, reasons(at(12)))
}

func TestWitnessesInOtherDomains(t *testing.T) {
	v := fleet(9)
	own := record(0).FailureDomain
	for n, want := range []int{0, 1, 2, 2} {
		domains := map[ident.FailureDomain]bool{own: true}
		for _, w := range v.LivePeersInOtherDomains(n, own) {
			assert.False(t, domains[w.FailureDomain])
			domains[w.FailureDomain] = true
		}
		assert.Len(t, domains, want+1)
	}
	for i := 1; i < 9; i += domains {
		v.ApplyVMList(start, []vmlist.VM{listedAs(record(i), vmlist.StateLeaving)})
		for range defaultProbeFailures {
			v.RecordProbe(start, record(i).VM, false)
		}
	}
	assert.Len(t, v.LivePeersInOtherDomains(2, own), 1, "one failure domain has no live member")
}

func TestOwnerMovesOnlyPagesOfTheLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "VMs")
		lost := record(rapid.IntRange(0, n-1).Draw(t, "lost"))
		v := fleet(n)
		other := NewView(Settings{Self: record(n - 1)})
		other.ApplyListing(start, start, records(n))
		const pages = 200
		before := make([]ident.VM, pages)
		for page := range pages {
			owner, ok := v.Owner(page)
			theirs, _ := other.Owner(page)
			if !ok || owner.VM != theirs.VM {
				t.Fatalf("views differ on page %d: %s, %s", page, owner.VM, theirs.VM)
			}
			before[page] = owner.VM
		}
		rest := slices.DeleteFunc(records(n), func(r Record) bool { return r.VM == lost.VM })
		v.ApplyListing(start, start, rest)
		for page := range pages {
			owner, _ := v.Owner(page)
			if owner.VM == lost.VM || (before[page] != lost.VM && owner.VM != before[page]) {
				t.Fatalf("page %d moved from %s to %s without %s", page, before[page], owner.VM, lost.VM)
			}
		}
	})
}

func TestOwnerSpreadsPages(t *testing.T) {
	v := fleet(9)
	owned := make(map[ident.VM]int)
	const pages = 900
	for page := range pages {
		owner, _ := v.Owner(page)
		owned[owner.VM]++
	}
	for vm, n := range owned {
		assert.InDelta(t, pages/9, n, 45, vm)
	}
	assert.Len(t, owned, 9)
	_, ok := NewView(Settings{Self: record(0)}).Owner(1)
	assert.False(t, ok, "no member is registered")
}

// TestGone checks for which series of listings a holder counts as gone. The times
// are seconds after the start; the holder is registered at second 0.
func TestGone(t *testing.T) {
	const lifetime = 10 * time.Second
	type listing struct {
		requested, answered int
		present             bool
	}
	absent := func(seconds ...int) (all []listing) {
		for _, s := range seconds {
			all = append(all, listing{s, s, false})
		}
		return all
	}
	for name, tt := range map[string]struct {
		listings []listing
		gone     bool
	}{
		"unbroken":                         {absent(1, 4, 8, 11), true},
		"one second short":                 {absent(1, 4, 8, 10), false},
		"outage in between":                {absent(1, 4, 12, 14), false},
		"outage, then the lifetime":        {absent(1, 4, 12, 16, 20, 22), true},
		"still gone after an outage":       {absent(1, 4, 8, 11, 60), true},
		"slow answers shorten the absence": {[]listing{{1, 3, false}, {4, 6, false}, {8, 9, false}, {12, 13, false}}, false},
		"slow answers, long enough":        {[]listing{{1, 3, false}, {4, 6, false}, {8, 9, false}, {13, 13, false}}, true},
		"answer too slow":                  {[]listing{{1, 1, false}, {5, 7, false}, {9, 10, false}, {12, 12, false}}, false},
		"seen in between":                  {append(absent(1, 4), append([]listing{{6, 6, true}}, absent(8, 11, 14)...)...), false},
	} {
		t.Run(name, func(t *testing.T) {
			v := fleet(2)
			for _, l := range tt.listings {
				all := records(1)
				if l.present {
					all = records(2)
				}
				v.ApplyListing(at(l.requested), at(l.answered), all)
			}
			assert.Equal(t, tt.gone, slices.Contains(v.GoneHolders(lifetime), record(1).Incarnation))
			assert.Equal(t, !tt.gone, v.AbsencePending(lifetime))
		})
	}
}

func at(second int) time.Time {
	return start.Add(time.Duration(second) * time.Second)
}

// TestTrack tracks the absence of a holder that is known only from the ledger.
func TestTrack(t *testing.T) {
	v := fleet(2)
	v.TrackAbsence(start, record(1).Incarnation)
	assert.False(t, v.AbsencePending(time.Hour), "a registered holder is not absent")
	v.TrackAbsence(start, "run-of-old")
	for s := 1; s <= 13; s += 4 {
		v.ApplyListing(at(s), at(s), records(2))
	}
	assert.Equal(t, []ident.Incarnation{"run-of-old"}, v.GoneHolders(10*time.Second))
	v.StopTracking("run-of-old")
	assert.Empty(t, v.GoneHolders(0))
	v.TrackAbsence(start, "run-of-old")
	v.ApplyListing(start.Add(25*time.Hour), start.Add(25*time.Hour), records(2))
	assert.False(t, v.AbsencePending(time.Hour), "old absences are dropped")
}

func FuzzDecodeRecord(f *testing.F) {
	value, err := record(1).Encode()
	require.NoError(f, err)
	f.Add(string(Key(record(1).VM)), value)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r, err := Decode(key, value)
		if err != nil {
			return
		}
		vm, ok := VMFromKey(key)
		assert.True(t, ok)
		assert.Equal(t, r.VM, vm)
	})
}

func BenchmarkView(b *testing.B) {
	for _, n := range []int{9, 90, 390} {
		v := fleet(n)
		all := records(n)
		b.Run(fmt.Sprintf("owner/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			page := 0
			for b.Loop() {
				page++
				v.Owner(page)
			}
		})
		b.Run(fmt.Sprintf("peers/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.Peers(start)
			}
		})
		b.Run(fmt.Sprintf("witnesses/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.LivePeersInOtherDomains(2, "domain-0")
			}
		})
		b.Run(fmt.Sprintf("observe/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.ApplyListing(start, start, all)
			}
		})
	}
}
