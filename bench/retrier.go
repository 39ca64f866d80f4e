package bench

import (
	"math/rand/v2"
	"time"

	"github.com/tamarackcleat/tamarackcleat/retry"
)

// Names of the retry policies.
const (
	// RetryBudget uses the policy of package retry and resumes a broken
	// answer after the tokens that the caller has received.
	RetryBudget = "budget"
	// RetryRestart uses the policy of package retry and restarts a broken
	// answer from the beginning.
	RetryRestart = "budget-restart"
	// RetryBlind makes up to three attempts without waiting in between, each
	// from the beginning of the answer.
	RetryBlind = "blind-3"
	// RetryNone fails a request at its first failed attempt.
	RetryNone = "none"
)

// maxBlindAttempts is the maximum number of attempts of RetryBlind.
const maxBlindAttempts = 3

// retrier is the retry policy of one node. next decides on a failed attempt,
// and succeeded reports an answered request of a class.
type retrier interface {
	next(now time.Time, f retry.Failure) retry.Decision
	succeeded(now time.Time, class string)
	// resumes reports whether an attempt continues a broken answer where it
	// broke off.
	resumes() bool
}

func newRetrier(name string, rng *rand.Rand) retrier {
	switch name {
	case RetryBlind:
		return immediateRetrier{maxAttempts: maxBlindAttempts}
	case RetryNone:
		return immediateRetrier{maxAttempts: 1}
	}
	policy := retry.NewPolicy(rng, retry.DefaultBudgetConfig(), nil)
	return budgetRetrier{policy: policy, resume: name != RetryRestart}
}

// budgetRetrier uses the policy of package retry.
type budgetRetrier struct {
	policy *retry.Policy
	resume bool
}

func (r budgetRetrier) next(now time.Time, f retry.Failure) retry.Decision {
	return r.policy.Next(now, f)
}

func (r budgetRetrier) succeeded(now time.Time, class string) { r.policy.RecordSuccess(now, class) }

func (r budgetRetrier) resumes() bool { return r.resume }

// immediateRetrier makes up to a fixed number of attempts without waiting in
// between.
type immediateRetrier struct {
	maxAttempts int
}

func (r immediateRetrier) next(_ time.Time, f retry.Failure) retry.Decision {
	return retry.Decision{Retry: f.Attempt < r.maxAttempts, Reason: f.Err.Reason}
}

func (immediateRetrier) succeeded(time.Time, string) {}

func (immediateRetrier) resumes() bool { return false }
