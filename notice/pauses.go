package notice

import (
	"math"
	"time"
)

const (
	// stepTime is the length of a step after a pause. In the first step one request of
	// this node may run at the upstream; each further step doubles the number.
	stepTime = 200 * time.Millisecond
	// steps is the number of steps after which the number is not limited.
	steps = 5
)

// Unlimited is the number of requests that may run at an upstream which has not paused.
const Unlimited = math.MaxInt

// Pauses holds the pauses that upstreams asked this node for, by a key that differs
// between incarnations of an upstream. It must not be used concurrently.
type Pauses[K comparable] struct {
	until map[K]time.Time
}

// NewPauses returns an empty table.
func NewPauses[K comparable]() *Pauses[K] { return &Pauses[K]{until: map[K]time.Time{}} }

// Record records that an upstream asked for a pause at the time now. It reports whether
// the pause ends later than one that the upstream had asked for before.
func (p *Pauses[K]) Record(now time.Time, upstream K, pause time.Duration) bool {
	end := now.Add(pause)
	if pause <= 0 || !end.After(p.until[upstream]) {
		return false
	}
	p.until[upstream] = end
	return true
}

// Limit returns how many requests of this node may run at an upstream: 0 during a pause,
// few in the steps after it, and Unlimited otherwise.
func (p *Pauses[K]) Limit(now time.Time, upstream K) int {
	end, known := p.until[upstream]
	if !known {
		return Unlimited
	}
	since := now.Sub(end)
	switch {
	case since < 0:
		return 0
	case since >= steps*stepTime:
		delete(p.until, upstream)
		return Unlimited
	}
	return 1 << (since / stepTime)
}

// NextPlace returns how long it takes until more requests than running may run at an
// upstream; 0 if they may now.
func (p *Pauses[K]) NextPlace(now time.Time, upstream K, running int) time.Duration {
	if p.Limit(now, upstream) > running {
		return 0
	}
	place := p.until[upstream]
	for step := 0; step < steps && 1<<step <= running; step++ {
		place = place.Add(stepTime)
	}
	return place.Sub(now)
}

// Remaining returns how long the pause of an upstream goes on; 0 if there is none.
func (p *Pauses[K]) Remaining(now time.Time, upstream K) time.Duration {
	end, known := p.until[upstream]
	if !known {
		return 0
	}
	return max(0, end.Sub(now))
}

// Earliest returns how long it takes until the first of several upstreams takes requests
// again; false if one of them has no pause, or if there are none.
func (p *Pauses[K]) Earliest(now time.Time, upstreams []K) (time.Duration, bool) {
	earliest := time.Duration(math.MaxInt64)
	for _, u := range upstreams {
		r := p.Remaining(now, u)
		if r == 0 {
			return 0, false
		}
		earliest = min(earliest, r)
	}
	return earliest, len(upstreams) > 0
}

// Len returns the number of upstreams in the table.
func (p *Pauses[K]) Len() int { return len(p.until) }

// Retain drops the upstreams for which keep returns false, such as incarnations that have
// ended, and those whose steps after a pause have passed.
func (p *Pauses[K]) Retain(now time.Time, keep func(K) bool) {
	for u, end := range p.until {
		if !keep(u) || now.Sub(end) >= steps*stepTime {
			delete(p.until, u)
		}
	}
}
