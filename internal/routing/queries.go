package routing

import (
	"time"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Status is the state of one upstream as the table sees it.
type Status struct {
	Upstream          ident.Upstream      `json:"upstream"`
	FailureDomain     ident.FailureDomain `json:"failureDomain"`
	Running           int                 `json:"running"`
	OutstandingTokens tokens.Count        `json:"outstandingTokens"`
	ReportedTokens    tokens.Count        `json:"reportedTokens"`
	AsOf              time.Time           `json:"asOf,omitzero"`
	Leaving           bool                `json:"leaving"`
	Failures          int                 `json:"failures"`
	PausedUntil       time.Time           `json:"pausedTo,omitzero"`
}

// Status returns the state of all upstreams in the order of the configuration.
func (t *Table) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, len(t.all))
	for i, m := range t.all {
		all[i] = m.status()
	}
	return all
}

func (m *member) status() Status {
	return Status{
		Upstream:          m.upstream.ID,
		FailureDomain:     m.upstream.FailureDomain,
		Running:           len(m.running),
		OutstandingTokens: m.outstandingTokens,
		ReportedTokens:    m.reportedBacklog,
		AsOf:              m.reportedAt,
		Leaving:           m.leavingSources != 0,
		Failures:          m.failures,
		PausedUntil:       m.pausedUntil,
	}
}

// Upstreams returns the configured upstreams.
func (t *Table) Upstreams() []configuration.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]configuration.Upstream, len(t.all))
	for i, m := range t.all {
		all[i] = m.upstream
	}
	return all
}

// CacheSequence returns the sequence number of the last cache event applied for
// an upstream, or 0 if there is none.
func (t *Table) CacheSequence(id ident.Upstream) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		return m.cacheSequence
	}
	return 0
}

// Contains reports whether the table contains an upstream.
func (t *Table) Contains(id ident.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[id] != nil
}

// Slots returns the number of requests that the available upstreams can run at
// the same time.
func (t *Table) Slots(now time.Time) (slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.all {
		if m.available(now) {
			slots += m.upstream.Slots
		}
	}
	return slots
}
