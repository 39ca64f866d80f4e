// Package balance defines the interface of load balancing strategies, which
// select an upstream for a request, and selects the subset of upstreams that a
// node uses. Each strategy is a package in a folder below this one.
package balance

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Upstream is one eligible replica or one VM of a plain service.
type Upstream struct {
	// ID is the replica's name or the VM's id.
	ID string
	// Generation is the replica's fencing number; 0 for a plain service.
	Generation int64
	// Address is the host:port of the VM that takes requests.
	Address string
	// Process is the process at Address, as far as health checking knows it.
	Process port.Incarnation
	// Pool is the model's name, or the result of ServicePool for a plain
	// service.
	Pool string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that the upstream can run at a time.
	Slots int
	// EligibleUntil is when the upstream's eligibility for requests expires;
	// the zero time means never.
	EligibleUntil time.Time
}

// ServicePool returns the name of a plain service's pool.
func ServicePool(service string) string { return "service/" + service }

// Candidate is an upstream with what is known about its load.
type Candidate struct {
	Upstream
	// Load is the estimated number of requests on the upstream: that of the
	// last load report, corrected by the requests that this node has sent and
	// finished since.
	Load int
	// ReportedLoad is the number of requests in the last load report.
	ReportedLoad int
	// InFlight is the number of this node's own requests on the upstream.
	InFlight int
}

// Utilization returns the load divided by the number of slots.
func (c *Candidate) Utilization() float64 {
	return float64(c.Load) / float64(max(1, c.Slots))
}

// Holder is a candidate that has a prefix of the prompt in its cache.
type Holder struct {
	// Candidate holds the prefix.
	Candidate *Candidate
	// CachedShare is the fraction of the prompt, 0 to 1, that need not be
	// processed because the cached prefix covers it.
	CachedShare float64
}

// Request describes a request to a strategy.
type Request struct {
	// Zone is the availability zone of the node that sends the request.
	Zone string
	// Work is the expected service time on an idle upstream.
	Work time.Duration
	// Prefill is the part of Work that is spent on processing the prompt.
	Prefill time.Duration
	// Holders lists the candidates with a cached prefix of the prompt.
	Holders []Holder
}

// Strategy selects an upstream for a request. A Strategy is used by one goroutine
// only and need not be safe for concurrent use.
type Strategy interface {
	// Name returns the name that settings and measurements use.
	Name() string
	// Choose returns one of the candidates. There is at least one, and they
	// are in the same order whenever the set is the same.
	Choose(r Request, candidates []*Candidate) *Candidate
}
