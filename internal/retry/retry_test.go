package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name    string
		failure Failure
		empty   bool
		want    Reason
	}{
		{"not run", Failure{Attempt: 1}, false, ReasonRetry},
		{"idempotent may have run", Failure{Attempt: 1, Idempotent: true, MayHaveRun: true}, false, ReasonRetry},
		{"non-idempotent may have run", Failure{Attempt: 1, MayHaveRun: true}, false, ReasonMayHaveRun},
		{"non-idempotent on a crash", Failure{Attempt: 1, MayHaveRun: true, Crashed: true}, false, ReasonMayHaveRun},
		{"permanent", Failure{Attempt: 1, Permanent: true}, false, ReasonPermanent},
		{"past the deadline", Failure{Attempt: 1, Deadline: now}, false, ReasonDeadline},
		{"many attempts", Failure{Attempt: maxAttempts}, false, ReasonAttempts},
		{"many attempts, none of which reached an upstream", Failure{Attempt: maxAttempts, ConnectFailed: true}, true, ReasonRetry},
		{"too many attempts that reached none", Failure{Attempt: maxTotalAttempts, ConnectFailed: true}, false, ReasonAttempts},
		{"budget empty", Failure{Attempt: 1}, true, ReasonBudget},
		{"crash does not need the budget", Failure{Attempt: 1, Crashed: true, Idempotent: true, MayHaveRun: true}, true, ReasonRetry},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Budget
			if !tt.empty {
				b.Deposit()
			}
			d := Decide(now, tt.failure, &b, rand.New(rand.NewPCG(1, 1)))
			assert.Equal(t, tt.want, d.Reason)
			assert.Equal(t, tt.want == ReasonRetry, d.Retry)
		})
	}
}

// TestMeasureAmplification measures the attempts per request at several failure rates,
// with the retry budget and with a fixed number of attempts.
func TestMeasureAmplification(t *testing.T) {
	const requests = 10_000
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, failureRate := range []float64{0.01, 0.1, 0.5, 1} {
		t.Run(fmt.Sprint(failureRate), func(t *testing.T) {
			budgeted := countAttempts(now, requests, failureRate, &Budget{})
			fixed := countAttempts(now, requests, failureRate, nil)
			t.Logf("failing %.2f: attempts per request: budget %.3f, fixed %.3f",
				failureRate, budgeted/requests, fixed/requests)
			assert.LessOrEqual(t, budgeted/requests, 1+depositPerRequest+initialBalance/requests)
			assert.LessOrEqual(t, budgeted, fixed)
		})
	}
}

// countAttempts counts the attempts that requests cause. Without a budget each request
// is tried up to maxAttempts times.
func countAttempts(now time.Time, requests int, failureRate float64, b *Budget) (n float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range requests {
		if b != nil {
			b.Deposit()
		}
		for attempt := 1; ; attempt++ {
			n++
			if rng.Float64() >= failureRate || !shouldRetry(now, attempt, b, rng) {
				break
			}
		}
	}
	return n
}

func shouldRetry(now time.Time, attempt int, b *Budget, rng *rand.Rand) bool {
	if b == nil {
		return attempt < maxAttempts
	}
	return Decide(now, Failure{Attempt: attempt, Idempotent: true}, b, rng).Retry
}
