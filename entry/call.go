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

// maxKeyLength bounds an idempotency key; a UUID has 36 characters.
const maxKeyLength = 64

// claimGrace is how long after the deadline a claimed call still waits for the
// answers of services, which keep the deadline themselves.
const claimGrace = 5 * time.Second

// call is one call of a plain service on its way.
type call struct {
	*request
	body      json.RawMessage
	key       string
	keyMillis int64
	attemptID string
}

// callAnswer is the JSON of an answered call.
type callAnswer struct {
	RequestID string          `json:"request_id"`
	Verdict   verdict.Verdict `json:"verdict"`
	// Repeated says that the answer is that of an earlier attempt.
	Repeated bool            `json:"repeated"`
	Body     json.RawMessage `json:"body"`
}

// serveCall answers POST /v1/calls/{class}.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request) {
	q := n.newRequest(w, r)
	body, failure := n.readBody(w, r, maxBodyBytes)
	if failure == nil && !json.Valid(body) {
		failure = verdict.Refuse(verdict.ReasonBadRequest, "the body is not JSON")
	}
	if failure == nil {
		failure = n.resolve(q, mux.Vars(r)["class"], dynamic.KindCall, len(body))
	}
	if failure != nil {
		n.refuse(w, q, keyed(r, failure))
		return
	}
	c := &call{request: q, body: body, attemptID: newID()}
	answer, failure := c.run(r)
	if failure != nil {
		n.refuse(w, q, failure)
		return
	}
	n.answeredCall(w, c, answer)
}

// keyed weakens a refusal of a call with a key: an earlier attempt with the
// key may have run, whatever is wrong with this one.
func keyed(r *http.Request, e *verdict.Error) *verdict.Error {
	if r.Header.Get(api.HeaderIdempotencyKey) == "" || e.Verdict != verdict.NotRun {
		return e
	}
	return e.WithVerdict(verdict.MayHaveRun)
}

func (n *Node) answeredCall(w http.ResponseWriter, c *call, answer callAnswer) {
	n.stats.answered(c.class, timing{whole: time.Since(c.arrived)})
	c.trace.add(api.TraceEvent{Step: "answered", Verdict: verdict.Ran})
	writeJSON(w, http.StatusOK, answer)
}

// run runs the call as its class allows.
func (c *call) run(r *http.Request) (callAnswer, *verdict.Error) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.class.Repeatable {
		return c.runRepeatable(ctx)
	}
	if failure := c.parseKey(r); failure != nil {
		return callAnswer{}, failure
	}
	return c.runOnce(context.WithoutCancel(ctx))
}

// parseKey reads the idempotency key.
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

// keyMillis returns the time inside a UUIDv7 in Unix milliseconds.
func keyMillis(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// runOnce claims the key, dispatches and records the outcome. It does not
// depend on the caller's connection: the outcome is recorded for the caller's
// next try.
func (c *call) runOnce(ctx context.Context) (callAnswer, *verdict.Error) {
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
		return callAnswer{}, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "no answer about the claim")
	}
	switch m := msg.(type) {
	case calls.RecordedAnswer:
		return callAnswer{RequestID: c.id, Verdict: verdict.Ran, Repeated: true, Body: m.Body}, nil
	case calls.Dispatch:
		return c.dispatch(ctx)
	case *verdict.Error:
		return callAnswer{}, m
	default:
		return callAnswer{}, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "unexpected answer of calls: %T", msg)
	}
}

// dispatch runs a claimed call.
func (c *call) dispatch(ctx context.Context) (callAnswer, *verdict.Error) {
	c.trace.add(api.TraceEvent{Step: "claimed"})
	answer, failure := c.runRepeatable(ctx)
	switch {
	case failure == nil:
		c.record(ctx, answer.Body)
		return answer, nil
	case failure.Verdict == verdict.NotRun:
		c.node.kernel.Post(calls.Name, calls.ReleaseClaim{Key: c.key, Attempt: c.attemptID})
	default:
		c.node.kernel.Post(calls.Name, calls.EndInDoubt{Key: c.key, Attempt: c.attemptID})
	}
	return callAnswer{}, failure
}

// record appends the outcome and waits a little for its read-back.
func (c *call) record(ctx context.Context, body json.RawMessage) {
	msg, err := c.node.kernel.Ask(ctx, calls.Name, func(id kernel.AskID) kernel.Message {
		return calls.RecordOutcome{Ask: id, Key: c.key, Attempt: c.attemptID, Body: body}
	})
	if m, ok := msg.(calls.OutcomeRecorded); err != nil || !ok || !m.Recorded {
		c.node.stats.count("call.outcome_not_confirmed")
	}
}

// runRepeatable admits the call and tries upstreams as its class allows. A
// class that is not repeatable is tried again only while every attempt was
// proved not run.
func (c *call) runRepeatable(ctx context.Context) (callAnswer, *verdict.Error) {
	if _, failure := c.admit(ctx); failure != nil {
		return callAnswer{}, failure
	}
	body, failure := c.attempts(ctx)
	c.leave(failure == nil)
	if failure != nil {
		return callAnswer{}, failure
	}
	c.node.kernel.Post(retry.Name, retry.Succeeded{Class: c.class.Name})
	return callAnswer{RequestID: c.id, Verdict: verdict.Ran, Body: body}, nil
}

func (c *call) attempts(ctx context.Context) (json.RawMessage, *verdict.Error) {
	var exclude []string
	worst := verdict.NotRun
	for attempt := 1; ; attempt++ {
		body, upstream, failure := c.attempt(ctx, exclude)
		if failure == nil {
			return body, nil
		}
		worst = worst.Combine(failure.Verdict)
		failure = failure.WithVerdict(worst)
		if ctx.Err() != nil {
			return nil, c.gone(failure)
		}
		exclude = append(exclude, upstream)
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
	answer, err := c.node.upstream.Call(ctx, u.Address, port.CallRequest{
		RequestID: c.id,
		Class:     c.class.Name,
		Key:       c.key,
		Body:      c.body,
	})
	took := time.Since(started)
	c.node.kernel.Post(router.Name, router.Finished{RequestID: c.id, Upstream: u.ID, OK: err == nil, FirstToken: took})
	if err == nil {
		return answer.Body, u.ID, nil
	}
	failure = verdict.FromError(err)
	c.trace.add(api.TraceEvent{Step: "failed", Upstream: u.ID, Verdict: failure.Verdict, Reason: failure.Reason, Detail: failure.Detail})
	c.node.suspectUpstream(u.ID, failure)
	return nil, u.ID, failure
}
