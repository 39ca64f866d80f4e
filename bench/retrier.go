package bench

import (
	"math/rand/v2"
	"time"

	"github.com/tamarackcleat/tamarackcleat/retry"
)

// Names of the retry policies.
const (
	// RetryBudget is the package retry, with answers resumed.
	RetryBudget = "budget"
	// RetryRestart is the package retry, with answers restarted.
	RetryRestart = "budget-restart"
	// RetryBlind tries three times at once, from the start.
	RetryBlind = "blind-3"
	// RetryNone gives up at the first failure.
	RetryNone = "none"
)

// blindTries is the number of tries of RetryBlind.
const blindTries = 3

// retrier is a retry policy of one node.
type retrier interface {
	next(now time.Time, f retry.Failure) retry.Decision
	succeeded(now time.Time, class string)
	// resumes says whether an answer goes on where it broke off.
	resumes() bool
}

func newRetrier(name string, rng *rand.Rand) retrier {
	switch name {
	case RetryBlind:
		return blindRetrier{tries: blindTries}
	case RetryNone:
		return blindRetrier{tries: 1}
	}
	policy := retry.NewPolicy(rng, retry.DefaultBudgetConfig(), nil)
	return budgetRetrier{policy: policy, resume: name != RetryRestart}
}

// budgetRetrier decides by the package retry.
type budgetRetrier struct {
	policy *retry.Policy
	resume bool
}

func (r budgetRetrier) next(now time.Time, f retry.Failure) retry.Decision {
	return r.policy.Next(now, f)
}

func (r budgetRetrier) succeeded(now time.Time, class string) { r.policy.RecordSuccess(now, class) }

func (r budgetRetrier) resumes() bool { return r.resume }

// blindRetrier tries a fixed number of times without waiting.
type blindRetrier struct {
	tries int
}

func (r blindRetrier) next(_ time.Time, f retry.Failure) retry.Decision {
	return retry.Decision{Retry: f.Attempt < r.tries, Reason: f.Err.Reason}
}

func (blindRetrier) succeeded(time.Time, string) {}

func (blindRetrier) resumes() bool { return false }
