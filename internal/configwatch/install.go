package configwatch

import (
	"context"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// readers is the number of parts that are read at the same time.
const readers = 8

// storeSource stands for the key-value service among the sources.
const storeSource ident.VM = ""

// Offer puts the revision of a manifest in force if it is higher than the one
// held. It reads missing parts from the peer, or else from the key-value
// service. A lower revision is passed over without an error.
func (w *Watcher) Offer(ctx context.Context, peer ident.VM, head manifest.Manifest) error {
	return w.install(ctx, head, []ident.VM{peer, storeSource})
}

// install puts a revision in force if it is higher than the one held. Missing
// parts are read from the first of the sources that has them; the first source
// is the one that gave the manifest.
func (w *Watcher) install(ctx context.Context, head manifest.Manifest, sources []ident.VM) (err error) {
	defer func() { err = merry.Prependf(err, "putting revision %d in force", head.Revision) }()
	held := w.current.Load()
	if head.Revision <= held.head.Revision {
		event.ConfigurationStale.Debug(w.settings.Log,
			"revision", head.Revision, "inForce", held.head.Revision, "source", name(sources[0]))
		return nil
	}
	next, read, err := w.assemble(ctx, held, head, sources)
	if err != nil {
		event.ConfigurationUnreadable.Warn(w.settings.Log,
			"revision", head.Revision, "source", name(sources[0]), "error", err)
		return err
	}
	if w.replace(next) {
		event.ConfigurationInForce.Info(w.settings.Log,
			"revision", head.Revision, "source", name(sources[0]), "partsRead", read)
	}
	return nil
}

// replace puts next in force unless a revision as high is held by now.
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

// assemble reads the parts that are not held and returns the revision whole.
func (w *Watcher) assemble(
	ctx context.Context, held *snapshot, head manifest.Manifest, sources []ident.VM,
) (next *snapshot, read int, err error) {
	if err := head.Check(); err != nil {
		return nil, 0, err
	}
	missing := held.missing(head)
	parts, err := w.fetch(ctx, missing, sources)
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
	c := manifest.Join(head, next.base, buckets)
	next.index = configuration.NewIndex(&c)
	return next, len(missing), nil
}

// missing returns the parts of head that s does not hold.
func (s *snapshot) missing(head manifest.Manifest) (digests []manifest.Digest) {
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

func (w *Watcher) fetch(
	ctx context.Context, digests []manifest.Digest, sources []ident.VM,
) (manifest.Parts, error) {
	var mu sync.Mutex
	parts := make(manifest.Parts, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readers)
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

// fetchPart reads a part from the first source that has it.
func (w *Watcher) fetchPart(ctx context.Context, digest manifest.Digest, sources []ident.VM) ([]byte, error) {
	var errs []error
	for _, source := range sources {
		data, err := w.readPart(ctx, digest, source)
		if err == nil && manifest.Sum(data) != digest {
			err = merry.Prependf(manifest.ErrMalformed, "part %s from %s", digest, name(source))
		}
		if err == nil {
			return data, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

func (w *Watcher) readPart(ctx context.Context, digest manifest.Digest, source ident.VM) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.Timeout)
	defer cancel()
	if source != storeSource {
		return w.settings.Peers.Part(ctx, source, digest)
	}
	entry, err := w.settings.Store.Get(ctx, digest.Key())
	if err == nil && entry.Revision == 0 {
		err = merry.Prependf(manifest.ErrMissing, "part %s", digest)
	}
	return entry.Value, err
}

// name returns the name of a source for logs.
func name(source ident.VM) string {
	if source == storeSource {
		return "key-value service"
	}
	return string(source)
}
