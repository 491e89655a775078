package engine

import (
	"context"
	"errors"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/ident"
)

// ErrUnfinished reports a stream that ended without a finish reason.
var ErrUnfinished = errors.New("answer has no finish reason")

// EventStream is a stream of events. Next returns io.EOF after the last event
// of a complete answer, and another error if the answer is incomplete.
type EventStream interface {
	Next(ctx context.Context) (Event, error)
}

// Collect reads a stream to its end and returns the answer as one completion, whose
// creation time is created, in Unix seconds.
// It returns the error of the stream if the answer is incomplete.
func Collect(ctx context.Context, s EventStream, attempt ident.Attempt, model ident.Model, created int64) (c Completion, err error) {
	defer func() { err = merry.Prependf(err, "collecting the answer of attempt %s", attempt) }()
	var text strings.Builder
	var usage *Usage
	finish := ""
	for {
		e, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Completion{}, err
		}
		text.WriteString(e.Text)
		if e.FinishReason != "" {
			finish = e.FinishReason
		}
		if e.Usage != nil {
			usage = e.Usage
		}
	}
	if finish == "" {
		return Completion{}, ErrUnfinished
	}
	choice := Choice{Message: Message{Role: "assistant", Content: text.String()}, FinishReason: finish}
	return Completion{
		ID:      string(attempt),
		Object:  "chat.completion",
		Created: created,
		Model:   string(model),
		Choices: []Choice{choice},
		Usage:   usage,
	}, nil
}
