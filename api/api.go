// Package api defines the messages of tamarackcleatd's own HTTP interfaces
// towards callers, operators and the other entry VMs.
package api

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Header names.
const (
	// HeaderRequestID carries the request id in every answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the caller's UUIDv7 of a call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTeam names the caller's team. Stock clients of the chat API
	// send it as their project.
	HeaderTeam = "OpenAI-Project"
)

// Paths of the operators' interface.
const (
	// PathConfig takes and gives the configuration.
	PathConfig = "/v1/config"
	// PathStatus gives the status of all classes and nodes.
	PathStatus = "/v1/status"
	// PathRequests, with a request id behind it, explains one request.
	PathRequests = "/v1/requests/"
	// PathHeartbeat is where entry VMs send each other heartbeats.
	PathHeartbeat = "/v1/peers/heartbeat"
	// PathSnapshot gives a node's ledgers to a node that starts.
	PathSnapshot = "/v1/peers/snapshot"
)

// ErrorBody is the JSON of every refusal and failure. It has the shape that
// clients of the chat API expect, with the verdict added.
type ErrorBody struct {
	// Error is the failure.
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure.
type ErrorDetail struct {
	// Message is for people.
	Message string `json:"message"`
	// Type is the reason once more, for clients of the chat API.
	Type string `json:"type"`
	// Code is the HTTP status.
	Code int `json:"code"`
	// RequestID identifies the request.
	RequestID string `json:"request_id"`
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict `json:"verdict"`
	// Reason is the machine-readable cause.
	Reason verdict.Reason `json:"reason"`
}

// PublishRequest is the body of POST /v1/config.
type PublishRequest struct {
	// ID is unique per publication and the same when it is sent again.
	ID string `json:"id"`
	// Base is the version that the document was made from; 0 for the first.
	Base int64 `json:"base"`
	// Document is the YAML document.
	Document string `json:"document"`
	// Author names the publisher.
	Author string `json:"author"`
}

// ConfigView is the answer of GET and POST /v1/config.
type ConfigView struct {
	// Version is the accepted version; 0 if there is none.
	Version int64 `json:"version"`
	// Document is the YAML document of that version.
	Document string `json:"document"`
	// Author published it.
	Author string `json:"author"`
	// InForce tells the version in force on each live node.
	InForce []NodeVersion `json:"in_force"`
}

// NodeVersion tells which configuration a node has in force.
type NodeVersion struct {
	// Node is the entry process.
	Node record.NodeID `json:"node"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Version is the version in force.
	Version int64 `json:"version"`
	// Ready says whether the node takes callers.
	Ready bool `json:"ready"`
}

// Status is the answer of GET /v1/status.
type Status struct {
	// Node answered.
	Node record.NodeID `json:"node"`
	// ConfigVersion is the version in force on that node.
	ConfigVersion int64 `json:"config_version"`
	// LogReachable says whether the node reads the platform's log just now.
	LogReachable bool `json:"log_reachable"`
	// LeaseHolder forms replicas; empty if nobody is known to.
	LeaseHolder record.NodeID `json:"lease_holder"`
	// Classes holds one line per class.
	Classes []ClassStatus `json:"classes"`
	// Nodes holds the live entry VMs.
	Nodes []NodeVersion `json:"nodes"`
	// Models holds the replicas of each model.
	Models []ModelStatus `json:"models"`
	// StrandedAccelerators counts accelerators of live VMs in no replica.
	StrandedAccelerators int `json:"stranded_accelerators"`
}

// ClassStatus is a class's target, what is measured and what is in the way.
type ClassStatus struct {
	// Class is the class's name.
	Class string `json:"class"`
	// Target is the target as the document states it.
	Target string `json:"target"`
	// Answered and Refused count requests since the node started.
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// TargetPercent is the share of requests that the target holds for.
	TargetPercent float64 `json:"target_percent"`
	// WithinTarget is the share of answered requests within the target in
	// percent; -1 if none was answered.
	WithinTarget float64 `json:"within_target_percent"`
	// FirstTokenMillis and AnswerMillis are measured at the target's share.
	FirstTokenMillis float64 `json:"first_token_ms"`
	AnswerMillis     float64 `json:"answer_ms"`
	// Obstacles says what stands in the way, most important first.
	Obstacles []string `json:"obstacles"`
}

// ModelStatus counts a model's replicas.
type ModelStatus struct {
	// Model is the model's name.
	Model string `json:"model"`
	// Replicas counts all live replicas.
	Replicas int `json:"replicas"`
	// Serving counts the complete replicas that the answering node routes
	// to, Forming those in its share that are not complete.
	Serving int `json:"serving"`
	Forming int `json:"forming"`
}

// TraceEvent is one step in the life of a request.
type TraceEvent struct {
	// At is when it happened.
	At time.Time `json:"at"`
	// Step names the step: "admitted", "routed", "retried", "answered" …
	Step string `json:"step"`
	// Upstream is the replica or VM concerned.
	Upstream string `json:"upstream,omitempty"`
	// Verdict and Reason are set for refusals and retries.
	Verdict verdict.Verdict `json:"verdict,omitempty"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	// Detail is for people.
	Detail string `json:"detail,omitempty"`
}

// Explanation is the answer of GET /v1/requests/{id}.
type Explanation struct {
	// RequestID is the request.
	RequestID string `json:"request_id"`
	// Node served it.
	Node record.NodeID `json:"node"`
	// Class and Team are the request's.
	Class string `json:"class"`
	Team  string `json:"team"`
	// Events holds the steps in order.
	Events []TraceEvent `json:"events"`
}
