package silence

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const limit = 10 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestObserve(t *testing.T) {
	type step struct {
		after    time.Duration // since the start
		activity Activity
		silent   bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"waits past the limit", []step{{0, 1, false}, {limit - 1, 1, false}, {limit, 1, true}}},
		{"moves each time", []step{{0, 1, false}, {limit, 3, false}, {2 * limit, 5, false}}},
		{"moves and then waits", []step{{0, 1, false}, {limit - 1, 3, false}, {2*limit - 2, 3, false}, {2*limit - 1, 3, true}}},
		{"reader is busy", []step{{0, 2, false}, {limit, 2, false}, {5 * limit, 2, false}}},
		{"observer was paused", []step{{0, 2, false}, {9 * limit, 3, false}, {9*limit + 1, 3, false}}},
		{"new stream never waits", []step{{0, 0, false}, {9 * limit, 0, false}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var w IdleDetector
			for _, s := range test.steps {
				assert.Equal(t, s.silent, w.Observe(s.activity, limit, start.Add(s.after)), "at %s", s.after)
			}
		})
	}
}

// TestResumptionsAreBounded checks that a stream is resumed at most limit times in
// succession without a new token, immediately after a new token, and never later than
// the maximum jittered delay.
func TestResumptionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxResumptions := rapid.IntRange(0, 5).Draw(t, "limit")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var r Resumptions
		received, withoutToken := 0, 0
		for _, gain := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "gains") {
			received += gain
			if gain > 0 {
				withoutToken = 0
			}
			d := r.Decide(received, maxResumptions, random, start)
			if d.Resume != (withoutToken < maxResumptions) {
				t.Fatalf("resume = %t after %d of %d resumptions without a new token", d.Resume, withoutToken, maxResumptions)
			}
			if !d.Resume {
				return
			}
			withoutToken++
			wait := d.At.Sub(start)
			if withoutToken == 1 && wait != 0 || wait < 0 || wait > 3*maxResumeDelay/2 {
				t.Fatalf("resumption %d waits %s", withoutToken, wait)
			}
		}
	})
}
