package mirror

import (
	"context"
	"maps"
	"net/netip"
	"slices"

	"example.org/lagoonfork/internal/transfer"
	"example.org/lagoonfork/pkg/store"
)

// relayProbes holds the relays that did not respond to their last request. Reads do not wait
// for such a relay: it is probed beside them, and used again once it has responded.
type relayProbes map[netip.AddrPort]probeState

// probeState is the state of a silent relay.
type probeState int

const (
	probeDue probeState = iota
	probePending
	probeAnswered
)

// skipRelay reports whether reads should not use a relay because it is silent. If it is due,
// a probe is started.
func (m *Mirror) skipRelay(ctx context.Context, relay netip.AddrPort, from store.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, silent := m.probes[relay]
	switch {
	case silent && state == probeAnswered:
		delete(m.probes, relay)
		return false
	case silent && state == probeDue:
		m.probes[relay] = probePending
		m.tomb.Go(func() error {
			m.probeRelay(ctx, relay, from)
			return nil
		})
	}
	return silent
}

// probeRelay requests the changes after a revision from a relay, only to learn whether it
// responds.
func (m *Mirror) probeRelay(ctx context.Context, relay netip.AddrPort, from store.Revision) {
	ctx, t := transfer.Start(ctx, m.settings.Clock)
	var response changesResponse
	err := m.relayLinks.Post(ctx, relay, ChangesPath+m.settings.Name, changesRequest{After: from, Held: map[string]store.Revision{}, Eras: true}, &response)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || t.Begun() {
		m.probes[relay] = probeAnswered
	} else {
		m.probes[relay] = probeDue // once the backoff has ended
	}
}

// recordSilence records that a relay did not respond.
func (m *Mirror) recordSilence(relay netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probes[relay] = probeDue
}

// pruneProbes discards the silent relays that are no longer relays of this router.
func (m *Mirror) pruneProbes(relays []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.probes, func(relay netip.AddrPort, state probeState) bool {
		return state != probePending && !slices.Contains(relays, relay)
	})
}
