package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// callersPerNode is the number of callers divided by the number of nodes. Each
	// caller may use every node.
	callersPerNode = 8
	// maxThinkTime bounds the pause of a caller between two requests.
	maxThinkTime = 60 * time.Millisecond
	// abandonOneIn is the inverse of the share of requests whose caller disconnects
	// early, after request.leaveAfter.
	abandonOneIn = 15
	// retryDelay is how long a caller waits after a failed attempt.
	retryDelay = 100 * time.Millisecond
)

// startCallers starts callers that send requests until the system stops.
func (s *testSystem) startCallers() {
	for i := range callersPerNode * len(s.nodes) {
		c := &caller{system: s, rng: rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))}
		s.wait.Go(func() {
			defer c.close()
			for !s.stopped() {
				c.sendRequest()
				time.Sleep(time.Duration(c.rng.Int64N(int64(maxThinkTime))))
			}
		})
	}
}

// stopped reports whether the system is being stopped.
func (s *testSystem) stopped() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// pickNode chooses the node for the next connection as the balancer does: a random
// node in rotation, or any node if none is. It keeps the node of an open
// connection.
func (c *caller) pickNode() {
	if c.conn != nil {
		return
	}
	var inRotation []*node
	for _, n := range c.system.nodes {
		if n.inRotation.Load() {
			inRotation = append(inRotation, n)
		}
	}
	if len(inRotation) == 0 {
		inRotation = c.system.nodes
	}
	c.node = inRotation[c.rng.IntN(len(inRotation))]
}

// sendRequest sends one request. After a failure it sends it once more on a new
// connection if that is safe: if the response was 429 or 503, or if there was no
// complete response and the request may run more than once.
func (c *caller) sendRequest() {
	r := c.randomRequest()
	c.pickNode()
	a := c.try(r)
	if a.status == http.StatusOK || a.left {
		return
	}
	refused := a.complete && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests)
	time.Sleep(retryDelay)
	if !refused && (r.kind == onceKind || a.complete) {
		return
	}
	c.close()
	c.pickNode()
	c.try(r)
}

// randomRequest returns a request of a random kind.
func (c *caller) randomRequest() request {
	r := request{key: steadyKey, kind: onceKind}
	switch n := c.rng.IntN(10); {
	case n < 4:
		r.kind = streamKind
	case n < 6:
		r.kind = readKind
	}
	r.path = fmt.Sprintf("/%s/%d", r.kind, c.rng.IntN(20))
	newest := c.system.configs.newest()
	switch c.rng.IntN(8) {
	case 0:
		// A route that some version of the configuration has added.
		r.kind, r.path = readKind, fmt.Sprintf("/v%d/x", 1+c.rng.IntN(newest))
	case 1:
		// A key that a newer version may have removed.
		r.key = fmt.Sprintf("key-%d", max(1, newest-c.rng.IntN(4)))
	}
	if c.rng.IntN(abandonOneIn) == 0 {
		r.leaveAfter = time.Duration(10+c.rng.IntN(400)) * time.Millisecond
	}
	return r
}
