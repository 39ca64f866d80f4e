package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// callersPerNode is the usual number of clients for each node.
	callersPerNode = 8
	// thinkAtMost is the longest pause of a caller between two requests.
	thinkAtMost = 60 * time.Millisecond
	// leavePart is one in how many requests is left early.
	leavePart = 15
	// refusedPause is how long a caller waits after a refusal.
	refusedPause = 100 * time.Millisecond
)

// traffic sends requests until the world stops.
func (w *world) traffic() {
	for i := range callersPerNode * len(w.nodes) {
		c := &caller{world: w, rng: rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i)))}
		w.wait.Go(func() {
			defer c.close()
			for !w.stopped() {
				c.request()
				time.Sleep(time.Duration(c.rng.Int64N(int64(thinkAtMost))))
			}
		})
	}
}

func (w *world) stopped() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// connect chooses a node in rotation, or any if none is.
func (c *caller) connect() {
	if c.conn != nil {
		return
	}
	var in []*node
	for _, n := range c.world.nodes {
		if n.inRotation.Load() {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		in = c.world.nodes
	}
	c.node = in[c.rng.IntN(len(in))]
}

// request sends one request and, where that is allowed, once more on a new
// connection.
func (c *caller) request() {
	r := c.draw()
	c.connect()
	a := c.try(r)
	if a.status == http.StatusOK || a.left {
		return
	}
	promised := a.whole && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests)
	time.Sleep(refusedPause)
	if !promised && (r.kind == onceKind || a.whole) {
		return
	}
	c.close()
	c.connect()
	c.try(r)
}

// draw returns a request of a random kind.
func (c *caller) draw() request {
	r := request{key: steadyKey, kind: onceKind}
	switch n := c.rng.IntN(10); {
	case n < 4:
		r.kind = streamKind
	case n < 6:
		r.kind = readKind
	}
	r.path = fmt.Sprintf("/%s/%d", r.kind, c.rng.IntN(20))
	newest := c.world.config.newest()
	switch c.rng.IntN(8) {
	case 0:
		// A route of a later version.
		r.kind, r.path = readKind, fmt.Sprintf("/v%d/x", 1+c.rng.IntN(newest))
	case 1:
		// A key that may have been taken away.
		r.key = fmt.Sprintf("key-%d", max(1, newest-c.rng.IntN(4)))
	}
	if c.rng.IntN(leavePart) == 0 {
		r.patience = time.Duration(10+c.rng.IntN(400)) * time.Millisecond
	}
	return r
}
