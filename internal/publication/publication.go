// Package publication puts the operators' answers and the configuration made
// from them in force, through compare-and-swap on single keys of the key-value
// service.
//
// The parts of a revision (package manifest) are written first, under keys
// derived from their contents. Then the manifest at manifest.HeadKey is
// swapped on condition that it is still the one that the writer read. So
// readers see whole revisions, and of two writers one gets a ConflictError
// with a three-way comparison.
//
// Each change has an identifier chosen by its writer. When the service does
// not tell whether a swap took effect, the identifier is looked up in the
// manifest in force and its predecessors.
//
// Old parts are removed by Sweep. It first swaps the manifest for one that
// differs in its sweep count only, so that a writer who relied on old parts
// cannot succeed any more, and then deletes the parts on condition that they
// were not written again.
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
	// ErrUnknown reports that a change may or may not have been put in force.
	// Apply with the same identifier finds out.
	ErrUnknown = errors.New("it is unknown whether the change is in force")
	// ErrNothing reports that no revision is in force yet.
	ErrNothing = errors.New("no revision is in force")
)

// errSwept reports that old parts were removed since the manifest was read.
var errSwept = errors.New("old parts were removed meanwhile")

// maxAttempts is the number of times that a call of the key-value service is
// tried again after an unknown outcome.
const maxAttempts = 4

// defaultKeep is the number of revisions whose parts are kept.
const defaultKeep = 50

// Settings are the settings of a Publisher.
type Settings struct {
	Log hclog.Logger // nil logs nothing
	// Keep is the number of revisions, counted back from the one in force,
	// whose parts are kept; 0 stands for 50.
	Keep int
}

// Publisher puts revisions in force. It holds no state between calls and is
// safe for concurrent use.
type Publisher struct {
	store store.Store
	log   hclog.Logger
	keep  int
}

// Change is a change to put in force. Answers.Revision is the revision that it
// was made from, 0 for the first.
type Change struct {
	ID      string // unique among all changes, such as a random number
	Answers answers.Answers
}

// Receipt tells that a change is in force, or was before a later one.
type Receipt struct {
	Revision configuration.Revision `json:"revision"`
	// PartsWritten and BytesWritten count the parts and manifests written by
	// this call. They are 0 if an earlier call had put the change in force.
	PartsWritten int `json:"partsWritten"`
	BytesWritten int `json:"bytesWritten"`
}

// ConflictError reports that another change was put in force after the
// revision that the answers were made from. Nothing was changed.
type ConflictError struct {
	Base    configuration.Revision
	InForce configuration.Revision
	// Comparison is the three-way comparison of the base, the answers in force
	// and those refused. Without a base that is still held, it compares with
	// empty answers.
	Comparison answers.Comparison
	// Theirs is the answers in force.
	Theirs answers.Answers
	// BaseAnswers is the answers of the base revision.
	BaseAnswers answers.Answers
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the answers were made from revision %d, but revision %d is in force", e.Base, e.InForce)
}

// New returns a publisher.
func New(s store.Store, settings Settings) *Publisher {
	p := &Publisher{store: s, log: settings.Log, keep: settings.Keep}
	if p.log == nil {
		p.log = hclog.NewNullLogger()
	}
	if p.keep <= 0 {
		p.keep = defaultKeep
	}
	return p
}

// Apply puts a change in force. It returns the receipt of an earlier call if
// the change is in force already, and that of another change if it gave the
// same answers. The error wraps a *ConflictError, answers.Problems,
// ErrUnknown, or one of package store; with all but ErrUnknown the change is
// not in force.
func (p *Publisher) Apply(ctx context.Context, c Change) (r Receipt, err error) {
	defer func() { err = merry.Prependf(err, "applying change %s", c.ID) }()
	digest, err := answers.Digest(c.Answers)
	if err != nil {
		return Receipt{}, err
	}
	for range maxAttempts {
		r, err = p.attempt(ctx, c, digest)
		if !errors.Is(err, errSwept) {
			return r, err
		}
	}
	return Receipt{}, err
}

func (p *Publisher) attempt(ctx context.Context, c Change, digest string) (r Receipt, err error) {
	entry, head, err := p.head(ctx)
	if err != nil {
		return Receipt{}, err
	}
	revision, ok, err := p.lookUp(ctx, head, c.ID, c.Answers.Revision)
	switch {
	case err != nil && !errors.Is(err, ErrNothing):
		return Receipt{}, err
	case ok:
		return Receipt{Revision: revision}, nil
	case head.AnswersDigest == digest:
		return Receipt{Revision: head.Revision}, nil
	case head.Revision != c.Answers.Revision:
		return Receipt{}, p.conflict(ctx, head, c)
	}
	next, writes, err := p.prepare(ctx, entry, head, c)
	if err != nil {
		return Receipt{}, err
	}
	if err := p.writeParts(ctx, writes, entry.Revision); err != nil {
		return Receipt{}, err
	}
	return p.swap(ctx, entry, next, c, writes)
}

// prepare returns the manifest of the change and the parts that it needs
// besides those of head.
func (p *Publisher) prepare(
	ctx context.Context, entry store.Entry, head manifest.Manifest, c Change,
) (next manifest.Manifest, writes manifest.Parts, err error) {
	current, err := p.load(ctx, head)
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
	known, err := p.named(ctx, head)
	if err != nil {
		return manifest.Manifest{}, nil, err
	}
	writes = make(manifest.Parts)
	for _, parts := range []manifest.Parts{config.Parts, document.Parts} {
		for digest, data := range parts {
			if !known[digest] {
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
		next.Previous = manifest.Sum(entry.Value)
		writes[next.Previous] = entry.Value
	}
	return next, writes, nil
}

// swap puts next in place of the manifest in entry.
func (p *Publisher) swap(
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
	uncertain := false
	for range maxAttempts {
		_, err = p.store.Put(ctx, manifest.HeadKey, data, store.If(entry.Revision), store.NoLease)
		switch {
		case err == nil:
			event.AnswersApplied.Info(p.log, "revision", next.Revision, "applyID", c.ID, "partsWritten", len(writes))
			return r, nil
		case errors.Is(err, store.ErrUnknown):
			event.AnswersUnknown.Warn(p.log, "revision", next.Revision, "applyID", c.ID)
			uncertain = true
		case errors.Is(err, store.ErrConflict):
			return p.settle(ctx, r, c, uncertain)
		case !uncertain:
			return Receipt{}, err
		}
		if found, done, err := p.resolve(ctx, entry, r, c); done {
			return found, err
		}
	}
	return Receipt{}, merry.Prependf(ErrUnknown, "revision %d", next.Revision)
}

// resolve looks a change up after an unknown outcome. It is not done if the
// manifest is still the one in entry: then the swap may be repeated, under its
// first condition.
func (p *Publisher) resolve(ctx context.Context, entry store.Entry, r Receipt, c Change) (_ Receipt, done bool, err error) {
	var now store.Entry
	for range maxAttempts {
		if now, _, err = p.head(ctx); err == nil {
			break
		}
	}
	if err != nil {
		return Receipt{}, true, merry.Appendf(ErrUnknown, "looking it up: %v", err)
	}
	if now.Revision == entry.Revision {
		return Receipt{}, false, nil
	}
	r, err = p.settle(ctx, r, c, true)
	return r, true, err
}

// settle tells whether a change is in force after a conflict of its swap. The
// conflict may be with the change's own earlier swap.
func (p *Publisher) settle(ctx context.Context, r Receipt, c Change, uncertain bool) (Receipt, error) {
	_, head, err := p.head(ctx)
	if err == nil {
		var ok bool
		_, ok, err = p.lookUp(ctx, head, c.ID, c.Answers.Revision)
		if ok {
			return r, nil
		}
	}
	switch {
	case err != nil && uncertain:
		return Receipt{}, merry.Appendf(ErrUnknown, "looking it up: %v", err)
	case err != nil:
		return Receipt{}, err
	case head.Revision == c.Answers.Revision:
		return Receipt{}, errSwept
	}
	return Receipt{}, p.conflict(ctx, head, c)
}

func (p *Publisher) conflict(ctx context.Context, head manifest.Manifest, c Change) error {
	e := &ConflictError{Base: c.Answers.Revision, InForce: head.Revision}
	event.AnswersConflict.Warn(p.log, "base", e.Base, "inForce", e.InForce, "applyID", c.ID)
	theirs, err := p.load(ctx, head)
	if err != nil {
		return merry.Prepend(err, e.Error())
	}
	e.Theirs = theirs.Answers
	base, err := p.At(ctx, e.Base)
	switch {
	case errors.Is(err, ErrNothing):
	case err != nil:
		return merry.Prepend(err, e.Error())
	default:
		e.BaseAnswers = base.Answers
	}
	e.Comparison = answers.Compare(e.BaseAnswers, e.Theirs, c.Answers)
	return e
}
