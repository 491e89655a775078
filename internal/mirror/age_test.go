package mirror

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/fake/memorynet"
	"example.org/lagoonfork/internal/fake/mirrorsource"
	"example.org/lagoonfork/internal/outage"
	"example.org/lagoonfork/pkg/store"
)

// eventLog records the fields of one event.
type eventLog struct {
	hclog.Logger
	message string
	logged  [][]any
}

func (l *eventLog) Warn(message string, fields ...any) {
	if message == l.message {
		l.logged = append(l.logged, fields)
	}
}

// TestLateReadIsLogged guards against copies that are out of date for too long without a line that
// says what their reads waited for.
func TestLateReadIsLogged(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	var now time.Time
	log := &eventLog{Logger: hclog.NewNullLogger(), message: event.CopyOverdue.Name}
	m := &Mirror{settings: Settings{Name: "test", MaxAge: 2 * time.Second, Outage: new(outage.Outage), Clock: func() time.Time { return now }, Log: log}}
	read := func(d time.Duration) {
		now = at(d)
		m.recordServiceRead(now)
	}
	read(0)
	read(2 * time.Second)
	assert.Empty(t, log.logged, "in time")
	now = at(4500 * time.Millisecond)
	m.recordWait("relay 10.0.0.1:9000", at(3500*time.Millisecond))
	read(5 * time.Second)
	assert.Equal(t, [][]any{{"event", event.CopyOverdue.Number, "mirror", "test", "age", 3 * time.Second, "late", time.Second, "waits", "1.5s ago: relay 10.0.0.1:9000, 1s"}}, log.logged)
	m.settings.Outage.Record(at(6*time.Second), at(7*time.Second), store.ErrUnavailable)
	read(9 * time.Second)
	assert.Len(t, log.logged, 1, "3 s after the beginning of a failed call")
	m.settings.Outage.Record(at(10*time.Second), at(11*time.Second), store.ErrUnavailable)
	read(13*time.Second + 1)
	assert.Len(t, log.logged, 2)
	assert.Equal(t, 7*time.Second, m.CopyAge(at(20*time.Second+1)))
}

// hosts are other routers, on a network in memory.
type hosts struct {
	t       *testing.T
	network memorynet.Network
	servers []*http.Server
}

// add adds a router.
func (h *hosts) add(handler http.Handler) netip.AddrPort {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(h.servers))}), 9000)
	listener, err := h.network.Listen(address.String())
	require.NoError(h.t, err)
	server := &http.Server{Handler: handler}
	h.servers = append(h.servers, server)
	go func() { _ = server.Serve(listener) }()
	return address
}

// addStatus adds a router that responds with a status.
func (h *hosts) addStatus(status int) netip.AddrPort {
	return h.add(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
}

// addSilent adds a router that does not respond.
func (h *hosts) addSilent() netip.AddrPort {
	address := h.addStatus(http.StatusServiceUnavailable)
	h.network.Stop(address.String(), memorynet.Frozen)
	return address
}

// addOld adds a router that relays a copy which is not read again.
func (h *hosts) addOld() netip.AddrPort {
	readAt := time.Now()
	return h.add(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request changesRequest
		assert.NoError(h.t, json.NewDecoder(r.Body).Decode(&request))
		time.Sleep(time.Duration(request.WaitMillis) * time.Millisecond)
		assert.NoError(h.t, json.NewEncoder(w).Encode(changesResponse{
			Revision: request.After, AgeMillis: time.Since(readAt).Milliseconds(), WaitedMillis: &request.WaitMillis, Eras: true,
		}))
	}))
}

// addStalled adds a router whose responses begin and do not end.
func (h *hosts) addStalled() netip.AddrPort {
	return h.add(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
}

// TestWaitsAreCut guards against waits, each of which alone is longer than a copy may be old. The
// service itself has to be read before.
func TestWaitsAreCut(t *testing.T) {
	const maxAge, long = time.Second, 10 * time.Second
	addresses := func(all ...netip.AddrPort) func() []netip.AddrPort {
		return func() []netip.AddrPort { return append([]netip.AddrPort(nil), all...) }
	}
	for _, c := range []struct {
		name   string
		change func(h *hosts, s *Settings)
	}{
		{"pause", func(_ *hosts, s *Settings) { s.Interval = long }},
		{"silent relay", func(h *hosts, s *Settings) { s.Relays, s.Timeout = addresses(h.addSilent()), long }},
		{"silent relays in turn", func(h *hosts, s *Settings) {
			s.Relays, s.Timeout = addresses(h.addSilent(), h.addSilent(), h.addSilent()), maxAge/2
		}},
		{"a relay with an old copy", func(h *hosts, s *Settings) { s.Relays, s.RelayWait = addresses(h.addOld()), long }},
		{"skipped calls", func(h *hosts, s *Settings) {
			s.Relays, s.MinCallInterval = addresses(h.addStatus(http.StatusServiceUnavailable)), long
		}},
		{"silent routers that are asked for copies", func(h *hosts, s *Settings) {
			s.Relays, s.MinCallInterval = addresses(h.addStatus(http.StatusServiceUnavailable)), long
			s.Peers, s.Timeout = addresses(h.addSilent(), h.addSilent()), long
		}},
		{"a copy that stalls", func(h *hosts, s *Settings) {
			s.Relays, s.MinCallInterval = addresses(h.addStatus(http.StatusServiceUnavailable)), long
			s.Peers, s.Timeout = addresses(h.addStatus(http.StatusNoContent), h.addStalled()), long
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &hosts{t: t}
				s := Settings{
					Name: "test", Prefix: "k/", Source: mirrorsource.New(keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now}).Client()),
					Interval: maxAge / 10, Timeout: maxAge / 10, RelayWait: maxAge / 10, UnavailableAfter: maxAge / 10, MaxAge: maxAge,
					Peers: addresses(), Dial: h.network.Dial, Clock: time.Now, Log: hclog.NewNullLogger(),
				}
				c.change(h, &s)
				m := New(s)
				time.Sleep(maxAge / 10)
				for range 1000 {
					if age := m.CopyAge(time.Now()); !assert.LessOrEqual(t, age, maxAge) {
						break
					}
					time.Sleep(maxAge / 100)
				}
				require.NoError(t, m.Close())
				for _, server := range h.servers {
					_ = server.Close()
				}
				time.Sleep(long) // connections that are still being opened
			})
		})
	}
}

// TestRelayWaitIsShorterThanTheTimeToTheNextCall guards against routers that ask a relay to wait for
// longer than they wait themselves, take it for silent, and call the service instead.
func TestRelayWaitIsShorterThanTheTimeToTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &hosts{t: t}
		service := keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now})
		source := &countingSource{Source: mirrorsource.New(service.Client())}
		s := Settings{
			Name: "test", Prefix: "k/", Source: mirrorsource.New(service.Client()),
			Interval: 100 * time.Millisecond, Timeout: time.Second, RelayWait: 10 * time.Second, UnavailableAfter: time.Second, MaxAge: time.Second,
			Peers: func() []netip.AddrPort { return nil }, Dial: h.network.Dial, Clock: time.Now, Log: hclog.NewNullLogger(),
		}
		relay := New(s)
		address := h.add(relay.ChangesHandler())
		time.Sleep(time.Second)
		s.Source, s.Relays = source, func() []netip.AddrPort { return []netip.AddrPort{address} }
		m := New(s)
		time.Sleep(time.Minute)
		assert.EqualValues(t, 1, source.reads.Load(), "the list at the start")
		relay.StopRelay()
		require.NoError(t, m.Close())
		require.NoError(t, relay.Close())
		_ = h.servers[0].Close()
	})
}

// failingSource is a Source that does not serve one mirror of a router.
type failingSource struct {
	*mirrorsource.Source
	calls atomic.Int64
}

func (s *failingSource) Changes(context.Context, string, store.Revision, time.Duration) (store.Batch, error) {
	s.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
	return store.Batch{}, store.ErrUnavailable
}

// TestFailedCallsArePaced guards against a mirror that calls the service without a pause because a
// read is due, while the service refuses it and serves the other mirrors.
func TestFailedCallsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, length = 100 * time.Millisecond, 10 * time.Second
		source := &failingSource{Source: mirrorsource.New(keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now}).Client())}
		shared := new(outage.Outage)
		m := New(Settings{
			Name: "test", Prefix: "k/", Source: source, Interval: interval, Timeout: interval, UnavailableAfter: interval, MaxAge: time.Second,
			Peers: func() []netip.AddrPort { return nil }, Outage: shared, Clock: time.Now, Log: hclog.NewNullLogger(),
		})
		for begin := time.Now(); time.Since(begin) < length; time.Sleep(time.Millisecond) {
			shared.Record(time.Now(), time.Now(), nil) // another mirror is served
		}
		assert.Less(t, source.calls.Load(), int64(length/(interval/4)))
		require.NoError(t, m.Close())
	})
}

// TestEndOfOutageIsNoticedAtOnce guards against a read that waits for changes although the service is
// failing: until it ends, all mirrors of the router take the service for unavailable, and none of
// them may call it.
func TestEndOfOutageIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, pollWait = 600 * time.Millisecond, 4 * time.Second
		source := mirrorsource.New(keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now}).Client())
		shared := new(outage.Outage)
		m := New(Settings{
			Name: "test", Prefix: "k/", Source: source, Interval: interval, Timeout: interval, PollWait: pollWait, UnavailableAfter: interval,
			Peers: func() []netip.AddrPort { return nil }, Outage: shared, Clock: time.Now, Log: hclog.NewNullLogger(),
		})
		time.Sleep(time.Second)
		source.Unavailable.Store(true)
		time.Sleep(10 * time.Second)
		recovered, returned := shared.Recovered(), time.Now()
		source.Unavailable.Store(false)
		<-recovered
		assert.LessOrEqual(t, time.Since(returned), 2*interval)
		time.Sleep(time.Minute)
		reads, _ := m.ReadMetrics().(*expvar.Map).Get("serviceCalls").(*expvar.Int)
		before := reads.Value()
		time.Sleep(time.Minute)
		assert.LessOrEqual(t, reads.Value()-before, int64(time.Minute/pollWait)+1, "reads wait for changes again")
		require.NoError(t, m.Close())
	})
}

// TestSlowRelayIsNotGivenUp guards against a router on a full link that gives up a request to its
// relay because a call of the service is due, which gets no response either.
func TestSlowRelayIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxAge, delay = time.Second, 800 * time.Millisecond
		h := &hosts{t: t}
		service := keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now})
		s := Settings{
			Name: "test", Prefix: "k/", Source: mirrorsource.New(service.Client()),
			Interval: 100 * time.Millisecond, Timeout: maxAge, RelayWait: 100 * time.Millisecond, UnavailableAfter: time.Minute, MaxAge: maxAge,
			Peers: func() []netip.AddrPort { return nil }, Dial: h.network.Dial, Clock: time.Now, Log: hclog.NewNullLogger(),
		}
		relay := New(s)
		handler := relay.ChangesHandler()
		address := h.add(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(delay)
			handler.ServeHTTP(w, r)
		}))
		time.Sleep(time.Second)
		source := mirrorsource.New(service.Client())
		s.Source, s.Relays = source, func() []netip.AddrPort { return []netip.AddrPort{address} }
		m := New(s)
		time.Sleep(time.Millisecond)
		source.Unavailable.Store(true)
		for n := range 20 {
			_, err := service.Client().Put(t.Context(), "k/a", []byte{byte(n)}, store.Always, store.NoLease)
			require.NoError(t, err)
			time.Sleep(2*(delay+s.RelayWait) + s.Interval)
			e, _ := m.Get("k/a")
			assert.Equal(t, []byte{byte(n)}, e.Value)
		}
		relay.StopRelay()
		require.NoError(t, m.Close())
		require.NoError(t, relay.Close())
		_ = h.servers[0].Close()
		time.Sleep(maxAge)
	})
}
