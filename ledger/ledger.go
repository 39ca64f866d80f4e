// Package ledger decides which records of each log stream take effect and keeps
// the state that results from them.
//
// The guarantee: a ledger's state and its verdict on each record depend only on
// the records of the stream up to that point. They depend on no local clock, on
// no node's identity and on no response to an append, so all readers of the
// same records agree. A clock decides only when a node tries to append a
// record, never which of several records takes effect.
package ledger

import (
	"encoding/json"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// Result is a ledger's verdict on one record.
type Result struct {
	// Accepted says that the record took effect.
	Accepted bool
	// Cause says why the record took no effect. Rejected records are counted
	// by cause.
	Cause Cause
}

// Cause is the reason for which a record took no effect.
type Cause string

// Causes of Result.
const (
	// CauseNone is the cause of accepted records.
	CauseNone Cause = ""
	// CauseWrongStream means that the stream does not carry records of this
	// kind.
	CauseWrongStream Cause = "wrong_stream"
	// CauseDuplicate means that the record, or one with the same effect, was
	// processed before.
	CauseDuplicate Cause = "duplicate"
	// CauseStaleBase means that a configuration change was made against a
	// version other than the one in force.
	CauseStaleBase Cause = "stale_base"
	// CauseInvalid means that the record's content is not valid.
	CauseInvalid Cause = "invalid"
	// CauseStaleTerm means that the record does not name the current term of
	// the control lease, or that the lease was released and the record is not
	// a claim of it.
	CauseStaleTerm Cause = "stale_term"
	// CauseVMTaken means that a formation names a VM of a live replica.
	CauseVMTaken Cause = "vm_taken"
	// CauseNameTaken means that a formation uses the name of a live replica.
	CauseNameTaken Cause = "name_taken"
	// CauseUnknownReplica means that a dissolution names a replica that is not
	// live, or gives a generation other than that of the live replica with the
	// name.
	CauseUnknownReplica Cause = "unknown_replica"
	// CauseOutsideWindow means that the time in a claim's key is older than
	// KeyWindow or more than MaxKeySkew in the future.
	CauseOutsideWindow Cause = "outside_window"
	// CauseKeyClaimed means that another attempt has claimed the key.
	CauseKeyClaimed Cause = "key_claimed"
	// CauseNotClaimant means that the record releases or completes a call whose
	// claim its attempt does not hold, or ends a trial that its attempt does
	// not run. A trial is a run of a suspect, which is a request that may have
	// crashed an upstream, by one attempt at a time. CauseNotClaimant also marks a
	// record that starts a trial of a request that is not a suspect, or by an
	// attempt whose earlier trial has ended.
	CauseNotClaimant Cause = "not_claimant"
	// CauseTrialTaken means that another attempt runs the trial of the request,
	// or that the request is quarantined.
	CauseTrialTaken Cause = "trial_taken"
)

// Ledger is the state of one log stream.
type Ledger interface {
	// Apply decides whether a record takes effect and, if it does, changes
	// the state. Positions must increase from call to call.
	Apply(pos record.Position, r record.Record) Result
	// Snapshot returns the encoded state.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the state with one that Snapshot returned. If it cannot
	// be decoded, the state stays as it was.
	Restore(state json.RawMessage) error
	// Reset replaces the state with that before the first record.
	Reset()
}

// accepted returns the verdict on a record that took effect.
func accepted() Result { return Result{Accepted: true} }

// rejected returns the verdict on a record that took no effect.
func rejected(c Cause) Result { return Result{Cause: c} }
