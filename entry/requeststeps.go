package entry

import (
	"context"
	"time"

	"github.com/tamarackcleat/tamarackcleat/admission"
	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// admit waits until admission lets the request run and returns its priority. The
// request then holds a slot until endAdmission.
func (q *request) admit(ctx context.Context) (priority int, failure *verdict.Error) {
	msg, failure := q.node.ask(ctx, admission.Name, func(id kernel.AskID) kernel.Message {
		return admission.Arrive{Ask: id, RequestID: q.id, Class: q.class.Name, Team: q.team, Deadline: q.deadline}
	})
	if failure != nil {
		q.node.kernel.Post(admission.Name, admission.Cancel{RequestID: q.id})
		return 0, failure
	}
	switch m := msg.(type) {
	case admission.Admitted:
		q.admittedAt = time.Now()
		q.trace.add(api.TraceEvent{Step: "admitted"})
		return m.Priority, nil
	case *verdict.Error:
		return 0, m
	default:
		return 0, verdict.Refuse(verdict.ReasonInternal, "unexpected answer of admission: %T", msg)
	}
}

// endAdmission tells admission that an admitted request ended, and how long it ran
// if it ran to its end.
func (q *request) endAdmission(ran bool) {
	var service time.Duration
	if ran {
		service = time.Since(q.admittedAt)
	}
	q.node.kernel.Post(admission.Name, admission.Done{RequestID: q.id, Service: service})
}

// pick selects an upstream that is not excluded. If every upstream is excluded,
// it selects one regardless: health checking knows the unreachable ones by then,
// and the others may be tried again.
func (q *request) pick(ctx context.Context, pool string, exclude []string, prefixes []uint64) (balance.Upstream, *verdict.Error) {
	u, failure := q.pickFrom(ctx, pool, exclude, prefixes)
	if failure != nil && failure.Reason == verdict.ReasonNoReplica && len(exclude) > 0 {
		return q.pickFrom(ctx, pool, nil, prefixes)
	}
	return u, failure
}

// pickFrom selects an upstream that is not excluded; it refuses if there is none. While
// all of them pause it waits, if the time suffices.
func (q *request) pickFrom(ctx context.Context, pool string, exclude []string, prefixes []uint64) (balance.Upstream, *verdict.Error) {
	var ask kernel.AskID
	msg, failure := q.node.ask(ctx, router.Name, func(id kernel.AskID) kernel.Message {
		ask = id
		return router.Pick{
			Ask:          id,
			RequestID:    q.id,
			Pool:         pool,
			PrefixHashes: prefixes,
			Exclude:      exclude,
			Class:        q.class.Name,
			PromptBytes:  q.promptBytes,
			Deadline:     q.deadline,
		}
	})
	if failure != nil {
		q.node.kernel.Post(router.Name, router.CancelPick{Ask: ask, RequestID: q.id})
		return balance.Upstream{}, failure
	}
	switch m := msg.(type) {
	case router.Picked:
		if m.Waited > 0 {
			q.trace.add(api.TraceEvent{Step: "waited", Upstream: m.Upstream.ID, Detail: "all upstreams paused, for " + m.Waited.String()})
		}
		q.trace.add(api.TraceEvent{Step: "routed", Upstream: m.Upstream.ID})
		return m.Upstream, nil
	case *verdict.Error:
		return balance.Upstream{}, m
	default:
		return balance.Upstream{}, verdict.Refuse(verdict.ReasonInternal, "unexpected answer of the router: %T", msg)
	}
}

// retry waits until the next attempt is due and returns nil. It returns a failure
// if no retry is allowed or ctx ends first. progressed says that the failed
// attempt delivered tokens.
func (q *request) retry(ctx context.Context, failure *verdict.Error, attempt int, progressed bool) *verdict.Error {
	msg, refused := q.node.ask(ctx, retry.Name, func(id kernel.AskID) kernel.Message {
		return retry.Failed{Ask: id, Failure: retry.Failure{
			Class:      q.class.Name,
			Repeatable: q.repeatable(),
			Err:        failure,
			Attempt:    attempt,
			Remaining:  time.Until(q.deadline),
			Progressed: progressed,
		}}
	})
	if refused != nil {
		return failure
	}
	decision, ok := msg.(retry.Decision)
	if !ok || !decision.Retry {
		return failure
	}
	q.trace.add(api.TraceEvent{Step: "retried", Reason: decision.Reason})
	select {
	case <-time.After(decision.Wait):
		return nil
	case <-ctx.Done():
		return q.contextFailure(failure)
	}
}

// contextFailure returns the failure of a request whose context ended because the
// caller disconnected or the deadline passed. The verdict is that of the given
// failure.
func (q *request) contextFailure(failure *verdict.Error) *verdict.Error {
	if time.Now().Before(q.deadline) {
		return verdict.New(failure.Verdict, verdict.ReasonCanceled, "the caller went away")
	}
	return verdict.New(failure.Verdict, verdict.ReasonDeadline, "not answered in time: %s", failure.Detail)
}
