// Package retry decides whether and when a failed attempt of a request is retried.
//
// A Budget limits the retries to a fraction of the first attempts, so that the load on a
// failing service is at most a bounded multiple of the requests of its callers. Decide
// never permits the retry of a non-idempotent request that may have run, or a retry after
// the request's deadline.
//
// # Usage
//
//	budget.Deposit() // for each first attempt
//	d := retry.Decide(now, failure, budget, rng)
//	if !d.Retry {
//		return d.Reason
//	}
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// depositPerRequest is the fraction of a retry that each first attempt adds to
	// the budget.
	depositPerRequest = 0.1
	// maxBalance bounds a burst of retries, initialBalance one in a new budget.
	maxBalance     = 10.0
	initialBalance = 3.0
	// maxAttempts bounds the attempts of a request. maxTotalAttempts is the larger
	// bound that applies after an upstream crashed or could not be reached.
	maxAttempts      = 4
	maxTotalAttempts = 12

	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// crashDelay is the minimum delay before a request that was running on a crashed
	// upstream runs again. Meanwhile, the routers learn which other requests were
	// running there.
	crashDelay = 300 * time.Millisecond
)

// Budget counts the retries still available to the requests of one customer to one
// service. The zero value is empty until the first deposit. Its methods are safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	started bool
	balance float64
}

// Deposit adds the contribution of one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.started = true
		b.balance = initialBalance
	}
	b.balance = min(b.balance+depositPerRequest, maxBalance)
}

// Withdraw consumes one retry and reports whether one was available.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Failure describes a failed attempt.
type Failure struct {
	Attempt int // number of attempts made so far, including the failed one
	// ConnectFailed reports that no connection to the upstream was established. Such an
	// attempt puts no load on the upstream and is retried without a withdrawal.
	ConnectFailed bool
	Idempotent    bool
	// MayHaveRun reports that the upstream may have run the request.
	MayHaveRun bool
	// Permanent reports that another attempt would fail in the same way.
	Permanent bool
	// Crashed reports that the upstream of the attempt crashed. The retry needs no
	// withdrawal, because the crash limit already bounds such retries.
	Crashed  bool
	Deadline time.Time // zero for none
}

// Reason states why a failed attempt is or is not retried.
type Reason string

// Reasons of decisions.
const (
	ReasonRetry      Reason = "retry"
	ReasonPermanent  Reason = "permanentFailure"
	ReasonMayHaveRun Reason = "nonIdempotentMayHaveRun"
	ReasonAttempts   Reason = "tooManyAttempts"
	ReasonDeadline   Reason = "deadline"
	ReasonBudget     Reason = "retryBudgetEmpty"
)

// Decision reports whether to retry, and after what delay.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason Reason
}

// Decide decides whether the request of a failed attempt is retried. It makes the
// withdrawal from the budget, if one is needed.
func Decide(now time.Time, f Failure, b *Budget, rng *rand.Rand) Decision {
	after := backoff(f.Attempt, rng)
	if f.Crashed {
		after += crashDelay
	}
	switch {
	case f.Permanent:
		return Decision{Reason: ReasonPermanent}
	case f.MayHaveRun && !f.Idempotent:
		return Decision{Reason: ReasonMayHaveRun}
	case f.Attempt >= maxTotalAttempts, f.Attempt >= maxAttempts && !f.ConnectFailed && !f.Crashed:
		return Decision{Reason: ReasonAttempts}
	case !f.Deadline.IsZero() && now.Add(after).After(f.Deadline):
		return Decision{Reason: ReasonDeadline}
	case !f.Crashed && !f.ConnectFailed && !b.Withdraw():
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, After: after, Reason: ReasonRetry}
}

// backoff returns a random delay below a bound that doubles with each attempt.
func backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := maxBackoff
	if attempt < 8 {
		bound = min(baseBackoff<<attempt, maxBackoff)
	}
	return time.Duration(rng.Int64N(int64(bound)) + 1)
}
