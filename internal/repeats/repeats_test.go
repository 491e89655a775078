package repeats

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSlackIsDividedAmongRouters(t *testing.T) {
	b := New(Limits{Ratio: 0, Slack: 9, Window: 10 * time.Second})
	taken := 0
	for range 20 {
		if b.TryRetry(start, 3) {
			taken++
		}
	}
	assert.Equal(t, 3, taken)
	assert.True(t, b.TryRetry(start.Add(11*time.Second), 3), "the window has passed")
}

// TestNoSlackWhileTheFleetIsUnknown guards against routers that have just started and each use the whole fixed number, since they know of no other router.
func TestNoSlackWhileTheFleetIsUnknown(t *testing.T) {
	b := New(Limits{Ratio: 0.5, Slack: 9, Window: 10 * time.Second})
	assert.False(t, b.TryRetry(start, 0))
	b.CountRequest(start)
	b.CountRequest(start)
	assert.True(t, b.TryRetry(start, 0), "the ratio applies to the router's own requests")
	assert.False(t, b.TryRetry(start, 0))
}

// TestAllRoutersStayWithinTheLimit simulates routers with uneven loads and checks that
// together they exceed the limit in no window.
func TestAllRoutersStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
		routers := rapid.IntRange(1, 5).Draw(t, "routers")
		budgets := make([]*Budget, routers)
		for i := range budgets {
			budgets[i] = New(limits)
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := start
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "again") {
				if b.TryRetry(now, routers) {
					events = append(events, event{now, true})
				}
				continue
			}
			b.CountRequest(now)
			events = append(events, event{now, false})
		}
		for _, last := range events {
			retries, requests := 0.0, 0.0
			for _, m := range events {
				if m.at.After(last.at) || last.at.Sub(m.at) >= 9*time.Second {
					continue
				}
				if m.retry {
					retries++
				}
			}
			// Requests of the previous window count too, because slots overlap windows.
			for _, m := range events {
				if !m.at.After(last.at) && last.at.Sub(m.at) < 20*time.Second && !m.retry {
					requests++
				}
			}
			if retries > limits.Ratio*requests+limits.Slack {
				t.Fatalf("%v retries in 9 s exceed the limit for %v requests in 20 s", retries, requests)
			}
		}
	})
}

func TestClockThatJumpsBack(t *testing.T) {
	b := New(Limits{Ratio: 0, Slack: 1, Window: 10 * time.Second})
	assert.True(t, b.TryRetry(start, 1))
	assert.False(t, b.TryRetry(start.Add(-time.Hour), 1))
}
