// Package verdict classifies failures by whether the request may have run.
//
// The guarantee: an error is NotRun only if no byte of the request can have
// reached an upstream, or the upstream itself said that it did not run the
// request. Everything that can't be proved NotRun is MayHaveRun. Only NotRun
// permits a retry of a call that may not be repeated.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have run on an upstream.
type Verdict string

const (
	// NotRun means that the request certainly did not run.
	NotRun Verdict = "not_run"
	// MayHaveRun means that the request may or may not have run.
	MayHaveRun Verdict = "may_have_run"
	// Ran means that the request ran to its end.
	Ran Verdict = "ran"
)

// Reason is the machine-readable cause of a refusal or a retry. Each reason
// has a counter of its own.
type Reason string

const (
	// ReasonBadRequest marks input that can't be understood.
	ReasonBadRequest Reason = "bad_request"
	// ReasonTooLarge marks input over a size limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonUnknownClass marks a class that the configuration does not declare.
	ReasonUnknownClass Reason = "unknown_class"
	// ReasonNoRoute marks a host and path that no route serves.
	ReasonNoRoute Reason = "no_route"
	// ReasonAPIKeyUnknown marks an API key that no team holds.
	ReasonAPIKeyUnknown Reason = "api_key_unknown"
	// ReasonConfigStale marks a node that can't show that its configuration
	// is current.
	ReasonConfigStale Reason = "configuration_stale"
	// ReasonBadAnswer marks an upstream's answer that breaks the protocol.
	ReasonBadAnswer Reason = "bad_answer"
	// ReasonUpstreamError marks an upstream's own failure of the request.
	ReasonUpstreamError Reason = "upstream_error"
	// ReasonStopping marks a node that ends before it could answer.
	ReasonStopping Reason = "node_stopping"
	// ReasonUnknownRequest marks a request id that the node does not know.
	ReasonUnknownRequest Reason = "unknown_request"
	// ReasonNoConfig marks a node that has no configuration yet.
	ReasonNoConfig Reason = "no_configuration"
	// ReasonNoReplica marks a class without a complete replica or service.
	ReasonNoReplica Reason = "no_complete_replica"
	// ReasonDeadline marks a request whose target can no longer be met.
	ReasonDeadline Reason = "deadline_unreachable"
	// ReasonQueueFull marks a class whose queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTeamLimit marks a team that is over its fair share.
	ReasonTeamLimit Reason = "team_over_fair_share"
	// ReasonRetryBudget marks a class whose retry budget is spent.
	ReasonRetryBudget Reason = "retry_budget_spent"
	// ReasonQuarantined marks a request that crashed its upstreams before.
	ReasonQuarantined Reason = "request_quarantined"
	// ReasonSuspectBusy marks a suspect whose trial runs elsewhere just now.
	ReasonSuspectBusy Reason = "suspect_trial_in_progress"
	// ReasonUpstreamRefused marks an upstream that said it did not run the request.
	ReasonUpstreamRefused Reason = "upstream_refused"
	// ReasonUpstreamBusy marks an upstream that refused for its load.
	ReasonUpstreamBusy Reason = "upstream_busy"
	// ReasonConnect marks a connection that was never established.
	ReasonConnect Reason = "connect_failed"
	// ReasonUpstreamLost marks a connection lost after bytes were sent.
	ReasonUpstreamLost Reason = "upstream_lost"
	// ReasonStalled marks an upstream that stopped making progress.
	ReasonStalled Reason = "upstream_stalled"
	// ReasonLogUnavailable marks an append or a read-back the log did not serve.
	ReasonLogUnavailable Reason = "log_unavailable"
	// ReasonKeyMissing marks a call without an idempotency key.
	ReasonKeyMissing Reason = "idempotency_key_missing"
	// ReasonKeyInvalid marks a key that is not a UUIDv7.
	ReasonKeyInvalid Reason = "idempotency_key_invalid"
	// ReasonKeyOutsideWindow marks a key that is too old or too new to judge.
	ReasonKeyOutsideWindow Reason = "idempotency_key_outside_window"
	// ReasonKeyReused marks a key that came before with other content.
	ReasonKeyReused Reason = "idempotency_key_reused"
	// ReasonInDoubt marks a call whose first attempt has no known outcome.
	ReasonInDoubt Reason = "in_doubt"
	// ReasonInProgress marks a call whose first attempt still runs.
	ReasonInProgress Reason = "in_progress"
	// ReasonNotCaughtUp marks a node that has not read the log far enough.
	ReasonNotCaughtUp Reason = "log_not_caught_up"
	// ReasonConflict marks a configuration based on a superseded version.
	ReasonConflict Reason = "version_conflict"
	// ReasonInvalidConfig marks a configuration that does not validate.
	ReasonInvalidConfig Reason = "invalid_configuration"
	// ReasonCanceled marks a request whose caller went away.
	ReasonCanceled Reason = "caller_canceled"
	// ReasonInternal marks a fault of this system.
	ReasonInternal Reason = "internal"
)

// Error is a failure with its verdict and reason.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Detail is for people; it never holds request content.
	Detail string
	// RetryAfter, when positive, is the earliest useful time to try again.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// New returns an error with a verdict, a reason and a formatted detail.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Refuse returns a NotRun error.
func Refuse(r Reason, format string, args ...any) *Error {
	return New(NotRun, r, format, args...)
}

// WithRetryAfter returns a copy of e that advises when to try again.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithVerdict returns a copy of e with another verdict.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = v
	return &c
}

// From returns the verdict error inside err. An error without a verdict is
// MayHaveRun, because nothing proves that the request did not run.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonInternal, "%v", err)
}

// Worse returns the verdict on a request whose attempts had the verdicts v and
// w: it may have run if any attempt may have.
func (v Verdict) Worse(w Verdict) Verdict {
	if v == NotRun {
		return w
	}
	return v
}

// Repeatable reports whether a request with this verdict may be sent again.
// idempotent says that running the request twice does no harm.
func (v Verdict) Repeatable(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}
