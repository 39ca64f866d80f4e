package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/notice"
)

// OnPlace sets a function to call when a request has ended at an upstream whose pause
// ended lately, so that another one may run there. It must be set before requests run.
func (b *Balancer) OnPlace(f func()) { b.onPlace = f }

// Pause records that an upstream wants no requests of this node for some time. It reports
// whether the upstream had not asked for that already.
func (b *Balancer) Pause(now time.Time, upstream fleet.Incarnation, pause time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pauses.Record(now, upstream, pause)
}

// MaySend reports whether a request that counts at its upstream may be sent there now: the
// upstream is in no pause, and no more requests run there than the steps after one allow.
func (b *Balancer) MaySend(now time.Time, a *Assignment) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ownRequests(a.Target) <= b.pauses.Limit(now, a.Target.Incarnation())
}

// PauseRemaining returns how long an upstream's pause goes on; 0 if there is none.
func (b *Balancer) PauseRemaining(now time.Time, upstream fleet.Incarnation) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pauses.Remaining(now, upstream)
}

// NextPlace returns how long it takes until the first of the targets that are not excluded
// may run one more request of this node. It reports false unless pauses, or the steps
// after them, keep requests from all of these targets, and if there are none.
func (b *Balancer) NextPlace(now time.Time, targets []fleet.Target, exclude []string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nextPlace(now, targets, exclude)
}

// nextPlace is NextPlace. The caller holds the mutex.
func (b *Balancer) nextPlace(now time.Time, targets []fleet.Target, exclude []string) (time.Duration, bool) {
	next := time.Duration(math.MaxInt64)
	for _, t := range targets {
		if slices.Contains(exclude, t.InstanceKey()) {
			continue
		}
		place := b.pauses.NextPlace(now, t.Incarnation(), b.ownRequests(t))
		if place == 0 {
			return 0, false
		}
		next = min(next, place)
	}
	return next, next < math.MaxInt64
}

// FirstPlace returns how long it takes at least until one of the targets that are not
// excluded may run one more request of this node, if all that run there now end before.
func (b *Balancer) FirstPlace(now time.Time, targets []fleet.Target, exclude []string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := time.Duration(math.MaxInt64)
	for _, t := range targets {
		if !slices.Contains(exclude, t.InstanceKey()) {
			first = min(first, b.pauses.Remaining(now, t.Incarnation()))
		}
	}
	return first
}

// RetainPauses drops the pauses of incarnations for which keep returns false, and those
// that are over.
func (b *Balancer) RetainPauses(now time.Time, keep func(fleet.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pauses.Retain(now, keep)
}

// PauseCount returns the number of upstreams whose pauses, or the steps after them, last.
func (b *Balancer) PauseCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pauses.Len()
}

// hasPlace reports whether an upstream's pause lets one more request of this node run
// there. With neverPaused it is false also in the steps after a pause.
func (b *Balancer) hasPlace(now time.Time, t fleet.Target, neverPaused bool) bool {
	if b.pauses.Len() == 0 {
		return true
	}
	limit := b.pauses.Limit(now, t.Incarnation())
	return limit == notice.Unlimited || !neverPaused && b.ownRequests(t) < limit
}

// ownRequests returns how many requests this node has in flight at an upstream.
func (b *Balancer) ownRequests(t fleet.Target) int {
	if l, ok := b.loads[keyOf(t)]; ok {
		return l.inFlight
	}
	return 0
}
