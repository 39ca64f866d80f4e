package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Causes for which an attempt is moved to another upstream.
var (
	// errSilent is the cause for an attempt at a replica that sends nothing for any
	// request of this node, or that has a VM which does not answer probes.
	errSilent = errors.New("the upstream sends nothing")
	// errSlow is the cause for an attempt at a plain service that takes much longer
	// than the route's target.
	errSlow = errors.New("the upstream took too long for this attempt")
)

// try is one sending of a request to an upstream.
type try struct {
	assignment dispatch.Assignment
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// resp is the upstream's response and info what its head says; resp is nil until
	// the upstream has begun to answer.
	resp *exchange.Response
	info ResponseInfo
	// lastEvent is the id of the event after which the upstream was asked to continue.
	lastEvent string
	// withheld says that the request was not written, because the upstream had said
	// meanwhile that it is leaving or wants no requests.
	withheld bool
	// via is the address of the node through which the request was sent; empty if it was sent
	// directly.
	via string
}

// end closes the response and stops counting the request at the upstream.
func (t *try) end(b *dispatch.Balancer) {
	if t.resp != nil {
		t.resp.Close()
	}
	t.cancel(nil)
	b.Done(time.Now(), &t.assignment)
}

// position is how much of a stream was relayed: the id of the last event, the number of
// events with an id, and whether there was an event, with an id or without.
type position struct {
	lastID  string
	events  int
	relayed bool
}

// movableAttempt is a running attempt that can be moved to another upstream. A move
// sends the request to the other upstream first, and ends the attempt only once that one
// has begun to answer, a stream by an event that continues it: a silent upstream may go
// on, while the other one may have no room, refuse the request or fail.
type movableAttempt struct {
	f   *forwarder
	try *try
	// ctx is the context of the request.
	ctx context.Context
	// limits bounds the silence of the attempt's replica. slowAt is when an attempt at
	// a plain service becomes slow; zero at a replica.
	limits dispatch.StallTimeouts
	slowAt time.Time
	// attempts counts the upstreams that may have run the request, this attempt's
	// included.
	attempts int

	// The mutex of the registry guards the fields below.

	// moves says what moves of this attempt have used.
	moves moveUsage
	// moving is the try of the move in progress, and moved is closed when that move
	// has ended; nil if there is none.
	moving *try
	moved  chan struct{}
	// next is the try that takes the attempt's place; nil if there is none.
	next *try
	// ended says that the attempt has ended, so no further move may begin.
	ended bool
	// denied is why a move was last denied or failed; empty if none was.
	denied verdict.Reason
}

// moveUsage is what the moves of an attempt have used.
type moveUsage struct {
	// sends counts the upstreams that the request was sent to; attempts counts those
	// that may have run it, without the one that takes the attempt's place.
	sends, attempts int
	// exclude lists all upstream instances that the request was sent to, those of
	// earlier attempts included.
	exclude []string
	// verdict is that on the moves that failed.
	verdict verdict.Verdict
	// failure is what the upstream of a move answered with that failed to run the
	// request; nil if none did.
	failure *failureAnswer
}

// attemptRegistry holds the running attempts that can be moved. It is safe for
// concurrent use.
type attemptRegistry struct {
	mu      sync.Mutex
	running map[*movableAttempt]struct{}
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{running: map[*movableAttempt]struct{}{}}
}

func (r *attemptRegistry) add(a *movableAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[a] = struct{}{}
}

// remove removes an attempt that has ended. It returns what its moves have used and the
// try that takes its place; nil if there is none. A move in progress is waited for if the
// attempt failed, and ended otherwise.
func (r *attemptRegistry) remove(a *movableAttempt, failed bool) (moveUsage, *try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, a)
	a.ended = true
	if a.moving != nil {
		if !failed {
			a.moving.cancel(nil)
		}
		moved := a.moved
		r.mu.Unlock()
		<-moved
		r.mu.Lock()
	}
	return a.moves, a.next
}

// find returns the running attempts for which match returns true.
func (r *attemptRegistry) find(match func(*movableAttempt) bool) []*movableAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*movableAttempt
	for a := range r.running {
		if match(a) {
			out = append(out, a)
		}
	}
	return out
}

// move begins to move an attempt if the request may be sent once more, the retry budget
// allows it and another upstream has room. It reports whether it has begun; otherwise the
// attempt goes on.
func (r *attemptRegistry) move(a *movableAttempt, cause error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.ended || a.moving != nil || a.next != nil || !a.mayMove() {
		return false
	}
	t, e := a.f.reserveMove(a.ctx, a.moves.exclude)
	if e != nil {
		a.deny(e)
		return false
	}
	a.moves.sends++
	a.moves.exclude = append(a.moves.exclude, t.assignment.Target.InstanceKey())
	a.moving, a.moved = t, make(chan struct{})
	go r.perform(a, t, cause)
	return true
}

// perform sends the request to the upstream of a move. If that upstream begins to
// answer, it takes the place of the attempt, which is canceled.
func (r *attemptRegistry) perform(a *movableAttempt, t *try, cause error) {
	e := a.f.openMove(t)
	var failure *failureAnswer
	if e != nil && t.resp != nil && isFailure(t.resp) && !t.info.NotRun {
		failure = a.f.readFailure(t.assignment.Target, t.resp)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	close(a.moved)
	a.moving, a.moved = nil, nil
	if e == nil {
		a.next = t
		a.try.cancel(cause)
		return
	}
	t.end(a.f.node.balancer)
	if e.Verdict != verdict.NotRun {
		a.moves.attempts++
	}
	a.moves.verdict = a.moves.verdict.Combine(e.Verdict)
	if failure != nil {
		a.moves.failure.release()
		a.moves.failure = failure
	}
	if !a.ended && a.ctx.Err() == nil {
		a.deny(e)
	}
}

// mayMove reports whether the request may be sent to one more upstream.
func (a *movableAttempt) mayMove() bool {
	return a.moves.sends < maxSends-a.f.sends && a.attempts+a.moves.attempts < a.f.route.MaxAttempts
}

// deny logs and counts that the attempt goes on because it can't be moved, once for each
// reason.
func (a *movableAttempt) deny(e *verdict.Error) {
	if a.denied == e.Reason {
		return
	}
	a.denied = e.Reason
	a.f.node.count("move.denied." + string(e.Reason))
	t := a.try.assignment.Target
	a.f.node.logger.Info(decisions.RequestNotMoved, a.f.logFields("upstream", t.ID, "replica", t.Replica, "reason", e.Reason, "detail", e.Detail)...)
}

// startMovable registers a try as an attempt that can be moved. It returns nil if the
// request may not be sent once more.
func (f *forwarder) startMovable(ctx context.Context, t *try) *movableAttempt {
	a := &movableAttempt{f: f, try: t, ctx: ctx, attempts: f.attempts + 1, moves: moveUsage{exclude: slices.Clone(f.exclude), verdict: verdict.NotRun}}
	if !f.route.Repeatable() || !a.mayMove() {
		return nil
	}
	if f.service.Engine == nil {
		a.slowAt = time.Now().Add(f.attemptTimeout())
	} else if m, ok := f.service.Engine.Model(f.model()); ok {
		a.limits = silenceLimits(f.service.Engine, m)
	} else {
		return nil
	}
	f.node.runningAttempts.add(a)
	return a
}

// endMovable ends the registration of an attempt and adds what its moves have used to
// what the request has. The try that takes the attempt's place becomes the next one,
// unless the attempt did not fail.
func (f *forwarder) endMovable(a *movableAttempt, failed bool) {
	used, next := f.node.runningAttempts.remove(a, failed)
	f.sends += used.sends
	f.attempts += used.attempts
	f.exclude = used.exclude
	f.worst = f.worst.Combine(used.verdict)
	f.keepFailure(used.failure)
	if next != nil && !failed {
		next.end(f.node.balancer)
		return
	}
	f.next = next
}

// reserveMove takes what a move needs: a place at an upstream and a retry of the budget.
// It may be called while an attempt of the request runs.
func (f *forwarder) reserveMove(ctx context.Context, exclude []string) (*try, *verdict.Error) {
	if !f.partsAllowMove() {
		return nil, refuseSuspect()
	}
	t, e := f.assign(ctx, exclude, true)
	if e != nil {
		return nil, e
	}
	if !f.takeRetry() {
		t.end(f.node.balancer)
		return nil, verdict.Refuse(verdict.ReasonRetryBudget, "no retry is left in the budget")
	}
	return t, nil
}

// openMove sends the request to the upstream of a move. It fails unless the upstream
// begins an answer that can be relayed in place of the running one.
func (f *forwarder) openMove(t *try) *verdict.Error {
	at := f.relayed()
	f.noteSent(t, at.lastID)
	e := f.open(t, at.lastID)
	if e == nil && !f.replaces(t) {
		e = verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "status %d in place of the running answer", t.resp.Status)
	}
	if e == nil && t.info.Stream {
		e = f.awaitEvent(t, at)
	}
	if e != nil {
		f.noteFailure(t, e, at.relayed)
	}
	return e
}

// awaitEvent waits until the stream of a move has brought an event that continues what was
// relayed. The bytes that it reads are read again when the stream is relayed. It may be
// called while an attempt of the request runs.
func (f *forwarder) awaitEvent(t *try, at position) *verdict.Error {
	events := eventBuffer{lastID: at.lastID, relayed: at.relayed, resumed: at.relayed}
	var begun []byte
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := t.resp.Read(buf)
		begun = append(begun, buf[:n]...)
		_, sequenceErr := events.add(buf[:n])
		switch {
		case events.fresh:
			t.resp.Unread(begun)
			return nil
		case sequenceErr != nil:
			return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "%v", sequenceErr)
		case errors.Is(err, io.EOF):
			return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "the stream ended before an event")
		case err != nil:
			return f.readFailed(t.assignment.Target, "the stream was cut off", err)
		case len(begun) > maxEventBytes:
			return f.readFailed(t.assignment.Target, "the stream was cut off", bounded.TooLong(limitEvent, maxEventBytes))
		}
	}
}

// replaces reports whether the head of an upstream's response promises an answer of the
// same kind as the running one, and no failure.
func (f *forwarder) replaces(t *try) bool {
	if !t.info.Signed || t.info.HasContentEncoding || t.resp.Status >= http.StatusInternalServerError {
		return false
	}
	stream := t.info.Stream && t.resp.Status < http.StatusMultipleChoices
	return stream == (f.route.Kind == fleet.KindStream)
}

// relayed returns how much of a stream was relayed. It may be called while an attempt of
// the request runs.
func (f *forwarder) relayed() position {
	if p := f.relayedPosition.Load(); p != nil {
		return *p
	}
	return position{lastID: f.req.LastEvent}
}
