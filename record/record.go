// Package record defines the typed records that tamarackcleat stores in the
// platform's append-only log, and their encoding.
//
// One log entry holds a Group of records, so that a single append can write
// many records. Each record has a unique identifier. A writer that does not know
// whether an append succeeded repeats it with the same identifiers, and readers
// ignore all copies of a record but the first. A Position is a record's place in
// its stream.
package record

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Streams of the log. The records of calls are sharded over CallShards streams.
const (
	// StreamConfig holds the changes of the configuration.
	StreamConfig = "config"
	// StreamControl holds the records of the control lease and of replicas.
	StreamControl = "control"
	// StreamSuspects holds the records of requests suspected of crashing their
	// replicas, and of the trials of these requests.
	StreamSuspects = "suspects"
	// streamCallsPrefix and the number of a shard make the name of a stream
	// that holds the claims, releases and outcomes of calls.
	streamCallsPrefix = "calls-"
)

// MaxGroup is the maximum number of records in one log entry.
const MaxGroup = 1 << positionIndexBits

// positionIndexBits is the number of low bits of a Position that hold the
// record's index within its log entry.
const positionIndexBits = 10

// Position is the place of a record in its stream. Positions increase with the
// log's offsets and are never reused, so they serve as the terms of the control
// lease and as the generations of replicas, which are the fencing numbers of
// orders.
type Position int64

// NoPosition stands for no record; it is less than the position of any record.
const NoPosition Position = 0

// At returns the position of the record with the given index, from 0, in the log
// entry at offset.
func At(offset int64, index int) Position {
	return Position((offset+1)<<positionIndexBits | int64(index))
}

// EntryOffset returns the log offset of the entry that holds the record.
func (p Position) EntryOffset() int64 {
	return int64(p>>positionIndexBits) - 1
}

// NodeID identifies the process of an entry VM. It is new on each start.
type NodeID string

// Record is one typed record. Exactly one of the pointer fields, its body, is set.
type Record struct {
	// ID is unique to the record; repeated appends of the record keep it.
	ID string `json:"id"`
	// AtMillis is the time by the writer's clock in Unix milliseconds. Whether
	// a record of the control or configuration stream is accepted does not
	// depend on it.
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

// At returns the record's time by the writer's clock.
func (r Record) At() time.Time { return time.UnixMilli(r.AtMillis) }

// ConfigChange replaces the configuration document. It is accepted if
// BaseVersion is the version in force at the record's position and Document is
// valid.
type ConfigChange struct {
	// BaseVersion is the version that the change was made from; 0 if there was
	// none.
	BaseVersion int64 `json:"base"`
	// Document is the complete YAML document as the operator wrote it.
	Document string `json:"document"`
	// Author names the publisher of the change.
	Author string `json:"author,omitempty"`
}

// LeaseClaim claims the control lease. It is accepted if Replaces is the current
// term at the record's position. That position becomes the new term.
type LeaseClaim struct {
	// Holder is the node that claims the lease.
	Holder NodeID `json:"holder"`
	// Replaces is the term that the claim ends; NoPosition if there was none.
	Replaces Position `json:"replaces"`
	// TTLMillis is the time in milliseconds from a claim or renewal until the
	// lease expires. The holder counts it from sending the record, other nodes
	// from reading it.
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseRenewal extends or releases the control lease. It is accepted if Term is
// the current term and the lease was not released.
type LeaseRenewal struct {
	// Term is the holder's term.
	Term Position `json:"term"`
	// Released says that the holder ends the lease instead of extending it.
	Released bool `json:"released,omitempty"`
}

// Formation forms a replica. It is accepted if Term is the current term, none of
// its VMs belongs to a live replica and no live replica has its name. The
// record's position is the replica's generation, the fencing number of orders.
type Formation struct {
	// Term is the term in which the writer holds the control lease.
	Term Position `json:"term"`
	// Replica is the replica's name.
	Replica string `json:"replica"`
	// Model is the model that the replica serves.
	Model string `json:"model"`
	// VMs holds the members in order of rank, from rank 0.
	VMs []port.VMID `json:"vms"`
}

// Dissolution dissolves a replica. It is accepted if Term is the current term
// and the replica is live in that generation.
type Dissolution struct {
	// Term is the term in which the writer holds the control lease.
	Term Position `json:"term"`
	// Replica and Generation identify the replica.
	Replica    string   `json:"replica"`
	Generation Position `json:"generation"`
	// Cause says why the replica is dissolved, for operators and counters. It
	// has no effect on whether the record is accepted.
	Cause string `json:"cause"`
}

// CallClaim claims a call that must not run twice. The first claim of a key is
// accepted; others are rejected unless the accepted one is released before. Only
// the attempt whose claim was accepted may dispatch the call.
type CallClaim struct {
	// Key is the caller's idempotency key, a UUIDv7, prefixed with the team.
	Key string `json:"key"`
	// KeyMillis is the timestamp in the key's UUIDv7 in Unix milliseconds.
	KeyMillis int64 `json:"key_ms"`
	// Digest is a digest of the call's content.
	Digest string `json:"digest"`
	// Class is the name of the call's class.
	Class string `json:"class"`
	// Attempt identifies the attempt; it is unique.
	Attempt string `json:"attempt"`
	// Node is the node that makes the attempt.
	Node NodeID `json:"node"`
}

// CallRelease releases the claim of a call. Only the attempt that holds the claim
// may write it, and only if it is certain that the call did not run.
type CallRelease struct {
	// Key and Attempt identify the claim.
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
}

// CallOutcome stores the answer of a claimed call.
type CallOutcome struct {
	// Key and Attempt identify the claim.
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	// Body is the complete response to the call.
	Body json.RawMessage `json:"body"`
}

// Suspect records that a request was in flight on a replica that crashed.
type Suspect struct {
	// Fingerprint is a digest of the request's content.
	Fingerprint string `json:"fingerprint"`
	// Replica and Generation identify the replica that crashed. Replica is empty if
	// the node knows of the crash only from a peer.
	Replica    string   `json:"replica"`
	Generation Position `json:"generation"`
}

// Trial claims the one trial run that a suspected request may have at a time. It
// is accepted if no trial of the request is under way, or if it replaces the
// current trial because the node that runs that trial is gone.
type Trial struct {
	// Fingerprint is a digest of the request's content.
	Fingerprint string `json:"fingerprint"`
	// Attempt identifies the attempt; it is unique.
	Attempt string `json:"attempt"`
	// Node is the node that makes the attempt.
	Node NodeID `json:"node"`
	// Replaces is the attempt of the trial to replace; empty if there is none.
	Replaces string `json:"replaces,omitempty"`
}

// TrialEnd records how a trial ended.
type TrialEnd struct {
	// Fingerprint and Attempt identify the trial.
	Fingerprint string `json:"fingerprint"`
	Attempt     string `json:"attempt"`
	// Outcome is how the trial ended.
	Outcome TrialOutcome `json:"outcome"`
}

// TrialOutcome is how a trial ended.
type TrialOutcome string

const (
	// TrialSurvived says that the replica did not crash; the request is not a
	// suspect any more.
	TrialSurvived TrialOutcome = "survived"
	// TrialCrashed says that the replica crashed; the request is quarantined.
	TrialCrashed TrialOutcome = "crashed"
	// TrialNotRun says that the request did not run; it may have another trial.
	TrialNotRun TrialOutcome = "not_run"
)

// Checkpoint is the state of a stream's ledger after all entries below offset
// NextOffset. A reader for which the log no longer has these entries starts
// from the checkpoint and then applies every entry from NextOffset on. The
// state depends on these entries alone, so a late or repeated checkpoint does
// no harm.
type Checkpoint struct {
	// NextOffset is the offset of the first entry that State does not include.
	NextOffset int64 `json:"through"`
	// State is the state as the ledger encodes it.
	State json.RawMessage `json:"state"`
}

// Group is the content of one log entry.
type Group struct {
	// Records holds 1 to MaxGroup records in their order in the stream.
	Records []Record `json:"records"`
}

// ErrMalformed marks data that is not a valid encoding of a Group. Readers count
// and skip such a log entry.
var ErrMalformed = errors.New("malformed log entry")

// Encode returns the encoding of one log entry. It fails if the group is empty or
// holds more than MaxGroup records.
func Encode(g Group) ([]byte, error) {
	if len(g.Records) == 0 || len(g.Records) > MaxGroup {
		return nil, errors.Newf("a group must hold 1 to %d records, not %d", MaxGroup, len(g.Records))
	}
	return json.Marshal(g)
}

// Decode parses one log entry. It fails with ErrMalformed if the data does not
// parse, if there are no or more than MaxGroup records, or if a record has no
// identifier or not exactly one body.
func Decode(data []byte) (Group, error) {
	var g Group
	if err := json.Unmarshal(data, &g); err != nil {
		return Group{}, errors.Mark(errors.Wrap(err, "parsing the log entry"), ErrMalformed)
	}
	if len(g.Records) == 0 || len(g.Records) > MaxGroup {
		return Group{}, errors.Mark(errors.Newf("a group with %d records", len(g.Records)), ErrMalformed)
	}
	for i, r := range g.Records {
		if r.ID == "" || r.bodyCount() != 1 {
			return Group{}, errors.Mark(errors.Newf("record %d has no identifier or not exactly one body", i), ErrMalformed)
		}
	}
	return g, nil
}

// bodyCount returns the number of bodies that are set.
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
