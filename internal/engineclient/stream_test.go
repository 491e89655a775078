package engineclient

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestGiveUpSparesAStreamThatMoved has a stream that moved on between the check
// for silence and its consequence.
func TestGiveUpSparesAStreamThatMoved(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	s := &Stream{connection: &connection{ctx: ctx, cancel: cancel}}
	s.activity.Store(7)
	s.giveUp(5)
	assert.NoError(t, ctx.Err())
	s.giveUp(7)
	assert.Equal(t, errSilent, context.Cause(ctx))
}
