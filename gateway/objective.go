package gateway

import (
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
)

const (
	// timeoutRetention is how long the longest time that callers of a route were ready to
	// wait is remembered. A change of the callers' times counts after twice as long at most.
	timeoutRetention = 10 * time.Second
	// returnedShare is the part of a route's latency target by which less than the longest
	// waiting time of its callers shows that a caller has tried before.
	returnedShare = 0.5
	// maxTimeoutRoutes bounds the routes that are remembered. Configurations replace routes,
	// and those that are gone get no requests that would replace them.
	maxTimeoutRoutes = 4096
)

// callerTimeouts holds the longest times that the callers of each route were lately ready
// to wait. Callers that return after a refusal state what is left of that time. It is safe
// for concurrent use.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeout
}

// routeTimeout holds the longest time of a route in the present and in the previous period.
type routeTimeout struct {
	longest, previous time.Duration
	since             time.Time
}

func newCallerTimeouts() *callerTimeouts { return &callerTimeouts{routes: map[string]*routeTimeout{}} }

// waited records how long a caller of a route is ready to wait, within the route's timeout,
// and returns how much less that is than others were lately: how long ago a caller that
// returned first tried.
func (c *callerTimeouts) waited(now time.Time, route string, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.routes[route]
	if !ok {
		if len(c.routes) >= maxTimeoutRoutes {
			clear(c.routes)
		}
		t = &routeTimeout{since: now}
		c.routes[route] = t
	}
	if now.Sub(t.since) > timeoutRetention {
		t.previous, t.longest, t.since = t.longest, 0, now
	}
	t.longest = max(t.longest, timeout)
	return max(t.longest, t.previous) - timeout
}

// setObjective sets what the request needs of a replica to be answered in time. A request
// that an upstream may have run, or whose answer has begun, is placed wherever there is
// capacity: refusing it would waste what was done.
func (f *forwarder) setObjective(r *dispatch.Request) {
	if !f.node.Settings().AdmitInTime || f.service.Engine == nil || f.route.LatencyTarget <= 0 || f.attempts > 0 || f.failover || r.Failover || f.events.lastID != "" {
		return
	}
	r.Priority, r.Target, r.Waited = f.priority(), f.route.LatencyTarget, time.Since(f.arrivedAt)
	if f.waited > time.Duration(returnedShare*float64(f.route.LatencyTarget)) {
		r.Waited += f.waited
	}
}
