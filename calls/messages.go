// Package calls is the kernel service that lets a call that may not be
// repeated take effect at most once.
//
// The protocol is claim, dispatch, outcome. An attempt appends a claim of the
// idempotency key and dispatches only after it has read the claim back and
// found it the first of its key. Before the dispatch it may release the claim;
// after a dispatch that may have run it never does. The outcome is appended,
// and a resend of the key gets the recorded answer.
//
// What a caller is told holds for the key, not only for the attempt: "not run"
// is said only by an attempt that held the first claim and knows that its
// dispatch did not run, or when no node can have run the call. Any other
// refusal says "may have run", because an earlier attempt of the same key may
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

// Submit asks to run a call. The reply is one of Dispatch, Recorded and
// *verdict.Error.
type Submit struct {
	Ask kernel.AskID
	// Key is the caller's key with its team; KeyMillis is the time inside it.
	Key       string
	KeyMillis int64
	// Digest identifies the content.
	Digest string
	// Class is the class of the call.
	Class string
	// Attempt is unique per submission.
	Attempt string
	// Deadline ends the wait for a claim or another attempt's outcome.
	Deadline time.Time
}

// Dispatch tells the attempt that it holds the claim and may run the call.
type Dispatch struct {
	// ClaimedAt is when the claim was written, by this node's clock.
	ClaimedAt time.Time
}

// Recorded gives the answer that an earlier attempt recorded.
type Recorded struct {
	Body json.RawMessage
}

// Finish records the answer of a dispatched call. The reply is Finished.
type Finish struct {
	Ask     kernel.AskID
	Key     string
	Attempt string
	Body    json.RawMessage
}

// Finished says whether the outcome was read back in time; the log service
// keeps on trying if it was not.
type Finished struct {
	Recorded bool
}

// GiveBack releases the claim of an attempt whose dispatch did not run.
type GiveBack struct {
	Key     string
	Attempt string
}

// InDoubt ends an attempt whose dispatch may have run.
type InDoubt struct {
	Key     string
	Attempt string
}

// waitOver is the timer that ends the wait of a submission or a finish.
type waitOver struct{ attempt string }

// forget is the timer that drops an abandoned attempt.
type forget struct{ attempt string }

// refuse is a refusal that leaves open whether the key ran before.
func refuse(r verdict.Reason, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, r, format, args...)
}
