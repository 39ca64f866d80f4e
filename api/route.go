package api

import "github.com/tamarackcleat/tamarackcleat/verdict"

// PathRoute returns the RouteExplanation of a request that is described by the query
// parameters below. tamarackcleat-gateway serves it at the address of its metrics.
const PathRoute = "/route"

// Query parameters of PathRoute. Host and path are required.
const (
	RouteHost         = "host"
	RoutePath         = "path"
	RouteModel        = "model"
	RoutePromptTokens = "prompt_tokens"
	RoutePriority     = "priority"
	RouteTimeoutMs    = "timeout_ms"
	// RouteID is the request id, which selects the service on a route that divides its
	// requests among several.
	RouteID = "id"
)

// RouteOutcome says what would happen to a request now.
type RouteOutcome string

// Outcomes. A request that waits does so because its upstreams are in a pause.
const (
	RouteSent    RouteOutcome = "sent"
	RouteWaits   RouteOutcome = "waits"
	RouteRefused RouteOutcome = "refused"
)

// RouteExplanation says where a request would go now, and why.
type RouteExplanation struct {
	Node    string       `json:"node"`
	Route   string       `json:"route,omitempty"`
	Service string       `json:"service,omitempty"`
	Model   string       `json:"model,omitempty"`
	Outcome RouteOutcome `json:"outcome"`
	// Reason and Detail are those of the refusal, or of the wait.
	Reason verdict.Reason `json:"reason,omitempty"`
	Detail string         `json:"detail,omitempty"`
	// Priority is that of the request; 0 is the most urgent. LatencyTargetMs is the
	// target of its route; 0 if there is none.
	Priority        int   `json:"priority"`
	LatencyTargetMs int64 `json:"latencyTargetMs,omitempty"`
	// AdmissionLimitMs is the longest predicted time to the first event with which a
	// replica without a free slot takes the request.
	AdmissionLimitMs int64 `json:"admissionLimitMs,omitempty"`
	// ConfigVersion is the version in force; ConfigAgeMs and ReportsAgeMs are the ages
	// of the proofs that the configuration and the upstreams' reports are current.
	ConfigVersion int64 `json:"configVersion"`
	ConfigAgeMs   int64 `json:"configAgeMs"`
	ReportsAgeMs  int64 `json:"reportsAgeMs"`
	// Peers is the number of nodes whose load reports count, PeerLoadAgeMs the age of
	// the oldest of these and MeanPeerLoadAgeMs the mean age.
	Peers             int   `json:"peers"`
	PeerLoadAgeMs     int64 `json:"peerLoadAgeMs"`
	MeanPeerLoadAgeMs int64 `json:"meanPeerLoadAgeMs"`
	// Unreported is the estimated number of requests sent since those reports to the
	// candidates that may be selected, or to all if none may.
	Unreported float64 `json:"unreported"`
	// Candidates lists the upstreams of the service and model, those with the largest
	// share first.
	Candidates []RouteCandidate `json:"candidates"`
}

// RouteCandidate is an upstream as the node considers it.
type RouteCandidate struct {
	Upstream string `json:"upstream"`
	Replica  string `json:"replica,omitempty"`
	Zone     string `json:"zone"`
	// Excluded says why the request can't go there; empty if it can.
	Excluded string `json:"excluded,omitempty"`
	// Share is the probability with which the request goes there.
	Share float64 `json:"share"`
	// Load and PendingPromptTokens are the load of all nodes together, as far as the
	// node knows.
	Load                int `json:"load"`
	PendingPromptTokens int `json:"pendingPromptTokens"`
	// PredictedMs is the predicted time to the first event; nil for a plain service and
	// where nothing was predicted.
	PredictedMs *float64 `json:"predictedMs,omitempty"`
	// PauseMs and ColdMs are how long the upstream wants no requests and is cold.
	PauseMs int64 `json:"pauseMs,omitempty"`
	ColdMs  int64 `json:"coldMs,omitempty"`
	// ReportAgeMs is how long ago the upstream's latest report of itself arrived.
	ReportAgeMs int64 `json:"reportAgeMs"`
}

// Values of RouteCandidate.Excluded beside those of package dispatch.
const (
	ExcludedZoneEvacuated = "zone_evacuated"
	ExcludedLeaving       = "leaving"
	ExcludedUnlisted      = "unlisted"
	// ExcludedNotServing is a replica that is incomplete or whose head is not open.
	ExcludedNotServing = "replica_not_serving"
	// ExcludedColdNoPermit is a cold upstream to which this node may not send now.
	ExcludedColdNoPermit = "cold_no_permit"
	// ExcludedColdNotNeeded is a cold upstream while a warm one takes the request.
	ExcludedColdNotNeeded = "cold_not_needed"
)
