// Package verdict classifies failures by whether the request may have run.
//
// The package guarantees that an error is NotRun only if no byte of the request
// can have reached an upstream, or if the upstream itself reported that it did
// not run the request. A failure that can't be proved NotRun is MayHaveRun. Only
// NotRun permits the retry of a request that is not idempotent.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have run on an upstream.
type Verdict string

const (
	// NotRun means that the request is proved not to have run.
	NotRun Verdict = "not_run"
	// MayHaveRun means that the request may or may not have run.
	MayHaveRun Verdict = "may_have_run"
	// Ran means that the request ran to completion.
	Ran Verdict = "ran"
)

// Reason is the machine-readable cause of a refusal or a retry. The metrics
// count each reason separately.
type Reason string

const (
	// ReasonBadRequest marks a malformed request.
	ReasonBadRequest Reason = "bad_request"
	// ReasonTooLarge marks a request that exceeds a size limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonBodiesMemory marks a request whose body does not fit into the memory for the
	// bodies of all requests in progress.
	ReasonBodiesMemory Reason = "bodies_memory_full"
	// ReasonSlowBody: the request's body made too little progress.
	ReasonSlowBody Reason = "body_too_slow"
	// ReasonUnknownClass marks a class that the configuration does not declare.
	ReasonUnknownClass Reason = "unknown_class"
	// ReasonNoRoute marks a host and path that no route serves.
	ReasonNoRoute Reason = "no_route"
	// ReasonAPIKeyUnknown marks an API key that no team holds.
	ReasonAPIKeyUnknown Reason = "api_key_unknown"
	// ReasonConfigStale marks a node that can't prove that its configuration
	// is current.
	ReasonConfigStale Reason = "configuration_stale"
	// ReasonBadAnswer marks an upstream's answer that violates the protocol.
	ReasonBadAnswer Reason = "bad_answer"
	// ReasonUpstreamError marks a request that the upstream itself reported as failed.
	ReasonUpstreamError Reason = "upstream_error"
	// ReasonStopping marks a node that is shutting down and could not answer in
	// the time left.
	ReasonStopping Reason = "node_stopping"
	// ReasonUnknownRequest marks a query about a request id that the node does not
	// know.
	ReasonUnknownRequest Reason = "unknown_request"
	// ReasonNoConfig marks a node that has not read a configuration yet.
	ReasonNoConfig Reason = "no_configuration"
	// ReasonNoReplica marks a class that has no complete replica, or no
	// upstream that can take the request.
	ReasonNoReplica Reason = "no_complete_replica"
	// ReasonDeadline marks a request that can no longer be answered within its
	// target or deadline.
	ReasonDeadline Reason = "deadline_unreachable"
	// ReasonQueueFull marks a class whose queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTeamLimit marks a team that is over its fair share.
	ReasonTeamLimit Reason = "team_over_fair_share"
	// ReasonRetryBudget marks a class whose retry budget is used up.
	ReasonRetryBudget Reason = "retry_budget_spent"
	// ReasonQuarantined marks a request whose content has crashed upstreams.
	ReasonQuarantined Reason = "request_quarantined"
	// ReasonPartQuarantined marks a request with a part of a prompt that has crashed
	// upstreams.
	ReasonPartQuarantined Reason = "prompt_part_quarantined"
	// ReasonSuspectBusy marks a request that is suspected of crashing
	// upstreams and is already being run as a trial.
	ReasonSuspectBusy Reason = "suspect_trial_in_progress"
	// ReasonUpstreamRefused marks an upstream that reported that it did not run
	// the request.
	ReasonUpstreamRefused Reason = "upstream_refused"
	// ReasonUpstreamBusy marks an upstream that refused the request because of its
	// load.
	ReasonUpstreamBusy Reason = "upstream_busy"
	// ReasonUpstreamPaused marks an upstream that refused a request and wants no
	// requests for some time, or a request that was not sent to such an upstream.
	ReasonUpstreamPaused Reason = "upstream_paused"
	// ReasonUpstreamLeaving marks an upstream that refused a request because its
	// process is about to end, or a request that was not sent to such an upstream.
	ReasonUpstreamLeaving Reason = "upstream_leaving"
	// ReasonUpstreamGone marks a request that was not sent because the upstream stopped
	// taking requests after it had been selected.
	ReasonUpstreamGone Reason = "upstream_gone"
	// ReasonAllPaused marks a request whose time does not suffice for the earliest
	// end of the pauses that all its upstreams have asked for.
	ReasonAllPaused Reason = "all_upstreams_paused"
	// ReasonZoneEvacuated marks a request whose upstreams are all in evacuated zones, or
	// that was not sent to an upstream because its zone is evacuated.
	ReasonZoneEvacuated Reason = "zone_evacuated"
	// ReasonUpstreamCold marks a request whose upstreams are all cold and get no more
	// requests from this node now, or that was not sent to such an upstream.
	ReasonUpstreamCold Reason = "upstream_cold"
	// ReasonConnect marks a connection that could not be established.
	ReasonConnect Reason = "connect_failed"
	// ReasonNoPath marks a node that can connect neither to upstreams nor to another node
	// that could for it.
	ReasonNoPath Reason = "no_path_to_upstreams"
	// ReasonUpstreamLost marks a connection that was lost after bytes of the
	// request were sent.
	ReasonUpstreamLost Reason = "upstream_lost"
	// ReasonStalled marks an upstream that stopped making progress.
	ReasonStalled Reason = "upstream_stalled"
	// ReasonLogUnavailable marks an append to the log, or a read of the appended
	// record, that the log did not serve.
	ReasonLogUnavailable Reason = "log_unavailable"
	// ReasonKeyMissing marks a call without an idempotency key.
	ReasonKeyMissing Reason = "idempotency_key_missing"
	// ReasonKeyInvalid marks an idempotency key that is not a UUIDv7.
	ReasonKeyInvalid Reason = "idempotency_key_invalid"
	// ReasonKeyOutsideWindow marks an idempotency key that is too old or too new to
	// tell whether its call has run.
	ReasonKeyOutsideWindow Reason = "idempotency_key_outside_window"
	// ReasonKeyReused marks an idempotency key that was used before with other
	// content.
	ReasonKeyReused Reason = "idempotency_key_reused"
	// ReasonInDoubt marks a call with an earlier attempt whose outcome is unknown.
	ReasonInDoubt Reason = "in_doubt"
	// ReasonInProgress marks a call with an earlier attempt that may still be
	// running.
	ReasonInProgress Reason = "in_progress"
	// ReasonNotCaughtUp marks a node that has not read the log far enough to
	// decide.
	ReasonNotCaughtUp Reason = "log_not_caught_up"
	// ReasonConflict marks a configuration change based on a superseded version.
	ReasonConflict Reason = "version_conflict"
	// ReasonInvalidConfig marks a configuration that fails validation.
	ReasonInvalidConfig Reason = "invalid_configuration"
	// ReasonCanceled marks a request whose caller disconnected.
	ReasonCanceled Reason = "caller_canceled"
	// ReasonInternal marks an internal error of the node.
	ReasonInternal Reason = "internal"
)

// Error is a failure with its verdict and reason.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Detail explains the failure to a person; it never holds request content.
	Detail string
	// RetryAfter, if positive, is how long a caller should wait before it
	// tries again.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// New returns an Error with a verdict, a reason and a formatted detail.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Refuse returns an Error for a request that did not run (NotRun).
func Refuse(r Reason, format string, args ...any) *Error {
	return New(NotRun, r, format, args...)
}

// WithRetryAfter returns a copy of e that tells callers to wait for d before
// they try again.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithVerdict returns a copy of e with the verdict v.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = v
	return &c
}

// FromError returns the first Error in err's chain. For an err without one it
// returns a MayHaveRun Error, because nothing proves that the request did not
// run.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonInternal, "%v", err)
}

// Combine returns the verdict on a request whose attempts had the verdicts v
// and w. The result is NotRun only if both attempts are NotRun; otherwise it is
// v, or w if v is NotRun.
func (v Verdict) Combine(w Verdict) Verdict {
	if v == NotRun {
		return w
	}
	return v
}

// AllowsRetry reports whether a request whose last attempt had the verdict v
// may be sent again. Set idempotent if running the request twice does no harm.
func (v Verdict) AllowsRetry(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}
