// Package twochoice selects the cheaper of two random upstreams, and of the
// upstreams that hold a prefix of the prompt in their cache.
package twochoice

import (
	"math/rand/v2"
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
)

// Name is the name of the strategy.
const Name = "two-choices"

const (
	// draws is the number of random candidates and of random holders.
	draws = 2
	// zoneCost is the price of a round trip to another availability zone.
	zoneCost = 2 * time.Millisecond
)

// Strategy is the power of two choices with cache affinity.
type Strategy struct {
	rng *rand.Rand
}

// New returns a Strategy that draws from rng.
func New(rng *rand.Rand) *Strategy { return &Strategy{rng: rng} }

// Name implements balance.Strategy.
func (s *Strategy) Name() string { return Name }

// Choose implements balance.Strategy.
func (s *Strategy) Choose(r balance.Request, candidates []*balance.Candidate) *balance.Candidate {
	var best *balance.Candidate
	var bestCost time.Duration
	consider := func(c *balance.Candidate, cached float64) {
		cost := Cost(r, c, cached)
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	first := s.rng.IntN(len(candidates))
	consider(candidates[first], 0)
	if len(candidates) > 1 {
		second := s.rng.IntN(len(candidates) - 1)
		if second >= first {
			second++
		}
		consider(candidates[second], 0)
	}
	for _, h := range s.drawHolders(r.Holders) {
		consider(h.Candidate, h.Share)
	}
	return best
}

// drawHolders returns at most draws random holders, so that a prefix that many
// upstreams hold doesn't make the choice expensive.
func (s *Strategy) drawHolders(holders []balance.Holder) []balance.Holder {
	if len(holders) <= draws {
		return holders
	}
	start := s.rng.IntN(len(holders) - draws + 1)
	return holders[start : start+draws]
}

// Cost estimates the delays that r causes on c, its own and those of others.
// Below the number of slots a fuller batch slows each token down; above it the
// request also waits for a slot. Processing the part of the prompt that is not
// cached delays each request that the upstream has.
func Cost(r balance.Request, c *balance.Candidate, cached float64) time.Duration {
	share := c.Utilization()
	if c.Load >= c.Slots {
		share += float64(c.Load-c.Slots+1) / float64(max(1, c.Slots))
	}
	prompt := (1 - cached) * float64(r.Prefill) * float64(1+c.Load)
	cost := time.Duration(share*float64(r.Work) + prompt)
	if c.Zone != r.Zone {
		cost += zoneCost
	}
	return cost
}
