// Package balance defines how an upstream is selected for a request. Each
// strategy lives in a folder of its own below this one.
package balance

import "time"

// Upstream is one eligible replica or one VM of a plain service.
type Upstream struct {
	// ID is the replica's name or the VM's id.
	ID string
	// Generation is the replica's fencing number; 0 for a plain service.
	Generation int64
	// Address is host:port of the VM that takes requests.
	Address string
	// Pool is the model's name, or ServicePool of a plain service.
	Pool string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that run at the same time.
	Slots int
	// FreshUntil is when the judgement that the upstream may take work
	// expires; zero for never.
	FreshUntil time.Time
}

// ServicePool returns the pool of a plain service.
func ServicePool(service string) string { return "service/" + service }

// Candidate is an upstream with what is known about its load.
type Candidate struct {
	Upstream
	// Load counts requests on the upstream: the last report, corrected by
	// the node's own sends and finishes since.
	Load int
	// Reported counts requests as in the last report, without correction.
	Reported int
	// InFlight counts the node's own requests on the upstream.
	InFlight int
}

// Utilization returns the corrected load as a multiple of the slots.
func (c *Candidate) Utilization() float64 {
	return float64(c.Load) / float64(max(1, c.Slots))
}

// Holder is a candidate that has a prefix of the prompt in its cache.
type Holder struct {
	// Candidate holds the prefix.
	Candidate *Candidate
	// Share is the part of the prompt that need not be processed, 0 to 1.
	Share float64
}

// Request is what a strategy knows about the request.
type Request struct {
	// Zone is the availability zone of the node that asks.
	Zone string
	// Work is the expected service time on an idle upstream.
	Work time.Duration
	// Prefill is the part of Work that goes into the prompt.
	Prefill time.Duration
	// Holders lists candidates with a cached prefix.
	Holders []Holder
}

// Strategy selects an upstream. Strategies are used from one goroutine.
type Strategy interface {
	// Name is the name that settings and measurements use.
	Name() string
	// Choose returns one of the candidates, of which there is at least one.
	// The order of candidates is the same for equal sets.
	Choose(r Request, candidates []*Candidate) *Candidate
}
