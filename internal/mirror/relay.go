package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"example.org/lagoonfork/internal/delta"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/transfer"
	"example.org/lagoonfork/pkg/store"
)

// ChangesPath is the path prefix under which a router relays the changes that it
// reads. The mirror's name follows.
const ChangesPath = "/peer/changes/"

const (
	// relayMargin is how long the relay's own read may be overdue.
	relayMargin = 200 * time.Millisecond
	// maxRequestBytes is the maximum size of a request for changes.
	maxRequestBytes = 1 << 10
)

// changesRequest requests the changes after a revision.
type changesRequest struct {
	After      store.Revision `json:"after"`
	WaitMillis int64          `json:"waitMillis"`
	// Held has the revisions of the large entries that the requester holds, by key. If
	// it is nil, the requester cannot apply deltas.
	Held map[string]store.Revision `json:"held"`
	// Eras reports that the revisions have eras. Routers of earlier releases, whose
	// revisions have none, leave it out.
	Eras bool `json:"eras,omitempty"`
}

// changesResponse is the wire form of the changes up to a revision.
type changesResponse struct {
	Revision store.Revision `json:"revision"`
	Changes  []store.Event  `json:"changes"`
	// Deltas lead to the values of large entries, by key. These have no value in Changes.
	Deltas map[string][]delta.Delta `json:"deltas,omitempty"`
	// AgeMillis is the time since the service itself was last read. WaitedMillis is the
	// time for which the relay waited for changes. Routers of earlier releases leave it
	// out.
	AgeMillis    int64  `json:"ageMillis"`
	WaitedMillis *int64 `json:"waitedMillis,omitempty"`
	// Outage is the last outage of the service that the relay knows of. Routers of earlier
	// releases leave it out.
	Outage *outageAge `json:"outage,omitempty"`
	// UnconfirmedDeletions lists the keys of entries whose leases may have expired
	// only because the relay had lost the service.
	UnconfirmedDeletions []string `json:"doubtful,omitempty"`
	// Eras is as in changesRequest.
	Eras bool `json:"eras,omitempty"`
}

// confirmedDeletions returns the deletions that the relay has confirmed.
func (r changesResponse) confirmedDeletions() (deletions []store.Event) {
	for _, e := range r.Changes {
		if e.Deleted && !slices.Contains(r.UnconfirmedDeletions, e.Entry.Key) {
			deletions = append(deletions, e)
		}
	}
	return deletions
}

// serviceReadAt returns the time of the last read of the service itself, for a response
// that arrived now to a request sent at the given time. The time on the way counts as age,
// because the response may have been delayed, unless the relay does not say how long it
// waited.
func (r changesResponse) serviceReadAt(sent, now time.Time) time.Time {
	return r.answeredAt(sent, now).Add(-milliseconds(r.AgeMillis))
}

// answeredAt returns the earliest time at which the relay can have sent a response that
// arrived now to a request sent at the given time, or now if it does not say how long it
// waited.
func (r changesResponse) answeredAt(sent, now time.Time) time.Time {
	if r.WaitedMillis == nil {
		return now
	}
	return sent.Add(max(min(milliseconds(*r.WaitedMillis), now.Sub(sent)), 0))
}

// readFromRelay reads the changes after a revision from the preferred relay that is
// not in backoff. If the service itself has to be called before the relay has responded, it is
// called beside: both may be slow because the link of the VM is full. readFromRelay returns false
// if nothing was read.
func (m *Mirror) readFromRelay(ctx context.Context, from store.Revision) (ok bool) {
	if m.settings.Relays == nil {
		return false
	}
	if m.Unavailable() {
		m.relayLinks.ResetBackoff() // the relays may have recovered by now
	}
	relays := m.settings.Relays()
	m.pruneProbes(relays)
	wait := m.cut(m.settings.RelayWait+relayMargin) - relayMargin
	if wait < minWait {
		return false
	}
	for _, relay := range relays {
		if m.relayLinks.InBackoff(relay) || m.skipRelay(ctx, relay, from) {
			continue
		}
		var response changesResponse
		bases := m.largeEntries()
		request := changesRequest{After: m.relayRevision(from), WaitMillis: wait.Milliseconds(), Held: revisions(bases), Eras: true}
		sent := m.settings.Clock()
		relayCtx, t := transfer.Start(ctx, m.settings.Clock)
		stop := m.callWhenDue(ctx, from)
		err := m.relayLinks.Post(relayCtx, relay, ChangesPath+m.settings.Name, request, &response)
		called := stop()
		if err == nil {
			if err = errors.Join(response.checkEra(from), m.unpackChanges(response, bases)); err != nil {
				m.relayLinks.StartBackoff(relay)
			}
		}
		if err != nil && !t.Begun() {
			m.recordSilence(relay)
		}
		if err = m.metrics.record(sourceRelay, t, err); err != nil {
			m.recordWait("relay "+relay.String(), sent)
			m.logRelayFailure(relay, from, t, err)
			m.recheckDeletions()
			return called
		}
		m.relayRefused = false
		now := m.settings.Clock()
		m.recordOutage(response.Outage.span(response.answeredAt(sent, now), now))
		if !m.recordServiceRead(response.serviceReadAt(sent, now)) {
			m.recordWait("relay "+relay.String()+" with an older copy", sent)
		}
		m.applyBatch(store.Batch{Revision: max(from, response.Revision), Events: response.Changes})
		m.applyConfirmedDeletions(response.confirmedDeletions())
		return true
	}
	return false
}

// checkEra returns an error unless the relay has read the service in the era of a revision,
// or a later one.
func (r changesResponse) checkEra(from store.Revision) error {
	switch {
	case !r.Eras:
		return errNoEras
	case r.Revision.Era() < from.Era():
		return errRelayBehind
	}
	return nil
}

// logRelayFailure logs that a read from a relay failed. Of consecutive refusals, as during
// an outage of the service, it logs the first.
func (m *Mirror) logRelayFailure(relay netip.AddrPort, from store.Revision, t *transfer.Transfer, err error) {
	refused := errors.Is(err, store.ErrUnavailable) && t.Empty()
	if !refused || !m.relayRefused {
		event.RelayFailed.Info(m.settings.Log, "mirror", m.settings.Name, "relay", relay, "revision", from.Counter(), "era", from.Era(), "error", err)
	}
	m.relayRefused = refused
}

// relayRevision returns the revision after which to request changes from a relay.
// Once after each outage of the service, that is the revision before the first
// unconfirmed deletion, so that the relay can confirm these deletions.
func (m *Mirror) relayRevision(from store.Revision) store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, ok := m.view.beforeUnconfirmedDeletions()
	if !ok || m.deletionsCheckedFor.Equal(m.view.outage.Noticed) {
		return from
	}
	m.deletionsCheckedFor = m.view.outage.Noticed
	return min(from, first)
}

// recheckDeletions makes the next relay request ask about unconfirmed deletions
// again, because the last one failed.
func (m *Mirror) recheckDeletions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deletionsCheckedFor = time.Time{}
}

// ChangesHandler returns the handler that relays changes to downstream routers. It
// responds with status 503 unless the service itself was read recently.
func (m *Mirror) ChangesHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request changesRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
			http.Error(w, "the question is not one for changes", http.StatusBadRequest)
			return
		}
		wait := min(max(time.Duration(request.WaitMillis)*time.Millisecond, 0), m.maxRelayAge())
		m.relaying.Store(true)
		if !request.Eras {
			request.After, request.Held = m.inEra(request.After), nil
		}
		received := m.settings.Clock()
		response, ok := m.waitForChanges(r.Context(), request.After, request.Held, wait)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		waited := m.settings.Clock().Sub(received).Milliseconds()
		response.WaitedMillis = &waited
		if response.Eras = request.Eras; !request.Eras {
			response.removeEras()
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response) // the client detects a truncated response
	})
}

// StopRelay ends the pending relay requests and refuses further ones.
func (m *Mirror) StopRelay() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.relayStopped:
	default:
		close(m.relayStopped)
	}
}

// waitForChanges returns the changes after a revision as soon as there are any, or
// none after wait. It returns false if the copy is too old or the relay has stopped.
func (m *Mirror) waitForChanges(ctx context.Context, after store.Revision, held map[string]store.Revision, wait time.Duration) (response changesResponse, ok bool) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		response, validFor, changed := m.changesSince(after, held)
		if validFor <= 0 || len(response.Changes) > 0 || waitCtx.Err() != nil {
			return response, validFor > 0
		}
		staleTimer := time.NewTimer(validFor)
		select {
		case <-changed:
		case <-staleTimer.C:
		case <-waitCtx.Done():
		case <-m.relayStopped:
			validFor = 0
		}
		staleTimer.Stop()
		if validFor == 0 || ctx.Err() != nil {
			return changesResponse{}, false
		}
	}
}

// changesSince returns the changes after a revision, how much longer the copy is
// recent enough to relay, and a channel that is closed at the next change.
func (m *Mirror) changesSince(after store.Revision, held map[string]store.Revision) (response changesResponse, validFor time.Duration, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	events, ok := m.view.changes(after)
	ok = ok && after.Era() <= m.view.revision.Era()
	select {
	case <-m.relayStopped:
		ok = false
	default:
	}
	if !ok || m.serviceReadAt.IsZero() {
		return changesResponse{}, 0, m.changed
	}
	age := m.settings.Clock().Sub(m.serviceReadAt)
	deltas := m.packChanges(events, held)
	response = changesResponse{Revision: m.view.revision, Changes: events, Deltas: deltas, AgeMillis: age.Milliseconds(), Outage: newOutageAge(m.view.outage, m.settings.Clock()), UnconfirmedDeletions: slices.Collect(maps.Keys(m.view.lapsed))}
	return response, m.maxRelayAge() - age, m.changed
}

// maxRelayAge is the maximum time since the service was read at which this router
// still relays its copy. It allows for one relay between the service and this router.
func (m *Mirror) maxRelayAge() time.Duration {
	return max(m.settings.Interval*5/4, m.settings.PollWait) + m.settings.RelayWait + relayMargin
}
