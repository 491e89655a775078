package mirror

import (
	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/store"
)

var (
	// errNoEras reports a response of a router of an earlier release, which orders
	// revisions without eras.
	errNoEras = merry.Prepend(store.ErrUnavailable, "the router does not know of eras")
	// errRelayBehind reports a relay that has not noticed yet that the service was
	// restored.
	errRelayBehind = merry.Prepend(store.ErrUnavailable, "the relay is in an earlier era")
)

// inEra returns the revision that a router of an earlier release means, which is one of the
// current era.
func (m *Mirror) inEra(r store.Revision) store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return store.NewRevision(m.view.revision.Era(), int64(r))
}

// withoutEra returns a revision in the form of earlier releases.
func withoutEra(r store.Revision) store.Revision { return store.Revision(r.Counter()) }

// removeEras changes the revisions of entries to the form of earlier releases.
func removeEras(entries []*store.Entry) {
	for _, e := range entries {
		e.Revision = withoutEra(e.Revision)
	}
}

// removeEras changes the revisions of the response to the form of earlier releases. The
// response must have no deltas.
func (r *changesResponse) removeEras() {
	r.Revision = withoutEra(r.Revision)
	for i := range r.Changes {
		removeEras([]*store.Entry{&r.Changes[i].Entry})
	}
}
