package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts = 4
	// firstInterval and maxInterval bound the mean wait before a retry.
	firstInterval = 50 * time.Millisecond
	maxInterval   = 5 * time.Second
	// intervalGrowth is the factor from one wait to the next.
	intervalGrowth = 2.0
)

// Failure describes an attempt that failed.
type Failure struct {
	// Class is the class of the request.
	Class string
	// Repeatable says that running the request twice does no harm.
	Repeatable bool
	// Err is the failure.
	Err *verdict.Error
	// Attempt counts the attempts so far, from 1.
	Attempt int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Progressed says that the attempt brought the answer forward and the
	// next one goes on from there. Such a retry repeats no work of an engine
	// but the prompt's, and spends no budget.
	Progressed bool
	// Work is the least time that another attempt needs to be of use; an
	// answer that is resumed needs only its rest.
	Work time.Duration
}

// Decision says what to do after a Failure.
type Decision struct {
	// Retry says that the request is sent again after Wait.
	Retry bool
	// Wait is the time to wait before the next attempt.
	Wait time.Duration
	// Reason is the cause of the retry or of the refusal to retry.
	Reason verdict.Reason
}

// Policy decides on retries. It is used from one goroutine.
type Policy struct {
	rng     *rand.Rand
	config  BudgetConfig
	budgets map[string]*Budget
	metrics metrics.Registry
}

// NewPolicy returns a Policy with a budget per class. Jitter is drawn from rng.
// A nil registry stands for one of its own.
func NewPolicy(rng *rand.Rand, c BudgetConfig, registry metrics.Registry) *Policy {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &Policy{rng: rng, config: c, budgets: map[string]*Budget{}, metrics: registry}
}

// Succeeded pays into the budget of a class.
func (p *Policy) Succeeded(now time.Time, class string) { p.budget(class).Succeeded(now) }

// Next decides on a failure. A retry is allowed if the verdict permits it, there
// are attempts and time left, and the budget of the class is not spent.
func (p *Policy) Next(now time.Time, f Failure) Decision {
	if !f.Err.Verdict.Repeatable(f.Repeatable) || f.Attempt >= MaxAttempts {
		return p.refuse(f.Err.Reason)
	}
	wait := max(f.Err.RetryAfter, p.wait(f.Attempt))
	if wait+f.Work > f.Remaining {
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

func (p *Policy) count(what string, r verdict.Reason) {
	metrics.GetOrRegisterCounter("retry."+what+"."+string(r), p.metrics).Inc(1)
}

func (p *Policy) budget(class string) *Budget {
	b, ok := p.budgets[class]
	if !ok {
		b = NewBudget(p.config)
		p.budgets[class] = b
	}
	return b
}

// wait returns the time before the next attempt: an exponential interval with
// full jitter. The interval comes from the backoff library; the jitter doesn't,
// because the library draws it from a source that can't be seeded.
func (p *Policy) wait(attempt int) time.Duration {
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
