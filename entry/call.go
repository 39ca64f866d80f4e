package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/calls"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxKeyLength limits the length of an idempotency key; a UUID has 36 characters.
const maxKeyLength = 64

// claimGrace is how long past its deadline a call with an idempotency key still
// waits for replies of the kernel services, which enforce the deadline themselves.
const claimGrace = 5 * time.Second

// call is one call of a plain service in progress.
type call struct {
	*request
	body      json.RawMessage
	key       string
	keyMillis int64
	attemptID string
}

// callResponse is the JSON body of an answered call.
type callResponse struct {
	RequestID string          `json:"request_id"`
	Verdict   verdict.Verdict `json:"verdict"`
	// Repeated says that Body is the recorded outcome of an earlier attempt.
	Repeated bool            `json:"repeated"`
	Body     json.RawMessage `json:"body"`
}

// serveCall handles POST /v1/calls/{class}.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	q := n.newRequest(w, r)
	body, failure := n.readBody(w, r, maxBodyBytes)
	if failure == nil && !json.Valid(body) {
		failure = verdict.Refuse(verdict.ReasonBadRequest, "the body is not JSON")
	}
	if failure == nil {
		failure = n.resolveClass(q, mux.Vars(r)["class"], dynamic.KindCall, len(body))
	}
	if failure != nil {
		n.refuse(w, q, weakenKeyedRefusal(r, failure))
		return
	}
	c := &call{request: q, body: body, attemptID: newID()}
	answer, failure := c.run(r)
	if failure != nil {
		n.refuse(w, q, failure)
		return
	}
	n.writeCallAnswer(w, c, answer)
}

// weakenKeyedRefusal changes the verdict of a refusal from NotRun to MayHaveRun
// if the request has an idempotency key: an earlier attempt with the key may have
// run, whatever is wrong with this one.
func weakenKeyedRefusal(r *http.Request, e *verdict.Error) *verdict.Error {
	if r.Header.Get(api.HeaderIdempotencyKey) == "" || e.Verdict != verdict.NotRun {
		return e
	}
	return e.WithVerdict(verdict.MayHaveRun)
}

func (n *Node) writeCallAnswer(w http.ResponseWriter, c *call, answer callResponse) {
	n.stats.recordAnswered(c.class, answerTiming{total: time.Since(c.arrivedAt)})
	c.trace.add(api.TraceEvent{Step: "answered", Verdict: verdict.Ran})
	writeJSON(w, http.StatusOK, answer)
}

// run runs the call. If its class is not repeatable, the call needs an
// idempotency key and goes on when the caller disconnects.
func (c *call) run(r *http.Request) (callResponse, *verdict.Error) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.class.Repeatable {
		return c.admitAndRun(ctx)
	}
	if failure := c.parseKey(r); failure != nil {
		return callResponse{}, failure
	}
	return c.runOnce(context.WithoutCancel(ctx))
}

// parseKey reads the idempotency key, which must be a UUIDv7 and is unique within
// the caller's team.
func (c *call) parseKey(r *http.Request) *verdict.Error {
	text := r.Header.Get(api.HeaderIdempotencyKey)
	if text == "" {
		return verdict.Refuse(verdict.ReasonKeyMissing, "calls of class %s need the header %s with a UUIDv7", c.class.Name, api.HeaderIdempotencyKey)
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) > maxKeyLength || id.Version() != 7 {
		return verdict.Refuse(verdict.ReasonKeyInvalid, "the header %s must be a UUIDv7", api.HeaderIdempotencyKey)
	}
	c.key = c.team + "/" + id.String()
	c.keyMillis = keyMillis(id)
	return nil
}

// keyMillis returns the timestamp of a UUIDv7 in Unix milliseconds.
func keyMillis(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// runOnce claims the idempotency key, runs the call and records the outcome; if
// an earlier attempt recorded one, it returns that. ctx must not end with the
// caller's connection, so that the outcome is recorded for the caller's next
// attempt.
func (c *call) runOnce(ctx context.Context) (callResponse, *verdict.Error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(claimGrace))
	defer cancel()
	msg, err := c.node.kernel.Ask(ctx, calls.Name, func(id kernel.AskID) kernel.Message {
		return calls.Submit{
			Ask:       id,
			Key:       c.key,
			KeyMillis: c.keyMillis,
			Digest:    digest(c.class.Name, string(c.body)),
			Class:     c.class.Name,
			Attempt:   c.attemptID,
			Deadline:  c.deadline,
		}
	})
	if err != nil {
		return callResponse{}, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "no answer about the claim")
	}
	switch m := msg.(type) {
	case calls.RecordedAnswer:
		return callResponse{RequestID: c.id, Verdict: verdict.Ran, Repeated: true, Body: m.Body}, nil
	case calls.Dispatch:
		return c.runClaimed(ctx)
	case *verdict.Error:
		return callResponse{}, m
	default:
		return callResponse{}, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "unexpected answer of calls: %T", msg)
	}
}

// runClaimed runs a call whose key is claimed and records its outcome. If the
// call fails, it releases the claim if the call did not run, and otherwise marks
// the claim as in doubt.
func (c *call) runClaimed(ctx context.Context) (callResponse, *verdict.Error) {
	c.trace.add(api.TraceEvent{Step: "claimed"})
	answer, failure := c.admitAndRun(ctx)
	switch {
	case failure == nil:
		c.recordOutcome(ctx, answer.Body)
		return answer, nil
	case failure.Verdict == verdict.NotRun:
		c.node.kernel.Post(calls.Name, calls.ReleaseClaim{Key: c.key, Attempt: c.attemptID})
	default:
		c.node.kernel.Post(calls.Name, calls.EndInDoubt{Key: c.key, Attempt: c.attemptID})
	}
	return callResponse{}, failure
}

// recordOutcome appends the outcome to the log and waits for a limited time until
// it is read back. The log service keeps trying an append that is not confirmed
// in time.
func (c *call) recordOutcome(ctx context.Context, body json.RawMessage) {
	msg, err := c.node.kernel.Ask(ctx, calls.Name, func(id kernel.AskID) kernel.Message {
		return calls.RecordOutcome{Ask: id, Key: c.key, Attempt: c.attemptID, Body: body}
	})
	if m, ok := msg.(calls.OutcomeRecorded); err != nil || !ok || !m.Recorded {
		c.node.stats.count("call.outcome_not_confirmed")
	}
}

// admitAndRun waits for admission and runs the call. A call whose class is not
// repeatable is retried only while every attempt is proved not to have run.
func (c *call) admitAndRun(ctx context.Context) (callResponse, *verdict.Error) {
	if _, failure := c.admit(ctx); failure != nil {
		return callResponse{}, failure
	}
	body, failure := c.runAttempts(ctx)
	c.endAdmission(failure == nil)
	if failure != nil {
		return callResponse{}, failure
	}
	c.node.kernel.Post(retry.Name, retry.Succeeded{Class: c.class.Name})
	return callResponse{RequestID: c.id, Verdict: verdict.Ran, Body: body}, nil
}

// runAttempts tries upstreams until one answers or a retry is refused. The
// failure has the worst verdict of all attempts.
func (c *call) runAttempts(ctx context.Context) (json.RawMessage, *verdict.Error) {
	var exclude []string
	worst := verdict.NotRun
	for attempt := 1; ; attempt++ {
		body, upstream, failure := c.attempt(ctx, exclude)
		if failure == nil {
			return body, nil
		}
		withheld := c.wasWithheld(failure)
		worst = worst.Combine(failure.Verdict)
		failure = failure.WithVerdict(worst)
		if ctx.Err() != nil {
			return nil, c.contextFailure(failure)
		}
		if withheld {
			attempt--
			continue
		}
		if !notTaken(failure) {
			exclude = append(exclude, upstream)
		}
		if failure := c.retry(ctx, failure, attempt, false); failure != nil {
			return nil, failure
		}
	}
}

// attempt sends the call to one upstream.
func (c *call) attempt(ctx context.Context, exclude []string) (json.RawMessage, string, *verdict.Error) {
	u, failure := c.pick(ctx, balance.ServicePool(c.class.Service), exclude, nil)
	if failure != nil {
		return nil, "", failure
	}
	started := time.Now()
	answer, err := c.node.upstream.Call(c.send(ctx, u), u.Address, port.CallRequest{
		RequestID:      c.id,
		Class:          c.class.Name,
		IdempotencyKey: c.key,
		Body:           c.body,
	})
	took := time.Since(started)
	if err != nil {
		failure = verdict.FromError(err)
	}
	c.node.kernel.Post(router.Name, router.Finished{
		RequestID: c.id, Upstream: u.ID, OK: err == nil, NotTaken: notTaken(failure), FirstToken: took,
	})
	if failure == nil {
		return answer.Body, u.ID, nil
	}
	if c.wasWithheld(failure) {
		return nil, u.ID, failure
	}
	c.trace.add(api.TraceEvent{Step: "failed", Upstream: u.ID, Verdict: failure.Verdict, Reason: failure.Reason, Detail: failure.Detail})
	c.node.suspectUpstream(u.ID, failure)
	return nil, u.ID, failure
}
