// Package roundrobin selects upstreams in turn. It is a baseline for
// measurements.
package roundrobin

import "github.com/tamarackcleat/tamarackcleat/balance"

// Name is the name of the strategy.
const Name = "round-robin"

// Strategy chooses the candidates of each pool in turn.
type Strategy struct {
	// next maps a pool to the index of the next candidate.
	next map[string]int
}

// New returns a Strategy that starts with the first candidate of each pool.
func New() *Strategy { return &Strategy{next: map[string]int{}} }

// Name implements balance.Strategy.
func (s *Strategy) Name() string { return Name }

// Choose implements balance.Strategy.
func (s *Strategy) Choose(_ balance.Request, candidates []*balance.Candidate) *balance.Candidate {
	pool := candidates[0].Pool
	i := s.next[pool] % len(candidates)
	s.next[pool] = i + 1
	return candidates[i]
}
