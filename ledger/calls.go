package ledger

import (
	"container/heap"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// KeyWindow is how long an idempotency key can be claimed after the
	// timestamp in the key. The log must keep entries longer than KeyWindow +
	// MaxKeySkew; package logfollow requires another MaxKeySkew.
	KeyWindow = time.Hour
	// MaxKeySkew is how far the timestamp in an idempotency key may be ahead of
	// the clock of the node that claims the key.
	MaxKeySkew = time.Minute
)

// CallPhase is the state of a call with an idempotency key.
type CallPhase string

const (
	// CallClaimed means that an attempt holds the claim and may dispatch the
	// call. It is unknown whether the call ran until its outcome is recorded.
	CallClaimed CallPhase = "claimed"
	// CallDone means that the outcome of the call is recorded.
	CallDone CallPhase = "done"
	// CallUnclaimed means that every claim so far was released, so that the
	// next one takes effect.
	CallUnclaimed CallPhase = "free"
)

// Call is the state of one idempotency key.
type Call struct {
	// Key is the idempotency key, prefixed with the team.
	Key string `json:"key"`
	// KeyMillis is the time in the idempotency key in Unix milliseconds.
	KeyMillis int64 `json:"key_ms"`
	// Phase is the state of the call.
	Phase CallPhase `json:"phase"`
	// Digest identifies the content of the call in the first claim. Later
	// claims must have the same digest.
	Digest string `json:"digest"`
	// Attempt identifies the attempt that holds the claim; empty if the claim
	// was released.
	Attempt string `json:"attempt"`
	// Node is the node that wrote the latest accepted claim.
	Node record.NodeID `json:"node"`
	// ReleasedAttempts holds the attempts that released their claims.
	ReleasedAttempts []string `json:"released,omitempty"`
	// RejectedClaimIDs holds the record identifiers of the claims that were
	// rejected because another attempt held the claim. A late copy of such a
	// record stays without effect after a release.
	RejectedClaimIDs []string `json:"lost,omitempty"`
	// Body is the answer recorded as the outcome of the call.
	Body json.RawMessage `json:"body,omitempty"`
}

// Calls is the ledger of one shard of call claims. It drops an idempotency key
// once the timestamp in the key, a UUIDv7, is more than KeyWindow before the
// stream's time, which is the latest Record.AtMillis of the records applied so
// far.
type Calls struct {
	// logTime is the stream's time in Unix milliseconds.
	logTime   int64
	calls     map[string]*Call
	byKeyTime keyTimeHeap
}

// callsState is the encoded state of a Calls ledger.
type callsState struct {
	LogTime int64  `json:"log_time"`
	Calls   []Call `json:"calls"`
}

// NewCalls returns a ledger without any key.
func NewCalls() *Calls {
	c := &Calls{}
	c.Reset()
	return c
}

// Call returns the state of an idempotency key, and false if the ledger does
// not hold the key.
func (c *Calls) Call(key string) (Call, bool) {
	call, ok := c.calls[key]
	if !ok {
		return Call{}, false
	}
	return *call, true
}

// Len returns the number of keys that the ledger holds.
func (c *Calls) Len() int { return len(c.calls) }

// Apply implements Ledger.
func (c *Calls) Apply(_ record.Position, r record.Record) Result {
	if r.Claim == nil && r.Release == nil && r.Outcome == nil {
		return rejected(CauseWrongStream)
	}
	c.advanceTime(r.AtMillis)
	switch {
	case r.Claim != nil:
		return c.claim(r.ID, r.AtMillis, *r.Claim)
	case r.Release != nil:
		return c.release(*r.Release)
	default:
		return c.recordOutcome(*r.Outcome)
	}
}

// advanceTime moves the stream's time up to at, unless it is later already, and
// drops the keys that are older than KeyWindow.
func (c *Calls) advanceTime(at int64) {
	c.logTime = max(c.logTime, at)
	oldestKept := c.logTime - KeyWindow.Milliseconds()
	for len(c.byKeyTime) > 0 && c.byKeyTime[0].KeyMillis < oldestKept {
		expired := heap.Pop(&c.byKeyTime).(*Call)
		delete(c.calls, expired.Key)
	}
}

func (c *Calls) claim(id string, at int64, r record.CallClaim) Result {
	tooOld := r.KeyMillis < c.logTime-KeyWindow.Milliseconds()
	tooNew := r.KeyMillis > at+MaxKeySkew.Milliseconds()
	if tooOld || tooNew {
		return rejected(CauseOutsideWindow)
	}
	call, ok := c.calls[r.Key]
	if !ok {
		c.add(&Call{Key: r.Key, KeyMillis: r.KeyMillis, Phase: CallUnclaimed, Digest: r.Digest})
		call = c.calls[r.Key]
	}
	if call.Attempt == r.Attempt || slices.Contains(call.ReleasedAttempts, r.Attempt) || slices.Contains(call.RejectedClaimIDs, id) {
		return rejected(CauseDuplicate)
	}
	if call.Phase != CallUnclaimed {
		call.RejectedClaimIDs = append(call.RejectedClaimIDs, id)
		return rejected(CauseKeyClaimed)
	}
	if call.Digest != r.Digest {
		return rejected(CauseInvalid)
	}
	call.Phase = CallClaimed
	call.Attempt = r.Attempt
	call.Node = r.Node
	return accepted()
}

func (c *Calls) release(r record.CallRelease) Result {
	call, ok := c.calls[r.Key]
	if !ok || call.Phase != CallClaimed || call.Attempt != r.Attempt {
		return rejected(CauseNotClaimant)
	}
	call.Phase = CallUnclaimed
	call.ReleasedAttempts = append(call.ReleasedAttempts, r.Attempt)
	call.Attempt = ""
	return accepted()
}

func (c *Calls) recordOutcome(r record.CallOutcome) Result {
	call, ok := c.calls[r.Key]
	if !ok || call.Phase != CallClaimed || call.Attempt != r.Attempt {
		return rejected(CauseNotClaimant)
	}
	call.Phase = CallDone
	call.Body = r.Body
	return accepted()
}

func (c *Calls) add(call *Call) {
	c.calls[call.Key] = call
	heap.Push(&c.byKeyTime, call)
}

// Snapshot implements Ledger.
func (c *Calls) Snapshot() (json.RawMessage, error) {
	s := callsState{LogTime: c.logTime}
	for _, key := range slices.Sorted(maps.Keys(c.calls)) {
		s.Calls = append(s.Calls, *c.calls[key])
	}
	return json.Marshal(s)
}

// Restore implements Ledger.
func (c *Calls) Restore(state json.RawMessage) error {
	var s callsState
	if err := json.Unmarshal(state, &s); err != nil {
		return errors.Wrap(err, "decoding the state of the calls ledger")
	}
	c.Reset()
	c.logTime = s.LogTime
	for i := range s.Calls {
		c.add(&s.Calls[i])
	}
	return nil
}

// Reset implements Ledger.
func (c *Calls) Reset() {
	c.logTime = 0
	c.calls = map[string]*Call{}
	c.byKeyTime = nil
}

// keyTimeHeap implements heap.Interface with the oldest key at the root.
type keyTimeHeap []*Call

func (h keyTimeHeap) Len() int           { return len(h) }
func (h keyTimeHeap) Less(i, j int) bool { return h[i].KeyMillis < h[j].KeyMillis }
func (h keyTimeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *keyTimeHeap) Push(x any) { *h = append(*h, x.(*Call)) }

// Pop implements heap.Interface.
func (h *keyTimeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
