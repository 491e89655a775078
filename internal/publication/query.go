package publication

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/store"
)

const (
	// maxParallelReads is the maximum number of concurrent reads.
	maxParallelReads = 8
	// listThreshold is the maximum number of parts that are read one by one.
	// Listing all parts takes one call per character of the alphabet. As it also
	// returns the old parts, the threshold is twice that number.
	listThreshold = 2 * len(manifest.DigestAlphabet)
)

// State is a revision with the answers that it was generated from.
type State struct {
	Head          manifest.Manifest
	Answers       answers.Answers
	Configuration configuration.Configuration
}

// InForce returns the revision in force, or ErrNoRevision if there is none.
func (p *Publisher) InForce(ctx context.Context) (s State, err error) {
	defer func() { err = merry.Prepend(err, "reading the revision in force") }()
	_, head, err := p.readHead(ctx)
	if err != nil {
		return State{}, err
	}
	if head.Revision == 0 {
		return State{}, ErrNoRevision
	}
	return p.loadState(ctx, head)
}

// At returns revision r, or ErrNoRevision if it does not exist or was removed.
func (p *Publisher) At(ctx context.Context, r configuration.Revision) (s State, err error) {
	defer func() { err = merry.Prependf(err, "reading revision %d", r) }()
	_, head, err := p.readHead(ctx)
	if err != nil {
		return State{}, err
	}
	for head.Revision > r && head.Previous != "" {
		if head, err = p.readPrevious(ctx, head); err != nil {
			return State{}, err
		}
	}
	if head.Revision != r || r == 0 {
		return State{}, ErrNoRevision
	}
	s, err = p.loadState(ctx, head)
	if errors.Is(err, manifest.ErrMissing) {
		return State{}, ErrNoRevision
	}
	return s, err
}

// readHead returns the manifest in force. Its Revision is 0 if there is none.
func (p *Publisher) readHead(ctx context.Context) (entry store.Entry, head manifest.Manifest, err error) {
	entry, err = p.store.Get(ctx, manifest.HeadKey)
	if err != nil || !entry.Exists() {
		return entry, manifest.Manifest{}, err
	}
	head, err = manifest.Decode(entry.Value)
	return entry, head, err
}

// readPrevious returns the manifest that precedes m, or ErrNoRevision if it was
// removed.
func (p *Publisher) readPrevious(ctx context.Context, m manifest.Manifest) (manifest.Manifest, error) {
	data, err := p.readPart(ctx, m.Previous)
	if errors.Is(err, manifest.ErrMissing) {
		return manifest.Manifest{}, ErrNoRevision
	}
	if err != nil {
		return manifest.Manifest{}, err
	}
	return manifest.Decode(data)
}

// findChange returns the revision of the change with the given identifier. It
// searches the revisions after base, from head backwards. It returns ErrNoRevision
// if it does not find the change and some of these revisions were removed.
func (p *Publisher) findChange(
	ctx context.Context, head manifest.Manifest, id string, base configuration.Revision,
) (r configuration.Revision, ok bool, err error) {
	for head.Revision > base {
		if head.ApplyID == id {
			return head.Revision, true, nil
		}
		if head.Previous == "" {
			return 0, false, nil
		}
		if head, err = p.readPrevious(ctx, head); err != nil {
			return 0, false, err
		}
	}
	return 0, false, nil
}

// loadState reads all parts of a manifest and assembles them. For the zero
// manifest it returns the zero State.
func (p *Publisher) loadState(ctx context.Context, m manifest.Manifest) (s State, err error) {
	if m.Revision == 0 {
		return State{}, nil
	}
	list, err := p.readAnswerList(ctx, m)
	if err != nil {
		return State{}, err
	}
	parts, err := p.readParts(ctx, append(list.Digests(), m.List().Digests()...))
	if err != nil {
		return State{}, err
	}
	s.Head = m
	if s.Answers, err = manifest.AssembleAnswers(list, parts); err != nil {
		return State{}, err
	}
	s.Answers.Revision = m.Revision
	s.Configuration, err = manifest.AssembleConfiguration(m, parts)
	return s, err
}

// readAnswerList reads the list of the parts of the answers.
func (p *Publisher) readAnswerList(ctx context.Context, m manifest.Manifest) (list manifest.PartList, err error) {
	data, err := p.readPart(ctx, m.Answers)
	if err != nil {
		return manifest.PartList{}, err
	}
	err = json.Unmarshal(data, &list)
	return list, err
}

// referencedParts returns the digests of all parts of a revision. Its previous
// manifest is not among them.
func (p *Publisher) referencedParts(ctx context.Context, m manifest.Manifest) (map[manifest.Digest]bool, error) {
	digests := make(map[manifest.Digest]bool)
	if m.Revision == 0 {
		return digests, nil
	}
	list, err := p.readAnswerList(ctx, m)
	if err != nil {
		return nil, err
	}
	for _, d := range append(list.Digests(), m.List().Digests()...) {
		digests[d] = true
	}
	digests[m.Answers] = true
	return digests, nil
}

// readParts reads parts one by one or, if there are many, by listing all parts by
// the first character of their digests.
func (p *Publisher) readParts(ctx context.Context, digests []manifest.Digest) (manifest.Parts, error) {
	if len(digests) > listThreshold {
		return p.listParts(ctx, digests)
	}
	var mu sync.Mutex
	parts := make(manifest.Parts, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for _, digest := range digests {
		group.Go(func() error {
			data, err := p.readPart(ctx, digest)
			mu.Lock()
			defer mu.Unlock()
			parts[digest] = data
			return err
		})
	}
	return parts, group.Wait()
}

// listParts reads parts by listing all parts. It ignores parts whose content does
// not match the digest, and returns manifest.ErrMissing if a part is not found.
func (p *Publisher) listParts(ctx context.Context, digests []manifest.Digest) (manifest.Parts, error) {
	wanted := make(map[manifest.Digest]bool, len(digests))
	for _, digest := range digests {
		wanted[digest] = true
	}
	var mu sync.Mutex
	parts := make(manifest.Parts, len(digests))
	group, listing := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for _, first := range manifest.DigestAlphabet {
		group.Go(func() error {
			entries, _, err := p.store.List(listing, manifest.PartPrefix+string(first))
			mu.Lock()
			defer mu.Unlock()
			for _, entry := range entries {
				digest := manifest.Digest(entry.Key[len(manifest.PartPrefix):])
				if wanted[digest] && manifest.DigestOf(entry.Value) == digest {
					parts[digest] = entry.Value
				}
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for digest := range wanted {
		if _, ok := parts[digest]; !ok {
			return nil, merry.Prependf(manifest.ErrMissing, "part %s", digest)
		}
	}
	return parts, nil
}

// readPart reads one part and verifies its digest.
func (p *Publisher) readPart(ctx context.Context, digest manifest.Digest) ([]byte, error) {
	entry, err := p.store.Get(ctx, digest.Key())
	if err != nil {
		return nil, err
	}
	if !entry.Exists() {
		return nil, merry.Prependf(manifest.ErrMissing, "part %s", digest)
	}
	if manifest.DigestOf(entry.Value) != digest {
		return nil, merry.Prependf(manifest.ErrMalformed, "part %s", digest)
	}
	return entry.Value, nil
}
