package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// maxPauseWaiting bounds the requests of a node that wait in one line.
	maxPauseWaiting = 256
	// pauseWaitShare is the part of the time that a request has left for which it may
	// wait; the rest is left for the answer, or for the caller to try again.
	pauseWaitShare = 0.5
)

// upstreamPool names the upstreams that can answer the same requests: those of a service,
// or of a model.
type upstreamPool struct{ service, model string }

// pauseLines holds the requests that wait because all upstreams of their pool want no
// requests now, in the order of their arrival. It is safe for concurrent use.
type pauseLines struct {
	mu    sync.Mutex
	lines map[upstreamPool][]*lineWaiter
}

// lineWaiter is a request in a line. wake holds a value when it should look again.
type lineWaiter struct{ wake chan struct{} }

func newPauseLines() *pauseLines { return &pauseLines{lines: map[upstreamPool][]*lineWaiter{}} }

func (w *lineWaiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// empty reports whether no request waits for a pool.
func (l *pauseLines) empty(p upstreamPool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines[p]) == 0
}

// full reports whether no further request may wait for a pool.
func (l *pauseLines) full(p upstreamPool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isFull(p)
}

// isFull is full. The caller holds the mutex.
func (l *pauseLines) isFull(p upstreamPool) bool { return len(l.lines[p]) >= maxPauseWaiting }

// join adds a request at the end of a line; nil if the line is full.
func (l *pauseLines) join(p upstreamPool) *lineWaiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFull(p) {
		return nil
	}
	w := &lineWaiter{wake: make(chan struct{}, 1)}
	l.lines[p] = append(l.lines[p], w)
	return w
}

// first reports whether a request is the first in its line.
func (l *pauseLines) first(p upstreamPool, w *lineWaiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines[p]) > 0 && l.lines[p][0] == w
}

// leave takes a request out of its line and wakes the one that is the first then.
func (l *pauseLines) leave(p upstreamPool, w *lineWaiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := slices.DeleteFunc(l.lines[p], func(o *lineWaiter) bool { return o == w })
	if len(line) == 0 {
		delete(l.lines, p)
		return
	}
	l.lines[p] = line
	line[0].signal()
}

// wakeFirst wakes the first request of each line.
func (l *pauseLines) wakeFirst() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		line[0].signal()
	}
}

// wakeAll wakes all requests, which refuse themselves if they would wait for too long.
func (l *pauseLines) wakeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		for _, w := range line {
			w.signal()
		}
	}
}

// place assigns the request to an upstream. If pauses keep it from all of them and one ends
// in time, it waits for that in its pool's line; other requests that wait go first.
func (f *forwarder) place(ctx context.Context) (*try, *verdict.Error) {
	pool := upstreamPool{f.service.Name, f.model()}
	alone := f.node.pauseLines.empty(pool)
	t, e := f.pick(ctx, f.exclude, f.failover, !alone)
	if !joinsLine(alone, e) {
		return t, e
	}
	return f.waitForPlace(ctx, pool)
}

// joinsLine reports whether a request that could not be placed because of e waits in the line
// of its pool, given whether no other one waits there.
func joinsLine(alone bool, e *verdict.Error) bool {
	return e != nil && (!alone || e.Reason == verdict.ReasonAllPaused)
}

// pauseLimit returns until when the request may wait in a line.
func (f *forwarder) pauseLimit() time.Time {
	return time.Now().Add(time.Duration(pauseWaitShare * float64(time.Until(f.deadline))))
}

// waitForPlace waits in a line until the request can be assigned to an upstream.
func (f *forwarder) waitForPlace(ctx context.Context, pool upstreamPool) (*try, *verdict.Error) {
	limit := f.pauseLimit()
	if e := f.placeAfter(limit); e != nil {
		return nil, e
	}
	lines := f.node.pauseLines
	w := lines.join(pool)
	if w == nil {
		return nil, f.refusePaused()
	}
	defer lines.leave(pool, w)
	f.node.count("pause.waited")
	for {
		wait := time.Until(limit)
		if lines.first(pool, w) {
			t, e := f.pick(ctx, f.exclude, f.failover, false)
			if e == nil || e.Reason != verdict.ReasonAllPaused {
				return t, e
			}
			next, _ := f.nextPlace()
			wait = min(wait, next)
		}
		if e := f.placeAfter(limit); e != nil {
			return nil, e
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, f.contextError(ctx, f.refusePaused())
		case <-w.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// usable returns the upstreams that can answer the request, those in a pause included and
// those in evacuated zones excluded: the warm ones and the cold ones to which this node may
// send now.
func (f *forwarder) usable() (warm, cold []fleet.Target) {
	s := f.filter()
	return s.warm, s.cold
}

// filtered holds the upstreams that can answer a request after each filter: all of a view,
// those outside of evacuated zones, those of them that stay, and of these the warm ones and
// the cold ones to which this node may send now.
type filtered struct {
	view                         *fleet.View
	all, inUse, stay, warm, cold []fleet.Target
}

// filter applies the filters to the upstreams of the newest view.
func (f *forwarder) filter() filtered {
	s := filtered{view: f.node.state.View()}
	s.all = s.view.Targets(f.service.Name, f.model())
	s.inUse = withoutEvacuated(s.view, s.all)
	s.stay = usableTargets(s.inUse, bootclock.Now(), f.node.Settings().Bounds.DrainTime)
	s.warm, s.cold = f.node.splitCold(s.view, f.service, s.stay)
	return s
}

// allUsable returns all upstreams that usable returns.
func (f *forwarder) allUsable() []fleet.Target {
	warm, cold := f.usable()
	if len(cold) == 0 {
		return warm
	}
	return slices.Concat(warm, cold)
}

// nextPlace returns how long it takes until the first upstream takes the request; false
// unless pauses keep it from all of them.
func (f *forwarder) nextPlace() (time.Duration, bool) {
	return f.node.balancer.NextPlace(time.Now(), f.allUsable(), f.exclude)
}

// placeAfter returns a refusal if all upstreams pause beyond limit.
func (f *forwarder) placeAfter(limit time.Time) *verdict.Error {
	if time.Until(limit) > f.node.balancer.FirstPlace(time.Now(), f.allUsable(), f.exclude) {
		return nil
	}
	return f.refusePaused()
}

// refusePaused returns the refusal of a request whose upstreams all want no requests now.
func (f *forwarder) refusePaused() *verdict.Error {
	next, _ := f.nextPlace()
	return verdict.Refuse(verdict.ReasonAllPaused, "the %d upstreams want no requests now, the first for %d ms", len(f.allUsable()), next.Milliseconds()).
		WithRetryAfter(pausedRetryAfter(next))
}

// pausedRetryAfter returns a random delay after which a caller may retry a request that
// pauses keep from all upstreams, given how long the first of them lasts.
func pausedRetryAfter(first time.Duration) time.Duration { return first + rand.N(noRoomSpread) }

// withPauseEnd returns the failure e of a request that has not run, with the time at which
// callers may retry if pauses keep the request from all upstreams.
func (f *forwarder) withPauseEnd(e *verdict.Error) *verdict.Error {
	if next, all := f.nextPlace(); all && e.Verdict == verdict.NotRun {
		return e.WithRetryAfter(pausedRetryAfter(next))
	}
	return e
}
