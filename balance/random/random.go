// Package random selects a random upstream. It is a baseline for measurements.
package random

import (
	"math/rand/v2"

	"github.com/tamarackcleat/tamarackcleat/balance"
)

// Name is the name of the strategy.
const Name = "random"

// Strategy chooses uniformly among the candidates.
type Strategy struct {
	rng *rand.Rand
}

// New returns a Strategy that draws from rng.
func New(rng *rand.Rand) *Strategy { return &Strategy{rng: rng} }

// Name implements balance.Strategy.
func (s *Strategy) Name() string { return Name }

// Choose implements balance.Strategy.
func (s *Strategy) Choose(_ balance.Request, candidates []*balance.Candidate) *balance.Candidate {
	return candidates[s.rng.IntN(len(candidates))]
}
