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
	// KeyWindow is how long after its time an idempotency key is judged. The
	// log must keep entries longer than KeyWindow + KeySkew.
	KeyWindow = time.Hour
	// KeySkew is how far a key's time may lie in the claimer's future.
	KeySkew = time.Minute
)

// CallPhase is how far a claimed call has come.
type CallPhase string

const (
	// CallClaimed means that an attempt may dispatch the call; without an
	// outcome it is in doubt.
	CallClaimed CallPhase = "claimed"
	// CallDone means that the outcome is recorded.
	CallDone CallPhase = "done"
	// CallFree means that every claim so far was released.
	CallFree CallPhase = "free"
)

// Call is what the ledger knows of one idempotency key.
type Call struct {
	// Key is the idempotency key with its team.
	Key string `json:"key"`
	// KeyMillis is the time inside the key.
	KeyMillis int64 `json:"key_ms"`
	// Phase is how far the call has come.
	Phase CallPhase `json:"phase"`
	// Digest identifies the content of the first claim.
	Digest string `json:"digest"`
	// Attempt holds the claim.
	Attempt string `json:"attempt"`
	// Node is the claimer.
	Node record.NodeID `json:"node"`
	// Released holds the attempts that gave their claims back.
	Released []string `json:"released,omitempty"`
	// Lost holds the identifiers of claims that lost, so that a late copy of
	// one does not win after a release.
	Lost []string `json:"lost,omitempty"`
	// Body is the recorded answer.
	Body json.RawMessage `json:"body,omitempty"`
}

// Calls is the ledger of one shard of claims. Keys leave it when they leave
// the window, measured by the stream's own time: the latest writer's clock
// among its records.
type Calls struct {
	logTime int64
	calls   map[string]*Call
	oldest  callHeap
}

// callsState is the encoding of a Calls.
type callsState struct {
	LogTime int64  `json:"log_time"`
	Calls   []Call `json:"calls"`
}

// NewCalls returns the ledger before the first record.
func NewCalls() *Calls {
	c := &Calls{}
	c.Reset()
	return c
}

// Call returns what is known of a key.
func (c *Calls) Call(key string) (Call, bool) {
	e, ok := c.calls[key]
	if !ok {
		return Call{}, false
	}
	return *e, true
}

// Len returns the number of keys in the window.
func (c *Calls) Len() int { return len(c.calls) }

// Apply implements Ledger.
func (c *Calls) Apply(_ record.Position, r record.Record) Result {
	if r.Claim == nil && r.Release == nil && r.Outcome == nil {
		return rejected(CauseWrongStream)
	}
	c.advance(r.AtMillis)
	switch {
	case r.Claim != nil:
		return c.claim(r.ID, r.AtMillis, *r.Claim)
	case r.Release != nil:
		return c.release(*r.Release)
	default:
		return c.finish(*r.Outcome)
	}
}

// advance moves the stream's time and drops keys that left the window.
func (c *Calls) advance(at int64) {
	c.logTime = max(c.logTime, at)
	horizon := c.logTime - KeyWindow.Milliseconds()
	for len(c.oldest) > 0 && c.oldest[0].KeyMillis < horizon {
		old := heap.Pop(&c.oldest).(*Call)
		delete(c.calls, old.Key)
	}
}

func (c *Calls) claim(id string, at int64, r record.CallClaim) Result {
	tooOld := r.KeyMillis < c.logTime-KeyWindow.Milliseconds()
	tooNew := r.KeyMillis > at+KeySkew.Milliseconds()
	if tooOld || tooNew {
		return rejected(CauseOutsideWindow)
	}
	known, ok := c.calls[r.Key]
	if !ok {
		c.add(&Call{Key: r.Key, KeyMillis: r.KeyMillis, Phase: CallFree, Digest: r.Digest})
		known = c.calls[r.Key]
	}
	if known.Attempt == r.Attempt || slices.Contains(known.Released, r.Attempt) || slices.Contains(known.Lost, id) {
		return rejected(CauseDuplicate)
	}
	if known.Phase != CallFree {
		known.Lost = append(known.Lost, id)
		return rejected(CauseKeyClaimed)
	}
	if known.Digest != r.Digest {
		return rejected(CauseInvalid)
	}
	known.Phase = CallClaimed
	known.Attempt = r.Attempt
	known.Node = r.Node
	return accepted()
}

func (c *Calls) release(r record.CallRelease) Result {
	known, ok := c.calls[r.Key]
	if !ok || known.Phase != CallClaimed || known.Attempt != r.Attempt {
		return rejected(CauseNotClaimant)
	}
	known.Phase = CallFree
	known.Released = append(known.Released, r.Attempt)
	known.Attempt = ""
	return accepted()
}

func (c *Calls) finish(r record.CallOutcome) Result {
	known, ok := c.calls[r.Key]
	if !ok || known.Phase != CallClaimed || known.Attempt != r.Attempt {
		return rejected(CauseNotClaimant)
	}
	known.Phase = CallDone
	known.Body = r.Body
	return accepted()
}

func (c *Calls) add(e *Call) {
	c.calls[e.Key] = e
	heap.Push(&c.oldest, e)
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
		return errors.Wrap(err, "calls checkpoint")
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
	c.oldest = nil
}

// callHeap orders calls by the time of their keys.
type callHeap []*Call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].KeyMillis < h[j].KeyMillis }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *callHeap) Push(x any) { *h = append(*h, x.(*Call)) }

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
