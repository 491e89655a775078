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
		if b.TryRepeat(start, 3) {
			taken++
		}
	}
	assert.Equal(t, 3, taken)
	assert.True(t, b.TryRepeat(start.Add(11*time.Second), 3), "the window has passed")
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
			at     time.Time
			repeat bool
		}
		var events []event
		now := start
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "again") {
				if b.TryRepeat(now, routers) {
					events = append(events, event{now, true})
				}
				continue
			}
			b.CountRequest(now)
			events = append(events, event{now, false})
		}
		for _, last := range events {
			repeats, requests := 0.0, 0.0
			for _, m := range events {
				if m.at.After(last.at) || last.at.Sub(m.at) >= 9*time.Second {
					continue
				}
				if m.repeat {
					repeats++
				}
			}
			// Requests of the previous window count too, because slots overlap windows.
			for _, m := range events {
				if !m.at.After(last.at) && last.at.Sub(m.at) < 20*time.Second && !m.repeat {
					requests++
				}
			}
			if repeats > limits.Ratio*requests+limits.Slack {
				t.Fatalf("%v repeats for %v requests", repeats, requests)
			}
		}
	})
}

func TestClockThatJumpsBack(t *testing.T) {
	b := New(Limits{Ratio: 0, Slack: 1, Window: 10 * time.Second})
	assert.True(t, b.TryRepeat(start, 1))
	assert.False(t, b.TryRepeat(start.Add(-time.Hour), 1))
}
