package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestCutLeavesTimeToReturnShares guards against a stop in which the responses to requests that are
// cut off take all the time that is left for the return of shares.
func TestCutLeavesTimeToReturnShares(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 8 * time.Second, time.Minute} {
		margin := min(1200*time.Millisecond, grace/4) // as in platform/front
		cut := cutTimeout(grace - margin)
		assert.Positive(t, cut)
		assert.LessOrEqual(t, cut, margin/2, "of %v", grace)
		assert.Less(t, cut, closeTimeout)
	}
}
