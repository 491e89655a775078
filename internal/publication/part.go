package publication

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/pkg/store"
)

// maxParallelWrites is the maximum number of parts written concurrently.
const maxParallelWrites = 4

// writeParts writes the parts that the manifest in force does not reference. A
// part that already exists is written again: this raises its revision, so that a
// sweep that listed it earlier does not delete it. since is the revision of the
// manifest that the writer read.
func (p *Publisher) writeParts(ctx context.Context, parts manifest.Parts, since store.Revision) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelWrites)
	for digest, data := range parts {
		group.Go(func() error { return p.writePart(ctx, digest, data, since) })
	}
	return group.Wait()
}

// writePart writes one part. The write is idempotent, as the content of a digest
// is always the same, so it is retried after an unknown outcome.
func (p *Publisher) writePart(
	ctx context.Context, digest manifest.Digest, data []byte, since store.Revision,
) (err error) {
	defer func() { err = merry.Prependf(err, "writing part %s", digest) }()
	for range maxAttempts {
		_, err = p.store.Put(ctx, digest.Key(), data, store.Always, store.NoLease)
		if !errors.Is(err, store.ErrUnknown) {
			return err
		}
		if p.writtenSince(ctx, digest, since) {
			return nil
		}
	}
	return merry.Appendf(store.ErrUnavailable, "after %d attempts: %v", maxAttempts, err)
}

// writtenSince reports whether a part was written after since. A part written
// earlier does not suffice, as a sweep in progress may delete it.
func (p *Publisher) writtenSince(ctx context.Context, digest manifest.Digest, since store.Revision) bool {
	entry, err := p.store.Get(ctx, digest.Key())
	return err == nil && entry.Revision > since && manifest.DigestOf(entry.Value) == digest
}

// Sweep removes the parts that none of the last Settings.KeepRevisions revisions
// references and returns the number of parts removed.
func (p *Publisher) Sweep(ctx context.Context) (removed int, err error) {
	defer func() { err = merry.Prepend(err, "removing old parts") }()
	entry, head, err := p.readHead(ctx)
	if err != nil || head.Revision == 0 {
		return 0, err
	}
	retained, err := p.retainedParts(ctx, head)
	if err != nil {
		return 0, err
	}
	unreferenced, err := p.listUnreferenced(ctx, retained)
	if err != nil || len(unreferenced) == 0 {
		return 0, err
	}
	if err := p.fence(ctx, entry, head); err != nil {
		return 0, err
	}
	removed, err = p.deleteParts(ctx, unreferenced)
	event.ConfigurationPartsRemoved.Info(p.log, "removed", removed, "kept", len(retained))
	return removed, err
}

// listUnreferenced returns the parts that are not retained, without their values.
// It lists the parts by the first character of their digests, so that each
// response holds about 1/64 of them.
func (p *Publisher) listUnreferenced(ctx context.Context, retained map[manifest.Digest]bool) (unreferenced []store.Entry, err error) {
	for _, first := range manifest.DigestAlphabet {
		listed, _, err := p.store.List(ctx, manifest.PartPrefix+string(first))
		if err != nil {
			return nil, err
		}
		for _, part := range listed {
			if !retained[manifest.Digest(part.Key[len(manifest.PartPrefix):])] {
				unreferenced = append(unreferenced, store.Entry{Key: part.Key, Revision: part.Revision})
			}
		}
	}
	return unreferenced, nil
}

// retainedParts returns the digests of the parts of the last
// Settings.KeepRevisions revisions, including their manifests.
func (p *Publisher) retainedParts(ctx context.Context, head manifest.Manifest) (map[manifest.Digest]bool, error) {
	retained := make(map[manifest.Digest]bool)
	for i := range p.keepRevisions {
		referenced, err := p.referencedParts(ctx, head)
		if err != nil {
			return nil, err
		}
		for digest := range referenced {
			retained[digest] = true
		}
		if head.Previous == "" || i == p.keepRevisions-1 {
			break
		}
		previous, err := p.readPrevious(ctx, head)
		if errors.Is(err, ErrNoRevision) {
			break
		}
		if err != nil {
			return nil, err
		}
		retained[head.Previous] = true
		head = previous
	}
	return retained, nil
}

// fence replaces the manifest by one with a higher sweep count, so that no writer
// that read the old manifest can put a revision in force.
func (p *Publisher) fence(ctx context.Context, entry store.Entry, head manifest.Manifest) error {
	head.Sweep++
	data, err := head.Encode()
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, manifest.HeadKey, data, store.If(entry.Revision), store.NoLease)
	return err
}

// deleteParts deletes the parts that were not written again after they were
// listed, and returns their number.
func (p *Publisher) deleteParts(ctx context.Context, parts []store.Entry) (removed int, err error) {
	for _, part := range parts {
		err := p.store.Delete(ctx, part.Key, store.If(part.Revision))
		switch {
		case err == nil:
			removed++
		case errors.Is(err, store.ErrConflict):
		default:
			return removed, err
		}
	}
	return removed, nil
}
