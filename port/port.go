// Package port defines the messages that this project exchanges with external
// systems over HTTP with JSON. The external systems are the platform's
// append-only log, its VM list, its weight store, the model engines and the
// plain services.
package port

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// VMID identifies a VM.
type VMID string

// Headers by which the process on an upstream VM tells something of itself in any of
// its answers: whatever the request and the status, also at the head of a stream.
const (
	// HeaderLeaving, with the value "1", says that the process is about to end and
	// takes no new requests.
	HeaderLeaving = "Vm-Leaving"
	// HeaderBoot is the Report.Boot of the process that answers.
	HeaderBoot = "Vm-Boot"
	// HeaderRetryAfter, in a refusal with status 429 or 503, is the time in seconds,
	// fractions allowed, for which the process wants no requests from the sender.
	// Reports, cache events, orders and cancellations don't count as requests.
	HeaderRetryAfter = "Retry-After"
)

// Incarnation is one run of the process on a VM.
type Incarnation struct {
	VM VMID
	// Boot is the Report.Boot of the run; empty if unknown.
	Boot string
}

// VMKind says what runs on a VM.
type VMKind string

const (
	// KindEngine is a VM that runs a model engine.
	KindEngine VMKind = "engine"
	// KindPlain is a VM that runs a plain service.
	KindPlain VMKind = "plain"
	// KindEntry is a VM that runs tamarackcleatd.
	KindEntry VMKind = "entry"
)

// VM is one entry of the platform's VM list. The list lags: a change of a VM
// appears in it some time later.
type VM struct {
	// ID identifies the VM.
	ID VMID `json:"id"`
	// Kind says what runs on the VM.
	Kind VMKind `json:"kind"`
	// Address is host:port of the process on the VM.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Domain is the fabric domain; it is empty for VMs that are not engines.
	Domain string `json:"domain,omitempty"`
	// Service is the name of the plain service; it is empty for other kinds.
	Service string `json:"service,omitempty"`
	// Accelerators is the number of accelerators of an engine VM.
	Accelerators int `json:"accelerators,omitempty"`
	// ChecksFencing says that the engine refuses orders whose fencing number is
	// lower than the highest that it has seen.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving says that the platform is about to remove the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// VMList is the response of the VM list to GET /v1/vms.
type VMList struct {
	// VMs holds all VMs, those that are leaving included.
	VMs []VM `json:"vms"`
}

// Model is one model in a ModelList.
type Model struct {
	// Name is the name by which the configuration of a class refers to the
	// model.
	Name string `json:"name"`
	// VMsPerReplica is the number of VMs that one replica spans.
	VMsPerReplica int `json:"vms_per_replica"`
	// WeightBytes is the size of the weights that each VM of a replica loads.
	WeightBytes int64 `json:"weight_bytes"`
}

// ModelList is the response of the weight store to GET /v1/models.
type ModelList struct {
	// Models holds every model whose weights the store can serve.
	Models []Model `json:"models"`
	// BytesPerSecond is the rate limit of the store, shared by all readers.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// EngineState is the state of an engine VM.
type EngineState string

const (
	// EngineIdle is the state of an engine that belongs to no replica.
	EngineIdle EngineState = "idle"
	// EngineLoading is the state of an engine that loads the weights for its
	// replica.
	EngineLoading EngineState = "loading"
	// EngineReady is the state of an engine that can serve requests as a member
	// of its replica.
	EngineReady EngineState = "ready"
	// EngineLeaving is the state of an engine that accepts no new requests.
	EngineLeaving EngineState = "leaving"
)

// Report is the response of an upstream VM to GET /v1/report. Its load figures
// lag behind the real load; LoadAt is their time.
type Report struct {
	// VM identifies the reporting VM.
	VM VMID `json:"vm"`
	// Boot identifies the run of the process; it changes with every restart.
	Boot string `json:"boot"`
	// State is the state of the engine; a plain service reports EngineReady or
	// EngineLeaving.
	State EngineState `json:"state"`
	// Replica and Generation are those of the last order that the engine
	// accepted.
	Replica    string `json:"replica,omitempty"`
	Generation int64  `json:"generation,omitempty"`
	// Rank is the index of the VM in the replica; the VM of rank 0 receives the
	// requests.
	Rank int `json:"rank,omitempty"`
	// Model is the model that is loaded or being loaded.
	Model string `json:"model,omitempty"`
	// HeldWeights holds the names of the models whose weights are stored on the
	// VM.
	HeldWeights []string `json:"held_weights,omitempty"`
	// Running and Queued are the numbers of running and of queued requests at
	// LoadAt.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the continuous batch can hold.
	Slots int `json:"slots"`
	// LoadAt is the time of the load figures in Unix milliseconds by the clock
	// of the reporting VM.
	LoadAt int64 `json:"load_at"`
}

// OrderVerb is the action that an order requests from an engine VM.
type OrderVerb string

const (
	// OrderJoin makes the VM a member of a replica and loads the replica's model.
	OrderJoin OrderVerb = "join"
	// OrderLeave removes the VM from its replica once its open streams have
	// ended.
	OrderLeave OrderVerb = "leave"
)

// Order is the body of POST /v1/order on an engine VM. An engine that checks
// fencing numbers answers with status 409 if Generation is lower than the
// highest that it has seen.
type Order struct {
	// Verb is the requested action.
	Verb OrderVerb `json:"verb"`
	// Replica and Generation identify the replica. Generation also serves as
	// the fencing number.
	Replica    string `json:"replica"`
	Generation int64  `json:"generation"`
	// Model is the model to load.
	Model string `json:"model,omitempty"`
	// Rank is the index of the VM in Members.
	Rank int `json:"rank"`
	// Members holds the addresses of all VMs of the replica, ordered by rank.
	Members []string `json:"members,omitempty"`
}

// GenerateRequest is the body of POST /v1/generate on the VM of rank 0. The
// response is a stream of server-sent events, each with a Chunk as its data. An
// engine that does not run the request answers with status 409, 422, 429 or 503
// and a Refusal as the body.
type GenerateRequest struct {
	// RequestID identifies the request in every chunk.
	RequestID string `json:"request_id"`
	// Replica and Generation are those that the sender expects of the engine.
	// An engine of another replica or generation refuses the request.
	Replica    string `json:"replica"`
	Generation int64  `json:"generation"`
	// Prompt is the whole prompt.
	Prompt string `json:"prompt"`
	// MaxTokens is the largest number of tokens in the answer.
	MaxTokens int `json:"max_tokens"`
	// Priority is higher for more urgent requests.
	Priority int `json:"priority"`
	// ResumeFrom is the number of answer tokens that the caller already has;
	// generation continues after them.
	ResumeFrom int `json:"resume_from,omitempty"`
	// AnswerPrefix is the text of the answer tokens that the caller already
	// has.
	AnswerPrefix string `json:"prefix,omitempty"`
	// Seed makes sampling repeatable, so that a resumed answer continues the
	// text of the earlier attempt.
	Seed int64 `json:"seed"`
}

// Chunk is the data of one event of an answer stream.
type Chunk struct {
	// RequestID is that of the GenerateRequest.
	RequestID string `json:"request_id"`
	// Index is the position of the token in the answer, from 0.
	Index int `json:"index"`
	// Text is the token's text.
	Text string `json:"text"`
	// Final marks the last chunk of the answer. That chunk has no text, and its
	// Index is the number of tokens in the whole answer.
	Final bool `json:"final,omitempty"`
	// FinishReason says why the answer ended: "stop" or "length".
	FinishReason string `json:"finish,omitempty"`
	// CachedTokens is set on the first chunk: the number of prompt tokens that
	// the engine took from its prefix cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// CancelRequest is the body of POST /v1/cancel on an engine VM.
type CancelRequest struct {
	// RequestID is that of the GenerateRequest to end.
	RequestID string `json:"request_id"`
}

// HeaderAttempt is the name of a header field of each request to an upstream that is not
// a GET; its value identifies the sending of the request. An upstream repeats the field in
// its response, so that a copy of an earlier response on the same connection is told
// apart.
const HeaderAttempt = "X-Attempt-Id"

// Refusal is the body of a response by which an upstream refuses a request
// without running it. If the response has no HeaderAttempt, the refusal proves that the
// request has not run only on the first request of a connection.
type Refusal struct {
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool `json:"not_run"`
	// Reason is a machine-readable reason, such as "wrong_generation",
	// "not_ready", "busy", "leaving" or "stale_fencing_number".
	Reason string `json:"reason"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	// Seq is the sequence number of the event. It increases by one from one event
	// of a VM to the next; a gap means that events were lost.
	Seq int64 `json:"seq"`
	// PrefixHash is the hash of the prefix, as PrefixHashes returns it.
	PrefixHash uint64 `json:"prefix_hash"`
	// Dropped is true if the prefix was evicted and false if it was cached.
	Dropped bool `json:"dropped,omitempty"`
}

// CacheEvents is the response of an engine to GET /v1/cache-events?after=SEQ.
type CacheEvents struct {
	// Boot is the Report.Boot of the engine. With a new boot, Seq starts again
	// at 1.
	Boot string `json:"boot"`
	// Events holds the events whose Seq is greater than the parameter after.
	Events []CacheEvent `json:"events"`
}

// CallRequest is the body of POST /v1/call on the VM of a plain service. A
// service that did not run the call answers with status 503 and a Refusal as the
// body; any other response means that the call ran.
type CallRequest struct {
	// RequestID identifies the attempt.
	RequestID string `json:"request_id"`
	// Class is the class of the call.
	Class string `json:"class"`
	// IdempotencyKey is the idempotency key of the caller, for the records of
	// the service.
	IdempotencyKey string `json:"key,omitempty"`
	// Body is the body of the caller's request.
	Body json.RawMessage `json:"body"`
}

// CallResponse is the body of a plain service's response with status 200 to a
// CallRequest.
type CallResponse struct {
	// RequestID is that of the CallRequest.
	RequestID string `json:"request_id"`
	// Body is the answer for the caller.
	Body json.RawMessage `json:"body"`
}

// Entry is one entry of a log stream.
type Entry struct {
	// Offset is the position of the entry in its stream, from 0.
	Offset int64 `json:"offset"`
	// Data is the appended JSON value.
	Data json.RawMessage `json:"data"`
}

// ReadResult is the response of the log to
// GET /v1/streams/{stream}/entries?from=&max=&wait_ms=. If the parameter from is
// below FirstOffset, the response has FirstOffset, NextOffset and no entries.
type ReadResult struct {
	// FirstOffset is the offset of the oldest entry that the log still holds.
	// NextOffset is the offset that the next appended entry gets.
	FirstOffset int64 `json:"first"`
	NextOffset  int64 `json:"next"`
	// Entries holds consecutive entries, starting at the requested offset.
	Entries []Entry `json:"entries"`
	// RetentionMillis is the time in milliseconds for which the log keeps an
	// entry.
	RetentionMillis int64 `json:"retention_ms"`
}

// AppendResult is the response of the log to POST /v1/streams/{stream}/entries,
// whose body is the data of one entry.
type AppendResult struct {
	// Offset is the offset of the new entry.
	Offset int64 `json:"offset"`
}

// Errors of Log.Append after which the entry is certainly not in the log. After
// any other error, the entry may have been appended.
var (
	// ErrRateLimited means that the log refused the append because the rate
	// limit for appends was exceeded.
	ErrRateLimited = errors.New("log append rate exceeded")
	// ErrNotAppended means that the append had no effect for another reason,
	// such as a connection that was never established.
	ErrNotAppended = errors.New("entry was not appended")
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds one entry to a stream. After an error other than
	// ErrRateLimited and ErrNotAppended, it is unknown whether the entry was
	// added.
	Append(ctx context.Context, stream string, data []byte) (AppendResult, error)
	// Read returns the entries of a stream from the offset from on. If there are
	// none yet, the log delays its response until one is appended, but not
	// longer than wait.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (ReadResult, error)
}
