// Package retry decides whether and when a failed request is sent again. It is
// a library and, for daemons, the kernel service "retry".
package retry

import "time"

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that one success pays for.
	Ratio float64
	// PerSecond is the number of retries a second that need no success, so
	// that a class with little traffic can retry at all.
	PerSecond float64
	// Max is the largest number of retries that can be saved up.
	Max float64
}

// DefaultBudget lets retries add a tenth to the load of a class.
func DefaultBudget() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, PerSecond: 0.5, Max: 60}
}

// Budget bounds the retries of one class. It starts full.
type Budget struct {
	config BudgetConfig
	tokens float64
	at     time.Time
}

// NewBudget returns a full Budget.
func NewBudget(c BudgetConfig) *Budget { return &Budget{config: c, tokens: c.Max} }

// Succeeded pays in for one success.
func (b *Budget) Succeeded(now time.Time) {
	b.refill(now)
	b.deposit(b.config.Ratio)
}

// Spend takes one retry out. It reports false if the budget is spent.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.deposit(b.config.PerSecond * now.Sub(b.at).Seconds())
	}
	if now.After(b.at) {
		b.at = now
	}
}

func (b *Budget) deposit(tokens float64) { b.tokens = min(b.config.Max, b.tokens+tokens) }
