package mirror

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/delta"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/transfer"
	"example.org/lagoonfork/pkg/store"
)

// SnapshotPath is the path prefix under which a router serves its copy. The mirror's
// name follows. The query parameter after is the revision that the requesting router
// has. The parameter held, if present, is a JSON object of the revisions of its large
// entries, by key; the router can then apply deltas. Without the parameter eras, the
// requesting router is of a release whose revisions have no era.
const SnapshotPath = "/peer/mirror/"

const (
	// peerFanout is the maximum number of routers asked at a time.
	peerFanout = 2
	// maxSnapshotBytes is the maximum size of a copy from another router.
	maxSnapshotBytes = 16 << 20
	// bootstrapRetryInterval is the time between two rounds of requests for a copy at
	// startup. A starting router has listed the service after some tens of
	// milliseconds.
	bootstrapRetryInterval = 50 * time.Millisecond
	// bootstrapFetchTimeout is how long one such request may wait for the response to
	// begin, and bootstrapTimeout how long requests are made, because a router that is
	// itself starting does not respond.
	bootstrapFetchTimeout = 100 * time.Millisecond
	bootstrapTimeout      = 250 * time.Millisecond
	// maxPeerHeaderBytes is the maximum size of the response header of a copy.
	maxPeerHeaderBytes = 8 << 10
)

// snapshot is the wire form of a router's copy.
type snapshot struct {
	Revision store.Revision `json:"revision"`
	Entries  []store.Entry  `json:"entries"`
	// Deltas lead to the values of large entries, by key. These have no value in Entries.
	Deltas map[string][]delta.Delta `json:"deltas,omitempty"`
	// AgeMillis is the time since the service itself was last read for this copy. It
	// is negative if that is unknown or too long ago.
	AgeMillis int64 `json:"ageMillis"`
	// Outage is the last outage of the service that the router knows of. Lapsed tells which
	// of the entries have lapsed, by key.
	Outage *outageAge             `json:"outage,omitempty"`
	Lapsed map[string]lapsedEntry `json:"lapsed,omitempty"`
	// Deleted has the recent deletions by key, so that a router that has just started knows
	// what was deleted before. Routers of earlier releases leave it out.
	Deleted map[string]deletedEntry `json:"deleted,omitempty"`
	// Changed has the ages of recent changes in milliseconds, by key, for the same reason.
	Changed map[string]int64 `json:"changed,omitempty"`
	// Eras reports that the revisions have eras.
	Eras bool `json:"eras,omitempty"`
}

// lapsedEntry is the wire form of a lapsed entry.
type lapsedEntry struct {
	// Deleted is the revision of its deletion, and LeftMillis how much longer it is kept.
	Deleted    store.Revision `json:"deleted"`
	LeftMillis int64          `json:"leftMillis"`
}

// deletedEntry is the wire form of a deletion.
type deletedEntry struct {
	Revision store.Revision `json:"revision"`
	// AgeMillis is the time since the router has known of the deletion.
	AgeMillis int64 `json:"ageMillis"`
}

// ServeHTTP serves the copy if it is newer than the revision of the requesting
// router.
func (m *Mirror) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a revision", http.StatusBadRequest)
		return
	}
	var held map[string]store.Revision
	if text := r.URL.Query().Get("held"); text != "" {
		if err := json.Unmarshal([]byte(text), &held); err != nil {
			http.Error(w, "held: not a JSON object of revisions", http.StatusBadRequest)
			return
		}
	}
	eras := r.URL.Query().Has("eras")
	if !eras {
		after, held = int64(m.inEra(store.Revision(after))), nil
	}
	s := m.copy(after, held)
	if int64(s.Revision) <= after {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if s.Eras = eras; !eras {
		s.Deleted, s.Changed = nil, nil
		s.Revision = withoutEra(s.Revision)
		removeEras(pointers(s.Entries))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s) // the client detects a truncated response
}

// copy returns the mirror's copy, without its entries unless it is newer than after.
func (m *Mirror) copy(after int64, held map[string]store.Revision) (s snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.settings.Clock()
	s = snapshot{Revision: m.view.revision, AgeMillis: -1}
	if int64(s.Revision) > after {
		s.Entries = slices.Collect(maps.Values(m.view.entries))
		s.Deltas = m.pack(pointers(s.Entries), held)
		s.Outage, s.Lapsed = newOutageAge(m.view.outage, now), make(map[string]lapsedEntry)
		s.Deleted = make(map[string]deletedEntry)
		for key, d := range m.view.tombstones {
			if _, lapsed := m.view.lapsed[key]; !lapsed && now.Sub(d.at) <= tombstoneRetention {
				s.Deleted[key] = deletedEntry{Revision: d.revision, AgeMillis: now.Sub(d.at).Milliseconds()}
			}
		}
		s.Changed = make(map[string]int64)
		for key, at := range m.view.recent.times(now) {
			s.Changed[key] = now.Sub(at).Milliseconds()
		}
		for key, until := range m.view.lapsed {
			s.Lapsed[key] = lapsedEntry{Deleted: m.view.tombstones[key].revision, LeftMillis: until.Sub(now).Milliseconds()}
		}
	}
	if age := now.Sub(m.serviceReadAt); !m.serviceReadAt.IsZero() && age <= m.maxRelayAge() {
		s.AgeMillis = max(age.Milliseconds(), 0)
	}
	return s
}

// bootstrap takes over the copy of another router at startup, so that routers which
// start together do not all list the service. The copy must carry a valid age: an
// older one could bring back entries that were deleted while this router was down.
func (m *Mirror) bootstrap(ctx context.Context) (ok bool) {
	roundsCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	for ; m.bootstrapAttempts > 0 && roundsCtx.Err() == nil; m.bootstrapAttempts-- {
		for _, p := range m.bootstrapPeers() {
			sent := m.settings.Clock()
			s, err := m.fetch(ctx, p, bootstrapFetchTimeout)
			if err == nil && s.Revision > 0 && s.AgeMillis >= 0 {
				m.adoptSnapshot(s, p, sent)
				m.recordServiceRead(sent.Add(-time.Duration(s.AgeMillis) * time.Millisecond))
				m.applyBatch(store.Batch{Revision: s.Revision})
				return true
			}
		}
		select {
		case <-time.After(bootstrapRetryInterval):
		case <-roundsCtx.Done():
			return false
		}
	}
	return false
}

// bootstrapPeers returns the routers to ask for a copy at startup: the preferred
// relays or, if none is known yet, random peers.
func (m *Mirror) bootstrapPeers() []netip.AddrPort {
	if m.settings.Relays != nil {
		if relays := m.settings.Relays(); len(relays) > 0 {
			return relays[:min(len(relays), peerFanout)]
		}
	}
	return m.randomPeers()
}

// randomPeers returns some random routers.
func (m *Mirror) randomPeers() []netip.AddrPort {
	peers := m.settings.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), peerFanout)]
}

// fetchFromPeers fetches the copies of some random peers and keeps the newest. Once one
// has arrived, it does not wait for slower ones for longer than a read may take.
func (m *Mirror) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := m.randomPeers()
	done := make(chan bool, len(peers)) // whether a copy has arrived
	for _, p := range peers {
		go func() {
			sent := m.settings.Clock()
			s, err := m.fetch(ctx, p, m.settings.Timeout)
			if err != nil {
				event.MirrorNotFetched.Info(m.settings.Log, "mirror", m.settings.Name, "peer", p, "error", err)
			} else {
				m.adoptSnapshot(s, p, sent)
			}
			done <- err == nil
		}()
	}
	var enough <-chan time.Time
	for pending := len(peers); pending > 0; {
		select {
		case arrived := <-done:
			pending--
			if arrived && enough == nil {
				enough = time.After(m.cut(m.settings.Timeout))
			}
		case <-enough:
			cancel()
		}
	}
}

// fetch requests the copy of one router, whose response has to begin within the timeout.
func (m *Mirror) fetch(ctx context.Context, peer netip.AddrPort, timeout time.Duration) (s snapshot, err error) {
	defer func() { err = merry.Prependf(err, "fetching the copy of %s", peer) }()
	ctx, t, stop := transfer.Limit{Begin: timeout, Header: m.cut(timeout)}.Start(ctx, m.settings.Clock)
	defer stop()
	defer func() { err = m.metrics.record(sourcePeer, t, err) }()
	m.mu.Lock()
	after := m.view.revision
	m.mu.Unlock()
	bases := m.largeEntries()
	held, err := json.Marshal(revisions(bases))
	if err != nil {
		return s, err
	}
	path := fmt.Sprintf("%s%s?eras&after=%d&held=%s", SnapshotPath, m.settings.Name, after, url.QueryEscape(string(held)))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+path, nil)
	if err != nil {
		return s, err
	}
	response, err := m.client.Do(request)
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }() // keep-alives are disabled
	switch response.StatusCode {
	case http.StatusNoContent:
		return s, nil
	case http.StatusOK:
		err = json.NewDecoder(transfer.Reader(ctx, io.LimitReader(response.Body, maxSnapshotBytes))).Decode(&s)
		if err != nil {
			return s, err
		}
		if !s.Eras {
			return s, errNoEras
		}
		return s, m.unpack(pointers(s.Entries), s.Deltas, bases)
	}
	return s, merry.Errorf("status %d", response.StatusCode)
}

// adoptSnapshot replaces this router's copy by a newer one, which was requested at the time
// sent. It does not update the time of the last read, because another router's copy may
// itself be stale.
func (m *Mirror) adoptSnapshot(s snapshot, peer netip.AddrPort, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Revision <= m.view.revision {
		return
	}
	m.noticeRestoration(s.Revision)
	now := m.settings.Clock()
	m.view.recordOutage(s.Outage.span(sent, now), m.settings.GracePeriod)
	m.view.replace(now, s.Entries, s.Revision, m.settings.GracePeriod)
	for key, l := range s.Lapsed {
		m.view.lapse(now, key, l.Deleted, sent.Add(milliseconds(l.LeftMillis)))
	}
	m.view.adoptRecent(now, s)
	if s.AgeMillis >= 0 {
		m.view.recordServiceRead(sent.Add(-milliseconds(s.AgeMillis)))
	}
	m.initialized = true
	m.notify()
	event.MirrorFetched.Info(m.settings.Log, "mirror", m.settings.Name, "peer", peer, "revision", s.Revision.Counter(), "era", s.Revision.Era())
}
