// Package api defines the headers, paths and JSON messages of tamarackcleatd's
// own HTTP interfaces for callers, operators and the other entry VMs, and of
// tamarackcleat-gateway's interface for operators.
package api

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Names of HTTP headers.
const (
	// HeaderRequestID carries the request id in responses.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the UUIDv7 that identifies a call across the
	// caller's attempts.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTeam names the caller's team. Unmodified clients of the chat
	// API send it as their project.
	HeaderTeam = "OpenAI-Project"
)

// Paths of the interfaces for operators and for the other entry VMs.
const (
	// PathConfig publishes the configuration (POST) and returns it (GET).
	PathConfig = "/v1/config"
	// PathStatus returns the status of all classes, models and nodes.
	PathStatus = "/v1/status"
	// PathRequests, followed by a request id, returns the RequestTrace of one
	// request.
	PathRequests = "/v1/requests/"
	// PathHeartbeat receives heartbeats from the other entry VMs.
	PathHeartbeat = "/v1/peers/heartbeat"
	// PathSnapshot returns snapshots of a node's ledgers, which hold the state that
	// results from the log. They are for a peer that has read less of the log, such
	// as one that has just started.
	PathSnapshot = "/v1/peers/snapshot"
)

// ErrorBody is the JSON body of every refusal and failure. It has the form that
// clients of the chat API expect, with further fields such as the verdict.
type ErrorBody struct {
	// Error is the failure.
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure.
type ErrorDetail struct {
	// Message is a text for people.
	Message string `json:"message"`
	// Type repeats Reason in the field that clients of the chat API read.
	Type string `json:"type"`
	// Code is the HTTP status.
	Code int `json:"code"`
	// RequestID identifies the request; empty for requests of peers.
	RequestID string `json:"request_id"`
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict `json:"verdict"`
	// Reason is the machine-readable cause.
	Reason verdict.Reason `json:"reason"`
}

// PublishRequest is the body of POST /v1/config.
type PublishRequest struct {
	// ID identifies the publication. It is unique, and the same when the
	// publication is sent again.
	ID string `json:"id"`
	// BaseVersion is the version that the document is based on; 0 for the first
	// publication.
	BaseVersion int64 `json:"base"`
	// Document is the configuration to publish, in YAML.
	Document string `json:"document"`
	// Author names the publisher.
	Author string `json:"author"`
}

// ConfigView is the answer of GET and POST /v1/config.
type ConfigView struct {
	// Version is the latest accepted version of the configuration; 0 if there
	// is none.
	Version int64 `json:"version"`
	// Document is the YAML document of that version.
	Document string `json:"document"`
	// Author names the publisher of that version.
	Author string `json:"author"`
	// InForce holds the configuration version in force on each live node.
	InForce []NodeStatus `json:"in_force"`
}

// NodeStatus is the state of a live node and its configuration version.
type NodeStatus struct {
	// Node is the id of the node's process.
	Node record.NodeID `json:"node"`
	// Zone is the availability zone of the node.
	Zone string `json:"zone"`
	// Version is the version in force on the node; 0 if there is none.
	Version int64 `json:"version"`
	// Ready says whether the node is ready for requests of callers.
	Ready bool `json:"ready"`
}

// Status is the answer of GET /v1/status.
type Status struct {
	// Node is the node that sent this status.
	Node record.NodeID `json:"node"`
	// ConfigVersion is the configuration version in force on that node.
	ConfigVersion int64 `json:"config_version"`
	// LogReachable says whether the node could recently read the platform's log.
	LogReachable bool `json:"log_reachable"`
	// LeaseHolder is the node that holds the control lease and forms the
	// replicas; empty if none is known.
	LeaseHolder record.NodeID `json:"lease_holder"`
	// Classes holds one entry per class of the configuration in force.
	Classes []ClassStatus `json:"classes"`
	// Nodes holds the live entry VMs.
	Nodes []NodeStatus `json:"nodes"`
	// Models counts the replicas of each model.
	Models []ModelStatus `json:"models"`
	// StrandedAccelerators counts the accelerators of the engine VMs in the VM list
	// that belong to no replica.
	StrandedAccelerators int `json:"stranded_accelerators"`
}

// ClassStatus holds a class's target, what was measured of its requests, and why
// requests of the class can't be served. Times and counts are those of the
// node that sent the status, since its start.
type ClassStatus struct {
	// Class is the class's name.
	Class string `json:"class"`
	// Target describes the class's targets on one line.
	Target string `json:"target"`
	// Answered counts the requests that were answered, Refused those that were
	// refused or failed.
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// TargetPercent is the share of requests that shall meet the target, in
	// percent.
	TargetPercent float64 `json:"target_percent"`
	// WithinTargetPercent is the share of answered requests within the target
	// in percent; -1 if none was answered.
	WithinTargetPercent float64 `json:"within_target_percent"`
	// FirstTokenMillis and AnswerMillis are the times in milliseconds, to the
	// first token and to the whole answer, within which TargetPercent of the
	// answered requests stayed.
	FirstTokenMillis float64 `json:"first_token_ms"`
	AnswerMillis     float64 `json:"answer_ms"`
	// Obstacles says why requests of the class can't be served, the most
	// important reason first; empty if nothing is known.
	Obstacles []string `json:"obstacles"`
}

// ModelStatus counts a model's replicas.
type ModelStatus struct {
	// Model is the model's name.
	Model string `json:"model"`
	// Replicas counts the replicas, complete or not, in the control ledger, the
	// state that results from the log's control stream.
	Replicas int `json:"replicas"`
	// Serving counts the complete replicas that the node which sent the status
	// routes to. Forming counts the incomplete replicas among those whose health
	// the same node checks; the other nodes check the rest.
	Serving int `json:"serving"`
	Forming int `json:"forming"`
}

// TraceEvent is one step in the processing of a request.
type TraceEvent struct {
	// At is the time of the step.
	At time.Time `json:"at"`
	// Step names the step: "admitted", "routed", "retried", "answered" …
	Step string `json:"step"`
	// Upstream is the replica, or the VM of a plain service, that the step is
	// about; empty if it is about none.
	Upstream string `json:"upstream,omitempty"`
	// Verdict and Reason are those of a refusal or a failed attempt. Reason is
	// also set for a retry, and Verdict for an answered call.
	Verdict verdict.Verdict `json:"verdict,omitempty"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	// Detail is a text for people.
	Detail string `json:"detail,omitempty"`
}

// RequestTrace is the answer of GET /v1/requests/{id}.
type RequestTrace struct {
	// RequestID identifies the request.
	RequestID string `json:"request_id"`
	// Node is the node that served the request.
	Node record.NodeID `json:"node"`
	// Class and Team are the class and the team of the request.
	Class string `json:"class"`
	Team  string `json:"team"`
	// Events holds the steps in the order of time. Steps beyond a limit are
	// dropped.
	Events []TraceEvent `json:"events"`
}
