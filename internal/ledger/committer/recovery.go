package committer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// Collector asks all routers what they know of a page.
type Collector interface {
	// Collect returns the newest versions of page n, beyond the version after, that the
	// routers have read or written, and ops that restate the shares they hold. The page is
	// recovered in the given era.
	Collect(ctx context.Context, n int, after store.Revision, era store.Era) Evidence
}

// Evidence is what routers know of a page.
type Evidence struct {
	Versions     []Version
	Restatements []ledger.Op
	// Routers has the routers that have a record or responded, and this one.
	Routers map[ident.Incarnation]Router
}

// Router says of a router on which VM it runs and whether it responded.
type Router struct {
	VM        ident.VM
	Responded bool
}

// Version is a version of a page.
type Version struct {
	Data []byte `json:"data"` // compressed
	// Revision has the era in which the version was written, which may be earlier than
	// the one in which it was read.
	Revision store.Revision `json:"revision"`
}

const (
	// recoveryPatience is how long a router that is not the owner of a page leaves its
	// recovery to the owner.
	recoveryPatience = 3 * time.Second
	// maxCollections is how often routers are asked until all have responded, and
	// collectionInterval the time in between. A router that has just started knows the
	// others by then, and one that is starting responds.
	maxCollections     = 4
	collectionInterval = 250 * time.Millisecond
)

// errAwaitingRecovery reports a page that its owner has to recover.
var errAwaitingRecovery = merry.Prepend(store.ErrUnavailable, "the page was restored from an older copy and its owner has not recovered it yet")

// LastVersion returns the newest version of page n that this router has read or written.
// It returns false if there is none.
func (c *Committer) LastVersion(n int) (v Version, ok bool) {
	if n < 0 || n >= len(c.pages) {
		return Version{}, false
	}
	p := &c.pages[n]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastVersion, p.lastVersion.Revision != 0
}

// recordVersion records a version of the page unless a newer one is known.
func (p *page) recordVersion(v Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.Revision > p.lastVersion.Revision {
		p.lastVersion = v
	}
}

// versionRevision returns the revision of a version that was read: the counter of the
// revision in the era in which it was written, or the revision if that era is not known.
func versionRevision(decoded *ledger.Page, r store.Revision) store.Revision {
	if era, known := decoded.Era(); known {
		return store.NewRevision(era, r.Counter())
	}
	return r
}

// wasRestored reports whether the stored page, as read, is older than what routers may have
// written, because the key-value service was restored from a copy since.
func (p *page) wasRestored(decoded *ledger.Page, entry store.Entry) bool {
	current := entry.Revision.Era()
	written, known := decoded.Era()
	switch {
	case current == 0, known && written == current:
		return false
	case known, !entry.Exists():
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastVersion.Revision != 0 && p.lastVersion.Revision.Era() < current
}

// restoredRevision returns the revision at which the restored page was written. A page
// without an era was written by an earlier release, at the latest in the previous era.
func restoredRevision(restored *ledger.Page, entry store.Entry) store.Revision {
	era, known := restored.Era()
	if !known && entry.Exists() {
		era = entry.Revision.Era() - 1
	}
	return store.NewRevision(era, entry.Revision.Counter())
}

// recoverPage makes the newest known version of the page current, with the shares that
// routers restate. Tokens that may have been drawn according to nobody are withheld. The
// page has to be written before any op is completed from it.
func (c *Committer) recoverPage(p *page, restored *ledger.Page, entry store.Entry) error {
	now, era := c.settings.Clock(), entry.Revision.Era()
	if p.restoredEra != era {
		p.restoredAt, p.restoredEra = now, era
	}
	if c.settings.Forwarder != nil && !p.owned.Load() && now.Sub(p.restoredAt).Abs() < recoveryPatience {
		return errAwaitingRecovery
	}
	v := Version{Data: entry.Value, Revision: restoredRevision(restored, entry)}
	newest, routers := restored, make(map[ident.Incarnation]Router)
	var restatements []ledger.Op
	complete := false
	for n := range maxCollections {
		if n > 0 && !c.sleep(collectionInterval) {
			return errAwaitingRecovery
		}
		evidence := c.collect(p, v.Revision, era)
		restatements = append(restatements, evidence.Restatements...)
		newest, v = c.newestVersion(p, newest, v, era, evidence)
		for id, r := range evidence.Routers { // the record of a dead process is soon replaced
			r.Responded = r.Responded || routers[id].Responded
			routers[id] = r
		}
		complete = allAccountedFor(newest, routers)
		neverWritten := v.Revision.Counter() == 0 && len(restatements) == 0
		if complete || neverWritten {
			break
		}
	}
	newest.BeginEra(era)
	for _, op := range restatements {
		newest.Apply(op, now)
	}
	var withheld tokens.Count
	if !complete {
		withheld = newest.Withhold(now, responders(routers), c.heldPart())
	}
	if entry.Exists() || v.Revision.Counter() != 0 {
		event.LedgerPageRecovered.Warn(c.settings.Log, "page", p.number, "era", era, "revision", entry.Revision.Counter(),
			"newestEra", v.Revision.Era(), "newest", v.Revision.Counter(), "routers", len(routers), "complete", complete,
			"restated", len(restatements), "withheld", withheld)
	}
	p.current, p.recovered = newest, true
	return nil
}

// allAccountedFor reports whether no router can have drawn after the newest version of a page
// without anybody knowing: each router and each holder has responded, or had been replaced on
// its VM when that version was written.
func allAccountedFor(newest *ledger.Page, routers map[ident.Incarnation]Router) bool {
	known := responders(routers)
	replaced := newest.VMsOf(known)
	for _, r := range routers {
		if !r.Responded && !replaced[r.VM] {
			return false
		}
	}
	return len(routers) > 1 && newest.AllHolders(known, replaced)
}

// responders returns the routers that responded.
func responders(routers map[ident.Incarnation]Router) map[ident.Incarnation]bool {
	known := make(map[ident.Incarnation]bool)
	for id, r := range routers {
		if r.Responded {
			known[id] = true
		}
	}
	return known
}

// heldPart returns Settings.HeldPart, or 0 if it is not set.
func (c *Committer) heldPart() float64 {
	if c.settings.HeldPart == nil {
		return 0
	}
	return c.settings.HeldPart()
}

// collect returns what this router and the others know of the page beyond the version after.
func (c *Committer) collect(p *page, after store.Revision, era store.Era) (evidence Evidence) {
	if c.settings.Collector != nil {
		evidence = c.settings.Collector.Collect(c.context(), p.number, after, era)
	}
	if v, ok := c.LastVersion(p.number); ok {
		evidence.Versions = append(evidence.Versions, v)
	}
	return evidence
}

// newestVersion returns the newest of the given version and those of the evidence that were
// written before the given era.
func (c *Committer) newestVersion(p *page, newest *ledger.Page, v Version, era store.Era, evidence Evidence) (*ledger.Page, Version) {
	for _, other := range evidence.Versions {
		if other.Revision.Era() >= era || other.Revision <= v.Revision {
			continue
		}
		decoded, err := ledger.Decode(other.Data)
		if err != nil {
			event.LedgerPageInvalid.Error(c.settings.Log, "page", p.number, "revision", other.Revision.Counter(), "error", err)
			continue
		}
		newest, v = decoded, other
	}
	return newest, v
}
