// Package ledger judges the records of each log stream.
//
// The guarantee: a ledger's state and its verdict on each record are functions
// of the stream's prefix alone. No clock, no node's identity and no answer of
// an append takes part, so all readers of the same prefix agree. Clocks decide
// only when somebody tries to append a record, never which record won.
package ledger

import (
	"encoding/json"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// Result is a ledger's verdict on one record.
type Result struct {
	// Accepted says that the record took effect.
	Accepted bool
	// Cause says why it did not; it is also the name of a counter.
	Cause Cause
}

// Cause is why a record took no effect.
type Cause string

// Causes of records without effect.
const (
	// CauseNone is the cause of accepted records.
	CauseNone Cause = ""
	// CauseWrongStream marks a record that does not belong to the stream.
	CauseWrongStream Cause = "wrong_stream"
	// CauseDuplicate marks a repeated record.
	CauseDuplicate Cause = "duplicate"
	// CauseStaleBase marks a configuration made from a superseded version.
	CauseStaleBase Cause = "stale_base"
	// CauseInvalid marks content that does not validate.
	CauseInvalid Cause = "invalid"
	// CauseStaleTerm marks a record of a former or unknown lease holder.
	CauseStaleTerm Cause = "stale_term"
	// CauseVMTaken marks a formation with a VM of a live replica.
	CauseVMTaken Cause = "vm_taken"
	// CauseNameTaken marks a formation whose name is in use.
	CauseNameTaken Cause = "name_taken"
	// CauseUnknownReplica marks a dissolution of no live replica.
	CauseUnknownReplica Cause = "unknown_replica"
	// CauseOutsideWindow marks a claim whose key is too old or too new.
	CauseOutsideWindow Cause = "outside_window"
	// CauseKeyClaimed marks a claim of a key that another attempt claimed.
	CauseKeyClaimed Cause = "key_claimed"
	// CauseNotClaimant marks a record of an attempt that holds no claim.
	CauseNotClaimant Cause = "not_claimant"
	// CauseTrialTaken marks a trial of a request that is already tried.
	CauseTrialTaken Cause = "trial_taken"
)

// Ledger is the state of one stream.
type Ledger interface {
	// Apply judges one record and takes it in if it is accepted. Positions
	// grow from call to call.
	Apply(pos record.Position, r record.Record) Result
	// Snapshot encodes the state.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the state by an encoded one.
	Restore(state json.RawMessage) error
	// Reset returns to the state before the first record.
	Reset()
}

// accepted is the verdict on a record that took effect.
func accepted() Result { return Result{Accepted: true} }

// rejected is the verdict on a record without effect.
func rejected(c Cause) Result { return Result{Cause: c} }
