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
	// answerRetention is the longest time for which answers are held.
	answerRetention = 10 * time.Minute
	// expiryInterval is the time between two searches for old answers.
	expiryInterval = 15 * time.Second
	// maxRun bounds the time that one request may run.
	maxRun = 15 * time.Minute
)

// errAbandoned is the cause of a run's end when its only caller has gone.
var errAbandoned = errors.New("caller has gone")

// Submission is a caller's hold on the answer to its request.
type Submission struct {
	Answer *replay.Answer[string, End]
	// Joined reports that the answer was in progress or held already.
	Joined bool
	leave  context.CancelCauseFunc
}

// Leave tells that the caller reads no more. A run that no other caller can
// ask for is cancelled.
func (s *Submission) Leave() {
	if s.leave != nil {
		s.leave(errAbandoned)
	}
}

// Submit starts a request, or joins the one with the same idempotency key. It
// returns replay.ErrKeyReused if that one is another request.
func (d *Dispatcher) Submit(now time.Time, r *Request) (s *Submission, err error) {
	defer func() { err = merry.Prependf(err, "submitting request %s", r.ID) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrClosed
	}
	if !r.Keyed {
		return d.submitAlone(now, r), nil
	}
	answer, began, err := d.book.Begin(now, r.key(), r.Digest)
	if err != nil {
		return nil, err
	}
	if began {
		ctx, cancel := context.WithTimeout(d.base, maxRun)
		d.start(ctx, r, answer, cancel)
	}
	return &Submission{Answer: answer, Joined: !began}, nil
}

func (d *Dispatcher) submitAlone(now time.Time, r *Request) *Submission {
	ctx, cancel := context.WithDeadline(d.base, now.Add(maxRun))
	ctx, leave := context.WithCancelCause(ctx)
	answer := new(replay.Answer[string, End])
	d.start(ctx, r, answer, cancel)
	return &Submission{Answer: answer, leave: leave}
}

func (d *Dispatcher) start(ctx context.Context, r *Request, answer *replay.Answer[string, End], cancel func()) {
	x := d.newRun(r, answer)
	d.tomb.Go(func() error {
		defer cancel()
		end := x.produce(ctx)
		if r.Keyed && end.Refusal != nil {
			d.book.Drop(r.key())
		}
		answer.End(end)
		x.logEnd(&end)
		return nil
	})
}

func (d *Dispatcher) newRun(r *Request, answer *replay.Answer[string, End]) *run {
	return &run{
		d:       d,
		r:       r,
		answer:  answer,
		content: r.content(),
		attempt: ident.Attempt(fmt.Sprintf("%s.%d", d.Holder, d.sequence.Add(1))),
		rng:     random(),
	}
}

// Await waits for the end of an answer that this router holds or produces, and
// returns it whole. It returns ErrNotHeld if there is none.
func (d *Dispatcher) Await(ctx context.Context, key replay.Key) (held Held, err error) {
	defer func() { err = merry.Prepend(err, "awaiting a held answer") }()
	answer, ok := d.book.Find(key)
	if !ok {
		return Held{}, ErrNotHeld
	}
	for {
		pieces, end, err := answer.Read(ctx, len(held.Pieces))
		if err != nil {
			return Held{}, err
		}
		held.Pieces = append(held.Pieces, pieces...)
		if end != nil {
			held.End = *end
			return held, nil
		}
	}
}
