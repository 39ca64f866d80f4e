// Package record defines the typed records that tamarackcleat keeps on the
// platform's append-only log.
//
// One log entry holds a Group of records, so that many records cost one
// append. Each record has an identifier of its own: an append that may have
// taken effect is repeated with the same identifiers, and readers keep the
// first copy. A record's place in its stream is its Position.
package record

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Streams of the log. Claims are spread over CallShards streams.
const (
	// StreamConfig carries configuration changes.
	StreamConfig = "config"
	// StreamControl carries the control lease and replica records.
	StreamControl = "control"
	// StreamSuspects carries crash suspects and quarantine.
	StreamSuspects = "suspects"
	// streamCallsPrefix, with a shard number, carries claims of calls.
	streamCallsPrefix = "calls-"
)

// MaxGroup is the number of records that one log entry may hold.
const MaxGroup = 1 << positionIndexBits

// positionIndexBits is the width of a record's index within its entry.
const positionIndexBits = 10

// Position orders the records of a stream. Positions grow with the log's
// offsets and are never reused, so they serve as versions, terms and
// generations (fencing numbers).
type Position int64

// NoPosition is below the position of every record.
const NoPosition Position = 0

// At returns the position of record index of the entry at offset.
func At(offset int64, index int) Position {
	return Position((offset+1)<<positionIndexBits | int64(index))
}

// Offset returns the log offset of the record's entry.
func (p Position) Offset() int64 {
	return int64(p>>positionIndexBits) - 1
}

// NodeID names an entry VM's process, new on each start.
type NodeID string

// Record is one typed record. Exactly one of the pointer fields is set.
type Record struct {
	// ID is unique per record and the same in repeated appends.
	ID string `json:"id"`
	// AtMillis is the writer's clock in Unix milliseconds. No verdict on
	// control or configuration depends on it.
	AtMillis int64 `json:"at_ms"`

	Config     *ConfigChange `json:"config,omitempty"`
	Lease      *LeaseClaim   `json:"lease,omitempty"`
	Renewal    *LeaseRenewal `json:"renewal,omitempty"`
	Form       *Formation    `json:"form,omitempty"`
	Dissolve   *Dissolution  `json:"dissolve,omitempty"`
	Claim      *CallClaim    `json:"claim,omitempty"`
	Release    *CallRelease  `json:"release,omitempty"`
	Outcome    *CallOutcome  `json:"outcome,omitempty"`
	Suspect    *Suspect      `json:"suspect,omitempty"`
	Trial      *Trial        `json:"trial,omitempty"`
	TrialEnd   *TrialEnd     `json:"trial_end,omitempty"`
	Checkpoint *Checkpoint   `json:"checkpoint,omitempty"`
}

// At returns the writer's time of the record.
func (r Record) At() time.Time { return time.UnixMilli(r.AtMillis) }

// ConfigChange replaces the configuration document. It is accepted if Base is
// the version in force at its position and the document validates.
type ConfigChange struct {
	// Base is the version the change was made against; 0 for the first.
	Base int64 `json:"base"`
	// Document is the whole YAML document as the operator wrote it.
	Document string `json:"document"`
	// Author names who published it.
	Author string `json:"author,omitempty"`
}

// LeaseClaim claims the control lease. It is valid if Replaces is the term at
// its position. The new term is the claim's own position.
type LeaseClaim struct {
	// Holder claims the lease.
	Holder NodeID `json:"holder"`
	// Replaces is the term that the claim ends; 0 if there was none.
	Replaces Position `json:"replaces"`
	// TTLMillis is how long the lease lasts after a renewal was read.
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseRenewal extends the lease. It is valid if Term is the current term.
type LeaseRenewal struct {
	// Term is the holder's term.
	Term Position `json:"term"`
	// Released says that the holder gives the lease up at once.
	Released bool `json:"released,omitempty"`
}

// Formation forms a replica. It is valid if Term is the current term, no VM of
// it belongs to a live replica and the name is not in use. Its generation, the
// fencing number of orders, is the record's own position.
type Formation struct {
	// Term is the writer's term.
	Term Position `json:"term"`
	// Replica names the replica.
	Replica string `json:"replica"`
	// Model is the model to serve.
	Model string `json:"model"`
	// VMs holds the members by rank.
	VMs []port.VMID `json:"vms"`
}

// Dissolution ends a replica. It is valid if Term is the current term and the
// replica lives with that generation.
type Dissolution struct {
	// Term is the writer's term.
	Term Position `json:"term"`
	// Replica and Generation identify the replica.
	Replica    string   `json:"replica"`
	Generation Position `json:"generation"`
	// Cause is for people and counters.
	Cause string `json:"cause"`
}

// CallClaim claims a call that may not be repeated. The first claim of a key
// wins; only its attempt may dispatch the call.
type CallClaim struct {
	// Key is the caller's idempotency key, a UUIDv7, prefixed by the team.
	Key string `json:"key"`
	// KeyMillis is the time inside the key in Unix milliseconds.
	KeyMillis int64 `json:"key_ms"`
	// Digest identifies the content of the call.
	Digest string `json:"digest"`
	// Class is the class of the call.
	Class string `json:"class"`
	// Attempt is unique per attempt.
	Attempt string `json:"attempt"`
	// Node is the claimer.
	Node NodeID `json:"node"`
}

// CallRelease takes a claim back. Only the attempt that claimed may write it,
// and only while the call was proved not run.
type CallRelease struct {
	// Key and Attempt name the claim.
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// CallOutcome records the answer of a claimed call.
type CallOutcome struct {
	// Key and Attempt name the claim.
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	// Body is the service's whole answer.
	Body json.RawMessage `json:"body"`
}

// Suspect names a request that was in flight on a replica that crashed.
type Suspect struct {
	// Fingerprint identifies the content of the request.
	Fingerprint string `json:"fingerprint"`
	// Replica and Generation identify what crashed.
	Replica    string   `json:"replica"`
	Generation Position `json:"generation"`
}

// Trial claims the single trial run of a suspect. The first trial wins, unless
// it is replaced because its node is gone.
type Trial struct {
	// Fingerprint identifies the content of the request.
	Fingerprint string `json:"fingerprint"`
	// Attempt is unique per attempt.
	Attempt string `json:"attempt"`
	// Node is the claimer.
	Node NodeID `json:"node"`
	// Replaces names the attempt of a node that is gone; usually empty.
	Replaces string `json:"replaces,omitempty"`
}

// TrialEnd records how a trial ended.
type TrialEnd struct {
	// Fingerprint and Attempt name the trial.
	Fingerprint string `json:"fingerprint"`
	Attempt     string `json:"attempt"`
	// Outcome is how the trial ended.
	Outcome TrialOutcome `json:"outcome"`
}

// TrialOutcome is how a trial ended.
type TrialOutcome string

const (
	// TrialSurvived clears the request.
	TrialSurvived TrialOutcome = "survived"
	// TrialCrashed quarantines the request.
	TrialCrashed TrialOutcome = "crashed"
	// TrialNotRun says nothing about the request; it may be tried again.
	TrialNotRun TrialOutcome = "not_run"
)

// Checkpoint is the state of a stream's ledger as of the entry before Through.
// It is a fact about a fixed prefix, so a late or repeated checkpoint does no
// harm: a reader without the prefix starts from the checkpoint and then
// applies every entry from Through on.
type Checkpoint struct {
	// Through is the first offset that the state does not include.
	Through int64 `json:"through"`
	// State is the ledger's own encoding.
	State json.RawMessage `json:"state"`
}

// Group is the content of one log entry.
type Group struct {
	// Records holds at most MaxGroup records in order.
	Records []Record `json:"records"`
}

// ErrMalformed marks bytes that are not a group of records. Readers count and
// skip such an entry.
var ErrMalformed = errors.New("malformed log entry")

// Encode returns the bytes of one log entry.
func Encode(g Group) ([]byte, error) {
	if len(g.Records) == 0 || len(g.Records) > MaxGroup {
		return nil, errors.Newf("a group holds 1 to %d records, not %d", MaxGroup, len(g.Records))
	}
	return json.Marshal(g)
}

// Decode parses one log entry and checks that each record has an identifier
// and exactly one body.
func Decode(data []byte) (Group, error) {
	var g Group
	if err := json.Unmarshal(data, &g); err != nil {
		return Group{}, errors.Mark(errors.Wrap(err, "log entry"), ErrMalformed)
	}
	if len(g.Records) == 0 || len(g.Records) > MaxGroup {
		return Group{}, errors.Mark(errors.Newf("group of %d records", len(g.Records)), ErrMalformed)
	}
	for i, r := range g.Records {
		if r.ID == "" || r.bodyCount() != 1 {
			return Group{}, errors.Mark(errors.Newf("record %d lacks an identifier or one body", i), ErrMalformed)
		}
	}
	return g, nil
}

// bodies counts the bodies that are set.
func (r Record) bodyCount() int {
	n := 0
	for _, set := range []bool{
		r.Config != nil, r.Lease != nil, r.Renewal != nil, r.Form != nil,
		r.Dissolve != nil, r.Claim != nil, r.Release != nil, r.Outcome != nil,
		r.Suspect != nil, r.Trial != nil, r.TrialEnd != nil, r.Checkpoint != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
