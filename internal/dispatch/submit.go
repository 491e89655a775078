package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/replay"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// maxAnswerRetention bounds the time for which answers are held.
	maxAnswerRetention = 10 * time.Minute
	// expiryInterval is the time between two searches for expired answers.
	expiryInterval = 15 * time.Second
	// maxRunTime bounds the execution of one request.
	maxRunTime = 15 * time.Minute
)

// errAbandoned is the cancellation cause of a run whose only caller has left.
var errAbandoned = errors.New("request abandoned by its caller")

// Submission gives a caller access to the answer to its request.
type Submission struct {
	Answer *replay.Answer[string, End]
	// Joined reports that an earlier request with the same idempotency key has
	// started the answer, which may be complete.
	Joined  bool
	abandon context.CancelCauseFunc
}

// Abandon releases the submission and must be called once. It cancels a request without an idempotency
// key, since no other caller can read its answer.
func (s *Submission) Abandon() {
	if s.abandon != nil {
		s.abandon(errAbandoned)
	}
	s.Answer.Memory.Done()
}

// Submit starts a request, or joins the one with the same idempotency key. It
// returns replay.ErrKeyReused if the key was used for a different request.
func (d *Dispatcher) Submit(now time.Time, r *Request) (s *Submission, err error) {
	defer func() { err = merry.Prependf(err, "submitting request %s", r.ID) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrClosed
	}
	if !r.Keyed {
		return d.submitUnkeyed(now, r), nil
	}
	answer, started, err := d.answers.Begin(now, r.key(), r.Digest)
	if err != nil {
		return nil, err
	}
	if started {
		answer.Memory = d.AnswerMemory.Open()
		answer.Memory.Add(keptBytes)
		ctx, cancel := context.WithTimeout(d.ctx, maxRunTime)
		d.start(ctx, r, answer, cancel)
	}
	answer.Memory.Use()
	return &Submission{Answer: answer, Joined: !started}, nil
}

// submitUnkeyed starts a request without an idempotency key. Its run is
// cancelled when the caller leaves.
func (d *Dispatcher) submitUnkeyed(now time.Time, r *Request) *Submission {
	ctx, cancel := context.WithDeadline(d.ctx, now.Add(maxRunTime))
	ctx, abandon := context.WithCancelCause(ctx)
	answer := &replay.Answer[string, End]{Memory: d.AnswerMemory.Open()}
	answer.Memory.Use()
	d.start(ctx, r, answer, cancel)
	return &Submission{Answer: answer, abandon: abandon}
}

// start runs the request in a goroutine. If a request with an idempotency key
// is refused, the answer is dropped, so that the caller can try again with the
// same key.
func (d *Dispatcher) start(ctx context.Context, r *Request, answer *replay.Answer[string, End], cancel func()) {
	x := d.newRun(r, answer)
	d.tomb.Go(func() error {
		defer cancel()
		defer answer.Memory.Done()
		end := x.produce(ctx)
		switch {
		case r.Keyed && end.Refusal != nil:
			d.answers.Drop(r.key())
		case r.Keyed:
			answer.Memory.Keep(func() { d.answers.DropAnswer(r.key(), answer) })
		}
		answer.End(end)
		x.logEnd(&end)
		return nil
	})
}

// newRun returns a run that writes to the given answer.
func (d *Dispatcher) newRun(r *Request, answer *replay.Answer[string, End]) *run {
	return &run{
		d:       d,
		r:       r,
		answer:  answer,
		subject: r.subject(),
		attempt: ident.Attempt(fmt.Sprintf("%s.%d", d.Holder, d.sequence.Add(1))),
		rng:     newRand(),
	}
}

// AwaitAnswer waits for the end of an answer that this router produces or holds, and
// returns the complete answer. It returns ErrNotHeld if there is no such
// answer.
func (d *Dispatcher) AwaitAnswer(ctx context.Context, key replay.Key) (held HeldAnswer, err error) {
	defer func() { err = merry.Prepend(err, "awaiting a held answer") }()
	answer, ok := d.answers.Find(key)
	if !ok {
		return HeldAnswer{}, ErrNotHeld
	}
	for {
		pieces, end, err := answer.Read(ctx, len(held.Pieces))
		if err != nil {
			return HeldAnswer{}, err
		}
		held.Pieces = append(held.Pieces, pieces...)
		if end != nil {
			held.End = *end
			return held, nil
		}
	}
}
