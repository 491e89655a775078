// Package publication puts the operators' answers and the configuration
// generated from them in force, using compare-and-swap on single keys of the
// key-value service.
//
// The parts of a revision (package manifest) are written first, under keys
// derived from their contents. Then the manifest at manifest.HeadKey is
// replaced on condition that it is still the one that the writer read. So
// readers see only complete revisions, and of two concurrent writers one gets a
// ConflictError with a three-way comparison.
//
// Each change has an identifier chosen by its writer. If the outcome of a swap
// is unknown, the identifier is looked up in the manifest in force and its
// predecessors.
//
// Sweep removes old parts. It first replaces the manifest by one that differs
// only in its sweep count, so that the swap of a writer that relies on old parts
// fails, and then deletes each part on condition that it was not written again.
//
// # Usage
//
//	p := publication.New(s, publication.Settings{Log: log})
//	receipt, err := p.Apply(ctx, publication.Change{ID: id, Answers: a})
//	var conflict *publication.ConflictError
//	if errors.As(err, &conflict) {
//		fmt.Println(conflict.Comparison)
//	}
package publication

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/generator"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/store"
)

// Errors of a Publisher.
var (
	// ErrUnknown reports that a change may or may not be in force. Calling
	// Apply again with the same identifier resolves this.
	ErrUnknown = errors.New("it is unknown whether the change is in force")
	// ErrNoRevision reports that no revision is in force, or that the requested
	// revision does not exist or was removed.
	ErrNoRevision = errors.New("no revision is in force")
)

// errSwept reports that a sweep replaced the manifest after it was read.
var errSwept = errors.New("old parts were removed while the change was being applied")

// maxAttempts is the maximum number of attempts of a write with an unknown
// outcome, of the read that resolves it, and of a change interrupted by a sweep.
const maxAttempts = 4

// defaultKeepRevisions is the default of Settings.KeepRevisions.
const defaultKeepRevisions = 50

// Settings are the settings of a Publisher.
type Settings struct {
	Log hclog.Logger // nil disables logging
	// KeepRevisions is the number of revisions, including the one in force, whose
	// parts Sweep keeps. The default is 50.
	KeepRevisions int
}

// Publisher puts revisions in force. It holds no state between calls and is
// safe for concurrent use.
type Publisher struct {
	store         store.Store
	log           hclog.Logger
	keepRevisions int
}

// Change is a change to put in force. Answers.Revision is the revision that the
// change is based on, or 0 if there is none.
type Change struct {
	ID      string // unique among all changes, for example random
	Answers answers.Answers
}

// Receipt is the result of a change that is in force or was replaced by a later
// one.
type Receipt struct {
	Revision configuration.Revision `json:"revision"`
	// PartsWritten is the number of parts, and BytesWritten the size of the
	// parts and the manifest, written by the last attempt of this call. They are
	// 0 if the change was already in force.
	PartsWritten int `json:"partsWritten"`
	BytesWritten int `json:"bytesWritten"`
}

// ConflictError reports that another change was put in force after the revision
// that the answers are based on. The rejected change is not in force.
type ConflictError struct {
	Base    configuration.Revision
	InForce configuration.Revision
	// Comparison is the three-way comparison of the base, the answers in force
	// and the rejected answers. If there is no base revision or it was
	// removed, empty answers take its place.
	Comparison answers.Comparison
	// Theirs holds the answers in force.
	Theirs answers.Answers
	// BaseAnswers holds the answers of the base revision, if it was not removed.
	BaseAnswers answers.Answers
}

// Error returns a message with both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the answers were made from revision %d, but revision %d is in force", e.Base, e.InForce)
}

// New returns a publisher.
func New(s store.Store, settings Settings) *Publisher {
	p := &Publisher{store: s, log: settings.Log, keepRevisions: settings.KeepRevisions}
	if p.log == nil {
		p.log = hclog.NewNullLogger()
	}
	if p.keepRevisions <= 0 {
		p.keepRevisions = defaultKeepRevisions
	}
	return p
}

// Apply puts a change in force. If an earlier call already did, or if the
// answers in force equal those of the change, it writes nothing and returns the
// existing revision. The error may wrap a *ConflictError, answers.Problems,
// ErrUnknown, or an error of package store; except with ErrUnknown, the change
// is not in force.
func (p *Publisher) Apply(ctx context.Context, c Change) (r Receipt, err error) {
	defer func() { err = merry.Prependf(err, "applying change %s", c.ID) }()
	digest, err := answers.Digest(c.Answers)
	if err != nil {
		return Receipt{}, err
	}
	for range maxAttempts {
		r, err = p.tryApply(ctx, c, digest)
		if !errors.Is(err, errSwept) {
			return r, err
		}
	}
	return Receipt{}, err
}

// tryApply makes one attempt to put a change in force. It returns errSwept if a
// sweep interfered.
func (p *Publisher) tryApply(ctx context.Context, c Change, digest string) (r Receipt, err error) {
	entry, head, err := p.readHead(ctx)
	if err != nil {
		return Receipt{}, err
	}
	revision, ok, err := p.findChange(ctx, head, c.ID, c.Answers.Revision)
	switch {
	case err != nil && !errors.Is(err, ErrNoRevision):
		return Receipt{}, err
	case ok:
		return Receipt{Revision: revision}, nil
	case head.AnswersDigest == digest:
		return Receipt{Revision: head.Revision}, nil
	case head.Revision != c.Answers.Revision:
		return Receipt{}, p.newConflictError(ctx, head, c)
	}
	next, writes, err := p.prepare(ctx, entry, head, c)
	if err != nil {
		return Receipt{}, err
	}
	if err := p.writeParts(ctx, writes, entry.Revision); err != nil {
		return Receipt{}, err
	}
	return p.swapManifest(ctx, entry, next, c, writes)
}

// prepare checks the change against the revision in force, generates its
// configuration, and returns its manifest and the parts to write.
func (p *Publisher) prepare(
	ctx context.Context, entry store.Entry, head manifest.Manifest, c Change,
) (next manifest.Manifest, writes manifest.Parts, err error) {
	current, err := p.loadState(ctx, head)
	if err != nil {
		return manifest.Manifest{}, nil, err
	}
	var previous *answers.Answers
	var inForce *configuration.Configuration
	if head.Revision > 0 {
		previous, inForce = &current.Answers, &current.Configuration
	}
	if err := answers.Check(c.Answers, previous); err != nil {
		return manifest.Manifest{}, nil, err
	}
	generated, err := generator.Generate(c.Answers, head.Revision+1, inForce)
	if err != nil {
		return manifest.Manifest{}, nil, err
	}
	return p.split(ctx, entry, head, c, generated)
}

// split splits the answers and the generated configuration into parts. It returns
// their manifest and the parts to write: those that head does not reference, the
// list of the parts of the answers, and the previous manifest.
func (p *Publisher) split(
	ctx context.Context, entry store.Entry, head manifest.Manifest, c Change, generated configuration.Configuration,
) (next manifest.Manifest, writes manifest.Parts, err error) {
	layout := manifest.LayoutFor(len(generated.Budgets), manifest.Layout(len(head.Buckets)))
	config, err := manifest.SplitConfiguration(generated, layout)
	if err != nil {
		return manifest.Manifest{}, nil, err
	}
	document, err := manifest.SplitAnswers(c.Answers, layout)
	if err != nil {
		return manifest.Manifest{}, nil, err
	}
	referenced, err := p.referencedParts(ctx, head)
	if err != nil {
		return manifest.Manifest{}, nil, err
	}
	writes = make(manifest.Parts)
	for _, parts := range []manifest.Parts{config.Parts, document.Parts} {
		for digest, data := range parts {
			if !referenced[digest] {
				writes[digest] = data
			}
		}
	}
	next = manifest.Manifest{
		Revision:      generated.Revision,
		ApplyID:       c.ID,
		AnswersDigest: generated.AnswersDigest,
		Base:          config.List.Base,
		Buckets:       config.List.Buckets,
		Sweep:         head.Sweep,
	}
	if next.Answers, err = writes.Add(document.List); err != nil {
		return manifest.Manifest{}, nil, err
	}
	if head.Revision > 0 {
		next.Previous = manifest.DigestOf(entry.Value)
		writes[next.Previous] = entry.Value
	}
	return next, writes, nil
}

// swapManifest replaces the manifest in entry by next.
func (p *Publisher) swapManifest(
	ctx context.Context, entry store.Entry, next manifest.Manifest, c Change, writes manifest.Parts,
) (r Receipt, err error) {
	data, err := next.Encode()
	if err != nil {
		return Receipt{}, err
	}
	r = Receipt{Revision: next.Revision, PartsWritten: len(writes), BytesWritten: len(data)}
	for _, part := range writes {
		r.BytesWritten += len(part)
	}
	maybeApplied := false
	for range maxAttempts {
		_, err = p.store.Put(ctx, manifest.HeadKey, data, store.If(entry.Revision), store.NoLease)
		switch {
		case err == nil:
			event.AnswersApplied.Info(p.log, "revision", next.Revision, "applyID", c.ID, "partsWritten", len(writes))
			return r, nil
		case errors.Is(err, store.ErrUnknown):
			event.ApplyOutcomeUnknown.Warn(p.log, "revision", next.Revision, "applyID", c.ID)
			maybeApplied = true
		case errors.Is(err, store.ErrConflict):
			return p.resolveConflict(ctx, r, c, maybeApplied)
		case !maybeApplied:
			return Receipt{}, err
		}
		if found, done, err := p.resolveUnknown(ctx, entry, r, c); done {
			return found, err
		}
	}
	return Receipt{}, merry.Prependf(ErrUnknown, "revision %d", next.Revision)
}

// resolveUnknown finds out whether a change is in force after a swap with an
// unknown outcome. If the manifest is still the one in entry, done is false and
// the swap may be repeated with the same condition.
func (p *Publisher) resolveUnknown(ctx context.Context, entry store.Entry, r Receipt, c Change) (_ Receipt, done bool, err error) {
	var now store.Entry
	for range maxAttempts {
		if now, _, err = p.readHead(ctx); err == nil {
			break
		}
	}
	if err != nil {
		return Receipt{}, true, merry.Appendf(ErrUnknown, "looking up the change: %v", err)
	}
	if now.Revision == entry.Revision {
		return Receipt{}, false, nil
	}
	r, err = p.resolveConflict(ctx, r, c, true)
	return r, true, err
}

// resolveConflict finds out whether a change is in force after its swap failed
// with a conflict, which may be caused by an earlier swap of the same change.
// maybeApplied tells whether such a swap had an unknown outcome.
func (p *Publisher) resolveConflict(ctx context.Context, r Receipt, c Change, maybeApplied bool) (Receipt, error) {
	_, head, err := p.readHead(ctx)
	if err == nil {
		var ok bool
		_, ok, err = p.findChange(ctx, head, c.ID, c.Answers.Revision)
		if ok {
			return r, nil
		}
	}
	switch {
	case err != nil && maybeApplied:
		return Receipt{}, merry.Appendf(ErrUnknown, "looking up the change: %v", err)
	case err != nil:
		return Receipt{}, err
	case head.Revision == c.Answers.Revision:
		return Receipt{}, errSwept
	}
	return Receipt{}, p.newConflictError(ctx, head, c)
}

// newConflictError returns a *ConflictError, or the error that occurred while
// reading the revisions to compare.
func (p *Publisher) newConflictError(ctx context.Context, head manifest.Manifest, c Change) error {
	e := &ConflictError{Base: c.Answers.Revision, InForce: head.Revision}
	event.AnswersConflict.Warn(p.log, "base", e.Base, "inForce", e.InForce, "applyID", c.ID)
	theirs, err := p.loadState(ctx, head)
	if err != nil {
		return merry.Prepend(err, e.Error())
	}
	e.Theirs = theirs.Answers
	base, err := p.At(ctx, e.Base)
	switch {
	case errors.Is(err, ErrNoRevision):
	case err != nil:
		return merry.Prepend(err, e.Error())
	default:
		e.BaseAnswers = base.Answers
	}
	e.Comparison = answers.Compare(e.BaseAnswers, e.Theirs, c.Answers)
	return e
}
