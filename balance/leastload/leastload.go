// Package leastload selects the upstream with the least reported utilization. It
// is a baseline for measurements: load reports lag, so all nodes choose the same
// upstream until its next report.
package leastload

import "github.com/tamarackcleat/tamarackcleat/balance"

// Name is the name of the strategy.
const Name = "least-reported"

// Strategy chooses by the last load reports, without correcting them by the
// node's own requests.
type Strategy struct{}

// New returns a Strategy.
func New() Strategy { return Strategy{} }

// Name implements balance.Strategy.
func (Strategy) Name() string { return Name }

// Choose implements balance.Strategy.
func (Strategy) Choose(_ balance.Request, candidates []*balance.Candidate) *balance.Candidate {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.ReportedLoad*best.Slots < best.ReportedLoad*c.Slots {
			best = c
		}
	}
	return best
}
