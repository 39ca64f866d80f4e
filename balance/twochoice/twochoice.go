// Package twochoice selects the cheapest of two random upstreams and up to two
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
	// holderSampleSize is the maximum number of holders of a prefix that are
	// considered per request.
	holderSampleSize = 2
	// crossZoneCost is the added cost of an upstream in another availability
	// zone, for the longer round trip.
	crossZoneCost = 2 * time.Millisecond
)

// Strategy is the "power of two choices" algorithm with cache affinity.
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
	for _, h := range s.sampleHolders(r.Holders) {
		consider(h.Candidate, h.CachedShare)
	}
	return best
}

// sampleHolders returns at most holderSampleSize consecutive holders from a random
// start, so that the choice stays cheap for a prefix that many upstreams hold.
func (s *Strategy) sampleHolders(holders []balance.Holder) []balance.Holder {
	if len(holders) <= holderSampleSize {
		return holders
	}
	start := s.rng.IntN(len(holders) - holderSampleSize + 1)
	return holders[start : start+holderSampleSize]
}

// Cost estimates the delay that r causes on c, both to itself and to the other
// requests on c; cached is the fraction of the prompt, 0 to 1, that c has in its
// cache. While c has free slots, a fuller batch slows down each token. Once all
// slots are taken, r also waits for a slot. Processing the part of the prompt that
// is not cached delays r and every other request on c.
func Cost(r balance.Request, c *balance.Candidate, cached float64) time.Duration {
	share := c.Utilization()
	if c.Load >= c.Slots {
		share += float64(c.Load-c.Slots+1) / float64(max(1, c.Slots))
	}
	prompt := (1 - cached) * float64(r.Prefill) * float64(1+c.Load)
	cost := time.Duration(share*float64(r.Work) + prompt)
	if c.Zone != r.Zone {
		cost += crossZoneCost
	}
	return cost
}
