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

// writers is the number of parts that are written at the same time.
const writers = 4

// writeParts writes parts that the manifest in force does not name. A part
// that is there already is written again, which raises its revision and so
// keeps a sweep that listed it before from deleting it. since is the revision
// of the manifest that the writer read.
func (p *Publisher) writeParts(ctx context.Context, parts manifest.Parts, since store.Revision) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(writers)
	for digest, data := range parts {
		group.Go(func() error { return p.writePart(ctx, digest, data, since) })
	}
	return group.Wait()
}

// writePart writes one part. Repeating the write after an unknown outcome does
// no harm, as the content under a digest is always the same.
func (p *Publisher) writePart(
	ctx context.Context, digest manifest.Digest, data []byte, since store.Revision,
) (err error) {
	defer func() { err = merry.Prependf(err, "writing part %s", digest) }()
	for range maxAttempts {
		_, err = p.store.Put(ctx, digest.Key(), data, store.Always, store.NoLease)
		if !errors.Is(err, store.ErrUnknown) {
			return err
		}
		if p.wrote(ctx, digest, since) {
			return nil
		}
	}
	return merry.Appendf(store.ErrUnavailable, "after %d attempts: %v", maxAttempts, err)
}

// wrote reports whether a part was written after since. An older one does not
// count: a sweep that began earlier may be about to delete it.
func (p *Publisher) wrote(ctx context.Context, digest manifest.Digest, since store.Revision) bool {
	entry, err := p.store.Get(ctx, digest.Key())
	return err == nil && entry.Revision > since && manifest.Sum(entry.Value) == digest
}

// Sweep removes the parts that no revision in the keep window names and
// returns their number.
func (p *Publisher) Sweep(ctx context.Context) (removed int, err error) {
	defer func() { err = merry.Prepend(err, "removing old parts") }()
	entry, head, err := p.head(ctx)
	if err != nil || head.Revision == 0 {
		return 0, err
	}
	kept, err := p.window(ctx, head)
	if err != nil {
		return 0, err
	}
	old, err := p.listOthers(ctx, kept)
	if err != nil || len(old) == 0 {
		return 0, err
	}
	if err := p.fence(ctx, entry, head); err != nil {
		return 0, err
	}
	removed, err = p.remove(ctx, old)
	event.ConfigurationSwept.Info(p.log, "removed", removed, "kept", len(kept))
	return removed, err
}

// listOthers returns the parts that are not kept, without their values. It
// lists the parts by the first character of their digests, so that no response
// holds more than about a 64th of them.
func (p *Publisher) listOthers(ctx context.Context, kept map[manifest.Digest]bool) (others []store.Entry, err error) {
	for _, first := range manifest.DigestAlphabet {
		listed, _, err := p.store.List(ctx, manifest.PartPrefix+string(first))
		if err != nil {
			return nil, err
		}
		for _, part := range listed {
			if !kept[manifest.Digest(part.Key[len(manifest.PartPrefix):])] {
				others = append(others, store.Entry{Key: part.Key, Revision: part.Revision})
			}
		}
	}
	return others, nil
}

// window returns the digests of the parts of the revisions that are kept.
func (p *Publisher) window(ctx context.Context, head manifest.Manifest) (map[manifest.Digest]bool, error) {
	kept := make(map[manifest.Digest]bool)
	for i := range p.keep {
		named, err := p.named(ctx, head)
		if err != nil {
			return nil, err
		}
		for digest := range named {
			kept[digest] = true
		}
		if head.Previous == "" || i == p.keep-1 {
			break
		}
		previous, err := p.previous(ctx, head)
		if errors.Is(err, ErrNothing) {
			break
		}
		if err != nil {
			return nil, err
		}
		kept[head.Previous] = true
		head = previous
	}
	return kept, nil
}

// fence swaps the manifest for one with a higher sweep count, so that no
// writer that read the former one can put a revision in force.
func (p *Publisher) fence(ctx context.Context, entry store.Entry, head manifest.Manifest) error {
	head.Sweep++
	data, err := head.Encode()
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, manifest.HeadKey, data, store.If(entry.Revision), store.NoLease)
	return err
}

// remove deletes parts that were not written since they were listed.
func (p *Publisher) remove(ctx context.Context, parts []store.Entry) (removed int, err error) {
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
