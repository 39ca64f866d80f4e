package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// MaxAttempts is the largest number of attempts of one request, including the
	// first.
	MaxAttempts = 4
	// firstInterval is the mean delay before the first retry, maxInterval the
	// largest mean delay before any retry.
	firstInterval = 50 * time.Millisecond
	maxInterval   = 5 * time.Second
	// intervalGrowth is the factor from the mean delay before one retry to that
	// before the next.
	intervalGrowth = 2.0
)

// Failure describes a failed attempt to answer a request.
type Failure struct {
	// Class is the class of the request.
	Class string
	// Repeatable reports whether the request may be executed twice without harm.
	Repeatable bool
	// Err is the error of the attempt. Its verdict says whether the request may
	// have been executed.
	Err *verdict.Error
	// Attempt is the number of the failed attempt, counted from 1.
	Attempt int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Progressed reports whether the attempt produced a part of the answer from
	// which the next attempt continues. Such a retry takes nothing from the
	// budget, because the engine repeats no work but processing the prompt.
	Progressed bool
	// MinDuration is the shortest time in which another attempt can complete the
	// answer. If the answer is resumed, that is the time for the rest of it.
	MinDuration time.Duration
}

// Decision says whether to retry after a Failure.
type Decision struct {
	// Retry reports whether the request is to be sent again after Wait.
	Retry bool
	// Wait is the time to wait before the next attempt.
	Wait time.Duration
	// Reason is why the request is retried or not: the reason of the failure, or
	// that there is no time or no budget left.
	Reason verdict.Reason
}

// Policy decides on retries. It is not safe for concurrent use.
type Policy struct {
	rng     *rand.Rand
	config  BudgetConfig
	budgets map[string]*Budget
	metrics metrics.Registry
}

// NewPolicy returns a Policy with a budget of configuration c for each class. Jitter
// is drawn from rng. Decisions are counted in the registry; if it is nil, the Policy
// uses a new one.
func NewPolicy(rng *rand.Rand, c BudgetConfig, registry metrics.Registry) *Policy {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &Policy{rng: rng, config: c, budgets: map[string]*Budget{}, metrics: registry}
}

// RecordSuccess adds the tokens for one successful request to the budget of a
// class.
func (p *Policy) RecordSuccess(now time.Time, class string) { p.budget(class).RecordSuccess(now) }

// Next decides whether to retry after a failure. A retry is allowed if the verdict
// permits it, attempts and time are left, and the budget of the class has a token or
// the attempt progressed. A request for which all upstreams pause for too long is
// not retried.
func (p *Policy) Next(now time.Time, f Failure) Decision {
	allPaused := f.Err.Reason == verdict.ReasonAllPaused
	if allPaused || !f.Err.Verdict.AllowsRetry(f.Repeatable) || f.Attempt >= MaxAttempts {
		return p.refuse(f.Err.Reason)
	}
	wait := max(f.Err.RetryAfter, p.backoffDelay(f.Attempt))
	if wait+f.MinDuration > f.Remaining {
		return p.refuse(verdict.ReasonDeadline)
	}
	if !f.Progressed && !p.budget(f.Class).Spend(now) {
		return p.refuse(verdict.ReasonRetryBudget)
	}
	p.count("allowed", f.Err.Reason)
	return Decision{Retry: true, Wait: wait, Reason: f.Err.Reason}
}

func (p *Policy) refuse(r verdict.Reason) Decision {
	p.count("refused", r)
	return Decision{Reason: r}
}

func (p *Policy) count(decision string, r verdict.Reason) {
	metrics.GetOrRegisterCounter("retry."+decision+"."+string(r), p.metrics).Inc(1)
}

func (p *Policy) budget(class string) *Budget {
	b, ok := p.budgets[class]
	if !ok {
		b = NewBudget(p.config)
		p.budgets[class] = b
	}
	return b
}

// backoffDelay returns the delay before the attempt that follows a given one. It is
// uniformly distributed between zero and twice an exponentially growing interval. The
// interval comes from the backoff library; the jitter doesn't, because the library
// draws it from a source that can't be seeded.
func (p *Policy) backoffDelay(attempt int) time.Duration {
	b := &backoff.ExponentialBackOff{
		InitialInterval: firstInterval,
		Multiplier:      intervalGrowth,
		MaxInterval:     maxInterval,
	}
	b.Reset()
	interval := b.NextBackOff()
	for range attempt - 1 {
		interval = b.NextBackOff()
	}
	return time.Duration(p.rng.Int64N(int64(2 * interval)))
}
