// Package calls is the kernel service that makes a call which must not be
// repeated take effect at most once.
//
// Each attempt to run a call goes through three steps: claim, dispatch and
// outcome. The attempt appends a claim of the call's idempotency key to the log.
// It dispatches the call only after it has read the claim back and found that the
// claim was accepted: it is the first claim of the key, not counting released ones.
// The attempt may release the claim before the dispatch, or after a dispatch that
// did not run the call, but never after a dispatch that may have run it. The
// outcome is appended to the log, and a caller that sends the key again gets the
// recorded answer.
//
// The verdict that a caller gets applies to the key, not only to the attempt. "Not
// run" is returned only by an attempt whose claim was accepted and which knows that
// its dispatch did not run, or when no node can have run the call. Every other
// refusal says "may have run", because an earlier attempt with the same key may
// have run through another node.
package calls

import (
	"encoding/json"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Name is the service's registered name.
const Name = "calls"

// Submit asks to run a call. The reply is Dispatch, RecordedAnswer or
// *verdict.Error.
type Submit struct {
	Ask kernel.AskID
	// Key is the caller's idempotency key with its team. KeyMillis is the
	// time that the key contains, in milliseconds since the Unix epoch.
	Key       string
	KeyMillis int64
	// Digest identifies the content of the call.
	Digest string
	// Class is the class of the call.
	Class string
	// Attempt identifies the submission; it is unique.
	Attempt string
	// Deadline ends the wait for the claim or for the outcome of another
	// attempt.
	Deadline time.Time
}

// Dispatch is the reply to a Submit message whose attempt holds the claim and may run
// the call.
type Dispatch struct {
	// ClaimedAt is when the claim was written, by this node's clock.
	ClaimedAt time.Time
}

// RecordedAnswer is the reply to a Submit message with a key whose answer is in the
// log.
type RecordedAnswer struct {
	Body json.RawMessage
}

// RecordOutcome records the answer of a dispatched call. The reply is
// OutcomeRecorded.
type RecordOutcome struct {
	Ask     kernel.AskID
	Key     string
	Attempt string
	Body    json.RawMessage
}

// OutcomeRecorded is the reply to RecordOutcome.
type OutcomeRecorded struct {
	// Recorded is true if the outcome was read back from the log in time. If
	// it was not, the append may still succeed later.
	Recorded bool
}

// ReleaseClaim releases the claim of an attempt whose dispatch did not run.
type ReleaseClaim struct {
	Key     string
	Attempt string
}

// EndInDoubt ends an attempt whose dispatch may have run the call. The claim is
// kept, so that the call isn't run again.
type EndInDoubt struct {
	Key     string
	Attempt string
}

// waitTimeout is the timer message that ends the wait of a Submit or RecordOutcome
// message for its reply.
type waitTimeout struct{ attempt string }

// abandonedExpired is the timer message that removes an abandoned attempt.
type abandonedExpired struct{ attempt string }

// refuseMayHaveRun returns a refusal that leaves open whether the call of the same
// key ran before. verdict.Refuse, in contrast, says that it did not run.
func refuseMayHaveRun(r verdict.Reason, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, r, format, args...)
}
