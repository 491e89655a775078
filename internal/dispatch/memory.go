package dispatch

import (
	"context"
	"time"

	"example.org/lagoonfork/internal/refusal"
)

const (
	// answerBytes is the memory that each answer takes while it is produced, beside its content.
	answerBytes = 32 << 10
	// keptBytes is the memory that an answer takes beside its content while it is kept for repetitions.
	keptBytes = 1 << 10
	// pieceBytes is the memory that a piece of an answer takes beside its text.
	pieceBytes = 24
	// memoryTimeout is how long a request waits for memory before it is refused. By then callers that
	// do not read are known.
	memoryTimeout = 2500 * time.Millisecond
)

// awaitMemory refuses a request whose answer the router has no memory to begin with. It has not run; an
// earlier one with the same idempotency key may have.
func (x *run) awaitMemory(ctx context.Context) *End {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	if x.answer.Memory.Acquire(ctx, answerBytes) == nil {
		return nil
	}
	const message = "the router has no memory for the answer"
	refused := refusal.New(refusal.Memory, message)
	if x.r.Keyed {
		refused = refusal.NewMayHaveRun(refusal.Memory, message)
	}
	return x.refuse(refused.WithRetryAfter(shortRetryDelay))
}

// keepAnswer prevents that the answer to a request with an idempotency key makes room for others before
// done is called. Until the ledger has its bill, a repetition would run again.
func (x *run) keepAnswer() (done func()) {
	if !x.r.Keyed {
		return func() {}
	}
	x.answer.Memory.Use()
	return x.answer.Memory.Done
}

// appendPiece appends a piece to the answer.
func (x *run) appendPiece(piece string) {
	x.answer.Memory.Add(int64(len(piece)) + pieceBytes)
	x.answer.Append(piece)
}
