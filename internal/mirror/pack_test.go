package mirror

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/delta"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
)

// TestRouterOfEarlierReleaseGetsWholeValues sends the requests of routers that do not
// know deltas.
func TestRouterOfEarlierReleaseGetsWholeValues(t *testing.T) {
	f := newFleet(t, 1)
	routes := string(newRoutes(100))
	f.routers[0].put(t, "a", routes)
	f.routers[0].waitFor(t, "a", routes)
	response, err := http.Post(f.routers[0].server.URL+ChangesPath+"test", "application/json", strings.NewReader(`{"after":0,"waitMillis":0}`))
	require.NoError(t, err)
	var changes changesResponse
	require.NoError(t, json.NewDecoder(response.Body).Decode(&changes))
	require.NoError(t, response.Body.Close())
	require.Len(t, changes.Changes, 1)
	assert.Equal(t, routes, string(changes.Changes[0].Entry.Value))
	assert.Empty(t, changes.Deltas)

	response, err = http.Get(f.routers[0].server.URL + SnapshotPath + "test?after=0")
	require.NoError(t, err)
	var s snapshot
	require.NoError(t, json.NewDecoder(response.Body).Decode(&s))
	require.NoError(t, response.Body.Close())
	require.Len(t, s.Entries, 1)
	assert.Equal(t, routes, string(s.Entries[0].Value))
	assert.Empty(t, s.Deltas)
}

// TestCopyOfAnotherRouterIsCompressed guards against a starting router that waits for the
// whole configuration over a slow link.
func TestCopyOfAnotherRouterIsCompressed(t *testing.T) {
	f := newSlowFleet(t)
	routes := newRoutes(1800)
	f.relay.put(t, "a", string(routes))
	f.relay.waitFor(t, "a", string(routes))
	before := f.link.Sent()
	s, err := f.downstream.mirror.fetch(t.Context(), f.downstream.mirror.settings.Relays()[0], time.Second)
	require.NoError(t, err)
	require.Len(t, s.Entries, 2)
	for _, e := range s.Entries {
		assert.Contains(t, []string{"1", string(routes)}, string(e.Value))
	}
	assert.Less(t, f.link.Sent()-before, int64(len(routes)/2), "of this copy and of the change that the router reads itself")
}

// TestWrongDeltasAreNotTaken checks that a router which gets deltas that it cannot apply
// keeps its value and reads the service.
func TestWrongDeltasAreNotTaken(t *testing.T) {
	routes := string(newRoutes(100))
	after, err := delta.New(store.Entry{}, store.Entry{Key: "k/a", Value: []byte(routes), Revision: 5})
	require.NoError(t, err)
	for name, deltas := range map[string][]delta.Delta{
		"no deltas":              {},
		"no frame":               {{To: 5}},
		"another base":           {{From: 3, To: 5, Frame: after.Frame}},
		"another revision":       {{To: 4, Frame: after.Frame}},
		"frame that is cut":      {{To: 5, Frame: after.Frame[:len(after.Frame)/2]}},
		"deltas with a gap":      {after, {From: 4, To: 5, Frame: after.Frame}},
		"frame that is no frame": {{To: 5, Frame: []byte("no frame")}},
	} {
		t.Run(name, func(t *testing.T) {
			relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				assert.NoError(t, json.NewEncoder(w).Encode(changesResponse{
					Revision: 5,
					Changes:  []store.Event{{Entry: store.Entry{Key: "k/a", Revision: 5}}},
					Deltas:   map[string][]delta.Delta{"k/a": deltas},
				}))
			}))
			defer relay.Close()
			f := newFixture(t, keyvalue.New(keyvalue.Settings{Seed: 1}))
			f.put(t, "a", "1")
			f.mirror = New(Settings{
				Name: "test", Prefix: "k/", Source: f.source,
				Interval: 10 * time.Millisecond, Timeout: time.Second, UnavailableAfter: time.Second,
				Peers: func() []netip.AddrPort { return nil },
				Relays: func() []netip.AddrPort {
					return []netip.AddrPort{netip.MustParseAddrPort(relay.Listener.Addr().String())}
				},
				Clock: time.Now, Log: hclog.NewNullLogger(),
			})
			defer func() { require.NoError(t, f.mirror.Close()) }()
			f.waitFor(t, "a", "1")
			f.put(t, "a", "2")
			f.waitFor(t, "a", "2")
		})
	}
}

// TestChangeThatArrivesAfterANewerOne guards against rejecting the copy of a router because
// that of another one, which was asked at the same time, has been taken already.
func TestChangeThatArrivesAfterANewerOne(t *testing.T) {
	f := newSlowFleet(t)
	routes := newRoutes(100)
	f.replicate(t, routes)
	bases := f.downstream.mirror.largeEntries()
	f.replicate(t, append(routes, newRoutes(1)...))
	changes, _, _ := f.relay.mirror.changesSince(bases["k/a"].Revision, revisions(bases))
	require.Len(t, changes.Changes, 1)
	require.Equal(t, bases["k/a"].Revision, changes.Deltas["k/a"][0].From)
	assert.NoError(t, f.downstream.mirror.unpackChanges(changes, bases))
}
