package entry

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// maxTraces is the number of requests whose traces a node keeps.
	maxTraces = 4096
	// maxTraceEvents limits the events in the trace of one request.
	maxTraceEvents = 64
)

// traces keeps the traces of the latest requests that this node served.
type traces struct {
	node  record.NodeID
	cache *lru.Cache[string, *requestTrace]
}

// requestTrace records the steps of one request.
type requestTrace struct {
	mu          sync.Mutex
	explanation api.RequestTrace
}

func newTraces(node record.NodeID) *traces {
	cache, err := lru.New[string, *requestTrace](maxTraces)
	if err != nil {
		panic(err)
	}
	return &traces{node: node, cache: cache}
}

// begin starts the trace of a request.
func (t *traces) begin(requestID, class, team string) *requestTrace {
	r := &requestTrace{explanation: api.RequestTrace{RequestID: requestID, Node: t.node, Class: class, Team: team}}
	t.cache.Add(requestID, r)
	return r
}

// explain returns a copy of a request's trace and whether the trace is kept.
func (t *traces) explain(requestID string) (api.RequestTrace, bool) {
	r, ok := t.cache.Get(requestID)
	if !ok {
		return api.RequestTrace{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ex := r.explanation
	ex.Events = append([]api.TraceEvent{}, r.explanation.Events...)
	return ex, true
}

// add appends an event with the current time; it drops the event if the trace is
// full.
func (r *requestTrace) add(e api.TraceEvent) {
	e.At = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.explanation.Events) < maxTraceEvents {
		r.explanation.Events = append(r.explanation.Events, e)
	}
}
