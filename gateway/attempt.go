package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxSends bounds the upstreams that one request is sent to, including those that
// are proved not to have run it.
const maxSends = 4

// Limits on answers that are not streams, and their names.
const (
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 8 << 20
	limitAnswer    = "answer"
	// answersMemoryBytes bounds the memory of all large answers that are being
	// received together; the smallest entry VMs have less than 200 MB.
	answersMemoryBytes = 16 << 20
	limitAnswersMemory = "answers_memory"
)

// run sends the request to one upstream after the other until it is answered or must
// not be sent again. The error it returns has the verdict on all attempts together.
func (f *forwarder) run(ctx context.Context) *verdict.Error {
	f.countRequest()
	f.events.lastID = f.req.LastEvent
	worst := verdict.NotRun
	for sends := 1; ; sends++ {
		if e := f.admitParts(ctx); e != nil {
			return e.WithVerdict(worst)
		}
		last := sends >= maxSends
		e := f.attempt(ctx, last)
		f.releaseParts()
		if e == nil {
			return nil
		}
		worst = worst.Combine(e.Verdict)
		e = e.WithVerdict(worst)
		if ctx.Err() != nil {
			return f.contextError(ctx, e)
		}
		if last || !f.repeatable(e) {
			return e
		}
		if e.Reason == verdict.ReasonNoReplica {
			return e
		}
		if !f.takeRetry() {
			f.node.count("retry.denied." + string(verdict.ReasonRetryBudget))
			return e
		}
		f.node.count("retry." + string(e.Reason))
		f.node.logger.Info(decisions.RequestRetried, f.logFields("reason", e.Reason, "verdict", e.Verdict, "detail", e.Detail,
			"attempt", sends, "last_event", f.events.lastID, "after_ms", millisSince(f.arrivedAt))...)
	}
}

// repeatable reports whether the request may be sent again after the failure e.
func (f *forwarder) repeatable(e *verdict.Error) bool {
	if e.Verdict == verdict.NotRun {
		return true
	}
	return f.route.Repeatable() && f.attempts < f.route.MaxAttempts
}

// contextError returns the failure of a request whose context has ended: its deadline
// passed or its caller disconnected.
func (f *forwarder) contextError(ctx context.Context, e *verdict.Error) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(e.Verdict, verdict.ReasonDeadline, "no answer within the time: %s", e.Detail)
	}
	return verdict.New(e.Verdict, verdict.ReasonCanceled, "the caller disconnected")
}

// attempt sends the request to one upstream and relays its answer. The last attempt
// also relays a failure that the upstream itself answered with.
func (f *forwarder) attempt(ctx context.Context, last bool) *verdict.Error {
	view := f.node.state.View()
	targets := usableTargets(view.Targets(f.service.Name, f.model()), bootclock.Now(), f.node.Settings().Bounds.DrainTime)
	req := dispatch.Request{PromptTokens: f.req.PromptTokens, Exclude: f.exclude, Failover: f.failover}
	assignment, ok := f.node.balancer.Pick(time.Now(), f.service.Engine, targets, req)
	if !ok {
		return verdict.Refuse(verdict.ReasonNoReplica, "no room at %d upstreams, %d tried", len(targets), len(f.exclude)).
			WithRetryAfter(noRoomRetryAfter())
	}
	defer func() { f.node.balancer.Done(time.Now(), &assignment) }()
	f.exclude = append(f.exclude, assignment.Target.InstanceKey())
	f.node.announceLoad(assignment.Target.ID)
	f.node.logger.Info(decisions.RequestSent, f.logFields("upstream", assignment.Target.ID, "replica", assignment.Target.Replica,
		"load", assignment.Load, "unread", assignment.PendingPromptTokens, "prompt", f.req.PromptTokens, "predicted_ms", assignment.Predicted.Milliseconds(),
		"peers_age_ms", assignment.PeerLoadAge.Milliseconds(), "last_event", f.events.lastID, "waited_ms", millisSince(f.arrivedAt), "parts", f.req.SharedParts)...)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if f.route.Repeatable() && f.attempts+1 < f.route.MaxAttempts {
		defer f.node.runningAttempts.add(assignment.Target.ID, cancel)()
		if f.service.Engine == nil {
			defer time.AfterFunc(f.attemptTimeout(), func() { cancel(errSlow) }).Stop()
		}
	}
	e := f.sendAttempt(ctx, &assignment, last)
	if e != nil {
		f.suspectOnFailure(ctx, assignment.Target, e)
		if e.Reason == verdict.ReasonUpstreamLost && f.events.count == 0 && ctx.Err() == nil {
			f.countCrash(assignment.Target)
		}
		if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errSlow) {
			f.failover = true
			return verdict.New(e.Verdict, verdict.ReasonStalled, "upstream %s: %v", assignment.Target.ID, cause)
		}
	}
	return e
}

// leavingUseFactor times Bounds.DrainTime is how long a replica with a leaving
// member still gets requests. The member stays while the head of the replica has
// work, for up to ten seconds.
const leavingUseFactor = 1.5

// usableTargets returns targets without the replicas whose leaving member may be gone
// at the time now. The result may share memory with targets.
func usableTargets(targets []fleet.Target, now, drainTime time.Duration) []fleet.Target {
	maxLeaving := time.Duration(leavingUseFactor * float64(drainTime))
	over := func(t fleet.Target) bool { return t.MemberLeavingSince > 0 && now-t.MemberLeavingSince >= maxLeaving }
	if !slices.ContainsFunc(targets, over) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), over)
}

// errSlow ends an attempt at a plain service that takes much longer than the route's
// target.
var errSlow = errors.New("the upstream took too long for this attempt")

// slowFactor times the route's target is how long an attempt at a plain service may
// take before another VM is tried.
const slowFactor = 2.5

// attemptTimeout returns how long an attempt may take that is not the last one.
func (f *forwarder) attemptTimeout() time.Duration {
	if f.route.LatencyTarget <= 0 {
		return time.Until(f.deadline)
	}
	return time.Duration(slowFactor * float64(f.route.LatencyTarget))
}

// model returns the model whose replicas can answer the request; empty for a plain
// service.
func (f *forwarder) model() string {
	if f.service.Engine == nil {
		return ""
	}
	return f.req.Model
}

// suspectOnFailure marks an upstream as suspected after a failure that shows that it
// can't take other requests either. It does nothing if the attempt was ended by its
// context.
func (f *forwarder) suspectOnFailure(ctx context.Context, t fleet.Target, e *verdict.Error) {
	if ctx.Err() != nil {
		return
	}
	switch e.Reason {
	case verdict.ReasonConnect, verdict.ReasonUpstreamRefused, verdict.ReasonUpstreamLost:
		f.node.balancer.MarkSuspect(time.Now(), t)
		f.node.logger.Info(decisions.UpstreamSuspected, f.logFields("upstream", t.ID, "replica", t.Replica, "reason", e.Reason, "detail", e.Detail)...)
	}
}

// sendAttempt sends the request to the assigned upstream and relays the answer.
func (f *forwarder) sendAttempt(ctx context.Context, assignment *dispatch.Assignment, last bool) *verdict.Error {
	p := f.node.deps.Protocol
	resp, err := f.node.pool.Do(ctx, assignment.Target.Address, p.Encode(f.req, Attempt{
		Target:    assignment.Target,
		Remaining: time.Until(f.deadline),
		Team:      f.team.Name,
		Priority:  f.priority(),
		LastEvent: f.events.lastID,
	}))
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		return verdict.Refuse(verdict.ReasonConnect, "%v", err).WithRetryAfter(retryAfterFailure)
	case err != nil:
		f.attempts++
		return f.readFailed(assignment.Target, "no answer", err)
	}
	defer resp.Close()
	f.node.balancer.RecordProgress(time.Now(), assignment)
	a := p.Classify(resp.Status, resp.Header)
	if a.NotRun {
		return f.refusedByUpstream(resp, a, assignment.Target)
	}
	f.attempts++
	if a.HasContentEncoding {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "the response has a content encoding")
	}
	if a.Stream && resp.Status < http.StatusMultipleChoices {
		return f.relayStream(resp, a, assignment)
	}
	return f.relayComplete(resp, a, assignment.Target, last)
}

// readFailed returns the failure for an error while an upstream's answer was read. If
// the upstream sent more than a limit allows, the limit is logged and counted, and the
// upstream is suspected, because the next answer may not end either.
func (f *forwarder) readFailed(t fleet.Target, detail string, err error) *verdict.Error {
	if e, ok := f.unattributed(t, detail, err); ok {
		return e
	}
	limit, tooLong := bounded.Exceeded(err)
	if !tooLong {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "%s: %v", detail, err)
	}
	f.node.count("upstream.too_long." + limit)
	f.node.balancer.MarkSuspect(time.Now(), t)
	f.node.logger.Warn(decisions.UpstreamTooLong, f.logFields("upstream", t.ID, "replica", t.Replica, "limit", limit, "error", err)...)
	return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "%s: %v", detail, err)
}

// refusedByUpstream returns the failure for a response that says that the upstream did
// not run the request. It reads the rest of the response, so that the connection can
// be reused.
func (f *forwarder) refusedByUpstream(resp *exchange.Response, a ResponseInfo, t fleet.Target) *verdict.Error {
	reason := verdict.ReasonUpstreamBusy
	if a.Misdirected || a.FaultyVM != "" {
		reason = verdict.ReasonUpstreamRefused
	}
	detail := "status " + strconv.Itoa(resp.Status)
	if a.FaultyVM != "" {
		detail += ", faulty VM " + a.FaultyVM
	}
	if err := bounded.Discard(resp, limitAnswer, maxAnswerBytes); err != nil {
		detail += ", " + f.readFailed(t, "reading the response failed", err).Detail
	}
	return verdict.Refuse(reason, "%s", detail).WithRetryAfter(retryAfterFailure)
}

// relayComplete relays an answer that is not a stream, after all of it was received.
func (f *forwarder) relayComplete(resp *exchange.Response, a ResponseInfo, t fleet.Target, last bool) *verdict.Error {
	body, err := f.node.answersMemory.ReadAll(resp, limitAnswer, maxAnswerBytes)
	defer body.Release()
	if err != nil {
		return f.readFailed(t, "the answer was cut off", err)
	}
	if f.answerStarted {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "status %d instead of the rest of the stream", resp.Status)
	}
	failed := resp.Status >= http.StatusInternalServerError
	if failed && !last && f.route.Repeatable() && f.attempts < f.route.MaxAttempts && f.untriedLeft() {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamError, "status %d", resp.Status)
	}
	if !failed && !a.Signed {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "status %d without a signature", resp.Status)
	}
	if !failed {
		f.recordStart()
	}
	h := f.w.Header()
	copyHeader(h, resp.Header)
	h.Set("Content-Length", strconv.FormatInt(body.Len(), 10))
	f.writeHeader(resp.Status)
	if _, err := body.WriteTo(f.w); err != nil {
		return verdict.New(verdict.Ran, verdict.ReasonCanceled, "%v", err)
	}
	return nil
}

// untriedLeft reports whether there is an upstream that the request was not sent to.
func (f *forwarder) untriedLeft() bool {
	return len(f.node.state.View().Targets(f.service.Name, f.model())) > len(f.exclude)
}

// writeHeader writes the header of the answer.
func (f *forwarder) writeHeader(status int) {
	f.answerStarted, f.status, f.firstByteAt = true, status, time.Now()
	if f.node.draining.Load() {
		f.w.Header().Set("Connection", "close")
	}
	f.w.WriteHeader(status)
}

// relayStream relays a stream event by event.
func (f *forwarder) relayStream(resp *exchange.Response, a ResponseInfo, assignment *dispatch.Assignment) *verdict.Error {
	if !a.Signed {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "the stream has no signature")
	}
	f.events.discardPending()
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if e := f.relayEvents(resp, buf[:n], assignment); e != nil {
				return e
			}
		}
		if errors.Is(err, io.EOF) {
			return f.endStream(resp)
		}
		if err != nil {
			return f.readFailed(assignment.Target, "the stream was cut off", err)
		}
	}
}

// streamBufferBytes is the size of the buffer for reading a stream; an event has some
// hundred bytes.
const streamBufferBytes = 2 << 10

// relayEvents takes bytes of a stream and relays the events that are complete now.
func (f *forwarder) relayEvents(resp *exchange.Response, data []byte, assignment *dispatch.Assignment) *verdict.Error {
	numbered := f.events.count
	events, inOrder := f.events.add(data)
	if f.events.count > numbered {
		f.node.balancer.RecordFirstEvent(time.Now(), assignment)
	}
	if numbered == 0 && f.events.count > 0 {
		f.recordStart()
	}
	if len(events) > 0 {
		if e := f.writeEvents(resp, events); e != nil {
			return e
		}
	}
	if !inOrder {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "an event is missing after %q", f.events.lastID)
	}
	if err := f.events.checkPending(); err != nil {
		return f.readFailed(assignment.Target, "the stream was cut off", err)
	}
	return nil
}

// writeEvents sends events to the caller and flushes the connection.
func (f *forwarder) writeEvents(resp *exchange.Response, events []byte) *verdict.Error {
	if !f.answerStarted {
		copyHeader(f.w.Header(), resp.Header)
		f.writeHeader(resp.Status)
	}
	f.recordPause(time.Now())
	if _, err := f.w.Write(events); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, "%v", err)
	}
	if err := http.NewResponseController(f.w).Flush(); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, "%v", err)
	}
	return nil
}

// recordPause updates the longest pause between events sent to the caller.
func (f *forwarder) recordPause(now time.Time) {
	if !f.lastSentAt.IsZero() {
		f.longestPause = max(f.longestPause, now.Sub(f.lastSentAt))
	}
	f.lastSentAt = now
}

// endStream ends an answer after the upstream has ended its stream. It fails if the
// stream is not whole.
func (f *forwarder) endStream(resp *exchange.Response) *verdict.Error {
	if err := f.events.checkEnd(resp.Framed()); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "%v", err)
	}
	if !f.answerStarted {
		copyHeader(f.w.Header(), resp.Header)
		f.writeHeader(resp.Status)
	}
	return nil
}
