package router

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// UpstreamsChanged replaces the set of eligible upstreams.
type UpstreamsChanged struct {
	// Upstreams holds eligible upstreams only.
	Upstreams []balance.Upstream
	// PoolSizes is the number of all upstreams by pool. It is needed only if
	// Upstreams is limited to this node's subset.
	PoolSizes map[string]int
}

// EligibilityRenewed extends the time until which upstreams may be picked, while
// the set of eligible upstreams stays the same.
type EligibilityRenewed struct {
	// EligibleUntil maps an upstream's id to the time at which its eligibility
	// expires.
	EligibleUntil map[string]time.Time
}

// NodesChanged sets how many entry VMs send requests to the upstreams.
type NodesChanged struct {
	// Nodes is the number of live entry VMs, this one included.
	Nodes int
}

// LoadReported carries an upstream's load report. The report lags: it doesn't
// include requests that were sent or finished after LoadAt.
type LoadReported struct {
	// ID is the id of the upstream.
	ID string
	// Running and Queued are the numbers of requests that ran and waited on
	// the upstream at LoadAt.
	Running, Queued int
	// LoadAt is when the upstream's load was read.
	LoadAt time.Time
}

// Pick asks for an upstream. The reply is Picked or *verdict.Error.
type Pick struct {
	// Ask is the identifier that the reply carries.
	Ask kernel.AskID
	// RequestID identifies the request. Each Pick message of a request must be
	// followed by one Finished message.
	RequestID string
	// Pool is the pool of the model or plain service that the request needs.
	Pool string
	// PrefixHashes holds hashes of the prompt's prefixes, longest first.
	PrefixHashes []uint64
	// Exclude lists upstreams that must not be picked.
	Exclude []string
	// Class is the class of the request. The service estimates the work of
	// each class from Progressed and Finished.
	Class string
	// PromptBytes is the size of the prompt in bytes.
	PromptBytes int
	// ExpectedWork is the service time on an idle upstream; 0 means that the
	// service uses its estimate for the class.
	ExpectedWork time.Duration
	// Deadline is when the answer must be complete. While all upstreams pause, the
	// request waits if the earliest of them takes requests again in time for it. A
	// zero Deadline means that the request does not wait.
	Deadline time.Time
	// ExpectedPrefill is the part of ExpectedWork that is spent on processing
	// the prompt; 0 means that the service uses its estimate for the class.
	ExpectedPrefill time.Duration
}

// Picked is the reply to a Pick message for which an upstream was found.
type Picked struct {
	// Upstream is the selected upstream.
	Upstream balance.Upstream
	// Waited is how long the request waited for the end of a pause.
	Waited time.Duration
}

// CancelPick withdraws a Pick message whose reply is no longer awaited, whether or not
// an upstream was picked.
type CancelPick struct {
	// Ask and RequestID are those of the Pick message.
	Ask       kernel.AskID
	RequestID string
}

// Noticed reports what the process of an upstream said of itself in an answer.
type Noticed struct {
	Process port.Incarnation
	Notice  notice.Notice
}

// Confirm asks whether a request may still be sent to the upstream that a Pick message
// selected. The reply is Confirmed, or a *verdict.Error if the upstream has paused or is
// leaving since; the request must then not be sent.
type Confirm struct {
	// Ask is the identifier that the reply carries.
	Ask kernel.AskID
	// Upstream is the selected upstream.
	Upstream balance.Upstream
}

// Confirmed is the reply to a Confirm message for an upstream that still takes requests.
type Confirmed struct{}

// Progressed reports the latencies of a request in flight, so that a straggler is
// detected before its long answers end. It is optional and may be repeated.
type Progressed struct {
	// RequestID is that of the Pick message, Upstream the one that it selected.
	RequestID, Upstream string
	// FirstToken is the time to the first token; 0 if an earlier Progressed
	// message reported it.
	FirstToken time.Duration
	// PerToken is the mean time between tokens since the last Progressed
	// message of the request.
	PerToken time.Duration
}

// Finished reports that the upstream that a Pick message selected is no longer used
// by the request. It is sent whether the request succeeded, failed or was canceled.
type Finished struct {
	// RequestID is that of the Pick message, Upstream the one that it selected.
	RequestID, Upstream string
	// OK is false if the upstream failed the request; a cancellation by the
	// caller is not a failure.
	OK bool
	// NotTaken says that the upstream took no requests at that time by its own
	// announcement, or got none. The outlier detection does not count it.
	NotTaken bool
	// FirstToken is the time to the first token or, for a plain service, to
	// the answer; 0 if there was none or a Progressed message reported it
	// before.
	FirstToken time.Duration
	// PerToken is the mean time between tokens; 0 if unknown.
	PerToken time.Duration
}

// CacheEvents carries an upstream's cache events. They may come late, and some
// may be missing.
type CacheEvents struct {
	// ID is the id of the upstream.
	ID string
	// Boot identifies a run of the upstream's process: it changes when the
	// process restarts.
	Boot string
	// Events holds the events in the order of their sequence numbers.
	Events []port.CacheEvent
}
