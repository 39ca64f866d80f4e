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
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// maxSends bounds the upstreams asked for one request, those included that
// proved not to have run it.
const maxSends = 4

// maxAnswer bounds an answer that is not a stream, in bytes.
const maxAnswer = 8 << 20

// run sends the request until it is answered or can't be sent again.
func (f *flight) run(ctx context.Context) *verdict.Error {
	f.countRequest()
	f.events.last = f.req.LastEvent
	worst := verdict.NotRun
	for sends := 1; ; sends++ {
		if e := f.checkQuarantine(); e != nil {
			return e.WithVerdict(worst)
		}
		last := sends >= maxSends
		e := f.attempt(ctx, last)
		if e == nil {
			return nil
		}
		worst = worst.Worse(e.Verdict)
		e = e.WithVerdict(worst)
		if ctx.Err() != nil {
			return f.expired(ctx, e)
		}
		if last || !f.repeatable(e) {
			return e
		}
		if e.Reason == verdict.ReasonNoReplica {
			return e
		}
		if !f.mayRetry() {
			f.node.count("retry.denied." + string(verdict.ReasonRetryBudget))
			return e
		}
		f.node.count("retry." + string(e.Reason))
		f.node.logger.Info(decisions.RequestRetried, f.fields("reason", e.Reason, "verdict", e.Verdict, "detail", e.Detail,
			"attempt", sends, "last_event", f.events.last, "after_ms", since(f.arrived))...)
	}
}

// repeatable reports whether the request may be sent again after a failure.
func (f *flight) repeatable(e *verdict.Error) bool {
	if e.Verdict == verdict.NotRun {
		return true
	}
	return f.route.Repeatable() && f.attempts < f.route.MaxAttempts
}

// expired says what ended a request whose context ended.
func (f *flight) expired(ctx context.Context, e *verdict.Error) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(e.Verdict, verdict.ReasonDeadline, "no answer within the time: %s", e.Detail)
	}
	return verdict.New(e.Verdict, verdict.ReasonCanceled, "the caller left")
}

// attempt sends the request to one upstream and passes its answer on. The last
// attempt passes on also an upstream's own failure.
func (f *flight) attempt(ctx context.Context, last bool) *verdict.Error {
	view := f.node.state.View()
	targets := usable(view.Targets(f.service.Name, f.model()), bootclock.Now(), f.node.Settings().Bounds.Drain)
	job := dispatch.Job{PromptTokens: f.req.PromptTokens, Exclude: f.exclude, Moved: f.moved}
	ticket, ok := f.node.balancer.Pick(time.Now(), f.service.Engine, targets, job)
	if !ok {
		return verdict.Refuse(verdict.ReasonNoReplica, "no room at %d upstreams, %d tried", len(targets), len(f.exclude)).
			WithRetryAfter(roomAfter())
	}
	defer func() { f.node.balancer.Done(time.Now(), &ticket) }()
	f.exclude = append(f.exclude, ticket.Target.Instance())
	f.node.tellLoad(ticket.Target.ID)
	f.node.logger.Info(decisions.RequestSent, f.fields("upstream", ticket.Target.ID, "replica", ticket.Target.Replica,
		"load", ticket.Load, "unread", ticket.Unread, "prompt", f.req.PromptTokens, "predicted_ms", ticket.Predicted.Milliseconds(),
		"peers_age_ms", ticket.Age.Milliseconds(), "last_event", f.events.last, "waited_ms", since(f.arrived))...)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if f.route.Repeatable() && f.attempts+1 < f.route.MaxAttempts {
		defer f.node.flights.add(ticket.Target.ID, cancel)()
		if f.service.Engine == nil {
			defer time.AfterFunc(f.patience(), func() { cancel(errSlow) }).Stop()
		}
	}
	e := f.exchange(ctx, &ticket, last)
	if e != nil {
		f.judge(ctx, ticket.Target, e)
		if e.Reason == verdict.ReasonUpstreamLost && f.events.events == 0 && ctx.Err() == nil {
			f.noteCrash(ticket.Target)
		}
		if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errSlow) {
			f.moved = true
			return verdict.New(e.Verdict, verdict.ReasonStalled, "upstream %s: %v", ticket.Target.ID, cause)
		}
	}
	return e
}

// stayFactor times the time for which a leaving upstream goes on is how long its
// replica is used: it stays while the head has work, for up to ten seconds.
const stayFactor = 1.5

// usable leaves out replicas whose leaving member may be gone by now.
func usable(targets []fleet.Target, now, drain time.Duration) []fleet.Target {
	most := time.Duration(stayFactor * float64(drain))
	over := func(t fleet.Target) bool { return t.EndingSince > 0 && now-t.EndingSince >= most }
	if !slices.ContainsFunc(targets, over) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), over)
}

// errSlow ends an attempt that takes much longer than its target.
var errSlow = errors.New("the upstream is slow")

// slowFactor times the target is how long the answer of a plain service is
// waited for before another VM is asked.
const slowFactor = 2.5

// patience returns how long the first of several attempts may take.
func (f *flight) patience() time.Duration {
	if f.route.Target <= 0 {
		return time.Until(f.deadline)
	}
	return time.Duration(slowFactor * float64(f.route.Target))
}

// model returns the model that selects replicas; empty for a plain service.
func (f *flight) model() string {
	if f.service.Engine == nil {
		return ""
	}
	return f.req.Model
}

// judge suspects an upstream after a failure that says it can't take others.
func (f *flight) judge(ctx context.Context, t fleet.Target, e *verdict.Error) {
	if ctx.Err() != nil {
		return
	}
	switch e.Reason {
	case verdict.ReasonConnect, verdict.ReasonUpstreamRefused, verdict.ReasonUpstreamLost:
		f.node.balancer.Suspect(time.Now(), t)
		f.node.logger.Info(decisions.UpstreamSuspected, f.fields("upstream", t.ID, "replica", t.Replica, "reason", e.Reason, "detail", e.Detail)...)
	}
}

// exchange sends the request and passes the answer on.
func (f *flight) exchange(ctx context.Context, ticket *dispatch.Ticket, last bool) *verdict.Error {
	p := f.node.outside.Protocol
	resp, err := f.node.pool.Do(ctx, ticket.Target.Address, p.Encode(f.req, Attempt{
		Target:    ticket.Target,
		Remaining: time.Until(f.deadline),
		Team:      f.team.Name,
		Priority:  f.priority(),
		LastEvent: f.events.last,
	}))
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		return verdict.Refuse(verdict.ReasonConnect, "%v", err).WithRetryAfter(retryAfterFailure)
	case err != nil:
		f.attempts++
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "%v", err)
	}
	defer resp.Close()
	f.node.balancer.Progress(time.Now(), ticket)
	a := p.Classify(resp.Status, resp.Header)
	if a.NotRun {
		return f.notRun(resp, a)
	}
	f.attempts++
	if a.Encoded {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "the body is encoded")
	}
	if a.Stream && resp.Status < http.StatusMultipleChoices {
		return f.relay(resp, a, ticket)
	}
	return f.whole(resp, a, last)
}

// notRun reads the rest of a refusal, so that the connection can be kept.
func (f *flight) notRun(resp *exchange.Response, a Answer) *verdict.Error {
	reason := verdict.ReasonUpstreamBusy
	if a.Moved || a.AtFault != "" {
		reason = verdict.ReasonUpstreamRefused
	}
	detail := "status " + strconv.Itoa(resp.Status)
	if a.AtFault != "" {
		detail += ", at fault " + a.AtFault
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp, maxAnswer)); err != nil {
		detail += ", broken off: " + err.Error()
	}
	return verdict.Refuse(reason, "%s", detail).WithRetryAfter(retryAfterFailure)
}

// whole passes an answer on that is not a stream, once it is complete.
func (f *flight) whole(resp *exchange.Response, a Answer, last bool) *verdict.Error {
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "the answer broke off: %v", err)
	}
	if f.started {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "status %d in place of more events", resp.Status)
	}
	failed := resp.Status >= http.StatusInternalServerError
	if failed && !last && f.route.Repeatable() && f.attempts < f.route.MaxAttempts && f.othersLeft() {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamError, "status %d", resp.Status)
	}
	if !failed && !a.Signed {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "status %d without a signature", resp.Status)
	}
	h := f.w.Header()
	copyHeader(h, resp.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	f.begin(resp.Status)
	if _, err := f.w.Write(body); err != nil {
		return verdict.New(verdict.Ran, verdict.ReasonCanceled, "%v", err)
	}
	return nil
}

// othersLeft reports whether another upstream could be asked.
func (f *flight) othersLeft() bool {
	return len(f.node.state.View().Targets(f.service.Name, f.model())) > len(f.exclude)
}

// begin writes the header of the answer.
func (f *flight) begin(status int) {
	f.started, f.status, f.first = true, status, time.Now()
	if f.node.draining.Load() {
		f.w.Header().Set("Connection", "close")
	}
	f.w.WriteHeader(status)
}

// relay passes a stream on event by event.
func (f *flight) relay(resp *exchange.Response, a Answer, ticket *dispatch.Ticket) *verdict.Error {
	if !a.Signed {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "a stream without a signature")
	}
	f.events.restart()
	buf := make([]byte, relayBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if e := f.pass(resp, buf[:n], ticket); e != nil {
				return e
			}
		}
		if errors.Is(err, io.EOF) {
			return f.endStream(resp)
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "the stream broke off: %v", err)
		}
	}
}

// relayBytes is the size of the buffer for a stream's bytes; an event has some
// hundred.
const relayBytes = 2 << 10

// pass takes bytes of a stream and passes the whole events among them on.
func (f *flight) pass(resp *exchange.Response, data []byte, ticket *dispatch.Ticket) *verdict.Error {
	events, sound := f.events.add(data)
	if len(events) > 0 {
		f.node.balancer.FirstEvent(time.Now(), ticket)
		if e := f.write(resp, events); e != nil {
			return e
		}
	}
	if !sound {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "an event is missing after %q", f.events.last)
	}
	return nil
}

// write sends events to the caller at once.
func (f *flight) write(resp *exchange.Response, events []byte) *verdict.Error {
	if !f.started {
		copyHeader(f.w.Header(), resp.Header)
		f.begin(resp.Status)
	}
	f.notePause(time.Now())
	if _, err := f.w.Write(events); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, "%v", err)
	}
	if err := http.NewResponseController(f.w).Flush(); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, "%v", err)
	}
	return nil
}

// notePause measures the time since events were passed on last.
func (f *flight) notePause(now time.Time) {
	if !f.passedAt.IsZero() {
		f.pause = max(f.pause, now.Sub(f.passedAt))
	}
	f.passedAt = now
}

// endStream ends an answer whose stream ended as it should.
func (f *flight) endStream(resp *exchange.Response) *verdict.Error {
	if len(f.events.pending) > 0 {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "the stream ended within an event")
	}
	if !f.started {
		copyHeader(f.w.Header(), resp.Header)
		f.begin(resp.Status)
	}
	return nil
}
