// Package port describes the outside systems: the append-only log, the VM
// list, the weight store, model engines and plain services, as the project
// meets them over HTTP with JSON.
package port

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// VMID names a VM.
type VMID string

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

// VM is one line of the platform's lagging VM list.
type VM struct {
	// ID names the VM.
	ID VMID `json:"id"`
	// Kind says what runs on it.
	Kind VMKind `json:"kind"`
	// Address is host:port of the process on the VM.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Domain is the fabric domain; empty for VMs that are not engines.
	Domain string `json:"domain,omitempty"`
	// Service is the plain service's name; empty for other kinds.
	Service string `json:"service,omitempty"`
	// Accelerators counts the accelerators of an engine VM.
	Accelerators int `json:"accelerators,omitempty"`
	// ChecksFencing says that the engine refuses orders with an old
	// fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Leaving says that the platform will take the VM away.
	Leaving bool `json:"leaving,omitempty"`
}

// VMList is the answer of GET /v1/vms.
type VMList struct {
	// VMs holds live and leaving VMs.
	VMs []VM `json:"vms"`
}

// Model is one entry of the weight store's answer to GET /v1/models.
type Model struct {
	// Name is the name that classes refer to.
	Name string `json:"name"`
	// VMsPerReplica is the number of VMs that one replica spans.
	VMsPerReplica int `json:"vms_per_replica"`
	// WeightBytes is the size of the weights that each VM loads.
	WeightBytes int64 `json:"weight_bytes"`
}

// ModelList is the answer of GET /v1/models.
type ModelList struct {
	// Models holds every model that the store can serve.
	Models []Model `json:"models"`
	// BytesPerSecond is the rate limit of the store over all readers.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// EngineState is the state of an engine VM.
type EngineState string

const (
	// EngineIdle belongs to no replica.
	EngineIdle EngineState = "idle"
	// EngineLoading loads weights for its replica.
	EngineLoading EngineState = "loading"
	// EngineReady is a working member of its replica.
	EngineReady EngineState = "ready"
	// EngineLeaving takes no new work.
	EngineLeaving EngineState = "leaving"
)

// Report is an upstream VM's answer to GET /v1/report. Load figures lag.
type Report struct {
	// VM names the reporter.
	VM VMID `json:"vm"`
	// Boot changes whenever the process restarts.
	Boot string `json:"boot"`
	// State is the engine's state; plain services say ready or leaving.
	State EngineState `json:"state"`
	// Replica and Generation are those of the last order obeyed.
	Replica    string `json:"replica,omitempty"`
	Generation int64  `json:"generation,omitempty"`
	// Rank is the VM's place in the replica; rank 0 takes the requests.
	Rank int `json:"rank,omitempty"`
	// Model is the model loaded or being loaded.
	Model string `json:"model,omitempty"`
	// HeldWeights names the models whose weights are on the VM.
	HeldWeights []string `json:"held_weights,omitempty"`
	// Running and Queued count requests at the time of LoadAt.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the size of the continuous batch.
	Slots int `json:"slots"`
	// LoadAt is the time of the load figures in Unix milliseconds of the
	// reporter's clock.
	LoadAt int64 `json:"load_at"`
}

// OrderVerb is what an order asks of an engine VM.
type OrderVerb string

const (
	// OrderJoin makes the VM a member of a replica and loads its model.
	OrderJoin OrderVerb = "join"
	// OrderLeave takes the VM out of its replica; streams in flight end first.
	OrderLeave OrderVerb = "leave"
)

// Order is the body of POST /v1/order on an engine VM. An engine that checks
// fencing answers 409 to a generation below the highest it has seen.
type Order struct {
	// Verb is what to do.
	Verb OrderVerb `json:"verb"`
	// Replica and Generation identify the replica. Generation is the
	// fencing number.
	Replica    string `json:"replica"`
	Generation int64  `json:"generation"`
	// Model is the model to load.
	Model string `json:"model,omitempty"`
	// Rank is the VM's place in Members.
	Rank int `json:"rank"`
	// Members holds the addresses of all VMs of the replica by rank.
	Members []string `json:"members,omitempty"`
}

// GenerateRequest is the body of POST /v1/generate on the rank 0 VM. The
// answer is a stream of server-sent events, each with a Chunk as its data. An
// engine that does not run the request answers with a status of 409, 422, 429
// or 503 and a body of Refusal.
type GenerateRequest struct {
	// RequestID identifies the request in every chunk.
	RequestID string `json:"request_id"`
	// Replica and Generation are those the sender believes in; an engine
	// of another replica or generation refuses.
	Replica    string `json:"replica"`
	Generation int64  `json:"generation"`
	// Prompt is the whole prompt.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
	// Priority is higher for more urgent requests.
	Priority int `json:"priority"`
	// ResumeFrom is the number of tokens the caller already has; generation
	// goes on from there.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Prefix is the text of the tokens the caller already has.
	Prefix string `json:"prefix,omitempty"`
	// Seed makes sampling repeatable, so that a resumed answer continues
	// the first.
	Seed int64 `json:"seed"`
}

// Chunk is one event of an answer stream.
type Chunk struct {
	// RequestID is that of the request.
	RequestID string `json:"request_id"`
	// Index is the position of the token in the answer, from 0.
	Index int `json:"index"`
	// Text is the token's text.
	Text string `json:"text"`
	// Final marks the last chunk. It carries no text, and its Index is the
	// number of tokens in the whole answer.
	Final bool `json:"final,omitempty"`
	// Finish says why the answer ended: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// CachedTokens, on the first chunk, counts prompt tokens from the cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// CancelRequest is the body of POST /v1/cancel on an engine VM.
type CancelRequest struct {
	// RequestID names the request to end.
	RequestID string `json:"request_id"`
}

// Refusal is the body of an upstream's answer that it did not run a request.
type Refusal struct {
	// NotRun is the upstream's own word that the request did not run.
	NotRun bool `json:"not_run"`
	// Reason is machine-readable: "wrong_generation", "not_ready", "busy",
	// "leaving", "stale_fencing_number".
	Reason string `json:"reason"`
}

// CacheEvent tells that an engine cached or dropped a prompt prefix.
type CacheEvent struct {
	// Seq increases by one per event of a VM; a gap means lost events.
	Seq int64 `json:"seq"`
	// PrefixHash is one of PrefixHashes of the prompt.
	PrefixHash uint64 `json:"prefix_hash"`
	// Dropped is true for an eviction.
	Dropped bool `json:"dropped,omitempty"`
}

// CacheEvents is the answer of GET /v1/cache-events?after=SEQ.
type CacheEvents struct {
	// Boot is the reporter's boot; another boot restarts Seq at 1.
	Boot string `json:"boot"`
	// Events holds events with Seq greater than the one asked for.
	Events []CacheEvent `json:"events"`
}

// CallRequest is the body of POST /v1/call on a plain service's VM. A service
// that did not run a call answers 503 with a Refusal; any other answer means
// that the call ran.
type CallRequest struct {
	// RequestID identifies the attempt.
	RequestID string `json:"request_id"`
	// Class is the class of the call.
	Class string `json:"class"`
	// Key is the caller's idempotency key, for the service's own records.
	Key string `json:"key,omitempty"`
	// Body is the caller's body.
	Body json.RawMessage `json:"body"`
}

// CallResponse is a plain service's answer with status 200.
type CallResponse struct {
	// RequestID is that of the request.
	RequestID string `json:"request_id"`
	// Body is the service's answer.
	Body json.RawMessage `json:"body"`
}

// Entry is one entry of a log stream.
type Entry struct {
	// Offset is the entry's place in its stream, from 0.
	Offset int64 `json:"offset"`
	// Data is what was appended.
	Data json.RawMessage `json:"data"`
}

// ReadResult is the answer of GET /v1/streams/{stream}/entries?from=&max=&wait_ms=.
// A read below First is answered with First, Next and no entries.
type ReadResult struct {
	// First is the oldest offset still kept; Next is the next to be given.
	First int64 `json:"first"`
	Next  int64 `json:"next"`
	// Entries holds entries from the offset asked for.
	Entries []Entry `json:"entries"`
	// RetentionMillis is how long the platform keeps an entry.
	RetentionMillis int64 `json:"retention_ms"`
}

// AppendResult is the answer of POST /v1/streams/{stream}/entries, whose body
// is the data of one entry.
type AppendResult struct {
	// Offset is that of the new entry.
	Offset int64 `json:"offset"`
}

// Errors of a Log. Any other error of Append means that the entry may have
// been appended.
var (
	// ErrRateLimited means that the log refused the append for its rate.
	ErrRateLimited = errors.New("log append rate exceeded")
	// ErrNotAppended means that the append certainly had no effect.
	ErrNotAppended = errors.New("entry was not appended")
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds one entry. An error other than ErrRateLimited and
	// ErrNotAppended leaves open whether the entry was added.
	Append(ctx context.Context, stream string, data []byte) (AppendResult, error)
	// Read returns entries from an offset. If there is none yet, the service
	// holds its answer for as long as wait.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (ReadResult, error)
}
