package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/reach"
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
	f.worst = verdict.NotRun
	for {
		if e := f.checkBeforeSending(ctx); e != nil {
			return e.WithVerdict(f.worst)
		}
		e := f.attempt(ctx)
		f.releaseParts()
		if e == nil {
			return nil
		}
		f.worst = f.worst.Combine(e.Verdict)
		e = e.WithVerdict(f.worst)
		if ctx.Err() != nil {
			f.dropNext()
			return f.contextError(ctx, e)
		}
		if f.events.unresumable {
			f.dropNext()
			return e
		}
		if f.next == nil {
			if noUpstream(e) && !f.withheld || f.lastSend() || !f.repeatable(e) || f.withheldCount >= maxWithheld {
				return f.withPauseEnd(e)
			}
			// A request that was not written has not arrived, so the next one is no retry.
			if !f.withheld && !f.takeRetry() {
				f.node.count("retry.denied." + string(verdict.ReasonRetryBudget))
				return f.withPauseEnd(e)
			}
		}
		f.node.count("retry." + string(e.Reason))
		f.node.logger.Info(decisions.RequestRetried, f.logFields("reason", e.Reason, "verdict", e.Verdict, "detail", e.Detail,
			"attempt", f.sends, "last_event", f.events.lastID, "after_ms", millisSince(f.arrivedAt))...)
	}
}

// noUpstream reports whether a request failed because no upstream can take it, or may get
// it from this node.
func noUpstream(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonNoReplica, verdict.ReasonDeadline, verdict.ReasonAllPaused, verdict.ReasonZoneEvacuated, verdict.ReasonUpstreamCold, verdict.ReasonConfigStale:
		return true
	}
	return false
}

// checkBeforeSending refuses a request that must not be sent to an upstream. A request
// that was moved has been sent already.
func (f *forwarder) checkBeforeSending(ctx context.Context) *verdict.Error {
	if f.next != nil {
		return nil
	}
	return f.admitParts(ctx)
}

// dropNext ends the try that would take the place of the last attempt.
func (f *forwarder) dropNext() {
	if f.next != nil {
		f.next.end(f.node.balancer)
		f.next = nil
	}
}

// lastSend reports whether the request may be sent to no further upstream.
func (f *forwarder) lastSend() bool { return f.sends >= maxSends }

// repeatable reports whether the request may be sent again after the failure e.
func (f *forwarder) repeatable(e *verdict.Error) bool {
	if e.Verdict == verdict.NotRun {
		return true
	}
	return f.route.Repeatable() && f.attempts < f.route.MaxAttempts
}

// contextError returns the failure of a request whose context has ended: its deadline
// passed, its caller disconnected or the node stops.
func (f *forwarder) contextError(ctx context.Context, e *verdict.Error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(e.Verdict, verdict.ReasonDeadline, "no answer within the time: %s", e.Detail)
	case errors.Is(context.Cause(ctx), errNodeStopping):
		return verdict.New(e.Verdict, verdict.ReasonStopping, "no answer before the node stops: %s", e.Detail)
	}
	return verdict.New(e.Verdict, verdict.ReasonCanceled, "the caller disconnected")
}

// attempt sends the request to one upstream, unless a move has done so, and relays its
// answer. The last attempt also relays a failure that the upstream itself answered with.
func (f *forwarder) attempt(ctx context.Context) *verdict.Error {
	t := f.next
	f.next, f.withheld = nil, false
	if t == nil {
		f.sends++
		var e *verdict.Error
		if t, e = f.place(ctx); e != nil {
			return e
		}
		f.exclude = append(f.exclude, t.assignment.Target.InstanceKey())
		f.noteSent(t, f.events.lastID)
	}
	defer func() { t.end(f.node.balancer) }()
	a := f.startMovable(ctx, t)
	e := f.sendAttempt(t)
	if e != nil {
		f.noteFailure(t, e, f.events.relayed)
	}
	if a != nil {
		f.endMovable(a, e != nil)
	}
	if e != nil {
		f.noteWithheld(t, e)
	}
	if cause := context.Cause(t.ctx); e != nil && (errors.Is(cause, errSilent) || errors.Is(cause, errSlow)) {
		f.failover = true
		return verdict.New(e.Verdict, verdict.ReasonStalled, "upstream %s: %v", t.assignment.Target.ID, cause)
	}
	return e
}

// assign selects an upstream that is not excluded and counts the request there. failover
// says that the request leaves an upstream that stopped making progress.
func (f *forwarder) assign(ctx context.Context, exclude []string, failover bool) (*try, *verdict.Error) {
	return f.pick(ctx, exclude, failover, false)
}

// pick is assign; with neverPaused only at an upstream that did not ask for a pause lately.
func (f *forwarder) pick(ctx context.Context, exclude []string, failover, neverPaused bool) (*try, *verdict.Error) {
	if e := f.refuseCutOff(); e != nil {
		return nil, e
	}
	warm, cold := f.usable()
	req := f.dispatchRequest(exclude, failover, neverPaused)
	var assignment dispatch.Assignment
	shortage := f.pickWarmFirst(warm, cold, exclude, func(targets []fleet.Target) (short dispatch.Shortage) {
		assignment, short = f.node.balancer.Pick(time.Now(), f.service.Engine, targets, req)
		return short
	})
	if e := f.refuseShortage(shortage, len(warm)+len(cold), req, assignment); e != nil {
		return nil, e
	}
	t := &try{assignment: assignment}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	return t, nil
}

// refuseCutOff returns the refusal of a request if the node is cut off; nil otherwise.
func (f *forwarder) refuseCutOff() *verdict.Error {
	if !f.node.cutOff() {
		return nil
	}
	return verdict.Refuse(verdict.ReasonConfigStale, "%v", errCutOff).WithRetryAfter(retryAfterFailure)
}

// dispatchRequest describes the request to the balancer.
func (f *forwarder) dispatchRequest(exclude []string, failover, neverPaused bool) dispatch.Request {
	req := dispatch.Request{PromptTokens: f.req.PromptTokens, Exclude: exclude, NeverPaused: neverPaused, Failover: failover}
	f.setObjective(&req)
	return req
}

// pickWarmFirst calls pick with the warm upstreams and, if none takes the request, with the
// cold ones. It returns the shortage of all of them.
func (f *forwarder) pickWarmFirst(warm, cold []fleet.Target, exclude []string, pick func([]fleet.Target) dispatch.Shortage) dispatch.Shortage {
	shortage := pick(warm)
	if shortage == dispatch.NoShortage || len(cold) == 0 {
		return shortage
	}
	shortage = pick(cold)
	if shortage == dispatch.NoShortage || shortage == dispatch.TooLate {
		return shortage
	}
	if _, all := f.node.balancer.NextPlace(time.Now(), slices.Concat(warm, cold), exclude); all {
		return dispatch.AllPaused
	}
	return dispatch.NoRoom
}

// refuseShortage returns the refusal of a request for a shortage at the usable upstreams;
// nil if there is none. With TooLate, closest describes the best of them.
func (f *forwarder) refuseShortage(shortage dispatch.Shortage, usable int, req dispatch.Request, closest dispatch.Assignment) *verdict.Error {
	switch shortage {
	case dispatch.AllPaused:
		return f.refusePaused()
	case dispatch.NoRoom:
		return f.refuseNoRoom(usable, len(req.Exclude))
	case dispatch.TooLate:
		return verdict.Refuse(verdict.ReasonDeadline, "too late at %d upstreams, %d tried: %d ms predicted at load %d, %d of %d ms have passed",
			usable, len(req.Exclude), closest.Predicted.Milliseconds(), closest.Load, req.Waited.Milliseconds(), req.Target.Milliseconds()).
			WithRetryAfter(noRoomRetryAfter())
	}
	return nil
}

// noteSent reports to peers and in the log that the request is sent to an upstream.
func (f *forwarder) noteSent(t *try, lastEvent string) {
	a := &t.assignment
	f.node.announceLoad(a.Target.ID)
	f.node.logger.Info(decisions.RequestSent, f.logFields("upstream", a.Target.ID, "replica", a.Target.Replica,
		"load", a.Load, "unread", a.PendingPromptTokens, "prompt", f.req.PromptTokens, "predicted_ms", a.Predicted.Milliseconds(),
		"peers_age_ms", a.PeerLoadAge.Milliseconds(), "last_event", lastEvent, "waited_ms", millisSince(f.arrivedAt), "parts", f.req.SharedParts)...)
}

// noteFailure draws conclusions about the upstream of a failed try. begun says that an event
// of the answer was relayed, of this try or of an earlier one.
func (f *forwarder) noteFailure(t *try, e *verdict.Error, begun bool) {
	if f.node.state.isLeaving(t.assignment.Target.Incarnation()) {
		// Its process may end with requests in flight; that is no crash.
		return
	}
	f.suspectOnFailure(t.ctx, t.assignment.Target, e)
	if e.Reason == verdict.ReasonUpstreamLost && t.ctx.Err() == nil && f.node.canBlame(t) {
		f.countCrash(t.assignment.Target, begun)
	}
}

// canBlame reports whether a connection that was lost may be the fault of the upstream: the node
// has a path to upstreams, or the connection went through another node.
func (n *Node) canBlame(t *try) bool {
	s := n.path.settled(context.WithoutCancel(t.ctx))
	return s == reach.Reachable || t.via != ""
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

// slowFactor times the route's target is how long an attempt at a plain service may
// take before the request is sent to another VM too.
const slowFactor = 2.5

// attemptTimeout returns how long an attempt that is not the last one may take before
// the request is moved.
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
	if e.Reason == verdict.ReasonUpstreamLost {
		f.node.pathFailed(t.Address, reach.NoAnswer)
	}
	switch e.Reason {
	case verdict.ReasonConnect, verdict.ReasonUpstreamRefused, verdict.ReasonUpstreamLost:
		f.node.balancer.MarkSuspect(time.Now(), t)
		f.node.logger.Info(decisions.UpstreamSuspected, f.logFields("upstream", t.ID, "replica", t.Replica, "reason", e.Reason, "detail", e.Detail)...)
	}
}

// sendAttempt sends the request to the assigned upstream, unless a move has done so, and
// relays the answer.
func (f *forwarder) sendAttempt(t *try) *verdict.Error {
	if t.resp == nil {
		if e := f.open(t, f.events.lastID); e != nil {
			if e.Verdict != verdict.NotRun {
				f.attempts++
			}
			return e
		}
	}
	f.attempts++
	if t.info.HasContentEncoding {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "the response has a content encoding")
	}
	if t.info.Stream && t.resp.Status < http.StatusMultipleChoices {
		f.events.overlaps = t.lastEvent != f.events.lastID
		return f.relayStream(t)
	}
	return f.relayComplete(t.resp, t.info, t.assignment.Target, f.lastSend())
}

// open sends the request to the assigned upstream and waits for the head of its response.
// It fails if the upstream did not run the request. It may be called while an attempt of
// the request runs.
func (f *forwarder) open(t *try, lastEvent string) *verdict.Error {
	p := f.node.deps.Protocol
	target := t.assignment.Target
	t.lastEvent = lastEvent
	r := f.encode(target, lastEvent)
	encodedAt := time.Now()
	r.Admit = func() error {
		if time.Since(encodedAt) > maxEncodedAge {
			r.Header = f.encode(target, lastEvent).Header
		}
		return f.node.mayWrite(t)
	}
	r.Dial = func(ctx context.Context) (net.Conn, bool, error) {
		c, via, err := f.node.dialUpstream(ctx, target, f.deadline)
		t.via = via
		return c, via != "", err
	}
	resp, err := f.node.pool.Do(t.ctx, target.Address, r)
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		return f.notSent(t, err)
	case err != nil:
		return f.readFailed(target, "no answer", err)
	}
	t.resp, t.info = resp, p.Classify(resp.Status, resp.Header)
	f.node.balancer.RecordProgress(time.Now(), &t.assignment)
	if !t.info.Misdirected {
		f.node.heed(target.Incarnation(), t.info.Notice, f.req.ID)
		f.node.tellPause(t)
	}
	if t.info.NotRun {
		return f.refusedByUpstream(resp, t.info, target)
	}
	return nil
}

// maxEncodedAge is the time after which the header of a request that waited for its
// connection is encoded again, because it says how much time is left.
const maxEncodedAge = 100 * time.Millisecond

// encode returns the request as it is sent to an upstream now.
func (f *forwarder) encode(target fleet.Target, lastEvent string) *exchange.Request {
	return f.node.deps.Protocol.Encode(f.req, Attempt{
		Target:    target,
		Remaining: time.Until(f.deadline),
		Team:      f.team.Name,
		Priority:  f.priority(),
		LastEvent: lastEvent,
	})
}

// readFailed returns the failure for an error while an upstream's answer was read. An
// answer that is malformed or belongs to another request is logged and counted. If the
// upstream sent more than a limit allows, the limit is logged and counted, and the
// upstream is suspected, because the next answer may not end either.
func (f *forwarder) readFailed(t fleet.Target, detail string, err error) *verdict.Error {
	if e, ok := f.unattributed(t, detail, err); ok {
		return e
	}
	if e, ok := f.malformed(t, detail, err); ok {
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
	reason := refusalReason(a.Notice)
	if a.Misdirected || a.FaultyVM != "" {
		reason = verdict.ReasonUpstreamRefused
	}
	detail := "status " + strconv.Itoa(resp.Status)
	if a.Notice.Pause > 0 {
		detail += ", wants no requests for " + strconv.FormatInt(a.Notice.Pause.Milliseconds(), 10) + " ms"
	}
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
	release := body.Release
	defer func() { release() }()
	if err != nil {
		return f.readFailed(t, "the answer was cut off", err)
	}
	if f.answerStarted {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "status %d instead of the rest of the stream", resp.Status)
	}
	failed := isFailure(resp)
	if failed && !last && f.route.Repeatable() && f.attempts < f.route.MaxAttempts && f.untriedLeft() {
		f.keepFailure(&failureAnswer{status: resp.Status, header: resp.Header, body: body})
		release = func() {}
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamError, "status %d", resp.Status)
	}
	if promisesNotRun(resp.Status) && !f.route.Repeatable() {
		f.node.count("upstream.unproved_refusal")
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamError, "status %d, but no statement that the request was not run", resp.Status)
	}
	if !failed && !a.Signed {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "status %d without a signature", resp.Status)
	}
	switch {
	case resp.Status < http.StatusMultipleChoices:
		f.recordEnd()
	case !failed:
		f.recordStart()
	}
	return f.writeAnswer(resp.Status, resp.Header, body)
}

// untriedLeft reports whether there is an upstream that the request was not sent to.
func (f *forwarder) untriedLeft() bool {
	_, allPaused := f.nextPlace()
	return !allPaused && len(f.node.state.View().Targets(f.service.Name, f.model())) > len(f.exclude)
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
func (f *forwarder) relayStream(t *try) *verdict.Error {
	if !t.info.Signed {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "the stream has no signature")
	}
	f.events.discardPending()
	f.events.expectedFirst = f.node.firstEvents.of(f.service.Name)
	f.events.mayRefuseFirst = f.route.Repeatable() && f.attempts < f.route.MaxAttempts && !f.lastSend()
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := t.resp.Read(buf)
		if n > 0 {
			if e := f.relayEvents(t.resp, buf[:n], &t.assignment); e != nil {
				return e
			}
		}
		if errors.Is(err, io.EOF) {
			return f.endStream(t)
		}
		if err != nil {
			return f.readFailed(t.assignment.Target, "the stream was cut off", err)
		}
	}
}

// streamBufferBytes is the size of the buffer for reading a stream; an event has some
// hundred bytes.
const streamBufferBytes = 2 << 10

// relayEvents takes bytes of a stream and relays the events that are complete now.
func (f *forwarder) relayEvents(resp *exchange.Response, data []byte, assignment *dispatch.Assignment) *verdict.Error {
	numbered := f.events.count
	events, sequenceErr := f.events.add(data)
	if first := f.events.confirmedFirst; first != "" {
		f.events.confirmedFirst = ""
		f.node.firstEvents.learn(f.service.Name, first)
	}
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
		f.relayedPosition.Store(&position{lastID: f.events.lastID, events: f.events.count, relayed: f.events.relayed})
	}
	if sequenceErr != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "%v", sequenceErr)
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
func (f *forwarder) endStream(t *try) *verdict.Error {
	if err := f.events.checkEnd(t.resp.Framed()); err != nil {
		reason := verdict.ReasonBadAnswer
		if !t.resp.Framed() {
			// The connection has ended, as it does if the upstream crashes.
			reason = verdict.ReasonUpstreamLost
		}
		return verdict.New(verdict.MayHaveRun, reason, "%v", err)
	}
	switch {
	case f.events.relayed && t.lastEvent == "":
		f.recordEnd()
	case f.events.relayed:
		f.recordRest()
	}
	if !f.answerStarted {
		copyHeader(f.w.Header(), t.resp.Header)
		f.writeHeader(t.resp.Status)
	}
	return nil
}
