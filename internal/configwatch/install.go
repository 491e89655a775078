package configwatch

import (
	"context"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/internal/transfer"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// maxParallelReads is the maximum number of parts read concurrently.
const maxParallelReads = 8

// storeSource denotes the key-value service in lists of sources.
const storeSource ident.VM = ""

// Offer puts the revision of a manifest in force if it is higher than the one
// in force. It reads missing parts from the peer or, if that fails, from the
// key-value service. A revision that is not higher is ignored without an error.
func (w *Watcher) Offer(ctx context.Context, peer ident.VM, head manifest.Manifest) error {
	return w.install(ctx, head, []ident.VM{peer, storeSource})
}

// install puts a revision in force if it is higher than the one in force. Each
// missing part is read from the first source that has it; sources[0] is the
// source of the manifest.
func (w *Watcher) install(ctx context.Context, head manifest.Manifest, sources []ident.VM) (err error) {
	defer func() { err = merry.Prependf(err, "putting revision %d in force", head.Revision) }()
	held := w.current.Load()
	if head.Revision <= held.head.Revision {
		event.ConfigurationNotNewer.Debug(w.settings.Log,
			"revision", head.Revision, "inForce", held.head.Revision, "source", sourceName(sources[0]))
		return nil
	}
	next, read, err := w.assemble(ctx, held, head, sources)
	if err != nil {
		event.ConfigurationUnreadable.Warn(w.settings.Log,
			"revision", head.Revision, "source", sourceName(sources[0]), "error", err)
		return err
	}
	if w.replace(next) {
		event.ConfigurationInForce.Info(w.settings.Log,
			"revision", head.Revision, "source", sourceName(sources[0]), "partsRead", read)
	}
	return nil
}

// replace puts next in force unless the revision now in force is as high, as
// installs run concurrently.
func (w *Watcher) replace(next *snapshot) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if next.head.Revision <= w.current.Load().head.Revision {
		return false
	}
	w.current.Store(next)
	close(w.changed)
	w.changed = make(chan struct{})
	return true
}

// assemble reads the parts of head that held lacks and returns the complete
// revision and the number of parts read.
func (w *Watcher) assemble(
	ctx context.Context, held *snapshot, head manifest.Manifest, sources []ident.VM,
) (next *snapshot, read int, err error) {
	if err := head.Check(); err != nil {
		return nil, 0, err
	}
	missing := held.missingParts(head)
	parts, err := w.fetchParts(ctx, missing, sources)
	if err != nil {
		return nil, 0, err
	}
	next = &snapshot{
		head:    head,
		source:  sources[0],
		base:    held.base,
		buckets: make(map[manifest.Digest]manifest.Bucket, len(head.Buckets)),
	}
	if head.Base != held.head.Base {
		if next.base, err = manifest.DecodeBase(parts, head); err != nil {
			return nil, 0, err
		}
	}
	buckets := make([]manifest.Bucket, len(head.Buckets))
	for i, digest := range head.Buckets {
		bucket, ok := held.buckets[digest]
		if !ok {
			if bucket, err = manifest.DecodeBucket(parts, digest); err != nil {
				return nil, 0, err
			}
		}
		buckets[i] = bucket
		next.buckets[digest] = bucket
	}
	c := manifest.JoinConfiguration(head, next.base, buckets)
	next.index = configuration.NewIndex(&c)
	return next, len(missing), nil
}

// missingParts returns the digests of the parts of head that s does not hold,
// each once.
func (s *snapshot) missingParts(head manifest.Manifest) (digests []manifest.Digest) {
	if head.Base != s.head.Base {
		digests = append(digests, head.Base)
	}
	listed := make(map[manifest.Digest]bool)
	for _, digest := range head.Buckets {
		if _, ok := s.buckets[digest]; !ok && !listed[digest] {
			digests = append(digests, digest)
			listed[digest] = true
		}
	}
	return digests
}

// fetchParts reads parts concurrently, each from the first source that has it.
func (w *Watcher) fetchParts(
	ctx context.Context, digests []manifest.Digest, sources []ident.VM,
) (manifest.Parts, error) {
	var mu sync.Mutex
	parts := make(manifest.Parts, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for _, digest := range digests {
		group.Go(func() error {
			data, err := w.fetchPart(ctx, digest, sources)
			mu.Lock()
			defer mu.Unlock()
			parts[digest] = data
			return err
		})
	}
	return parts, group.Wait()
}

// fetchPart reads a part from the first source that returns content with the
// right digest.
func (w *Watcher) fetchPart(ctx context.Context, digest manifest.Digest, sources []ident.VM) ([]byte, error) {
	var errs []error
	for _, source := range sources {
		data, err := w.readPart(ctx, digest, source)
		if err == nil && manifest.DigestOf(data) != digest {
			err = merry.Prependf(manifest.ErrMalformed, "part %s from %s", digest, sourceName(source))
		}
		if err == nil {
			return data, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// readPart reads a part from one source. It does not verify the digest.
func (w *Watcher) readPart(ctx context.Context, digest manifest.Digest, source ident.VM) ([]byte, error) {
	ctx, _, stop := transfer.Limit{Begin: w.settings.Timeout}.Start(ctx, w.settings.Clock)
	defer stop()
	if source != storeSource {
		return w.settings.Peers.ConfigurationPart(ctx, source, digest)
	}
	entry, err := w.settings.Store.Get(ctx, digest.Key())
	if err == nil && !entry.Exists() {
		err = merry.Prependf(manifest.ErrMissing, "part %s", digest)
	}
	return entry.Value, err
}

// sourceName returns the name of a source for logs and errors.
func sourceName(source ident.VM) string {
	if source == storeSource {
		return "key-value service"
	}
	return string(source)
}
