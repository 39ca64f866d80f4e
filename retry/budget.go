// Package retry decides whether and when a failed request is retried. It bounds
// retries relative to the requests, so that they can't overload upstreams. It can be
// used as a library or, in daemons, as the kernel service "retry".
package retry

import "time"

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that each successful request adds to the
	// budget.
	Ratio float64
	// PerSecond is the number of retries added to the budget in each second, so
	// that a class with little traffic can retry at all.
	PerSecond float64
	// Max is the largest number of retries that the budget can hold.
	Max float64
}

// DefaultBudget returns a configuration under which retries add about a tenth to the
// requests of a class, apart from the initial budget and what each second adds.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, PerSecond: 0.5, Max: 60}
}

// Budget bounds the retries of one class by a token bucket. Each retry takes one
// token. It is not safe for concurrent use.
type Budget struct {
	config BudgetConfig
	tokens float64
	// refilledAt is the time up to which tokens were added for elapsed time.
	refilledAt time.Time
}

// NewBudget returns a Budget that holds its largest number of retries.
func NewBudget(c BudgetConfig) *Budget { return &Budget{config: c, tokens: c.Max} }

// Succeeded adds the tokens for one successful request.
func (b *Budget) RecordSuccess(now time.Time) {
	b.refill(now)
	b.deposit(b.config.Ratio)
}

// Spend takes the token for one retry. It reports false if there is none.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time elapsed since the last call. A clock that goes
// back adds none.
func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.deposit(b.config.PerSecond * now.Sub(b.refilledAt).Seconds())
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

func (b *Budget) deposit(tokens float64) { b.tokens = min(b.config.Max, b.tokens+tokens) }
