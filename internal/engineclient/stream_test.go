package engineclient

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestGiveUpSparesAStreamThatMoved checks that a connection is not closed if it
// received data between the check for silence and the attempt to close it.
func TestGiveUpSparesAStreamThatMoved(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	s := &Stream{connection: &connection{ctx: ctx, cancel: cancel}}
	s.activity.Store(7)
	s.closeIfSilent(5)
	assert.NoError(t, ctx.Err())
	s.closeIfSilent(7)
	assert.Equal(t, errSilent, context.Cause(ctx))
}
