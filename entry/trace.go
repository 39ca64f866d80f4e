package entry

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// tracedRequests is the number of requests that a node can explain.
	tracedRequests = 4096
	// tracedEvents bounds the events of one request.
	tracedEvents = 64
)

// traces remembers the latest requests of this node.
type traces struct {
	node  record.NodeID
	cache *lru.Cache[string, *requestTrace]
}

// requestTrace is the life of one request.
type requestTrace struct {
	mu sync.Mutex
	ex api.Explanation
}

func newTraces(node record.NodeID) *traces {
	cache, err := lru.New[string, *requestTrace](tracedRequests)
	if err != nil {
		panic(err)
	}
	return &traces{node: node, cache: cache}
}

// begin starts the trace of a request.
func (t *traces) begin(requestID, class, team string) *requestTrace {
	r := &requestTrace{ex: api.Explanation{RequestID: requestID, Node: t.node, Class: class, Team: team}}
	t.cache.Add(requestID, r)
	return r
}

// explain returns the trace of a request.
func (t *traces) explain(requestID string) (api.Explanation, bool) {
	r, ok := t.cache.Get(requestID)
	if !ok {
		return api.Explanation{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ex := r.ex
	ex.Events = append([]api.TraceEvent{}, r.ex.Events...)
	return ex, true
}

// add appends a step.
func (r *requestTrace) add(e api.TraceEvent) {
	e.At = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ex.Events) < tracedEvents {
		r.ex.Events = append(r.ex.Events, e)
	}
}
