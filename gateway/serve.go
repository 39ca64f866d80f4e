package gateway

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/callerlimit"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// defaultTimeout bounds a request without a deadline of its own on a route without
// a timeout.
const defaultTimeout = 30 * time.Second

// retryAfterFailure is the default delay after which a caller may retry. A replica
// that lost a VM serves again after one to two seconds.
const retryAfterFailure = 500 * time.Millisecond

// forwarder forwards one request of a caller to upstreams and relays the answer. It
// is used by one goroutine.
type forwarder struct {
	node *Node
	w    http.ResponseWriter
	req  *Request
	// conn is the caller's connection; nil if it is not counted.
	conn *callerlimit.Conn
	// body is the request's body; nil if it has none or it was not kept.
	body *bounded.Input
	// view is what the request is judged by. Its configuration was current at
	// configProvedAt, by the boot clock, or later.
	view           *fleet.View
	configProvedAt time.Duration

	route     fleet.Route
	service   fleet.Service
	team      fleet.Team
	arrivedAt time.Time
	// waited is how long ago the caller probably first tried; about 0 if this is its first
	// request.
	waited time.Duration
	// deadline is when the caller stops waiting or the route's timeout ends,
	// whichever is earlier.
	deadline time.Time

	// sends counts the upstreams that the request was sent to; attempts counts those
	// that may have run it; exclude lists all upstream instances that were tried.
	sends, attempts int
	exclude         []string
	// worst is the verdict on all attempts together.
	worst verdict.Verdict
	// failure is what an upstream answered with that failed to run the request; nil if
	// none did.
	failure *failureAnswer
	// next is the try that takes the place of an attempt that was moved; nil if there
	// is none.
	next *try
	// suspectIDs caches the result of suspects.
	suspectIDs []string
	// failover says that an attempt was ended because its upstream stopped making
	// progress.
	failover bool
	// withheld says that the last attempt was not written to its upstream, and
	// withheldCount how many were not.
	withheld      bool
	withheldCount int
	events        eventBuffer
	// relayedPosition holds how much of the stream was relayed, for moves of the
	// attempt.
	relayedPosition atomic.Pointer[position]
	// answerStarted says that the answer's header was sent to the caller, at
	// firstByteAt.
	answerStarted bool
	firstByteAt   time.Time
	// lastSentAt is when events were last sent to the caller; longestPause is the
	// longest time between two such moments.
	lastSentAt   time.Time
	longestPause time.Duration
	status       int
}

// serve handles a request of a caller.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.requestSeen.Store(true)
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f := &forwarder{node: n, w: w, conn: callerlimit.FromContext(r.Context()), arrivedAt: time.Now()}
	f.takeView()
	defer f.releaseBody()
	if e := f.prepare(r); e != nil {
		f.refuse(e)
		return
	}
	f.setWriteDeadline()
	ctx, cancel := f.withDeadline(r.Context())
	defer cancel()
	e := f.relayFailure(r.Context(), f.run(ctx))
	f.finish(r.Context(), e)
}

// takeView takes the newest view. The time of the proof is read first, so that the view's
// configuration is at least as new as the one that was proved to be current.
func (f *forwarder) takeView() {
	f.configProvedAt = f.node.state.configProvedAt()
	f.view = f.node.state.View()
}

// configAge returns the age of the proof that the configuration of the view is current.
func (f *forwarder) configAge() time.Duration { return bootclock.Now() - f.configProvedAt }

// errNodeStopping is the cause for requests that are still in flight when the node stops.
var errNodeStopping = errors.New("the node is shutting down")

// withDeadline returns a context for the request, which ends with the caller's, at the
// request's deadline or when the node ends its requests.
func (f *forwarder) withDeadline(caller context.Context) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(caller)
	stopAfter := context.AfterFunc(f.node.requestsEnd, func() { end(errNodeStopping) })
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	return ctx, func() {
		stopAfter()
		cancel()
		end(nil)
	}
}

// prepare decodes the request, finds its route, team and service, and sets the
// deadline.
func (f *forwarder) prepare(r *http.Request) *verdict.Error {
	req, err := f.node.deps.Protocol.Decode(r)
	f.req = req
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, "%v", err)
	}
	if f.view.Config == nil {
		return refuseNoConfig()
	}
	// A request that is refused anyway holds no memory while a large body comes.
	keepBody := !hasLargeBody(r) || f.resolve() == nil
	if e := f.readBody(r, keepBody); e != nil {
		return e
	}
	f.takeView()
	if e := f.resolve(); e != nil {
		return e
	}
	if !keepBody {
		return verdict.Refuse(verdict.ReasonConfigStale, "the configuration has changed while the body came").WithRetryAfter(retryAfterFailure)
	}
	f.setDeadline()
	if f.req.Timeout > 0 {
		f.waited = f.node.callerTimeouts.waited(f.arrivedAt, f.route.Name, f.deadline.Sub(f.arrivedAt))
	}
	return f.refuseStopping()
}

// refuseNoConfig returns the refusal of a request before the first configuration.
func refuseNoConfig() *verdict.Error {
	return verdict.Refuse(verdict.ReasonNoConfig, "the node has no configuration yet").WithRetryAfter(retryAfterFailure)
}

// setDeadline sets the deadline from the route's timeout and the caller's.
func (f *forwarder) setDeadline() {
	f.deadline = f.arrivedAt.Add(defaultTimeout)
	if t := f.route.Timeout; t > 0 {
		f.deadline = f.arrivedAt.Add(t)
	}
	if p := f.req.Timeout; p > 0 && f.arrivedAt.Add(p).Before(f.deadline) {
		f.deadline = f.arrivedAt.Add(p)
	}
}

// refuseStopping returns the refusal of a request that can't end before the node stops; nil
// if it can.
func (f *forwarder) refuseStopping() *verdict.Error {
	if !f.node.cannotFinish(f.deadline) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonStopping, "%v", errNodeStopping).WithRetryAfter(retryAfterStopping)
}

// setWriteDeadline bounds the writing of the answer, so that a caller that reads
// nothing can't hold the request beyond its deadline. The server sets the deadline anew
// for the next request on the connection.
func (f *forwarder) setWriteDeadline() {
	// An error means that the connection is gone already, which the write shows.
	_ = http.NewResponseController(f.w).SetWriteDeadline(f.deadline.Add(writeGrace))
}

const (
	// retryAfterStopping is the delay after which a caller may retry a request
	// that a stopping node refused; another node can serve it at once.
	retryAfterStopping = 10 * time.Millisecond
	// streamAnswerTime is the time that a stream is expected to take at most.
	streamAnswerTime = 5 * time.Second
)

// resolve finds the route of the request, the team that holds its API key and the
// service that answers it.
func (f *forwarder) resolve() *verdict.Error {
	if e := f.resolveRoute(); e != nil {
		return e
	}
	if c := f.view.Config; c.RequireKey && !f.route.Public {
		if age := f.configAge(); f.node.tooOldForKeys(age) {
			return verdict.Refuse(verdict.ReasonConfigStale, "the configuration was last proved current %v ago", age).WithRetryAfter(retryAfterFailure)
		}
		team, ok := c.Teams[f.req.Key]
		if !ok {
			return f.refuseUnknown(verdict.ReasonAPIKeyUnknown, "no team holds the key")
		}
		f.team = team
	}
	return nil
}

// resolveRoute finds the route of the request and the service that answers it.
func (f *forwarder) resolveRoute() *verdict.Error {
	c := f.view.Config
	route, ok := c.Match(f.req.Host, f.req.Path)
	if !ok {
		return f.refuseUnknown(verdict.ReasonNoRoute, "no route serves the host and path")
	}
	f.route = route
	f.service = c.Services[f.pickService()]
	return nil
}

// unknownMaxProofAge is the age of the proof that the configuration is current above
// which the node may have missed a change that must be in force already. Changes
// must be in force after two seconds; on a healthy node the proof is at most 1.3 s
// old.
const unknownMaxProofAge = 1800 * time.Millisecond

// refuseUnknown refuses a request whose route or API key is not in the
// configuration. If the node may have missed a newer configuration, the refusal
// gives ReasonConfigStale instead of reason, and the caller may retry.
func (f *forwarder) refuseUnknown(reason verdict.Reason, detail string) *verdict.Error {
	if f.configAge() > unknownMaxProofAge {
		return verdict.Refuse(verdict.ReasonConfigStale, "%s, but the configuration may be outdated", detail).
			WithRetryAfter(retryAfterFailure)
	}
	return verdict.Refuse(reason, "%s", detail)
}

// pickService selects a service by the weights of the route. The choice depends only
// on the request id, so requests with the same id go to the same service.
func (f *forwarder) pickService() string {
	total := 0
	for _, s := range f.route.Split {
		total += max(0, s.Weight)
	}
	if total == 0 {
		if len(f.route.Split) > 0 {
			return f.route.Split[0].Service
		}
		return ""
	}
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(f.req.ID))
	at := int(h.Sum64() % uint64(total))
	for _, s := range f.route.Split {
		at -= max(0, s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return f.route.Split[0].Service
}

// priority returns the priority of the request, that of its team if it has one and
// else that of its route; 0 is the most urgent.
func (f *forwarder) priority() int {
	if f.team.HasPriority {
		return f.team.Priority
	}
	return f.route.Priority
}

// refuse answers the request with a failure that the node itself reports. The
// failure is logged and counted as a refusal only if the request has not run.
func (f *forwarder) refuse(e *verdict.Error) {
	event, counter := decisions.RequestRefused, "refused."
	if e.Verdict != verdict.NotRun {
		event, counter = decisions.RequestFailed, "failed."
	}
	f.node.count(counter + string(e.Reason))
	f.node.logger.Info(event, f.logFields("verdict", e.Verdict, "reason", e.Reason, "detail", e.Detail,
		"attempts", f.attempts, "retry_after_ms", e.RetryAfter.Milliseconds(), "after_ms", millisSince(f.arrivedAt))...)
	f.node.deps.Protocol.AddRequestID(f.w.Header(), f.req)
	writeFailure(f.w, e)
}

// finish logs and counts the outcome of the request after the last attempt. It
// answers a failed request, or closes the connection if the caller has disconnected
// or a part of the answer has been sent.
func (f *forwarder) finish(caller context.Context, e *verdict.Error) {
	switch {
	case e == nil:
		f.node.count("answered")
		first := float64(f.firstByteAt.Sub(f.arrivedAt).Microseconds()) / 1e3
		f.node.recordDuration(f.route.Name, stageFirst, f.firstByteAt.Sub(f.arrivedAt))
		f.node.recordDuration(f.route.Name, stageWhole, time.Since(f.arrivedAt))
		if f.longestPause > 0 {
			f.node.recordDuration(f.route.Name, stagePause, f.longestPause)
		}
		f.node.logger.Info(decisions.RequestAnswered, f.logFields("status", f.status, "attempts", f.attempts,
			"first_ms", first, "pause_ms", f.longestPause.Milliseconds(), "whole_ms", millisSince(f.arrivedAt))...)
	case caller.Err() != nil:
		f.node.count("caller_left")
		f.node.logger.Info(decisions.RequestAbandoned, f.logFields("attempts", f.attempts, "after_ms", millisSince(f.arrivedAt))...)
		panic(http.ErrAbortHandler)
	case f.answerStarted:
		f.node.count("broken." + string(e.Reason))
		f.node.logger.Warn(decisions.RequestBroken, f.logFields("reason", e.Reason, "detail", e.Detail, "attempts", f.attempts,
			"events", f.events.count, "after_ms", millisSince(f.arrivedAt))...)
		panic(http.ErrAbortHandler)
	default:
		f.refuse(e)
	}
}

// logFields returns the fields that each log line on the request has, followed by
// more.
func (f *forwarder) logFields(more ...any) []any {
	out := []any{"id", "", "route", f.route.Name, "team", f.team.Name, "config", int64(0),
		"config_age_ms", f.configAge().Milliseconds()}
	if f.req != nil {
		out[1] = f.req.ID
	}
	if f.view.Config != nil {
		out[7] = f.view.Config.Version
	}
	return append(out, more...)
}

// takeRetry takes one retry out of the service's retry budget. It reports false if
// the budget is used up.
func (f *forwarder) takeRetry() bool {
	n := f.node
	n.retryBudgetMu.Lock()
	defer n.retryBudgetMu.Unlock()
	return n.retryBudget(f.service.Name).Spend(time.Now())
}

// countRequest adds the request to those that the service's retry budget is
// computed from.
func (f *forwarder) countRequest() {
	n := f.node
	n.retryBudgetMu.Lock()
	defer n.retryBudgetMu.Unlock()
	n.retryBudget(f.service.Name).RecordRequest(time.Now())
}

const (
	// retryBudgetShare is the part of a service's retry budget that the nodes
	// use, so that the sum of their shares stays below the budget even when the
	// load of the nodes is uneven.
	retryBudgetShare = 0.75
	// minBudgetNodes is the least number of nodes by which Bounds.RetrySlack is
	// divided: the retries to a service that all nodes together may make in a
	// window beyond RetryRatio times its requests. A node that receives no messages
	// from other nodes may just be disconnected from them, so it must not take the
	// whole slack for itself.
	minBudgetNodes = 6
)

// retryBudget returns this node's share of a service's retry budget. The share
// counts only requests that arrived at this node, and Bounds.RetrySlack is divided
// by the number of nodes, which is taken to be at least minBudgetNodes.
func (n *Node) retryBudget(service string) *retry.Window {
	bounds := n.Settings().Bounds
	nodes := minBudgetNodes
	if n.peers != nil {
		nodes = max(nodes, 1+n.peers.LiveCount())
	}
	ratio, slack := retryBudgetShare*bounds.RetryRatio, retryBudgetShare*bounds.RetrySlack/float64(nodes)
	w, ok := n.retryBudgets[service]
	if !ok {
		w = retry.NewWindow(retry.WindowConfig{Length: bounds.RetryWindow})
		n.retryBudgets[service] = w
	}
	w.Configure(ratio, slack)
	return w
}
