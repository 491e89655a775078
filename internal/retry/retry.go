// Package retry decides whether a failed attempt of a request is repeated, and
// when.
//
// A Budget limits the retries to a fraction of the first attempts, so that a
// failing service is not sent more than a bounded multiple of its callers'
// requests. Decide never repeats work of a non-idempotent request that may have
// run, and never past the request's deadline.
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
	// depositPerRequest is the part of a retry that each first attempt pays
	// for.
	depositPerRequest = 0.1
	// maxBalance and firstBalance bound the retries in a burst.
	maxBalance   = 10.0
	firstBalance = 3.0
	// maxAttempts bounds the attempts of a request after failures of its own,
	// allAttempts those after upstreams that crashed or could not be reached
	// too.
	maxAttempts = 4
	allAttempts = 12

	firstBackoff = 10 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// crashPause is the least time before a request that was on a crashed
	// upstream runs again, in which the routers learn what else was on it.
	crashPause = 300 * time.Millisecond
)

// Budget counts the retries that the requests of one customer to one service
// may still cause. The zero value holds nothing until the first deposit. Its
// methods are safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	started bool
	balance float64
}

// Deposit adds what one first attempt pays for.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.started {
		b.started = true
		b.balance = firstBalance
	}
	b.balance = min(b.balance+depositPerRequest, maxBalance)
}

// Withdraw takes one retry and reports whether there was one.
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
	Attempt int // number of attempts made, from 1
	// Unreached reports that no connection to the upstream could be made. Such
	// an attempt costs the upstream nothing, and is repeated without a
	// withdrawal.
	Unreached  bool
	Idempotent bool
	// MayHaveRun reports that the upstream may have run the request.
	MayHaveRun bool
	// Permanent reports that another attempt would fail in the same way.
	Permanent bool
	// Crashed reports that the attempt's upstream crashed. Its requests are
	// repeated without a withdrawal, since the crash limit bounds them.
	Crashed  bool
	Deadline time.Time // zero for none
}

// Reason tells why an attempt is or is not repeated.
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

// Decision tells whether to repeat an attempt, and after what time.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason Reason
}

// Decide decides whether the request of the failed attempt is tried again.
func Decide(now time.Time, f Failure, b *Budget, rng *rand.Rand) Decision {
	after := backoff(f.Attempt, rng)
	if f.Crashed {
		after += crashPause
	}
	switch {
	case f.Permanent:
		return Decision{Reason: ReasonPermanent}
	case f.MayHaveRun && !f.Idempotent:
		return Decision{Reason: ReasonMayHaveRun}
	case f.Attempt >= allAttempts, f.Attempt >= maxAttempts && !f.Unreached && !f.Crashed:
		return Decision{Reason: ReasonAttempts}
	case !f.Deadline.IsZero() && now.Add(after).After(f.Deadline):
		return Decision{Reason: ReasonDeadline}
	case !f.Crashed && !f.Unreached && !b.Withdraw():
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, After: after, Reason: ReasonRetry}
}

// backoff returns a random time up to a bound that doubles with each attempt.
func backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := lastBackoff
	if attempt < 8 {
		bound = min(firstBackoff<<attempt, lastBackoff)
	}
	return time.Duration(rng.Int64N(int64(bound)) + 1)
}
