package router

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// UpstreamsChanged replaces the set of eligible upstreams.
type UpstreamsChanged struct {
	// Upstreams holds eligible upstreams only.
	Upstreams []balance.Upstream
	// PoolSizes counts all upstreams per pool. It is needed only if
	// Upstreams is limited to this node's subset.
	PoolSizes map[string]int
}

// Renewed tells until when upstreams may be picked, while the set of eligible
// upstreams stays the same.
type Renewed struct {
	// FreshUntil holds the end of each upstream's eligibility by its id.
	FreshUntil map[string]time.Time
}

// NodesChanged tells how many entry VMs send requests to the upstreams.
type NodesChanged struct {
	// Nodes counts live entry VMs, this one included.
	Nodes int
}

// LoadReported carries an upstream's lagging load report.
type LoadReported struct {
	// ID names the upstream.
	ID string
	// Running and Queued count requests at the time LoadAt.
	Running, Queued int
	// LoadAt is the time of the figures.
	LoadAt time.Time
}

// Pick asks for an upstream. The reply is Picked or *verdict.Error.
type Pick struct {
	// Ask identifies the reply.
	Ask kernel.AskID
	// RequestID identifies the request; each Pick of it is ended by one
	// Finished.
	RequestID string
	// Pool is the model or service that the request needs.
	Pool string
	// PrefixHashes holds hashes of the prompt's prefixes, longest first.
	PrefixHashes []uint64
	// Exclude lists upstreams that must not be picked.
	Exclude []string
	// Class is the class of the request. The service learns its work from
	// Progressed and Finished.
	Class string
	// PromptBytes is the size of the prompt.
	PromptBytes int
	// ExpectedWork is the service time on an idle upstream; 0 stands for
	// what was learned of the class.
	ExpectedWork time.Duration
	// ExpectedPrefill is the part of the work that goes into the prompt; 0
	// stands for what was learned of the class.
	ExpectedPrefill time.Duration
}

// Picked is the upstream for a Pick.
type Picked struct {
	// Upstream was selected.
	Upstream balance.Upstream
}

// Progressed reports on a request in flight, so that a straggler is known
// before its long answers end. It is optional and may be repeated.
type Progressed struct {
	// RequestID and Upstream are those of the Pick.
	RequestID, Upstream string
	// FirstToken is the time to the first token; 0 if reported before.
	FirstToken time.Duration
	// PerToken is the mean time between tokens since the last report.
	PerToken time.Duration
}

// Finished ends a Pick, whatever became of it.
type Finished struct {
	// RequestID and Upstream are those of the Pick.
	RequestID, Upstream string
	// OK is false if the upstream failed the request; a cancellation by the
	// caller is no failure.
	OK bool
	// FirstToken is the time to the first token or, of a plain service, to
	// the answer; 0 if there was none or it was reported before.
	FirstToken time.Duration
	// PerToken is the mean time between tokens; 0 if unknown.
	PerToken time.Duration
}

// CacheEvents carries an upstream's cache events, late and with gaps.
type CacheEvents struct {
	// ID names the upstream.
	ID string
	// Boot changes when the upstream's process restarts.
	Boot string
	// Events holds the events in order.
	Events []port.CacheEvent
}
