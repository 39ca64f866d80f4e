// Package leastload selects the upstream with the least reported load. It is a
// baseline for measurements: reports lag, so all nodes choose the same one.
package leastload

import "github.com/tamarackcleat/tamarackcleat/balance"

// Name is the name of the strategy.
const Name = "least-reported"

// Strategy trusts load reports as they are.
type Strategy struct{}

// New returns a Strategy.
func New() Strategy { return Strategy{} }

// Name implements balance.Strategy.
func (Strategy) Name() string { return Name }

// Choose implements balance.Strategy.
func (Strategy) Choose(_ balance.Request, candidates []*balance.Candidate) *balance.Candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.Reported*best.Slots < best.Reported*c.Slots {
			best = c
		}
	}
	return best
}
