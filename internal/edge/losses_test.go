package edge

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/duty"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/fake/memorynet"
	"example.org/lagoonfork/internal/fake/mirrorsource"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/mirror"
	"example.org/lagoonfork/internal/pageowner"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// draws is the number of days that TestChangeIsInForceInTime draws, from firstDraw on.
var (
	draws     = flag.Int("draws", 120, "days of TestChangeIsInForceInTime")
	firstDraw = flag.Uint64("first-draw", 1, "first seed of TestChangeIsInForceInTime")
)

// contactTime is the time after the end of an outage from which on a change has to be in force
// mirrorMaxAge after it was acknowledged.
const contactTime = 3 * time.Second

// prefixTranslator has the prefixes of the keys. It panics at other calls.
type prefixTranslator struct{ Translator }

func (prefixTranslator) Prefixes() (configuration, upstreams string) { return "operator/", "upstream/" }
func (prefixTranslator) SameUpstream(a, b []byte) bool               { return string(a) == string(b) }
func (prefixTranslator) OlderUpstream(_, _ []byte) bool              { return false }
func (prefixTranslator) OlderConfiguration(_, _ []byte) bool         { return false }

// outageSource is a Source of a service that fails for a time. It counts the reads.
type outageSource struct {
	*mirrorsource.Source
	day *losses
}

func (s outageSource) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	if err := s.day.call(ctx); err != nil {
		return nil, 0, err
	}
	return s.Source.List(ctx, prefix)
}

func (s outageSource) Changes(ctx context.Context, prefix string, from store.Revision, wait time.Duration) (store.Batch, error) {
	if err := s.day.call(ctx); err != nil {
		return store.Batch{}, err
	}
	return s.Source.Changes(ctx, prefix, from, wait)
}

// mirroredRouter is the part of a router that reads the service, and what others read from it.
type mirroredRouter struct {
	*Router
	source *mirrorsource.Source
	server *http.Server
	record membership.Record
}

// losses is a fleet in a synctest bubble. Its service is away for a time, and its routers stop
// responding one after the other. The mirrors have the settings of a real router.
type losses struct {
	t       *testing.T
	random  *rand.Rand
	network memorynet.Network
	service *keyvalue.Service
	routers []*mirroredRouter

	down   atomic.Bool  // the service does not serve
	silent bool         // it does not respond either
	calls  atomic.Int64 // of the service
}

// call takes the time of a call of the service.
func (d *losses) call(ctx context.Context) error {
	d.calls.Add(1)
	const callTime = 4 * time.Millisecond
	if d.down.Load() && d.silent {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	time.Sleep(callTime)
	if d.down.Load() {
		return store.ErrUnavailable
	}
	return nil
}

// put writes an entry of each of the two kinds that have to be in force soon.
func (d *losses) put(value string) {
	for _, key := range []string{"operator/c", "upstream/u"} {
		_, err := d.service.Client().Put(context.Background(), key, []byte(value), store.Always, store.NoLease)
		require.NoError(d.t, err)
	}
}

// newLosses starts n routers in some failure domains. They start within 300 ms.
func newLosses(t *testing.T, random *rand.Rand, n, domains int) *losses {
	d := &losses{t: t, random: random, service: keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now})}
	d.put("before")
	seed := netip.MustParseAddrPort("10.0.0.0:9000")
	for i := range n {
		vm := ident.VM(fmt.Sprintf("vm-%d", i))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
		r := &mirroredRouter{source: mirrorsource.New(d.service.Client()), record: membership.Record{
			VM: vm, Incarnation: ident.NewIncarnation(vm), Address: address, Region: "r", Started: time.Now(),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		}}
		value, err := r.record.Encode()
		require.NoError(t, err)
		_, err = d.service.Client().Put(t.Context(), membership.Key(vm), value, store.Always, store.NoLease)
		require.NoError(t, err)
		r.Router = &Router{dialPeer: d.network.Dial, settings: Settings{
			VM: vm, Incarnation: r.record.Incarnation, FailureDomain: r.record.FailureDomain, PeerAddress: address, Seeds: []netip.AddrPort{seed},
			Source: outageSource{r.source, d}, Translator: prefixTranslator{}, Clock: time.Now, Log: hclog.NewNullLogger(),
		}}
		d.routers = append(d.routers, r)
	}
	for _, r := range d.routers {
		time.Sleep(time.Duration(random.Int64N(int64(300*time.Millisecond) / int64(n))))
		d.start(r)
	}
	return d
}

// start starts the mirrors of a router and what they call.
func (d *losses) start(r *mirroredRouter) {
	s := r.settings
	r.members = newMembers(s.VM, s.FailureDomain, s.Clock, s.Log)
	r.duties = duty.New(duty.Settings{Self: s.VM, Members: r.members.all, Timeout: dutyTimeout, Clock: s.Clock})
	r.pageOwner = pageowner.New(pageowner.Settings{Self: s.VM, Members: r.members.all, Clock: s.Clock})
	r.ledger = committer.New(committer.Settings{Store: d.service.Client(), Pages: ledgerPages, Forwarder: r.pageOwner, Clock: s.Clock, Log: s.Log})
	r.buildMirrors()
	mux := http.NewServeMux()
	for _, m := range r.mirrors() {
		mux.Handle(mirror.SnapshotPath+m.Name(), m)
		mux.Handle(mirror.ChangesPath+m.Name(), m.ChangesHandler())
	}
	r.server = &http.Server{Handler: mux}
	listener, err := d.network.Listen(s.PeerAddress.String())
	require.NoError(d.t, err)
	go func() { _ = r.server.Serve(listener) }()
}

// close stops the routers.
func (d *losses) close() {
	for _, r := range d.routers {
		for _, m := range r.mirrors() {
			m.StopRelay()
		}
	}
	for _, r := range d.routers {
		for _, m := range r.mirrors() {
			require.NoError(d.t, m.Close())
		}
		_ = r.server.Close()
		require.NoError(d.t, r.ledger.Close(context.Background()))
		r.duties.Close()
		r.pageOwner.Close()
	}
	time.Sleep(2 * time.Second) // connections that are still being opened
}

// disturb makes a router stop responding, or takes the service away from it.
func (d *losses) disturb(r *mirroredRouter) {
	switch d.random.IntN(5) {
	case 0:
		r.source.Unavailable.Store(true)
	case 1, 2:
		d.network.Stop(r.settings.PeerAddress.String(), memorynet.Dark)
	default:
		d.network.Stop(r.settings.PeerAddress.String(), memorynet.Frozen)
	}
}

// stale returns the names of the mirrors of a router that hold another value than the given one.
func (r *mirroredRouter) stale(value string) (names []string) {
	for _, m := range []struct {
		mirror *mirror.Mirror
		key    string
	}{{r.configurations, "operator/c"}, {r.upstreams, "upstream/u"}} {
		if e, _ := m.mirror.Get(m.key); string(e.Value) != value {
			names = append(names, m.mirror.Name())
		}
	}
	return names
}

// timedEvent is what happens at a time from the end of the last outage on.
type timedEvent struct {
	at time.Duration
	do func()
}

// play does what happens in the order of its times, and returns the last of these.
func play(events []timedEvent) (now time.Duration) {
	slices.SortStableFunc(events, func(a, b timedEvent) int { return cmp.Compare(a.at, b.at) })
	now = events[0].at
	for _, e := range events {
		time.Sleep(e.at - now)
		now = e.at
		e.do()
	}
	return now
}

// playLosses plays one day and returns the mirrors of routers that were not disturbed and in which
// the change was not in force in time.
func playLosses(t *testing.T, seed uint64) (late []string) {
	random := rand.New(rand.NewPCG(seed, 1))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	n := 3 + random.IntN(8)
	d := newLosses(t, random, n, 1+random.IntN(3))
	defer d.close()
	d.silent = random.IntN(3) == 0
	time.Sleep(between(5*time.Second, 7*time.Second))

	change := between(0, 2500*time.Millisecond)
	events := []timedEvent{{change, func() { d.put("after") }}}
	inForce := change + mirrorMaxAge
	for end, outages := time.Duration(0), random.IntN(3); outages > 0; outages-- {
		begin := end - between(300*time.Millisecond, 6*time.Second)
		events = append(events, timedEvent{begin, func() { d.down.Store(true) }}, timedEvent{end, func() { d.down.Store(false) }})
		inForce = max(inForce, contactTime)
		end = begin - between(100*time.Millisecond, 4*time.Second)
	}
	disturbed := random.Perm(n)[:1+random.IntN(n-1)]
	together := between(-2*time.Second, change+time.Second)
	for _, i := range disturbed {
		at := together
		if random.IntN(2) == 0 {
			at = between(-2*time.Second, change+time.Second)
		}
		events = append(events, timedEvent{at, func() { d.disturb(d.routers[i]) }})
	}
	time.Sleep(inForce - play(events))
	synctest.Wait()
	for i, r := range d.routers {
		if slices.Contains(disturbed, i) {
			continue
		}
		for _, name := range r.stale("after") {
			late = append(late, fmt.Sprintf("%s of %d routers, %s", r.settings.VM, n, name))
		}
	}
	return late
}

// TestChangeIsInForceInTime guards against waits that add up: a router that reads the service
// through others, while these stop responding one after the other and an outage of the service has
// just ended, acts on entries that are older than the service allows.
func TestChangeIsInForceInTime(t *testing.T) {
	for seed := *firstDraw; seed < *firstDraw+uint64(*draws); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				assert.Empty(t, playLosses(t, seed))
			})
		})
	}
}

// callCount is the number of calls of the service in a time, and in its busiest second.
type callCount struct{ all, busiest int64 }

// count returns the calls of the service while do runs.
func (d *losses) count(do func()) (c callCount) {
	const step = 100 * time.Millisecond
	begin := d.calls.Load()
	var totals []int64 // at each step
	done := make(chan struct{})
	go func() {
		defer close(done)
		do()
	}()
	for ticker := time.Tick(step); ; {
		select {
		case <-ticker:
			totals = append(totals, d.calls.Load())
			if last := len(totals) - 1; last >= int(time.Second/step) {
				c.busiest = max(c.busiest, totals[last]-totals[last-int(time.Second/step)])
			}
		case <-done:
			c.all = d.calls.Load() - begin
			return c
		}
	}
}

// TestMeasureCallsAfterLosses counts the calls of the service when the first three routers of each
// mirror and domain stop responding just after an outage, and in normal operation. It guards against
// routers that all call the service at once because a read is due: it has 2,000 reads a second.
func TestMeasureCallsAfterLosses(t *testing.T) {
	const readsPerSecond = 2000
	for _, size := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			d := newLosses(t, rand.New(rand.NewPCG(1, 1)), size.vms, size.domains)
			defer d.close()
			time.Sleep(10 * time.Second)
			normal := d.count(func() { time.Sleep(10 * time.Second) })
			d.down.Store(true)
			outage := d.count(func() { time.Sleep(4500 * time.Millisecond) })
			d.down.Store(false)
			after := d.count(func() {
				time.Sleep(300 * time.Millisecond)
				d.stopFirst(3)
				time.Sleep(9700 * time.Millisecond)
			})
			t.Logf("%d routers, %d domains: calls in 10 s, and in the busiest second: %v in normal operation, %v in the 10 s after an outage of 4.5 s (which had %v) and losses",
				size.vms, size.domains, normal, after, outage)
			assert.Less(t, after.busiest, int64(readsPerSecond))
		})
	}
}

// stopFirst stops the first n routers of each mirror in each domain.
func (d *losses) stopFirst(n int) {
	records := make([]membership.Record, len(d.routers))
	byVM := make(map[ident.VM]*mirroredRouter)
	for i, r := range d.routers {
		records[i] = r.record
		byVM[r.record.VM] = r
	}
	for _, m := range d.routers[0].mirrors() {
		inDomain := make(map[ident.FailureDomain]int)
		for _, r := range membership.Ranked(m.Name(), records) {
			if inDomain[r.FailureDomain]++; inDomain[r.FailureDomain] <= n {
				d.network.Stop(r.Address.String(), memorynet.Frozen)
			}
		}
	}
}
